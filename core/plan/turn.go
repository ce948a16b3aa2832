package plan

import (
	"iter"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/share"
)

const (
	// shareBurst is the time whose jobs, at a team's rate, may come at once without being beyond its share.
	shareBurst = 10 * clock.Second
	// fullShare is the used share of the workers' scarcest resource from which on they count as full if steps wait.
	fullShare = 0.75
	// lastingFull is how long the workers must be full for the teams to take turns: in a shorter burst all steps can
	// still end in time if the most urgent ones start first.
	lastingFull = 2 * clock.Second
	// fullGap is how long the workers may be not full within that time.
	fullGap = 300 * clock.Millisecond
	// turnSlack is the time of its part of the workers by which a team may have had more or less than its part before
	// the others' turn comes, or its own, whatever is urgent.
	turnSlack = 100 * clock.Millisecond
	// maxTurnDebt bounds what a team may have had more or less than its part: one whose jobs are large compared with
	// its weight doesn't wait until it has made up for all of them.
	maxTurnDebt = 2 * clock.Second
	// callersLeftFree is the inverse of the share of the callers that jobs beyond their team's share leave to others.
	callersLeftFree = 4
)

// turns is what the planner knows of how full the workers are, and whose turn it is.
type turns struct {
	// fullSince is when the workers became full, or 0, and lastFull when they last were.
	fullSince, lastFull clock.Millis
	// roundSince is fullSince when the round began.
	roundSince clock.Millis
	// round counts the times at which teams began to take turns; accounts of earlier ones don't count.
	round uint64
	// fair is what each team would have had, relative to its weight, if all that wait had had their parts, and weights
	// the sum of their weights.
	fair, weights float64
	// unowned is the account of the jobs of no team.
	unowned  account
	capacity model.Size // of the schedulable workers in the last pass
	visits   uint64     // visits of the steps of one order so far
	queue    share.Turns[*account]
}

// account is the account of a team in a round, with those of its steps that wait for their turn in a visit.
type account struct {
	share.Account
	round        uint64
	visit        uint64 // the last visit in which it had steps
	waitedInPass uint64
	steps        []*step
	next         int
}

// isFull reports whether the workers, or the callers of steps that need tickets, have been full for a time.
func (p *Planner) isFull(now, since clock.Millis) bool {
	return p.turns.fullSince != 0 && now-p.turns.fullSince >= since && now-p.turns.lastFull <= fullGap
}

// takesTurns reports whether teams take turns now.
func (p *Planner) takesTurns() bool {
	return p.cfg.Features.Shares && len(p.teams) > 0 && p.isFull(p.now, lastingFull)
}

// noteFull records after a pass whether the workers are full: steps wait, and little is free or no caller is.
func (p *Planner) noteFull(ps *pass) {
	if len(p.teams) == 0 {
		return
	}
	var used, capacity model.Size
	for _, list := range ps.schedulable {
		for _, w := range list {
			used, capacity = used.Plus(w.used).Plus(w.reserved), capacity.Plus(w.Capacity)
		}
	}
	p.turns.capacity = capacity
	callersBusy := len(p.callers) > 0 && p.idleCallers() == 0
	switch {
	case ps.waitingAhead > 0 && (used.DominantShare(capacity) >= fullShare || callersBusy):
		if p.turns.fullSince == 0 {
			p.turns.fullSince = p.now
		}
		p.turns.lastFull = p.now
	case p.now-p.turns.lastFull > fullGap:
		p.turns.fullSince = 0
	}
}

// order is the place of a step among all that wait: by class, and within a class those of jobs within their team's share
// before those beyond it. A job beyond it that can still end in time comes before jobs that are late anyway: what these
// can still earn is little.
func (p *Planner) order(st *step, class int) int {
	if st.job.isBeyondShare() {
		return 2*class + 1
	}
	return 2 * class
}

// ranked is a step with its place in a pass; its class is the order.
type ranked struct {
	rank
	st *step
}

func (p *Planner) rankInOrder(st *step) ranked {
	r := ranked{p.rankOf(st), st}
	if st.job.isBeyondShare() {
		st.job.team.countBeyond(p.passNumber)
	}
	r.class = p.order(st, r.class)
	return r
}

// inTurn visits the steps of a pass, which are sorted by order and rank. While the workers are full for long, teams
// that have had less than their part come first among the steps of like use and share, and those that have had more
// come last, in turn by what they have had. All others stay in their order, as do the steps of a team.
func (p *Planner) inTurn(list []ranked) iter.Seq[*step] {
	if !p.takesTurns() {
		return func(yield func(*step) bool) {
			for i := range list {
				if !yield(list[i].st) {
					return
				}
			}
		}
	}
	p.beginRound()
	return func(yield func(*step) bool) {
		for begin := 0; begin < len(list); {
			end := begin
			for end < len(list) && list[end].class == list[begin].class {
				end++
			}
			if !p.visitInTurn(list[begin:end], yield) {
				return
			}
			begin = end
		}
	}
}

