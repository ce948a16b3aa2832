package plan_test

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
)

const (
	// callTimeout is how long a call lasts without an answer, beyond the time for which a hold may wait.
	callTimeout = 600 * clock.Millisecond
	// maxCallDelay is how long after it was sent a call without an answer may be carried out.
	maxCallDelay = 12 * clock.Second
	// announceInterval is the time between two announcements of a process.
	announceInterval = 500 * clock.Millisecond
)

// reach returns the process that a call for a worker reaches now, or why it reaches none.
func (sim *simulation) reach(w flow.Worker) (*fakeWorker, plan.Failure) {
	f := sim.listeners[w.Address]
	switch {
	case f == nil, !f.alive && !f.vanishes, f.partitioned && f.refuses:
		return nil, plan.FailureRefused
	case !f.alive, f.partitioned:
		return nil, plan.FailureNoAnswer
	case f.ID != w.ID:
		return nil, plan.FailureOtherIncarnation
	case f.StartedAt == w.StartedAt, !sim.checksProcess:
		return f, 0
	case f.StartedAt > w.StartedAt:
		return nil, plan.FailureRestarted
	}
	return nil, plan.FailureNoAnswer
}

func (sim *simulation) isReachable(f *fakeWorker) bool { return f != nil && f.alive && !f.partitioned }

// failedOrder returns what the sender of an order learns if it reaches no process of the worker.
func (sim *simulation) failedOrder(w flow.Worker, failure plan.Failure) (plan.Verdict, clock.Millis) {
	switch failure {
	case plan.FailureRefused:
		return plan.VerdictUnhealthy, 0
	case plan.FailureOtherIncarnation:
		return plan.VerdictAttemptEnded, sim.clockOf(sim.listeners[w.Address])
	case plan.FailureRestarted:
		return plan.VerdictNotSent, 0
	}
	return plan.VerdictUnknown, 0
}

// carryOutLate has the process that got a call carry it out after newer ones, when nobody waits for the answer any more.
func (sim *simulation) carryOutLate(delay clock.Millis, w flow.Worker, f *fakeWorker, call func(*fakeWorker)) {
	sim.after(delay, func() {
		if !sim.checksProcess {
			f, _ = sim.reach(w)
		}
		if sim.isReachable(f) {
			call(f)
		}
	})
}

// holdUp has a process that is cut off get a call for it after the cut.
func (sim *simulation) holdUp(w flow.Worker, call func(*fakeWorker)) {
	f := sim.listeners[w.Address]
	if f.partitioned && f.refuses {
		return // nothing was sent
	}
	if isOpen := f.alive && f.ID == w.ID && f.StartedAt == w.StartedAt; sim.isRough && (isOpen || !sim.checksProcess) {
		sim.carryOutLate(clock.Millis(sim.rng.Int64N(int64(maxCallDelay))), w, f, call)
	}
}

// lose draws what becomes of a call whose answer is lost: it is carried out late, at once, or never.
func (sim *simulation) lose(w flow.Worker, f *fakeWorker, call func(*fakeWorker)) {
	switch sim.rng.IntN(3) {
	case 0:
		sim.carryOutLate(2*clock.Second+clock.Millis(sim.rng.IntN(10_000)), w, f, call)
	case 1:
		sim.after(transitTime, func() {
			if sim.isReachable(f) {
				call(f)
			}
		})
	}
}

// extraDelay draws how much longer than usual an answer takes.
func (sim *simulation) extraDelay(f *fakeWorker) clock.Millis {
	var delay clock.Millis
	if sim.answerDelay != nil && f != nil {
		delay = sim.answerDelay(f)
	}
	if sim.isRough && sim.rng.IntN(6) == 0 {
		delay += clock.Millis(sim.rng.IntN(500))
	}
	return delay
}

// answerOrder delivers the answer to an order after a delay.
func (sim *simulation) answerOrder(term uint64, delay clock.Millis, answer plan.OrderAnswered) {
	sim.after(delay, func() { sim.step(term, answer) })
}

func startAnswer(d plan.Start, v plan.Verdict, at clock.Millis) plan.OrderAnswered {
	return plan.OrderAnswered{Worker: flow.Incarnation{ID: d.Worker.ID, StartedAt: d.Worker.StartedAt}, Task: d.Task, Attempt: d.Attempt, Verdict: v, Clock: at}
}

