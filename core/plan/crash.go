package plan

import (
	"fmt"

	"vanillabridge/core/clock"
	"vanillabridge/core/ledger"
)

// startCrashWindow is how long after its start an attempt may be the cause of a crash of its worker: a task
// that crashes the worker that starts it does so while it is loaded.
const startCrashWindow = 500 * clock.Millisecond

// noteSurvival records that the worker ran the attempt at a time on the worker's clock.
func (t *task) noteSurvival(workerClock clock.Millis) {
	if t.firstSeenClock == 0 {
		t.firstSeenClock = workerClock
	}
	t.survivedFor = max(t.survivedFor, workerClock-t.firstSeenClock)
}

// survivedStart reports whether the worker was up for startCrashWindow after it had confirmed the start.
func (t *task) survivedStart() bool { return t.survivedFor >= startCrashWindow }

// markWorkerCrashed ends all attempts of an incarnation whose process has ended. A worker that was leaving
// has ended as planned.
func (p *Planner) markWorkerCrashed(w *worker, shown evidence) {
	cause := evidenceRules[shown].cause
	if w.Leaving || w.lost {
		p.markWorkerLost(w, cause)
		return
	}
	w.lost, w.wasSchedulable = true, false
	attempts := w.selectTasks(anyTask)
	starting := 0
	for _, t := range attempts {
		end := t.crashEnd()
		if end == ledger.EndStartCrash {
			starting++
		}
		p.endTask(t, end, "", p.describeCrash(t, cause))
	}
	p.logEvent(LogEvent{
		Event: "worker crashed", Worker: w.Incarnation(), Known: w.knownState(p.now), Age: p.sinceFailing(w),
		Cause: fmt.Sprintf("%s; %d attempts, %d of them just started", cause, len(attempts), starting),
	})
	// A leader that knows the worker only as removed could not tell that it has crashed under its tasks.
	p.proposeCollected()
}

// endUnreachableTasks ends the tasks of a worker whose lease has expired. A worker whose address refuses connections
// has probably crashed, but a link that is cut may refuse them too. One that was leaving has ended as planned.
func (p *Planner) endUnreachableTasks(w *worker) {
	for _, t := range w.selectTasks(func(t *task) bool { return t.lapsesAt == 0 || t.hasLapsed(p.now) }) {
		end, cause := ledger.EndLost, evidenceRules[evidenceLease].cause
		if t.endIfAbsent != 0 {
			end = t.endIfAbsent
		}
		if w.refusedConns > 0 {
			cause = "lease ended while connections were refused"
			if !w.Leaving && t.crashEnd() != ledger.EndLost {
				end = ledger.EndWorkerCrash
			}
		}
		p.endTask(t, end, "", cause)
	}
}

// crashEnd returns how an attempt has ended by a crash of its worker. Only a confirmed start is evidence against
// the task: the worker may have crashed before an order without an answer arrived.
func (t *task) crashEnd() ledger.End {
	switch {
	case t.stage == stageAssigning, t.survivedFor >= lateCrashWindow:
		return ledger.EndLost
	case t.firstSeenClock != 0 && (!t.survivedStart() || t.onProbation()):
		return ledger.EndStartCrash
	}
	return ledger.EndWorkerCrash
}

// describeCrash says how long before the crash of its worker an attempt was started.
func (p *Planner) describeCrash(t *task, cause string) string {
	switch {
	case t.stage == stageAssigning:
		return "worker crashed before the start was ordered: " + cause
	case t.survivedStart():
		return cause
	}
	return fmt.Sprintf("within %s of its start order: %s", p.now-p.sinceFailing(t.worker)-t.startSentAt, cause)
}

// sinceFailing returns the time since a worker stopped answering, or 0 if that is unknown.
func (p *Planner) sinceFailing(w *worker) clock.Millis {
	if w.failingSince == 0 {
		return 0
	}
	return p.now - w.failingSince
}