// beginRound starts a new round if the teams didn't take turns before the workers became full.
func (p *Planner) beginRound() {
	if p.turns.fullSince == p.turns.roundSince {
		return
	}
	p.turns.roundSince = p.turns.fullSince
	p.turns.round++
	p.turns.fair = 0
}

// visitInTurn visits the steps of one order.
func (p *Planner) visitInTurn(list []ranked, yield func(*step) bool) bool {
	p.joinAll(list)
	slack := turnSlack.Duration().Seconds() / p.turns.weights
	for i := range list {
		if st := list[i].st; p.accountOf(st.job).Had() < p.turns.fair-slack {
			st.visit = p.turns.visits
			if !yield(st) {
				return false
			}
		}
	}
	q := &p.turns.queue
	q.Reset()
	for i := range list {
		st := list[i].st
		a := p.accountOf(st.job)
		switch {
		case st.visit == p.turns.visits:
		case a.Had() <= p.turns.fair+slack:
			if !yield(st) {
				return false
			}
		default:
			if len(a.steps) == 0 {
				q.Add(a.Had(), a)
			}
			a.steps = append(a.steps, st)
		}
	}
	return p.visitQueue(yield)
}

// visitQueue visits the steps of the teams in the queue in turn.
func (p *Planner) visitQueue(yield func(*step) bool) bool {
	q, goOn := &p.turns.queue, true
	for q.Len() > 0 {
		_, a := q.First()
		if !goOn || a.next == len(a.steps) {
			clear(a.steps)
			a.steps, a.next = a.steps[:0], 0
			q.Remove()
			continue
		}
		a.next++
		goOn = yield(a.steps[a.next-1])
		q.Update(a.Had())
	}
	return goOn
}

// joinAll finds the accounts of the steps of one order, and bounds what they have had: a team that didn't wait in the
// last pass begins where the others are.
func (p *Planner) joinAll(list []ranked) {
	p.turns.visits++
	weights, had := 0.0, 0.0
	for i := range list {
		a := p.accountOf(list[i].st.job)
		if a.visit == p.turns.visits {
			continue
		}
		a.visit = p.turns.visits
		if a.waitedInPass+1 < p.passNumber {
			a.Bound(p.turns.fair, max(p.turns.fair, a.Had()))
		}
		a.waitedInPass = p.passNumber
		weights += a.Weight()
		had += a.Weight() * a.Had()
	}
	p.turns.fair, p.turns.weights = had/weights, weights
	debt := maxTurnDebt.Duration().Seconds() / weights
	for i := range list {
		p.accountOf(list[i].st.job).Bound(p.turns.fair-debt, p.turns.fair+debt)
	}
}

// accountOf returns the account of a job's team in this round.
func (p *Planner) accountOf(j *job) *account {
	a, weight := &p.turns.unowned, 0.0
	if j.team != nil {
		a, weight = &j.team.account, j.team.Weight
	}
	if a.round != p.turns.round {
		a.Account, a.round, a.waitedInPass = share.NewAccount(weight), p.turns.round, 0
	}
	return a
}

// chargeTurn charges a team for a task that starts, by the time that it is expected to run.
func (p *Planner) chargeTurn(t *task) {
	if p.turns.round == 0 || !p.takesTurns() {
		return
	}
	t.turnRound = p.turns.round
	p.charge(t, t.step.expectedRunTime())
}

// settleTurn corrects the charge for a task whose end is known by the time that it has run.
func (p *Planner) settleTurn(t *task) {
	if t.turnRound == 0 || t.turnRound != p.turns.round {
		return
	}
	t.turnRound = 0
	p.charge(t, p.now-t.startSentAt-t.step.expectedRunTime())
}

// charge charges a team for a time of a task, by the share of the scarcest resource that the task takes.
func (p *Planner) charge(t *task, runs clock.Millis) {
	amount := t.step.spec.Need.DominantShare(p.turns.capacity) * runs.Duration().Seconds()
	p.accountOf(t.step.job).Charge(amount)
	if p.turns.weights > 0 {
		p.turns.fair += amount / p.turns.weights
	}
}

// mayCallNow reports whether a step may use a caller: one beyond its team's share only if enough are left for the
// others, or if no such step uses one.
func (p *Planner) mayCallNow(st *step) bool {
	if !st.job.isBeyondShare() || p.idleCallers() > len(p.callers)/callersLeftFree {
		return true
	}
	for _, call := range p.ticketCalls {
		if call.step.job.isBeyondShare() {
			return false
		}
	}
	return true
}
