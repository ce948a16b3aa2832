package plan

import (
	"cmp"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
)

// stage is the progress of an attempt from its placement to its settlement.
type stage uint8

const (
	// stageAssigning means that the assignment is proposed but not yet committed.
	stageAssigning stage = iota + 1
	// stageStarting means that a start order was sent and no answer has confirmed it.
	stageStarting
	stageRunning
	// stageEnding means that the end is known but not yet committed.
	stageEnding
)

// task is an unsettled attempt of a task: its end is not committed.
type task struct {
	name    flow.Task
	attempt int
	step    *step
	worker  *worker
	stage   stage
	charged bool
	counted bool // for its team
	// turnRound is the round in which its team was charged for it, or 0.
	turnRound uint64
	// absenceProvenAfter is the time on the worker's clock after which a report that doesn't list the
	// attempt proves that it doesn't run: the expiry of the last start order, or the time of its answer.
	absenceProvenAfter clock.Millis
	// missingSince is when the first report arrived that should list the attempt and doesn't, or 0.
	missingSince clock.Millis
	// openStarts counts the calls with a start order that have not ended, and startCallEndedAt is when the last one did.
	openStarts       int
	startCallEndedAt clock.Millis
	// endIfAbsent is set if the attempt was moved to the next process of its worker: how it has ended if that process
	// doesn't list it.
	endIfAbsent ledger.End
	// lapsesAt is when the attempt has ended at the latest if a later process of its worker runs it, or 0.
	lapsesAt clock.Millis
	// mayStillStart is set while a start order that got no answer may still be carried out.
	mayStillStart bool
	startsSent    int              // number of start orders sent
	startSentAt   clock.Millis     // when the last start order was sent; before that, when the attempt was placed
	sentTo        flow.Incarnation // the process that the last start order was sent to, or zero
	startedAt     clock.Millis
	endNumber     int64 // number of the end at its worker, if that has listed it
	// firstSeenClock is the worker's clock when it confirmed the start or first reported the attempt, or 0.
	firstSeenClock clock.Millis
	// survivedFor is how long after that the worker still ran the attempt, and probation how long it has to
	// before other tasks start there; probation is 0 unless the task is a suspect on an isolated worker.
	survivedFor, probation clock.Millis
	stopReason             string // empty unless the attempt was ordered to stop
	stopSentAt             clock.Millis
	percent                int
	progressedAt           clock.Millis // when percent last changed
	ticket                 string
	// partial is set if the whole run of the attempt is not seen by this leader, or its task had begun before.
	partial bool
}

func (t *task) key() attemptKey { return attemptKey{t.name, t.attempt} }

// charge adds the need of the attempt to the used capacity of a worker.
func (t *task) charge(w *worker) {
	spec := t.step.spec
	w.used = w.used.Plus(spec.Charge())
	if spec.LongRunning {
		w.lasting = w.lasting.Plus(spec.Charge())
	}
	if spec.BestEffort {
		w.unchargedCPU += spec.Need.CPU
	}
	w.tasks[t.key()] = t
	t.charged = true
	t.countForTeam()
}

// releaseCharge returns the capacity charged by the attempt to its worker.
func (t *task) releaseCharge() {
	if !t.charged {
		return
	}
	spec := t.step.spec
	t.charged = false
	t.uncountForTeam()
	t.worker.used = t.worker.used.Minus(spec.Charge())
	if spec.LongRunning {
		t.worker.lasting = t.worker.lasting.Minus(spec.Charge())
	}
	if spec.BestEffort {
		t.worker.unchargedCPU -= spec.Need.CPU
	}
	delete(t.worker.tasks, t.key())
}

// endTask records the end of an attempt for the next settlement. The end takes effect once the
// settlement is committed.
func (p *Planner) endTask(t *task, end ledger.End, checkpoint, cause string) {
	if t.stage == stageEnding {
		return
	}
	t.releaseCharge()
	p.settleTurn(t)
	p.noteCapacityGain(t.worker)
	t.stage = stageEnding
	p.attemptEnds = append(p.attemptEnds, ledger.AttemptEnd{Task: t.name, Attempt: t.attempt, End: end, Checkpoint: checkpoint})
	if end == ledger.EndDone {
		p.done = append(p.done, DoneTask{Task: t.name, Attempt: t.attempt, Worker: t.worker.Incarnation(), EndNumber: t.endNumber, Age: p.now - t.startSentAt})
		return // logged with the settlement
	}
	event := LogEvent{
		Event: "task ended", Job: t.name.Job, Task: t.name.String(), Attempt: t.attempt, EndNumber: t.endNumber,
		Worker: t.worker.Incarnation(), Known: t.worker.knownState(p.now), Cause: end.String() + ": " + cause, Age: p.now - t.startSentAt,
	}
	if t.sentTo != (flow.Incarnation{}) && t.sentTo != event.Worker {
		event.Worker, event.Found = t.sentTo, t.worker.StartedAt
	}
	p.logEvent(event)
}

