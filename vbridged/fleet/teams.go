package fleet

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/plan"
)

const (
	// maxTeamSeries is the number of teams with series of their own: those with most waiting tasks, and among equal ones
	// with most in use. All others share the series otherTeams.
	maxTeamSeries = 40
	otherTeams    = "(others)"
)

// teamMetrics holds the metrics by team.
type teamMetrics struct {
	used, limit, waiting *prometheus.GaugeVec
	refused              *prometheus.CounterVec
}

func newTeamMetrics(r prometheus.Registerer) teamMetrics {
	gauges := func(name, help, label string) *prometheus.GaugeVec {
		g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"team", label})
		r.MustRegister(g)
		return g
	}
	m := teamMetrics{
		used:    gauges("vb_team_used", "Declared size of what a team has running or reserved, at the leader: cores, MiB and accelerators.", "resource"),
		limit:   gauges("vb_team_cap", "Most that a team may have running: cores, MiB and accelerators; 0 for no limit.", "resource"),
		waiting: gauges("vb_team_waiting_tasks", "Waiting tasks of a team, at the leader: all, those that wait for its cap, and those of jobs beyond its share.", "why"),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "vb_refused_jobs_total", Help: "Jobs that the leader refused."}, []string{"reason"}),
	}
	r.MustRegister(m.refused)
	return m
}

// teamTotals are sums over all teams.
type teamTotals struct{ waiting, waitingForCap, beyondShare int }

// set sets the gauges of all teams, and returns the sums.
func (m teamMetrics) set(list []plan.TeamStats) teamTotals {
	for _, g := range []*prometheus.GaugeVec{m.used, m.limit, m.waiting} {
		g.Reset()
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b plan.TeamStats) int {
		return cmp.Or(cmp.Compare(b.WaitingTasks, a.WaitingTasks), cmp.Compare(b.Used.CPU, a.Used.CPU))
	})
	var totals teamTotals
	const millicoresPerCore = 1000
	for i, t := range list {
		name := t.Name
		if i >= maxTeamSeries {
			name = otherTeams
		}
		used := t.Used.Plus(t.Reserved)
		m.used.WithLabelValues(name, "cpu").Add(float64(used.CPU) / millicoresPerCore)
		m.used.WithLabelValues(name, "memory").Add(float64(used.Memory))
		m.used.WithLabelValues(name, "accel").Add(float64(used.Accel))
		m.limit.WithLabelValues(name, "cpu").Add(float64(t.Cap.CPU) / millicoresPerCore)
		m.limit.WithLabelValues(name, "memory").Add(float64(t.Cap.Memory))
		m.limit.WithLabelValues(name, "accel").Add(float64(t.Cap.Accel))
		m.waiting.WithLabelValues(name, "all").Add(float64(t.WaitingTasks))
		m.waiting.WithLabelValues(name, "cap").Add(float64(t.WaitingForCap))
		m.waiting.WithLabelValues(name, "share").Add(float64(t.WaitingBeyondShare))
		totals.waiting += t.WaitingTasks
		totals.waitingForCap += t.WaitingForCap
		totals.beyondShare += t.WaitingBeyondShare
	}
	return totals
}
