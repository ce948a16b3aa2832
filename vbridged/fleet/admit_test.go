package fleet

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
)

// newFullDomain returns a leader whose only worker is full with jobs of a team that is far beyond its share. Its lease
// is valid as long as the returned flag.
func newFullDomain(t *testing.T, registry *prometheus.Registry) (d *Domain, leased *bool) {
	t.Helper()
	c := &manualClock{now: 1000}
	d = newKeyDomain(c, registry)
	leased = new(bool)
	*leased = true
	d.leaderLease = func() (clock.Millis, uint64) {
		if *leased {
			return c.now + 1, 3
		}
		return 0, 3
	}
	config := teamConfig(7, "k")
	config.Access.Teams[0].Weight = 0.5
	config.Queues[0].Pool, config.Queues[0].Stretch = "p", 100
	need := model.Size{CPU: 1000}
	w := flow.Worker{ID: "w", StartedAt: 1, Pool: "p", Address: "w", Capacity: need, Seq: 1}
	apply := func(command ledger.Command) {
		d.state.Apply(command)
		d.session.planner.Step(c.now, plan.Applied{Command: command})
	}
	apply(ledger.Configure{Config: config})
	apply(ledger.RegisterWorker{Worker: w})
	d.session.planner.Step(c.now, plan.HoldAnswered{Worker: flow.Incarnation{ID: "w", StartedAt: 1}, SentAt: c.now, ReceivedAt: c.now, Clock: 1})
	for i := range 20 {
		apply(ledger.Submit{Host: "h", Path: fmt.Sprintf("/a/%02d", i), Now: c.now, Key: flow.HashKey("k"), Job: flow.Job{Steps: []flow.Step{{Count: 1, Need: need, Estimate: 1000}}}})
	}
	for range 30 {
		c.now += 50
		d.session.planner.Step(c.now, plan.Tick{})
	}
	return d, leased
}

// Guards against a refusal that isn't true, because the job is known or on its way to the log, or because the leader
// can't know.
func TestOnlyJobsThatAreNotAcceptedAreRefused(t *testing.T) {
	registry := prometheus.NewRegistry()
	d, leased := newFullDomain(t, registry)
	submit := requestAs(KindSubmit, "k")
	if _, refusal, refused := d.admit(submit); !refused || refusal.Status != StatusRefused || refusal.RetryAfter <= 0 || refusal.Reason != reasonBeyondShare {
		t.Fatalf("a further job of a flood: refused %t, reply %+v", refused, refusal)
	}
	known := submit
	known.Path = "/a/19"
	if _, _, refused := d.admit(known); refused {
		t.Error("a job that was accepted is refused")
	}
	*leased = false
	other := submit
	other.Path = "/a/other"
	if _, _, refused := d.admit(other); refused {
		t.Error("a job is refused without a valid lease")
	}
	*leased = true
	if _, _, refused := d.admit(other); refused {
		t.Error("a job is refused while its submission may be in the log")
	}
	if got, want := gatherCounter(t, registry, "vb_refused_jobs_total"), 1.0; got != want {
		t.Errorf("%g refusals are counted, want %g", got, want)
	}
}

func gatherCounter(t *testing.T, registry *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() == name {
			for _, m := range f.GetMetric() {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// Guards against a front that tells a caller that a job is refused, or that its queue or key doesn't exist, although an
// earlier attempt may have been accepted: the front stood still after it, and the answer to it came too late (REFUSED).
func TestRefusalAfterUnknownAttemptIsUnknown(t *testing.T) {
	for status, want := range map[Status]Status{
		StatusDone: StatusDone, StatusNoJob: StatusNoJob, StatusRefused: StatusUnknown, StatusNoQueue: StatusUnknown,
		StatusUnauthorized: StatusUnknown, StatusInvalid: StatusUnknown, StatusNoConfig: StatusUnknown, StatusUnknown: StatusUnknown,
	} {
		reply := Reply{Status: status, RetryAfter: 1000, Version: 7, Term: 3}
		if got := settleRefusal(reply, true); got != reply {
			t.Errorf("%s in reply to the only attempt becomes %+v", status, got)
		}
		if got := settleRefusal(reply, false); got.Status != want || got.Version != 7 || got.Term != 3 {
			t.Errorf("%s after an attempt with an unknown outcome becomes %+v, want %s", status, got, want)
		}
	}
}

// Guards against a number of series that grows with the number of teams, and against submissions that are remembered without
// bound.
func TestTeamSeriesAreBounded(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := newTeamMetrics(registry)
	var list []plan.TeamStats
	for i := range 1000 {
		list = append(list, plan.TeamStats{Name: fmt.Sprintf("t%d", i), WaitingTasks: i})
	}
	if totals := m.set(list); totals.waiting != 1000*999/2 {
		t.Errorf("%d waiting tasks in all, want %d", totals.waiting, 1000*999/2)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	series := 0
	for _, f := range families {
		series += len(f.GetMetric())
	}
	if limit := 9 * (maxTeamSeries + 1); series > limit {
		t.Errorf("%d series for 1000 teams, want at most %d", series, limit)
	}
	s := submissions{}
	for i := range 3 * maxSubmissions {
		s.begin(clock.Millis(i)*submissionMemory/maxSubmissions, model.JobID(fmt.Sprint(i)))
	}
	if len(s) > maxSubmissions+1 {
		t.Errorf("%d submissions are remembered, want at most %d", len(s), maxSubmissions+1)
	}
}