func stopAnswer(d plan.Stop, v plan.Verdict, at clock.Millis) plan.OrderAnswered {
	return plan.OrderAnswered{Worker: flow.Incarnation{ID: d.Worker.ID, StartedAt: d.Worker.StartedAt}, Task: d.Task, Attempt: d.Attempt, Stop: true, Verdict: v, Clock: at}
}

// sendStart delivers a start order after one transit, late, or never.
func (sim *simulation) sendStart(term uint64, d plan.Start) {
	start := func(f *fakeWorker) { sim.handleStart(term, d, f) }
	unknown := startAnswer(d, plan.VerdictUnknown, 0)
	switch {
	case sim.carriers != nil:
		sim.carriers.start(term, d)
		return
	case sim.loseStart != nil && sim.loseStart(d):
		sim.answerOrder(term, 1+transitTime, startAnswer(d, plan.VerdictNotSent, 0))
		return
	case sim.swallowStarts > 0:
		sim.swallowStarts--
		sim.answerOrder(term, callTimeout+transitTime, unknown)
		return
	case sim.rng.Float64() < sim.lostAnswerShare:
		if sim.rng.IntN(4) == 3 {
			sim.answerOrder(term, transitTime, startAnswer(d, plan.VerdictNotSent, 0))
			return
		}
		f, _ := sim.reach(d.Worker)
		sim.lose(d.Worker, f, start)
		sim.answerOrder(term, callTimeout+transitTime, unknown)
		return
	}
	sim.after(transitTime, func() {
		f, failure := sim.reach(d.Worker)
		switch {
		case f != nil:
			sim.answerOrder(term, transitTime+sim.extraDelay(f), startAnswer(d, sim.handleStart(term, d, f), sim.clockOf(f)))
		case failure == plan.FailureNoAnswer, failure == plan.FailureRefused && !sim.listeners[d.Worker.Address].alive:
			sim.holdUp(d.Worker, start)
			sim.retryStart(term, d)
		default:
			v, at := sim.failedOrder(d.Worker, failure)
			sim.answerOrder(term, transitTime, startAnswer(d, v, at))
		}
	})
}

// retryStart delivers a start order that got no answer, once more before its call ends, on a connection that is opened
// meanwhile.
func (sim *simulation) retryStart(term uint64, d plan.Start) {
	retryAfter := clock.Millis(sim.rng.Int64N(int64(callTimeout)))
	sim.after(retryAfter, func() {
		f, failure := sim.reach(d.Worker)
		switch {
		case f != nil && f.StartedAt != d.Worker.StartedAt:
			sim.answerOrder(term, transitTime, startAnswer(d, sim.handleStart(term, d, f), sim.clockOf(f)))
		case failure == plan.FailureOtherIncarnation, failure == plan.FailureRestarted && sim.rng.IntN(2) == 0:
			v, at := sim.failedOrder(d.Worker, failure)
			sim.answerOrder(term, transitTime, startAnswer(d, v, at))
		default:
			// An earlier connection may have carried the order.
			sim.answerOrder(term, callTimeout-retryAfter+transitTime, startAnswer(d, plan.VerdictUnknown, 0))
		}
	})
}

// sendStop delivers a stop order after one transit, late, or never.
func (sim *simulation) sendStop(term uint64, d plan.Stop) {
	if sim.carriers != nil {
		sim.carriers.stop(term, d)
		return
	}
	verdict, at := plan.VerdictUnknown, clock.Millis(0)
	sim.after(transitTime, func() { verdict, at = sim.deliverStop(term, d) })
	sim.after(2*transitTime+sim.extraDelay(nil), func() {
		if verdict != plan.VerdictUnknown {
			sim.step(term, stopAnswer(d, verdict, at))
		}
	})
}

// deliverStop has a stop order carried out, and returns what its sender learns.
func (sim *simulation) deliverStop(term uint64, d plan.Stop) (plan.Verdict, clock.Millis) {
	stop := func(f *fakeWorker) { sim.handleStop(term, d, f) }
	f, failure := sim.reach(d.Worker)
	switch {
	case f == nil:
		sim.holdUp(d.Worker, stop)
		return sim.failedOrder(d.Worker, failure)
	case sim.rng.Float64() < sim.lostAnswerShare:
		sim.lose(d.Worker, f, stop)
		return plan.VerdictUnknown, 0
	}
	return sim.handleStop(term, d, f), sim.clockOf(f)
}