// stopTask orders an attempt to stop. Its capacity stays charged until the worker reports the end.
func (p *Planner) stopTask(t *task, reason string) {
	if t.stage == stageEnding || t.stopReason != "" {
		return
	}
	t.stopReason = reason
	p.logEvent(LogEvent{
		Event: "task stopped", Job: t.name.Job, Task: t.name.String(), Attempt: t.attempt,
		Worker: t.worker.Incarnation(), Known: t.worker.knownState(p.now), Cause: reason, Age: p.now - t.startSentAt,
	})
	if t.stage == stageAssigning {
		return // handleAssigned ends the attempt instead of starting it
	}
	p.sendStop(t)
}

func (p *Planner) sendStop(t *task) {
	t.stopSentAt = p.now
	if !t.worker.Incarnation().IsKnown() {
		return // its lease ends the attempt
	}
	p.decisions = append(p.decisions, Stop{Worker: t.worker.Worker, Task: t.name, Attempt: t.attempt, Reason: t.stopReason})
}

func (p *Planner) sendStart(t *task) {
	w := t.worker
	expires := w.estimateClock(p.now) + startOrderTTL
	t.absenceProvenAfter = max(t.absenceProvenAfter, expires)
	w.leaseEnd = max(w.leaseEnd, expires)
	t.stage = stageStarting
	t.startsSent++
	t.openStarts++
	t.partial = t.step.checkpoint(t.name.Index) != ""
	t.startSentAt, t.sentTo = p.now, w.Incarnation()
	p.decisions = append(p.decisions, Start{
		Worker: w.Worker, Task: t.name, Attempt: t.attempt, Spec: t.step.job.Definition.Spec,
		Expires: expires, Checkpoint: t.step.checkpoint(t.name.Index), Ticket: t.ticket,
	})
}

// handleAssigned sends the start orders of committed assignments.
func (p *Planner) handleAssigned(c ledger.Assign) {
	if c.Term != p.cfg.Term {
		return
	}
	for _, placement := range c.Placements {
		j := p.jobs[placement.Task.Job]
		if j == nil {
			continue
		}
		t := j.step(placement.Task).tasks[placement.Task.Index]
		if t == nil || t.attempt != placement.Attempt || t.stage != stageAssigning {
			continue
		}
		w := t.worker
		if _, record := t.step.job.FindTask(t.name); record == nil || !record.Assigned || record.Attempt != t.attempt || record.Incarnation() != w.Incarnation() {
			// The job ended before the assignment was committed, so the state didn't record it.
			t.releaseCharge()
			p.noteCapacityGain(w)
			t.stage = stageEnding
			t.step.removeTask(t)
			continue
		}
		if t.stopReason != "" || w.lost {
			p.endTask(t, ledger.EndLost, "", "not started: "+cmp.Or(t.stopReason, "worker is gone"))
			continue
		}
		if w.isOverCapacity() {
			p.endTask(t, ledger.EndLost, "", "not started: the capacity of its worker has shrunk")
			p.stopGangMembers(t, "a member's worker has shrunk")
			continue
		}
		if t.step.job.team.isOverCap() {
			p.endTask(t, ledger.EndLost, "", "not started: the cap of its team was lowered")
			p.stopGangMembers(t, "a member may not start under the cap of its team")
			continue
		}
		p.sendStart(t)
	}
}

// findAttempt returns an unsettled attempt of a task, or nil.
func (p *Planner) findAttempt(key attemptKey) *task {
	j := p.jobs[key.task.Job]
	if j == nil {
		return nil
	}
	if t := j.step(key.task).tasks[key.task.Index]; t != nil && t.attempt == key.attempt {
		return t
	}
	return nil
}

