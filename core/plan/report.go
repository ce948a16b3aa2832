package plan

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/ledger"
)

// fullList is the number of ends in a report from which on further ends may be left out.
const fullList = 500

// report takes a worker's answer to a hold in.
//
// An attempt that the report lists neither as running nor as finished surely doesn't run and never
// will, once the worker's clock in the report is past sureAt: the order has expired, or its answer
// was given before the report. Orders of earlier leaders are void since the hold's fence arrived.
func (p *Planner) report(now clock.Millis, e Reported) {
	w := p.findWorker(e.Worker)
	if w == nil {
		return
	}
	w.refused, w.silent = 0, false
	w.holdDue = now + holdGap
	if !w.known {
		w.known = true
		p.moved = true
		p.note(Note{Event: "worker answers", Worker: w.ID, Age: e.Got - e.Sent})
	}
	w.clock, w.seenAt = e.Clock, e.Got
	if took := max(e.Got-e.Sent, 1); w.away == 0 || took < w.away {
		w.away = took
	}
	listed := map[attempt]bool{}
	for _, f := range e.Finished {
		listed[attempt{f.Task, f.Attempt}] = true
		p.finished(w, f)
	}
	for _, r := range e.Running {
		key := attempt{r.Task, r.Attempt}
		listed[key] = true
		p.seenRunning(w, key, r)
	}
	if len(e.Finished) < fullList {
		for _, t := range w.pick(func(t *task) bool {
			return !listed[t.key()] && t.stage != assigning && e.Clock > t.sureAt
		}) {
			p.endTask(t, ledger.EndLost, "", "not listed by its worker")
			p.breakGang(t, "a member never started")
		}
	}
	p.seen(w, e.Finished)
}

func (p *Planner) finished(w *worker, f Finished) {
	t := w.tasks[attempt{f.Task, f.Attempt}]
	if t == nil || f.Number <= w.seen {
		return
	}
	t.phase.job.begun = true
	p.judge(t, f.End)
	p.endTask(t, f.End, f.Saved, "listed by its worker")
}

// seenRunning takes the progress of an attempt in, and stops one that nobody wants.
func (p *Planner) seenRunning(w *worker, key attempt, r Running) {
	t := w.tasks[key]
	if t == nil {
		if p.now-w.strays[key] >= stopEvery {
			w.strays[key] = p.now
			p.out = append(p.out, Stop{Worker: w.Worker, Task: r.Task, Attempt: r.Attempt, Reason: "attempt is over"})
		}
		return
	}
	t.phase.job.begun = true
	if t.stage == starting {
		t.stage, t.doubt = running, false
		t.begunAt, t.movedAt = p.now, p.now
	}
	if r.Percent != t.percent {
		t.percent, t.movedAt = r.Percent, p.now
		return
	}
	p.checkStall(t)
}

// seen notes which ends may be acknowledged once the settlement of this step is committed.
func (p *Planner) seen(w *worker, list []Finished) {
	last := w.seen
	for _, f := range list {
		last = max(last, f.Number)
	}
	if last == w.seen {
		return
	}
	w.seen = last
	p.touched = append(p.touched, w)
}

// seenBatch holds the ends that one settlement lets workers forget.
type seenBatch map[*worker]int64

// queueSeen ties the ends of this step to the settlement that was proposed, or to the last one in
// progress, so that no end is acknowledged before it is committed.
func (p *Planner) queueSeen(proposed bool) {
	if proposed {
		p.settling[p.number] = seenBatch{}
	}
	last := p.settling[p.number]
	for _, w := range p.touched {
		if last == nil {
			w.committed = w.seen
			continue
		}
		last[w] = w.seen
	}
	p.touched = nil
}

// commitSeen lets workers forget the ends of a settlement of this plan. Those of other leaders,
// which a plan sees that doesn't know yet that its term is over, say nothing about its own.
func (p *Planner) commitSeen(c ledger.Settle) {
	if c.Term != p.cfg.Term {
		return
	}
	for w, n := range p.settling[c.Number] {
		w.committed = max(w.committed, n)
	}
	delete(p.settling, c.Number)
}
