package plan

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	task    flow.Task
	attempt int
}

// worker is what the leader knows of one incarnation of a worker.
type worker struct {
	flow.Worker
	// used is the capacity charged by tasks. reserved is the capacity set aside for gangs that
	// accumulate capacity and for steps that wait for tickets.
	used, reserved model.Size
	// lasting is the part of used that long-running tasks charge, which have no end.
	lasting model.Size
	// drained is the part of reserved that is kept for gangs which start at drainedUntil at the earliest.
	drained       model.Size
	drainedUntil  clock.Millis
	drainedInPass uint64 // number of the last pass that drained it
	// claimed is what gangs ahead in the pass still expect to become free.
	claimed model.Size
	// unchargedCPU is the processor need of best-effort tasks, which is not part of used.
	unchargedCPU model.Millicores
	tasks        map[attemptKey]*task

	// hasReported is set once a report arrived in this term. reportedClock is the worker's clock in the
	// last report, and reportedAt the leader's clock when it arrived.
	hasReported   bool
	reportedClock clock.Millis
	reportedAt    clock.Millis
	// minRoundTrip is the shortest time that a hold took, or 0. A worker with ends to report answers at
	// once, so this approximates the network round trip.
	minRoundTrip clock.Millis
	// answeredHoldSentAt is when the newest hold was sent that the worker has answered.
	answeredHoldSentAt clock.Millis
	// leaseEnd is the highest expiry of a lease or start order sent to the worker, on the worker's clock, or that an earlier
	// leader may have sent before the first report.
	// Until the first report, priorLeaseEnd is the time on the leader's clock by which all leases of
	// earlier leaders have ended.
	leaseEnd      clock.Millis
	priorLeaseEnd clock.Millis
	// lastReportedEnd is the highest number of an end that was reported, and lastCommittedEnd the
	// highest one that is committed, which the worker may discard.
	lastReportedEnd, lastCommittedEnd int64
	ackedEnd                          int64 // the highest one that a hold has told the worker to discard
	refusedConns                      int
	// unresponsive is set while the last hold got no answer.
	unresponsive bool
	// failingSince is when the first hold since the last report failed, or 0.
	failingSince clock.Millis
	// isolation is set while the worker is kept for suspects.
	isolation *isolation
	// awaitsReport is set when an order could not be sent, until the next report.
	awaitsReport bool
	addedAt      clock.Millis // when the planner learned of this incarnation, on the leader's clock
	nextHoldAt   clock.Millis
	health       health
	pace         float64 // logarithm of how much longer than others it takes, see notePace
	// gainedInPass is the number of the first pass since the worker's free capacity last grew.
	// wasSchedulable is whether the last pass could place tasks on it.
	gainedInPass   uint64
	wasSchedulable bool
	// strayStopSentAt is when the stop of an attempt that the planner doesn't know was last ordered.
	strayStopSentAt map[attemptKey]clock.Millis
	lost            bool
	// leftAt is when the planner learned that the worker ends, if it has left.
	leftAt clock.Millis
}

// knownState describes the process of the worker for the log.
func (w *worker) knownState(now clock.Millis) ProcessState {
	s := ProcessState{LeaseEnd: w.leaseEnd, ListedEnd: w.lastReportedEnd, AckedEnd: w.ackedEnd}
	if w.hasReported {
		s.Clock = w.estimateClock(now)
	}
	return s
}

// freeCapacity returns the capacity that is neither used nor reserved.
func (w *worker) freeCapacity() model.Size { return w.Capacity.Minus(w.used).Minus(w.reserved) }

// isOverCapacity reports whether the tasks of the worker need more than its capacity, because that has shrunk.
func (w *worker) isOverCapacity() bool { return !w.used.FitsIn(w.Capacity) }

// isSchedulable reports whether the worker is reachable and may get new tasks.
func (w *worker) isSchedulable(now clock.Millis) bool {
	return w.hasReported && !w.Leaving && !w.lost && now-w.reportedAt <= contactTimeout && w.refusedConns == 0 && !w.awaitsReport
}

// acceptsTasks reports whether the worker may get new tasks of any step.
func (w *worker) acceptsTasks(now clock.Millis) bool {
	return w.isSchedulable(now) && !w.isSuspended(now) && w.isolation == nil
}

