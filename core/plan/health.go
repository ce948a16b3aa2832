package plan

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// Failures of different jobs in a row suspend a worker: one that fails everything looks idle and
// would draw all work, while one job that fails everywhere says nothing about its workers.
const (
	suspendJobs  = 2
	suspendFirst = 3 * clock.Second
	suspendMost  = 30 * clock.Second
)

// Tasks that stand still count as failures of their worker and start again elsewhere. Workers
// report progress in percent, at least every holdWait, so stallPart of a task's estimate must show.
const (
	// stallTime covers the time that a task needs to resume from a checkpoint.
	stallTime = 1500 * clock.Millisecond
	stallPart = 20
	// gangStall is longer: a gang stands still while one of its members is on the way.
	gangStall = 3 * clock.Second
)

// checkStall stops a task whose progress has not changed for too long. A member of a gang that has done
// its own part stays at 100 percent until the slowest one has.
func (p *Planner) checkStall(t *task) {
	shape := t.phase.shape
	limit := max(stallTime, shape.Estimate/stallPart)
	if shape.Gang {
		limit = max(limit, gangStall)
	}
	if shape.Lasting || shape.Fills || t.stop != "" || t.stage != running || t.percent >= 100 || p.now-t.movedAt < limit {
		return
	}
	if !shape.Gang || t.percent > 0 {
		p.blame(t, "no progress") // at 0 percent a gang may wait for a member on another worker
	}
	p.stopTask(t, "no progress")
	p.breakGang(t, "a member makes no progress")
}

// health is what a worker's recent ends say about it.
type health struct {
	// failing holds the jobs that failed since the last success.
	failing map[model.JobID]bool
	until   clock.Millis // suspended until then
	pause   clock.Millis // length of the last suspension
}

// judge learns from the end of an attempt how a worker does.
func (p *Planner) judge(t *task, end ledger.End) {
	switch end {
	case ledger.EndDone:
		t.worker.health = health{}
	case ledger.EndFailed:
		p.blame(t, "task failed")
		p.breakGang(t, "a member failed")
	}
}

// blame counts a failure against a worker, and suspends it when different jobs fail in a row. A
// worker that fails its first job after a suspension is suspended again for twice as long.
func (p *Planner) blame(t *task, cause string) {
	h := &t.worker.health
	if h.failing == nil {
		h.failing = map[model.JobID]bool{}
	}
	h.failing[t.name.Job] = true
	if p.now < h.until || (len(h.failing) < suspendJobs && h.pause == 0) {
		return
	}
	h.pause = min(max(2*h.pause, suspendFirst), suspendMost)
	h.until = p.now + h.pause
	h.failing = nil
	p.note(Note{Event: "worker suspended", Worker: t.worker.ID, Task: t.name.String(), Job: t.name.Job, Cause: cause, Age: h.pause})
}

// isSuspended reports whether a worker gets no tasks because of its failures. After a suspension
// it gets one task at a time until one succeeds.
func (w *worker) isSuspended(now clock.Millis) bool {
	if now < w.health.until {
		return true
	}
	return w.health.pause > 0 && len(w.tasks) > 0
}