// handleOrderAnswered handles the answer to an order.
func (p *Planner) handleOrderAnswered(e OrderAnswered) {
	t := p.findAttempt(attemptKey{e.Task, e.Attempt})
	switch {
	case t == nil:
		return
	case e.Stop:
		p.handleStopAnswered(t, e)
		return
	case e.Worker != t.sentTo:
		return
	}
	t.openStarts, t.startCallEndedAt = t.openStarts-1, max(p.now, t.startCallEndedAt)
	if e.Verdict == VerdictUnknown {
		t.startCallEndedAt = max(t.startCallEndedAt, t.startSentAt+maxStartCallTime) // a relay may still make the call
	}
	if t.stage != stageStarting || t.worker.lost || t.worker.Incarnation() != e.Worker {
		return
	}
	switch e.Verdict {
	case VerdictDone:
		t.stage, t.mayStillStart, t.absenceProvenAfter = stageRunning, false, e.Clock
		t.startedAt, t.progressedAt = p.now, p.now
		t.noteSurvival(e.Clock)
		t.step.job.started = true
		if t.stopReason != "" {
			p.sendStop(t)
		}
	case VerdictUnknown:
		t.mayStillStart = true
		if t.startsSent <= maxStartRepeats && t.stopReason == "" && !t.step.job.team.isOverCap() {
			p.sendStart(t)
		}
	case VerdictFenced:
		// Another leader has taken over and will settle the attempt.
	case VerdictAttemptEnded:
		// An earlier order was carried out and the attempt has ended; the next report says how.
		t.stage, t.mayStillStart, t.absenceProvenAfter = stageRunning, false, e.Clock
	default:
		p.handleRejectedStart(t, e.Verdict)
	}
}

// handleRejectedStart ends an attempt whose start the worker rejected, unless an earlier start order
// for it may still be carried out.
func (p *Planner) handleRejectedStart(t *task, v Verdict) {
	switch v {
	case VerdictInvalidTicket:
		t.step.invalidateTicket(t.worker)
	case VerdictUnhealthy, VerdictInvalid, VerdictNoCapacity:
		p.recordFailure(t, "rejected a start")
	case VerdictNotSent:
		// Unless the order was withdrawn, the worker is slow or silent.
		t.worker.awaitsReport = t.worker.awaitsReport || t.stopReason == ""
	}
	if t.mayStillStart {
		return
	}
	p.endTask(t, ledger.EndLost, "", v.String())
	p.stopGangMembers(t, "a member was rejected")
}

// String returns the text of the verdict in logs and metric labels.
func (v Verdict) String() string {
	switch v {
	case VerdictDone:
		return "done"
	case VerdictUnknown:
		return "no answer"
	case VerdictFenced:
		return "fenced by another leader"
	case VerdictAttemptEnded:
		return "attempt is over"
	case VerdictExpired:
		return "order expired on its way"
	case VerdictNoCapacity:
		return "no room"
	case VerdictInvalidTicket:
		return "ticket not valid"
	case VerdictUnhealthy:
		return "worker is not healthy"
	case VerdictInvalid:
		return "order not understood"
	case VerdictNotSent:
		return "not sent"
	}
	return "unknown"
}

// stopGangMembers stops the other members of a gang's attempt after one has ended: without it they
// would only wait until their time-out.
func (p *Planner) stopGangMembers(t *task, reason string) {
	if !t.step.spec.Gang {
		return
	}
	for _, member := range t.step.unsettledTasks() {
		if member != t && member.attempt == t.attempt {
			p.stopTask(member, reason)
		}
	}
}

// handleSettled handles committed ends: tasks that are not done become ready again, finished steps
// and jobs are closed, and workers may discard the ends.
func (p *Planner) handleSettled(c ledger.Settle) {
	for _, e := range c.Ends {
		j := p.jobs[e.Task.Job]
		if j == nil {
			continue
		}
		st := j.step(e.Task)
		t := st.tasks[e.Task.Index]
		if t != nil && t.attempt == e.Attempt {
			st.removeTask(t)
			p.updateSuspect(st, e.Task.Index)
			p.enqueue(st)
		}
		st.waitingStale = true
		if j.Failed && (e.End == ledger.EndStartCrash || e.End == ledger.EndWorkerCrash) {
			p.logEvent(LogEvent{Event: "task given up", Job: e.Task.Job, Task: e.Task.String(), Attempt: e.Attempt, Cause: "workers crash when they start it", Age: p.now - j.acceptedAt})
		}
		if e.End == ledger.EndFailed && !j.HasEnded() {
			j.setLatestStarts(j.occurrences[e.Task.Occurrence])
		}
		if j.HasEnded() {
			p.closeJob(j, "job is over")
		} else if st.record().TasksLeft == 0 {
			p.finishStep(st)
		}
	}
	p.commitAcks(c)
}

// resendStops repeats the stop orders of attempts that have not ended.
func (p *Planner) resendStops() {
	for _, w := range p.sortedWorkers() {
		for _, t := range w.selectTasks(func(t *task) bool {
			return t.stopReason != "" && (t.stage == stageRunning || t.stage == stageStarting) && p.now-t.stopSentAt >= stopResendInterval
		}) {
			p.sendStop(t)
		}
	}
}