// estimateClock returns the expected reading of the worker's clock at a time after the last report.
func (w *worker) estimateClock(now clock.Millis) clock.Millis {
	return w.reportedClock + now - w.reportedAt
}

// hasLeaseExpired reports whether the lease of the worker's tasks has ended even if its clock runs
// maxDriftPercent slow.
func (w *worker) hasLeaseExpired(now clock.Millis) bool {
	if !w.hasReported {
		return now >= w.priorLeaseEnd
	}
	elapsed := (now - w.reportedAt) * (100 - maxDriftPercent) / 100
	return w.reportedClock+elapsed > w.leaseEnd
}

// eventWorkerJoins is logged for each new incarnation of a worker.
const eventWorkerJoins = "worker joins"

func (p *Planner) addWorker(now clock.Millis, announced flow.Worker) {
	old := p.workers[announced.ID]
	if old != nil && old.Incarnation() == announced.Incarnation() {
		wasLeaving, capacity := old.Leaving, old.Capacity
		if announced.Address != old.Address {
			p.leaveAddress(old)
		}
		old.Worker = announced
		if announced.Capacity != capacity {
			p.logEvent(LogEvent{Event: "worker resized", Worker: old.Incarnation(), Cause: capacity.String() + " to " + announced.Capacity.String()})
			p.noteCapacityGain(old)
		}
		if announced.Leaving && !wasLeaving {
			p.logEvent(LogEvent{Event: "worker leaves", Worker: old.Incarnation()})
		}
		if announced.HasLeft() && old.leftAt == 0 {
			old.leftAt = now
		}
		return
	}
	w := &worker{
		Worker: announced, tasks: map[attemptKey]*task{}, addedAt: now, strayStopSentAt: map[attemptKey]clock.Millis{},
		// Leases of earlier leaders end by then. The extra second covers start orders that they sent last.
		priorLeaseEnd: now + p.cfg.Lease*(100+2*maxDriftPercent)/100 + clock.Second,
	}
	if announced.HasLeft() {
		w.leftAt = now
	}
	if !w.Incarnation().IsKnown() {
		// An earlier version called it unchecked, so that its lease may be that of a call for another process.
		w.priorLeaseEnd = now + maxStartCallTime + p.cfg.MaxLease*(100+2*maxDriftPercent)/100
	}
	p.workers[announced.ID] = w
	p.workersByID, p.workersByCapacityGain = nil, nil
	if old != nil {
		p.leaveAddress(old)
		p.moveToNextProcess(old, w)
	}
	if w.Incarnation().IsKnown() {
		p.decisions = append(p.decisions, WatchWorker{Worker: w.Incarnation()})
	} else {
		p.logEvent(LogEvent{Event: "worker not called", Worker: w.Incarnation(), Cause: "its start is not known"})
	}
	p.logEvent(LogEvent{Event: eventWorkerJoins, Worker: w.Incarnation(), Cause: announced.Capacity.String()})
}

// noteAnswerAtAddress records that a worker has answered a hold at its address. Processes at an address follow one another,
// so those that had answered there before that hold was sent have ended. As answers may overtake each other, the order
// of the others isn't known before a later answer.
func (p *Planner) noteAnswerAtAddress(w *worker, sentAt clock.Millis) {
	list := p.workersByAddress[w.Address]
	if len(list) == 1 && list[0] == w {
		return
	}
	present := []*worker{w}
	for _, other := range list {
		switch {
		case other == w || other.lost:
		case other.reportedAt < sentAt:
			p.removeCrashed(other)
		default:
			present = append(present, other)
		}
	}
	p.workersByAddress[w.Address] = present
}

// leaveAddress forgets that a worker has answered at its address.
func (p *Planner) leaveAddress(w *worker) {
	list := slices.DeleteFunc(p.workersByAddress[w.Address], func(other *worker) bool { return other == w })
	if len(list) == 0 {
		delete(p.workersByAddress, w.Address)
		return
	}
	p.workersByAddress[w.Address] = list
}

// removeCrashed ends and removes a worker at whose address another one has answered.
func (p *Planner) removeCrashed(w *worker) {
	if w.lost {
		return
	}
	p.markWorkerCrashed(w, evidenceOtherWorker)
	p.propose(ledger.RemoveWorker{ID: w.ID, StartedAt: w.StartedAt})
}

