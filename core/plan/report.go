package plan

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/ledger"
)

// truncatedEndsLimit is the number of ends in a report from which on the report may be truncated, so
// that a missing attempt proves nothing.
const truncatedEndsLimit = 500

// handleHoldAnswered handles a worker's answer to a hold.
//
// An attempt that reports list neither as running nor as finished doesn't run and never will; see isProvenAbsent.
func (p *Planner) handleHoldAnswered(now clock.Millis, e HoldAnswered) {
	w := p.findWorker(e.Worker)
	if w == nil {
		return
	}
	w.refusedConns, w.unresponsive, w.awaitsReport, w.failingSince = 0, false, false, 0
	w.nextHoldAt = now + minHoldInterval
	if !w.hasReported {
		w.hasReported = true
		p.passNeeded = true
		// A lease of an earlier leader may last as long as one that this leader would grant now.
		w.leaseEnd = max(w.leaseEnd, e.Clock+p.cfg.Lease*(100+maxDriftPercent)/100)
		p.logEvent(LogEvent{Event: "worker answers", Worker: w.Incarnation(), Age: e.ReceivedAt - e.SentAt})
	}
	p.noteAnswerAtAddress(w, e.SentAt)
	w.reportedClock, w.reportedAt = e.Clock, e.ReceivedAt
	w.answeredHoldSentAt = max(w.answeredHoldSentAt, e.SentAt)
	if elapsed := max(e.ReceivedAt-e.SentAt, 1); w.minRoundTrip == 0 || elapsed < w.minRoundTrip {
		w.minRoundTrip = elapsed
	}
	listed := map[attemptKey]bool{}
	for _, f := range e.Finished {
		listed[attemptKey{f.Task, f.Attempt}] = true
		p.handleEndedAttempt(w, f, e.Clock)
	}
	for _, r := range e.Running {
		if r.Attempt == 0 {
			for _, t := range w.selectTasks(func(t *task) bool { return t.name == r.Task }) {
				listed[t.key()] = true
			}
			continue
		}
		key := attemptKey{r.Task, r.Attempt}
		listed[key] = true
		p.handleRunningAttempt(w, key, r, e.Clock)
	}
	if len(e.Finished) < truncatedEndsLimit {
		for _, t := range w.selectTasks(func(t *task) bool {
			return p.isProvenAbsent(t, e, listed[t.key()])
		}) {
			end, cause := ledger.EndLost, "not listed by its worker"
			if t.endIfAbsent != 0 {
				end, cause = t.endIfAbsent, evidenceRules[evidenceLaterStart].cause
			}
			p.endTask(t, end, "", cause)
			p.stopGangMembers(t, "a member never started")
		}
	}
	p.noteReportedEnds(w, e.Finished)
}

// isProvenAbsent reports whether an attempt that a report may list has ended, or will never start. It has to be missing in
// two reports whose clock is past absenceProvenAfter: the start order has expired, or it was answered before. Orders of
// earlier leaders are rejected since the first hold arrived, because it carries a higher fencing token. The second hold has
// to be sent after the first report arrived, because a worker may read its clock some time after its list.
func (p *Planner) isProvenAbsent(t *task, e HoldAnswered, listed bool) bool {
	switch {
	case listed || t.stage == stageAssigning:
		t.missingSince = 0
		return false
	case t.absenceProvenAfter == neverProven && t.hasLapsed(p.now):
		return true
	case e.Clock <= t.absenceProvenAfter:
		return false
	case t.endIfAbsent != 0 && t.stopReason == "":
		return true // its start order can't have reached this process
	case t.missingSince == 0:
		t.missingSince = e.ReceivedAt
		return false
	}
	return e.SentAt >= t.missingSince
}

func (p *Planner) handleEndedAttempt(w *worker, f EndedAttempt, workerClock clock.Millis) {
	t := w.tasks[attemptKey{f.Task, f.Attempt}]
	if t == nil || f.EndNumber <= w.lastReportedEnd {
		return
	}
	t.step.job.started = true
	took := t.runTime(p.now, workerClock)
	p.recordOutcome(t, f.End)
	if f.End == ledger.EndDone {
		p.notePace(t)
	}
	t.endNumber = f.EndNumber
	p.endTask(t, f.End, f.Checkpoint, "listed by its worker")
	if f.End == ledger.EndDone {
		p.recordRunTime(t, took)
	}
}

// handleRunningAttempt updates the progress of a running attempt, and stops one that is unknown or settled.
func (p *Planner) handleRunningAttempt(w *worker, key attemptKey, r RunningAttempt, workerClock clock.Millis) {
	t := w.tasks[key]
	if t == nil {
		if p.now-w.strayStopSentAt[key] >= stopResendInterval {
			w.strayStopSentAt[key] = p.now
			p.logEvent(LogEvent{
				Event: "unknown attempt stopped", Job: r.Task.Job, Task: r.Task.String(), Attempt: r.Attempt,
				Worker: w.Incarnation(), Known: w.knownState(p.now), Cause: "listed by its worker",
			})
			p.decisions = append(p.decisions, Stop{Worker: w.Worker, Task: r.Task, Attempt: r.Attempt, Reason: "attempt is over"})
		}
		return
	}
	t.step.job.started = true
	if t.endIfAbsent != 0 && t.stopReason == "" {
		p.stopInNextProcess(t)
	}
	if t.stage == stageStarting {
		t.stage, t.mayStillStart = stageRunning, false
		t.startedAt, t.progressedAt = p.now, p.now
	}
	t.noteSurvival(workerClock)
	p.checkTrial(t)
	if r.Percent != t.percent {
		t.percent, t.progressedAt = r.Percent, p.now
		return
	}
	p.checkStall(t)
}

// noteReportedEnds records the highest end that a worker has reported. It is acknowledged once it is
// committed; see queueAcks.
func (p *Planner) noteReportedEnds(w *worker, list []EndedAttempt) {
	highest := w.lastReportedEnd
	for _, f := range list {
		highest = max(highest, f.EndNumber)
	}
	if highest == w.lastReportedEnd {
		return
	}
	w.lastReportedEnd = highest
	p.workersWithEnds = append(p.workersWithEnds, w)
}

// ackBatch holds, by worker, the highest end that the worker may discard once a settlement is committed.
type ackBatch map[*worker]int64

// queueAcks attaches the newly reported ends to the settlement that was just proposed, or else to
// the last one in progress, so that no end is acknowledged before it is committed.
func (p *Planner) queueAcks(proposed bool) {
	if proposed {
		p.pendingAcks[p.lastSettlement] = ackBatch{}
	}
	batch := p.pendingAcks[p.lastSettlement]
	for _, w := range p.workersWithEnds {
		if batch == nil {
			w.lastCommittedEnd = w.lastReportedEnd
			continue
		}
		batch[w] = w.lastReportedEnd
	}
	p.workersWithEnds = nil
}

// commitAcks acknowledges the ends of a committed settlement. Settlements of other terms are
// ignored: a planner whose leader has not noticed the end of its term sees those of its successor,
// and their numbers are unrelated to its own.
func (p *Planner) commitAcks(c ledger.Settle) {
	if c.Term != p.cfg.Term {
		return
	}
	for w, n := range p.pendingAcks[c.Number] {
		w.lastCommittedEnd = max(w.lastCommittedEnd, n)
	}
	delete(p.pendingAcks, c.Number)
}
