package plan

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/share"
)

// team is what the leader knows of a team: its entry in the configuration, and what it has running or reserved.
type team struct {
	flow.Team
	// used is the declared size of the team's attempts from their placement until their end is listed or proven, and
	// reserved that of the tasks for which its steps have reserved capacity.
	used, reserved model.Size
	// claimed is the declared size of the gang to which later steps of the team leave the room under the cap in pass
	// claimedInPass.
	claimed       model.Size
	claimedInPass uint64
	account       account
	meter         *share.Meter // of its submitted jobs
	waitLoggedAt  clock.Millis
	// beyond counts the waiting steps of jobs beyond its share at the start of the pass after beyondAfterPass.
	beyond          int
	beyondAfterPass uint64
}

// teamOf returns the team with a name, or nil for the empty name.
func (p *Planner) teamOf(name string) *team {
	if name == "" {
		return nil
	}
	t := p.teams[name]
	if t == nil {
		t = &team{}
		t.Team, _ = p.state.Config().Access.Team(name)
		t.Name = name
		t.meter = share.NewMeter(t.Weight, shareBurst)
		p.teams[name] = t
	}
	return t
}

// updateTeams takes over weights and caps from the configuration. A team that it no longer has is no longer limited.
func (p *Planner) updateTeams() {
	if len(p.teams) == 0 {
		return
	}
	configured := map[string]flow.Team{}
	for _, t := range p.state.Config().Access.Teams {
		configured[t.Name] = t
	}
	reweighted := false
	for name, t := range p.teams {
		reweighted = reweighted || t.Weight != configured[name].Weight
		t.Team = configured[name]
		t.Name = name
	}
	if reweighted {
		p.meterJobs()
	}
}

// meterJobs finds the jobs beyond their team's share from all that the state records, so that each leader finds the
// same ones. Jobs that the state no longer has don't count.
func (p *Planner) meterJobs() {
	var list []*share.Arrival
	teams := map[*share.Arrival]*team{}
	for id, record := range p.state.Jobs() {
		if record.Team == "" {
			continue
		}
		a := &share.Arrival{}
		if j := p.jobs[id]; j != nil {
			a = &j.arrival
		}
		a.At, a.ID = record.AcceptedAt, string(id)
		teams[a] = p.teamOf(record.Team)
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *share.Arrival) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) })
	for _, t := range p.teams {
		t.meter = share.NewMeter(t.Weight, shareBurst)
	}
	for _, a := range list {
		teams[a].meter.Add(a)
	}
}

// noteArrival adds a job that was submitted now to its team's.
func (p *Planner) noteArrival(j *job) {
	if j.team == nil {
		return
	}
	j.arrival = share.Arrival{At: j.AcceptedAt, ID: string(j.Definition.ID)}
	j.team.meter.Add(&j.arrival)
}

// noteCancelledArrival counts a job that was accepted as a cancelled one as its team's, as meterJobs does.
func (p *Planner) noteCancelledArrival(record *ledger.Job) {
	if t := p.teamOf(record.Team); t != nil {
		t.meter.Add(&share.Arrival{At: record.AcceptedAt, ID: string(record.Definition.ID)})
	}
}

// isOverCap reports whether the team has more running than its cap, because that was lowered.
func (t *team) isOverCap() bool { return t != nil && !t.allows(t.used) }

// allows reports whether a declared size is within the cap.
func (t *team) allows(total model.Size) bool {
	return (t.Cap.CPU == 0 || total.CPU <= t.Cap.CPU) && (t.Cap.Memory == 0 || total.Memory <= t.Cap.Memory) &&
		(t.Cap.Accel == 0 || total.Accel <= t.Cap.Accel)
}

// uncapped is a free size in a dimension without a limit.
const uncapped = 1 << 50

// freeUnderCap returns the size that the team may start in a pass beyond what it uses, has reserved, and keeps for a
// gang that was visited before.
func (t *team) freeUnderCap(pass uint64) model.Size {
	total := t.used.Plus(t.reserved)
	if t.claimedInPass == pass {
		total = total.Plus(t.claimed)
	}
	free := t.Cap.Minus(total)
	if t.Cap.CPU == 0 {
		free.CPU = uncapped
	}
	if t.Cap.Memory == 0 {
		free.Memory = uncapped
	}
	if t.Cap.Accel == 0 {
		free.Accel = uncapped
	}
	return free
}

// startableTasks returns how many of count tasks of a step may start now without bringing its team over its cap.
func (p *Planner) startableTasks(st *step, count int) int {
	t := st.job.team
	if t == nil || t.Cap.IsZero() {
		return count
	}
	return min(count, countFits(t.freeUnderCap(p.passNumber), st.spec.Need))
}

const (
	// A gang that waits for its team's cap keeps later steps of the team from the room under it for gangClaimTime,
	// then leaves it to them for gangClaimPause, and so on: tasks of the team that end late, or a lack of workers for
	// the gang, must not keep the others waiting all the while.
	gangClaimTime  = 5 * clock.Second
	gangClaimPause = 2500 * clock.Millisecond
)

// waitsForCap reports whether no waiting task of a step may start because of its team's cap. Such a step makes no
// ticket calls and reserves nothing. Once a gang has had to wait for the cap, it claims the room under it until it
// starts, so that narrower steps of its team don't starve it. One gang of a team does so at a time, and none that can't
// end usefully: the claims of all would keep the team below its cap.
func (p *Planner) waitsForCap(st *step) bool {
	t := st.job.team
	if t == nil || t.Cap.IsZero() {
		return false
	}
	if !st.spec.Gang {
		if p.startableTasks(st, 1) > 0 {
			return false
		}
		p.noteCapWait(st)
		return true
	}
	count := len(st.waitingTasks())
	waits := p.startableTasks(st, count) < count
	if waits && st.claimsSince == 0 {
		st.claimsSince = p.now
	}
	if waits {
		p.noteCapWait(st)
	}
	need := st.spec.Need.Times(int64(count))
	if st.claimsSince != 0 && t.claimedInPass != p.passNumber && t.allows(need) && p.now <= st.latestUseful &&
		(p.now-st.claimsSince)%(gangClaimTime+gangClaimPause) < gangClaimTime {
		t.claimed, t.claimedInPass = need, p.passNumber
	}
	return waits
}

// countForTeam counts an attempt as running for its team.
func (t *task) countForTeam() {
	if owner := t.step.job.team; owner != nil && !t.counted {
		t.counted = true
		owner.used = owner.used.Plus(t.step.spec.Need)
	}
}

// uncountForTeam ends the count of an attempt.
func (t *task) uncountForTeam() {
	if t.counted {
		t.counted = false
		owner := t.step.job.team
		owner.used = owner.used.Minus(t.step.spec.Need)
	}
}

// isBeyondShare reports whether a job was submitted beyond its team's share, so that it waits behind the jobs of
// other teams while capacity is scarce.
func (j *job) isBeyondShare() bool { return j.arrival.Beyond }
