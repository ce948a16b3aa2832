package plan

import (
	"cmp"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
)

// stage is where an attempt stands.
type stage uint8

const (
	// assigning means that the assignment is being committed.
	assigning stage = iota + 1
	// starting means that the start order has no certain answer.
	starting
	running
	// ending means that the end is being committed.
	ending
)

// task is an attempt that is not settled.
type task struct {
	name    flow.Task
	number  int
	phase   *phase
	worker  *worker
	stage   stage
	charged bool
	// sureAt is the worker's clock after which a report that doesn't list the attempt proves that
	// it doesn't run: the expiry of the last start order, or the clock of its answer.
	sureAt clock.Millis
	// doubt says that an order without an answer may still be carried out.
	doubt   bool
	sent    int // start orders
	sentAt  clock.Millis
	begunAt clock.Millis
	stop    string // reason of the order to stop
	stopAt  clock.Millis
	percent int
	movedAt clock.Millis // when percent last rose
	ticket  string
}

func (t *task) key() attempt { return attempt{t.name, t.number} }

// attach charges an attempt to a worker.
func (t *task) attach(w *worker) {
	shape := t.phase.shape
	w.used = w.used.Plus(shape.Charge())
	if shape.Fills {
		w.filling += shape.Need.CPU
	}
	w.tasks[t.key()] = t
	t.charged = true
}

// release gives the room of an attempt back.
func (t *task) release() {
	if !t.charged {
		return
	}
	shape := t.phase.shape
	t.charged = false
	t.worker.used = t.worker.used.Minus(shape.Charge())
	if shape.Fills {
		t.worker.filling -= shape.Need.CPU
	}
	delete(t.worker.tasks, t.key())
}

// endTask notes the end of an attempt; it counts once it is committed.
func (p *Planner) endTask(t *task, end ledger.End, saved, cause string) {
	if t.stage == ending {
		return
	}
	t.release()
	p.grow(t.worker)
	t.stage = ending
	p.endings = append(p.endings, ledger.Ending{Task: t.name, Attempt: t.number, End: end, Saved: saved})
	if end == ledger.EndDone {
		return // the line of the step follows
	}
	p.note(Note{
		Event: "task ended", Job: t.name.Job, Task: t.name.String(), Attempt: t.number,
		Worker: t.worker.ID, Cause: end.String() + ": " + cause, Age: p.now - t.sentAt,
	})
}

// stopTask orders an attempt to stop. Its room stays charged until the worker lists the end.
func (p *Planner) stopTask(t *task, reason string) {
	if t.stage == ending || t.stop != "" {
		return
	}
	t.stop = reason
	p.note(Note{
		Event: "task stopped", Job: t.name.Job, Task: t.name.String(), Attempt: t.number,
		Worker: t.worker.ID, Cause: reason, Age: p.now - t.sentAt,
	})
	if t.stage == assigning {
		return // the order follows the commit, or the assignment is given up then
	}
	p.sendStop(t)
}

func (p *Planner) sendStop(t *task) {
	t.stopAt = p.now
	p.out = append(p.out, Stop{Worker: t.worker.Worker, Task: t.name, Attempt: t.number, Reason: t.stop})
}

func (p *Planner) sendStart(t *task) {
	w := t.worker
	expires := w.clockAt(p.now) + orderLife
	t.sureAt = max(t.sureAt, expires)
	w.leaseEnd = max(w.leaseEnd, expires)
	t.stage = starting
	t.sent++
	t.sentAt = p.now
	p.out = append(p.out, Start{
		Worker: w.Worker, Task: t.name, Attempt: t.number, Spec: t.phase.job.Work.Spec,
		Expires: expires, Saved: t.phase.saved(t.name.Index), Ticket: t.ticket,
	})
}

