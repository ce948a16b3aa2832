package plan

import (
	"cmp"
	"fmt"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// TeamStats holds the statistics of one team at one moment.
type TeamStats struct {
	Name   string
	Weight float64
	// Cap is the most that the team may have running, 0 in a dimension without a limit. Used is the declared size of
	// what it has running, Reserved of what its steps have reserved.
	Cap, Used, Reserved model.Size
	// WaitingTasks counts the tasks that could start, WaitingForCap those of them that the team's cap keeps from it,
	// and WaitingBeyondShare those of jobs beyond the team's share.
	WaitingTasks, WaitingForCap, WaitingBeyondShare int
	// Had is the share of the scarcest resource that the team has had while teams take turns, in seconds of all
	// workers divided by its weight: the team with the lowest comes first.
	Had float64
}

// teamStats returns the statistics of all teams that have jobs, by name.
func (p *Planner) teamStats() []TeamStats {
	if len(p.teams) == 0 {
		return nil
	}
	byName := map[string]*TeamStats{}
	list := make([]TeamStats, 0, len(p.teams))
	for _, t := range p.teams {
		s := TeamStats{Name: t.Name, Weight: t.Weight, Cap: t.Cap, Used: t.used, Reserved: t.reserved}
		if t.account.round == p.turns.round && p.takesTurns() {
			s.Had = t.account.Had()
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b TeamStats) int { return cmp.Compare(a.Name, b.Name) })
	for i := range list {
		byName[list[i].Name] = &list[i]
	}
	for _, st := range p.ready {
		if st.job.team == nil || st.job.HasEnded() {
			continue
		}
		s, n := byName[st.job.team.Name], len(st.waitingTasks())
		s.WaitingTasks += n
		if st.job.isBeyondShare() {
			s.WaitingBeyondShare += n
		}
		if st.capPass == p.passNumber {
			s.WaitingForCap += n
		}
	}
	return list
}

const (
	// waitLogInterval is the shortest time between two lines about steps of one team that wait for its cap or share.
	waitLogInterval = clock.Second
	// maxWaitLines is the number of such lines in that time for all teams.
	maxWaitLines = 20
)

// waitLog bounds the lines about steps that wait for a cap or share.
type waitLog struct {
	since clock.Millis
	lines int
}

// logWait logs that a step waits for its team's cap or share, with the inputs of the decision. They are those of this
// moment, so their age is 0; the age in the log is that of the wait.
func (p *Planner) logWait(st *step, cause func() string) {
	t := st.job.team
	if p.now-t.waitLoggedAt < waitLogInterval {
		return
	}
	if p.now-p.waitLog.since >= waitLogInterval {
		p.waitLog = waitLog{since: p.now}
	}
	if p.waitLog.lines >= maxWaitLines {
		return
	}
	p.waitLog.lines++
	t.waitLoggedAt = p.now
	p.logEvent(LogEvent{Event: "step waits", Job: st.name.Job, Task: st.name.StepName(), Cause: cause(), Age: p.now - st.readyAt})
}

// noteCapWait records that a step of which tasks wait for its team's cap, and logs it.
func (p *Planner) noteCapWait(st *step) {
	st.capPass = p.passNumber
	t := st.job.team
	p.logWait(st, func() string {
		return fmt.Sprintf("cap of team %s: it may have %s, has %s and %s reserved; a task needs %s, %d wait; inputs of this moment, configuration %d",
			t.Name, t.Cap, t.used, t.reserved, st.spec.Need, len(st.waitingTasks()), p.state.Config().Version)
	})
}

// noteShareWait logs that a step of a job beyond its team's share waits.
func (p *Planner) noteShareWait(st *step) {
	if !st.job.isBeyondShare() {
		return
	}
	t := st.job.team
	p.logWait(st, func() string {
		return fmt.Sprintf("share of team %s: its jobs exceed %g a second, accepted %s ago; it has %s; workers full for %s; inputs of this moment, configuration %d",
			t.Name, t.Weight, p.now-st.job.acceptedAt, t.used, p.fullFor(p.now), p.state.Config().Version)
	})
}

// fullFor returns for how long the workers have been full.
func (p *Planner) fullFor(now clock.Millis) clock.Millis {
	if !p.isFull(now, 0) {
		return 0
	}
	return now - p.turns.fullSince
}
