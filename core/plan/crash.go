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
	t.survivedStart = t.survivedStart || workerClock-t.firstSeenClock >= startCrashWindow
}

// markWorkerCrashed ends all attempts of an incarnation whose process has ended. A worker that was leaving
// has ended as planned.
func (p *Planner) markWorkerCrashed(w *worker, cause string) {
	if w.Leaving || w.lost {
		p.markWorkerLost(w, cause)
		return
	}
	w.lost, w.wasSchedulable = true, false
	attempts := w.selectTasks(anyTask)
	justStarted := 0
	for _, t := range attempts {
		if !t.survivedStart {
			justStarted++
		}
		p.endTask(t, ledger.EndLost, "", p.describeCrash(t, cause))
	}
	p.logEvent(LogEvent{
		Event: "worker crashed", Worker: w.ID, Age: p.sinceFailing(w),
		Cause: fmt.Sprintf("%s; %d attempts, %d of them just started", cause, len(attempts), justStarted),
	})
}

// describeCrash says how long before the crash of its worker an attempt was started.
func (p *Planner) describeCrash(t *task, cause string) string {
	switch {
	case t.stage == stageAssigning:
		return "worker crashed before the start was ordered: " + cause
	case t.survivedStart:
		return "worker crashed later than its start: " + cause
	}
	return fmt.Sprintf("worker crashed within %s of its start order: %s", p.now-p.sinceFailing(t.worker)-t.startSentAt, cause)
}

// sinceFailing returns the time since a worker stopped answering, or 0 if that is unknown.
func (p *Planner) sinceFailing(w *worker) clock.Millis {
	if w.failingSince == 0 {
		return 0
	}
	return p.now - w.failingSince
}
