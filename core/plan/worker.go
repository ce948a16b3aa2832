package plan

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// attempt names an attempt of a task.
type attempt struct {
	task   flow.Task
	number int
}

// worker is what the leader knows of one life of a worker.
type worker struct {
	flow.Worker
	// used is charged by tasks; held is kept for phases that collect room or wait for tickets.
	used, held model.Size
	// filling is the processor that filling tasks ask for, which isn't charged.
	filling model.Millicores
	tasks   map[attempt]*task

	// known says that a report came in this term. clock was the worker's clock at seenAt.
	known  bool
	clock  clock.Millis
	seenAt clock.Millis
	// away is the shortest time of a call that a worker answered at once, or 0.
	away clock.Millis
	// leaseEnd is the highest expiry that was ever sent, on the worker's clock. While the worker is
	// not known, quiet is when leases of an earlier leader have surely ended, on the own clock.
	leaseEnd clock.Millis
	quiet    clock.Millis
	// seen is the highest end that was taken in, committed the highest that is committed.
	seen, committed int64
	refused         int
	// silent says that the last hold had no answer.
	silent  bool
	since   clock.Millis // of the life, on the leader's clock
	holdDue clock.Millis
	health  health
	// grew is the pass from which on it may have more room; wasOpen is its state in the last pass.
	grew    uint64
	wasOpen bool
	strays  map[attempt]clock.Millis
	lost    bool
}

func (w *worker) life() Life { return Life{ID: w.ID, Born: w.Born} }

// free returns the room that is neither charged nor held.
func (w *worker) free() model.Size { return w.Capacity.Minus(w.used).Minus(w.held) }

// isOpen reports whether the worker may get new tasks.
func (w *worker) isOpen(now clock.Millis) bool {
	return w.known && !w.Leaving && !w.lost && now-w.seenAt <= contactFor && w.refused == 0
}

// clockAt estimates the worker's clock at an instant after the last report.
func (w *worker) clockAt(now clock.Millis) clock.Millis { return w.clock + now - w.seenAt }

// hasLapsed reports whether the lease of all that the worker runs has surely ended.
func (w *worker) hasLapsed(now clock.Millis) bool {
	if !w.known {
		return now >= w.quiet
	}
	passed := (now - w.seenAt) * (100 - driftPercent) / 100
	return w.clock+passed > w.leaseEnd
}

// workerJoins is the event of a life of a worker that the plan didn't know.
const workerJoins = "worker joins"

func (p *Planner) addWorker(now clock.Millis, fw flow.Worker) {
	old := p.workers[fw.ID]
	if old != nil && old.Born == fw.Born {
		wasLeaving := old.Leaving
		old.Worker = fw
		if fw.Leaving && !wasLeaving {
			p.note(Note{Event: "worker leaves", Worker: fw.ID})
		}
		return
	}
	if old != nil {
		p.loseWorker(old, "worker started again")
	}
	w := &worker{
		Worker: fw, tasks: map[attempt]*task{}, since: now, strays: map[attempt]clock.Millis{},
		// The lease of an earlier leader ends by then; a further second covers its last orders.
		quiet: now + p.cfg.Lease*(100+2*driftPercent)/100 + clock.Second,
	}
	p.workers[fw.ID] = w
	p.order, p.grown = nil, nil
	p.out = append(p.out, Watch{Worker: w.life()})
	p.note(Note{Event: workerJoins, Worker: fw.ID, Cause: fw.Capacity.String()})
}

// loseWorker ends all that a life of a worker ran; it surely runs no more.
func (p *Planner) loseWorker(w *worker, cause string) {
	if w.lost {
		return
	}
	w.lost, w.wasOpen = true, false
	for _, t := range w.pick(anyTask) {
		p.endTask(t, ledger.EndLost, "", cause)
	}
	p.note(Note{Event: "worker lost", Worker: w.ID, Cause: cause})
}

func (p *Planner) dropWorker(id model.WorkerID, born clock.Millis) {
	w := p.workers[id]
	if w == nil || w.Born != born {
		return
	}
	p.loseWorker(w, "worker was dismissed")
	delete(p.workers, id)
	p.order, p.grown = nil, nil
}

func (p *Planner) findWorker(l Life) *worker {
	w := p.workers[l.ID]
	if w == nil || w.Born != l.Born || w.lost {
		return nil
	}
	return w
}

// unreached takes a failed hold in.
func (p *Planner) unreached(now clock.Millis, e Unreached) {
	w := p.findWorker(e.Worker)
	if w == nil {
		return
	}
	w.holdDue = now + retryGap
	switch e.Cause {
	case FailureOther:
		p.loseWorker(w, "another life answers at its address")
		p.propose(ledger.Dismiss{ID: w.ID, Born: w.Born})
	case FailureRefused:
		if w.refused++; w.refused >= refusals {
			p.loseWorker(w, "nothing listens at its address")
			p.propose(ledger.Dismiss{ID: w.ID, Born: w.Born})
		}
	case FailureSilent:
		w.refused, w.silent = 0, true
	}
}

// tickWorkers gives up workers whose leases have ended without contact.
func (p *Planner) tickWorkers(now clock.Millis) {
	for _, w := range p.sortedWorkers() {
		if w.lost || now-w.seenAt <= contactFor {
			continue
		}
		if len(w.tasks) > 0 && w.hasLapsed(now) {
			for _, t := range w.pick(anyTask) {
				p.endTask(t, ledger.EndLost, "", "lease ended without contact")
			}
		}
		if len(w.tasks) == 0 && now-max(w.seenAt, w.since) > dismissAfter {
			p.loseWorker(w, "no contact")
			p.propose(ledger.Dismiss{ID: w.ID, Born: w.Born})
		}
	}
}

// NextHold returns the hold to send to a worker now; otherwise wait says when to ask again. It
// reports false once this life of the worker is over.
func (p *Planner) NextHold(now clock.Millis, l Life) (h Hold, wait clock.Millis, ok bool) {
	w := p.findWorker(l)
	if w == nil {
		return Hold{}, 0, false
	}
	if now < w.holdDue {
		return Hold{}, w.holdDue - now, true
	}
	h = Hold{Worker: w.Worker, Seen: w.committed}
	if !w.known || w.silent {
		// A worker that doesn't answer is asked without a new lease: it may get the call all the same,
		// and with ever new leases its tasks would never be surely over.
		return h, 0, true
	}
	h.Wait = holdWait
	// An idle worker gets a lease too: a task that starts between two holds then has it at once.
	h.Expires = w.clockAt(now) + min(p.cfg.Lease, p.cfg.MaxLease)
	w.leaseEnd = max(w.leaseEnd, h.Expires)
	return h, 0, true
}