// assigned sends the start orders of committed assignments.
func (p *Planner) assigned(c ledger.Assign) {
	if c.Term != p.cfg.Term {
		return
	}
	for _, i := range c.Items {
		j := p.jobs[i.Task.Job]
		if j == nil {
			continue
		}
		t := j.phase(i.Task).tasks[i.Task.Index]
		if t == nil || t.number != i.Attempt || t.stage != assigning {
			continue
		}
		w := t.worker
		if _, slot := t.phase.job.Slot(t.name); slot == nil || !slot.Placed || slot.Attempt != t.number || slot.Worker != w.ID {
			// The job ended before the assignment was committed, so nothing was recorded.
			t.release()
			p.grow(w)
			t.stage = ending
			t.phase.forgetTask(t)
			continue
		}
		if t.stop != "" || w.lost {
			p.endTask(t, ledger.EndLost, "", "not started: "+cmp.Or(t.stop, "worker is gone"))
			continue
		}
		p.sendStart(t)
	}
}

// answered takes the answer to an order in.
func (p *Planner) answered(e Answered) {
	w := p.findWorker(e.Worker)
	if w == nil || e.Stop {
		return
	}
	t := w.tasks[attempt{e.Task, e.Attempt}]
	if t == nil || t.stage != starting {
		return
	}
	switch e.Verdict {
	case VerdictDone:
		t.stage, t.doubt, t.sureAt = running, false, e.Clock
		t.begunAt, t.movedAt = p.now, p.now
		t.phase.job.begun = true
		if t.stop != "" {
			p.sendStop(t)
		}
	case VerdictUnknown:
		t.doubt = true
		if t.sent <= repeats && t.stop == "" {
			p.sendStart(t)
		}
	case VerdictFence:
		// Another leader has taken over; it settles the attempt.
	case VerdictOld:
		// An earlier order was carried out and the run is over, maybe done: the next report tells.
		t.stage, t.doubt, t.sureAt = running, false, e.Clock
	default:
		p.refusedStart(t, e.Verdict)
	}
}

// refusedStart gives an attempt up that the worker rejected, unless an earlier order for it may
// still be carried out.
func (p *Planner) refusedStart(t *task, v Verdict) {
	switch v {
	case VerdictTicket:
		t.phase.dropTicket(t.worker.ID)
	case VerdictBusy, VerdictInvalid, VerdictRoom:
		p.blame(t, "rejected a start")
	}
	if t.doubt {
		return
	}
	p.endTask(t, ledger.EndLost, "", v.String())
	p.breakGang(t, "a member was rejected")
}

// String returns the word for the verdict in logs.
func (v Verdict) String() string {
	switch v {
	case VerdictDone:
		return "done"
	case VerdictUnknown:
		return "no answer"
	case VerdictFence:
		return "fenced by another leader"
	case VerdictOld:
		return "attempt is over"
	case VerdictLate:
		return "order expired on its way"
	case VerdictRoom:
		return "no room"
	case VerdictTicket:
		return "ticket not valid"
	case VerdictBusy:
		return "worker is not healthy"
	case VerdictInvalid:
		return "order not understood"
	}
	return "unknown"
}

// breakGang stops the other members of a gang's attempt, so that they don't wait in vain.
func (p *Planner) breakGang(t *task, reason string) {
	if !t.phase.shape.Gang {
		return
	}
	for _, o := range t.phase.live() {
		if o != t && o.number == t.number {
			p.stopTask(o, reason)
		}
	}
}

// settled takes committed ends in: workers may forget them, and tasks wait again or are done.
func (p *Planner) settled(c ledger.Settle) {
	for _, e := range c.Items {
		j := p.jobs[e.Task.Job]
		if j == nil {
			continue
		}
		ph := j.phase(e.Task)
		t := ph.tasks[e.Task.Index]
		if t != nil && t.number == e.Attempt {
			ph.forgetTask(t)
			p.enqueue(ph)
		}
		ph.stale = true
		if j.Over() {
			p.closeJob(j, "job is over")
		} else if ph.record().Left == 0 {
			p.finishPhase(ph)
		}
	}
	p.commitSeen(c)
}

// tickTasks repeats orders to stop.
func (p *Planner) tickTasks() {
	for _, w := range p.sortedWorkers() {
		for _, t := range w.pick(func(t *task) bool {
			return t.stop != "" && (t.stage == running || t.stage == starting) && p.now-t.stopAt >= stopEvery
		}) {
			p.sendStop(t)
		}
	}
}