// sendHold keeps one hold in progress to a worker, as the leader's runtime does.
func (sim *simulation) sendHold(term uint64, incarnation flow.Incarnation) {
	if term != sim.term {
		return
	}
	if sim.mayNotCall {
		sim.after(20, func() { sim.sendHold(term, incarnation) })
		return
	}
	h, wait, ok := sim.planner.NextHold(sim.now, incarnation)
	if !ok {
		return
	}
	if wait > 0 {
		sim.after(wait, func() { sim.sendHold(term, incarnation) })
		return
	}
	if sim.carriers != nil {
		sim.carriers.hold(term, incarnation, h)
		return
	}
	renew := func(f *fakeWorker) { sim.renewLease(term, h, f) }
	sentAt := sim.now
	switch f, failure := sim.reach(h.Worker); {
	case failure == plan.FailureNoAnswer:
		sim.holdUp(h.Worker, renew)
		sim.failHold(term, incarnation, h.MaxWait+callTimeout, failure)
	case f == nil:
		sim.failHold(term, incarnation, 2*transitTime, failure)
	case sim.rng.Float64() < sim.lostAnswerShare:
		sim.lose(h.Worker, f, renew)
		sim.failHold(term, incarnation, h.MaxWait+callTimeout, plan.FailureNoAnswer)
	default:
		sim.after(f.transit(), func() { sim.answerHold(term, incarnation, h, f, sentAt, sim.now) })
	}
}

// failHold ends a hold without an answer after a time.
func (sim *simulation) failHold(term uint64, incarnation flow.Incarnation, after clock.Millis, cause plan.Failure) {
	sim.after(after, func() {
		sim.step(term, plan.HoldFailed{Worker: incarnation, Cause: cause})
		sim.sendHold(term, incarnation)
	})
}

func (sim *simulation) answerHold(term uint64, incarnation flow.Incarnation, h plan.Hold, f *fakeWorker, sentAt, receivedAt clock.Millis) {
	if !sim.isReachable(f) {
		repeatAfter := h.MaxWait + callTimeout
		if (!f.alive && !f.vanishes) || f.refuses {
			repeatAfter = f.transit() // the end of a process closes its connections
		}
		sim.after(repeatAfter, func() { sim.repeatHold(term, incarnation, h) })
		return
	}
	sim.renewLease(term, h, f)
	if f.StartedAt != h.Worker.StartedAt {
		sim.failHold(term, incarnation, f.transit(), plan.FailureRestarted)
		return
	}
	if len(f.ends) == 0 && sim.now-receivedAt < h.MaxWait {
		sim.after(20, func() { sim.answerHold(term, incarnation, h, f, sentAt, receivedAt) })
		return
	}
	answer := sim.reportOf(f)
	answer.Worker, answer.SentAt = incarnation, sentAt
	late := f.reportDelay()
	answer.Clock += late
	sim.after(late+f.transit()+sim.extraDelay(f), func() {
		if !f.alive && f.losesAnswers {
			sim.failHold(term, incarnation, 0, plan.FailureNoAnswer)
			return
		}
		answer.ReceivedAt = sim.now
		sim.step(term, answer)
		sim.sendHold(term, incarnation)
	})
}

// repeatHold opens a new connection for a hold whose connection has ended with its process.
func (sim *simulation) repeatHold(term uint64, incarnation flow.Incarnation, h plan.Hold) {
	f, failure := sim.reach(h.Worker)
	switch {
	case f != nil && f.StartedAt != h.Worker.StartedAt:
		sim.renewLease(term, h, f)
		failure = plan.FailureRestarted
	case failure != plan.FailureRestarted && failure != plan.FailureOtherIncarnation:
		failure = plan.FailureNoAnswer
	}
	sim.failHold(term, incarnation, 0, failure)
}

// startProcess starts the process of a worker that has not announced itself.
func (sim *simulation) startProcess(address, id string, startedAt clock.Millis, size model.Size, labels ...string) *fakeWorker {
	for sim.startTimes[flow.Incarnation{ID: model.WorkerID(id), StartedAt: startedAt}] {
		startedAt--
	}
	sim.startTimes[flow.Incarnation{ID: model.WorkerID(id), StartedAt: startedAt}] = true
	f := &fakeWorker{
		Worker:  flow.Worker{ID: model.WorkerID(id), StartedAt: startedAt, Pool: "pool", Address: address, Capacity: size, Labels: labels, Seq: 1},
		upSince: sim.now, alive: true, isNear: sim.addNearWorkers, attempts: map[string]*fakeAttempt{}, highestAttempt: map[flow.Task]int{}, lapsesAtSuccess: map[int64]int{}, listedDone: map[flow.Task]bool{},
	}
	// Clocks of processes have nothing to do with each other: any one may be far ahead of the others.
	x := clock.Millis(sim.rng.Int64N(30_000_000))
	f.firstClock, f.slowPercent = 1+x/3, 2
	if sim.isRough {
		f.slowPercent = x % 3
	}
	sim.workers[f.ID], sim.listeners[address] = f, f
	return f
}