// markWorkerLost ends all attempts of an incarnation that provably runs no tasks any more.
func (p *Planner) markWorkerLost(w *worker, cause string) {
	if w.lost {
		return
	}
	w.lost, w.wasSchedulable = true, false
	for _, t := range w.selectTasks(anyTask) {
		p.endTask(t, ledger.EndLost, "", cause)
	}
	p.logEvent(LogEvent{Event: "worker lost", Worker: w.Incarnation(), Known: w.knownState(p.now), Cause: cause})
}

func (p *Planner) removeWorker(incarnation flow.Incarnation) {
	w := p.workers[incarnation.ID]
	if w == nil || w.Incarnation() != incarnation {
		return
	}
	p.markWorkerLost(w, "worker was dismissed")
	delete(p.workers, w.ID)
	p.leaveAddress(w)
	p.workersByID, p.workersByCapacityGain = nil, nil
}

func (p *Planner) findWorker(incarnation flow.Incarnation) *worker {
	w := p.workers[incarnation.ID]
	if w == nil || w.Incarnation() != incarnation || w.lost {
		return nil
	}
	return w
}

// handleHoldFailed handles a hold that failed.
func (p *Planner) handleHoldFailed(now clock.Millis, e HoldFailed) {
	w := p.findWorker(e.Worker)
	if w == nil {
		return
	}
	w.nextHoldAt = now + holdRetryDelay
	if w.failingSince == 0 {
		w.failingSince = now
	}
	switch e.Cause {
	case FailureOtherIncarnation:
		p.removeCrashed(w)
	case FailureRestarted:
		p.noteRestart(w)
	case FailureRefused:
		// A link that is cut may refuse connections too, so the tasks of the worker end with its lease, or when another one
		// is found at its address. One that has left and has no tasks is not waited for.
		w.unresponsive = true
		if w.refusedConns++; w.refusedConns >= maxRefusedConns && w.HasLeft() && len(w.tasks) == 0 {
			p.markWorkerLost(w, "it has left, and nothing listens at its address")
			p.propose(ledger.RemoveWorker{ID: w.ID, StartedAt: w.StartedAt})
		}
	case FailureNoAnswer:
		w.refusedConns, w.unresponsive = 0, true
	}
}

// expireWorkers ends the tasks of unreachable workers once their leases have expired, and removes
// idle workers that stay unreachable for dismissTimeout.
func (p *Planner) expireWorkers(now clock.Millis) {
	for _, w := range p.sortedWorkers() {
		if w.lost || now-w.reportedAt <= contactTimeout {
			continue
		}
		if len(w.tasks) > 0 && w.hasLeaseExpired(now) {
			p.endUnreachableTasks(w)
		}
		if len(w.tasks) == 0 && now-max(w.reportedAt, w.addedAt) > dismissTimeout {
			p.markWorkerLost(w, "no contact")
			p.propose(ledger.RemoveWorker{ID: w.ID, StartedAt: w.StartedAt})
		}
	}
}

// NextHold returns the hold to send to a worker now, or the time to wait before the next call of
// NextHold. It reports false once this incarnation of the worker is gone.
func (p *Planner) NextHold(now clock.Millis, incarnation flow.Incarnation) (h Hold, wait clock.Millis, ok bool) {
	w := p.findWorker(incarnation)
	if w == nil {
		return Hold{}, 0, false
	}
	if now < w.nextHoldAt {
		return Hold{}, w.nextHoldAt - now, true
	}
	if resume := w.leftAt + leaveHoldPause; w.HasLeft() && now < resume {
		return Hold{}, resume - now, true
	}
	h = Hold{Worker: w.Worker, AckedThrough: w.lastCommittedEnd}
	w.ackedEnd = h.AckedThrough
	if !w.hasReported || w.unresponsive {
		// No lease is granted to a worker that doesn't answer: it may receive the call all the same, and
		// if every call renewed the lease, its tasks could never be declared lost.
		return h, 0, true
	}
	h.MaxWait = w.holdWait()
	// An idle worker gets a lease too, which covers tasks that start before the next hold.
	h.Expires = w.estimateClock(now) + min(p.cfg.Lease, p.cfg.MaxLease)
	w.leaseEnd = max(w.leaseEnd, h.Expires)
	return h, 0, true
}