// announce registers a process. In a rough network it does so once it reaches the leader, until its start is known.
func (sim *simulation) announce(f *fakeWorker) {
	if !sim.isRough {
		sim.apply(ledger.RegisterWorker{Worker: f.Worker})
		return
	}
	if !f.alive {
		return
	}
	if known, ok := sim.state.Workers()[f.ID]; !f.partitioned && (!ok || known.StartedAt != f.StartedAt) {
		sim.apply(ledger.RegisterWorker{Worker: f.Worker})
	}
	sim.after(announceInterval, func() { sim.announce(f) })
}

// stopProcess ends the process of a worker. In a rough network, its last announcement may arrive later.
func (sim *simulation) stopProcess(f *fakeWorker) {
	f.alive = false
	for _, r := range f.attempts {
		sim.crashesUnder[r.task]++
	}
	if sim.isRough && sim.rng.IntN(4) == 0 {
		sim.after(clock.Millis(sim.rng.IntN(6000)), func() { sim.apply(ledger.RegisterWorker{Worker: f.Worker}) })
	}
}

// crash stops a worker and later adds another one at its address.
func (sim *simulation) crash(f *fakeWorker, restartDelay clock.Millis) {
	sim.stopProcess(f)
	sim.after(restartDelay, func() {
		sim.addWorkerAt(f.Address, string(f.ID)+"'", f.Capacity, f.Labels...)
	})
}

// restart stops a worker's process and later starts another one under its identifier.
func (sim *simulation) restart(f *fakeWorker, delay clock.Millis) {
	sim.stopProcess(f)
	f.vanishes = true
	sim.after(delay, func() { sim.addWorkerAt(f.Address, string(f.ID), f.Capacity, f.Labels...) })
}

// cut cuts off a process for a time.
func (sim *simulation) cut(f *fakeWorker, length clock.Millis) {
	f.partitioned = true
	sim.after(length, func() { f.partitioned = false })
}

// restartAndCut has a worker start again, at times with a wall clock that has stepped back, and cuts its next process off
// for longer than a lease between its start and 2 s after that; the same happens to that process the given number of times.
func (sim *simulation) restartAndCut(f *fakeWorker, times int) {
	if !f.alive || times == 0 {
		return
	}
	sim.stopProcess(f)
	f.vanishes = true
	sim.after(50+clock.Millis(sim.rng.IntN(1000)), func() {
		startedAt := sim.now
		if sim.rng.IntN(4) == 0 {
			startedAt = f.StartedAt - 1 - clock.Millis(sim.rng.IntN(5000))
		}
		next := sim.startProcess(f.Address, string(f.ID), startedAt, f.Capacity, f.Labels...)
		cutAfter, length := clock.Millis(sim.rng.IntN(2500)-500), lease+clock.Millis(sim.rng.IntN(8000))
		next.refuses = sim.rng.IntN(4) == 0
		if cutAfter <= 0 {
			sim.cut(next, length)
		}
		sim.after(max(cutAfter, 0), func() { sim.cut(next, length) })
		sim.after(clock.Millis(sim.rng.IntN(500)), func() { sim.announce(next) })
		sim.after(max(cutAfter, 0)+clock.Millis(sim.rng.Int64N(int64(2*length))), func() { sim.restartAndCut(next, times-1) })
	})
}

// replaceTwice has two workers follow one another at the address of a worker in quick succession.
func (sim *simulation) replaceTwice(f *fakeWorker) {
	first := clock.Millis(50 + sim.rng.IntN(300))
	sim.crash(f, first)
	sim.after(first+clock.Millis(20+sim.rng.IntN(200)), func() {
		if next := sim.listeners[f.Address]; next.alive {
			sim.crash(next, clock.Millis(20+sim.rng.IntN(100)))
		}
	})
}
