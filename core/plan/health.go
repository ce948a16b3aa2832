package plan

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// A worker is suspended when tasks of several jobs fail on it in a row. A worker that fails every task
// looks idle and would attract all work, while a job that fails everywhere says nothing about its
// workers. So failures of one job count once, and against maxBlamedWorkers workers until a task of the job succeeds:
// a few jobs that fail everywhere can't have most workers suspended.
const (
	suspendAfterJobs = 2
	maxBlamedWorkers = 3
	minSuspension    = 3 * clock.Second
	maxSuspension    = 30 * clock.Second
	lastingTrial     = 3 * clock.Second
)

// A task without progress is stopped and counts as a failure of its worker. Workers report progress
// in percent at least every maxHoldWait, so a task that works shows progress well within the
// estimate divided by stallEstimateDivisor.
const (
	// minStallTimeout covers the time that a task needs to resume from a checkpoint.
	minStallTimeout      = 1500 * clock.Millisecond
	stallEstimateDivisor = 20
	// minGangStallTimeout is longer: a gang makes no progress until its last member has started.
	minGangStallTimeout = 3 * clock.Second
)

// checkStall stops a task whose progress has not changed for too long. Tasks at 100 percent are exempt:
// a gang member that has done its part stays there until the slowest one has.
func (p *Planner) checkStall(t *task) {
	spec := t.step.spec
	limit := max(minStallTimeout, t.step.expectedRunTime()/stallEstimateDivisor)
	if spec.Gang {
		limit = max(limit, minGangStallTimeout)
	}
	if spec.LongRunning || spec.BestEffort || t.stopReason != "" || t.stage != stageRunning || t.percent >= 100 || p.now-t.progressedAt < limit {
		return
	}
	if !spec.Gang || t.percent > 0 {
		p.recordTaskFailure(t, "no progress") // at 0 percent the cause may be a missing member on another worker
	}
	p.stopTask(t, "no progress")
	p.stopGangMembers(t, "a member makes no progress")
}

// health is the state of a worker's suspension, derived from the recent ends of its tasks.
type health struct {
	// failedJobs holds the jobs whose tasks failed since the last success or suspension, and whether that counts against
	// the worker.
	failedJobs map[model.JobID]bool
	// blamingJobs is how many of them count.
	blamingJobs    int
	suspendedUntil clock.Millis
	lastSuspension clock.Millis // length of the last one; 0 after a success
}

// recordOutcome updates the health of a worker with the end of an attempt that it reported.
func (p *Planner) recordOutcome(t *task, end ledger.End) {
	switch end {
	case ledger.EndDone:
		t.recordSuccess()
	case ledger.EndFailed:
		p.recordTaskFailure(t, "task failed")
		p.stopGangMembers(t, "a member failed")
	}
}

// recordSuccess clears the failures of a task's worker and job.
func (t *task) recordSuccess() {
	t.worker.health = health{}
	t.step.job.blamedWorkers = nil
}

// recordTaskFailure records the failure of a task on its worker. It counts against the worker unless the job has failed on
// too many others since its last success.
func (p *Planner) recordTaskFailure(t *task, cause string) {
	if t.step.job.blame(t.worker) {
		p.recordFailure(t, cause)
		return
	}
	t.worker.health.addFailedJob(t.name.Job, false)
}

func (h *health) addFailedJob(id model.JobID, counts bool) {
	if h.failedJobs == nil {
		h.failedJobs = map[model.JobID]bool{}
	}
	if counts && !h.failedJobs[id] {
		h.blamingJobs++
	}
	h.failedJobs[id] = h.failedJobs[id] || counts
}

// blame reports whether a failure of the job counts against a worker.
func (j *job) blame(w *worker) bool {
	if j.blamedWorkers[w.ID] {
		return true
	}
	if len(j.blamedWorkers) >= maxBlamedWorkers {
		return false
	}
	if j.blamedWorkers == nil {
		j.blamedWorkers = map[model.WorkerID]bool{}
	}
	j.blamedWorkers[w.ID] = true
	return true
}

// recordFailure counts a failure against a worker, and suspends it when suspendAfterJobs jobs have
// failed in a row. A worker that fails its first task after a suspension is suspended again for
// twice as long.
func (p *Planner) recordFailure(t *task, cause string) {
	h := &t.worker.health
	h.addFailedJob(t.name.Job, true)
	if p.now < h.suspendedUntil || (h.blamingJobs < suspendAfterJobs && h.lastSuspension == 0) {
		return
	}
	h.lastSuspension = min(max(2*h.lastSuspension, minSuspension), maxSuspension)
	h.suspendedUntil = p.now + h.lastSuspension
	h.failedJobs, h.blamingJobs = nil, 0
	p.logEvent(LogEvent{Event: "worker suspended", Worker: t.worker.Incarnation(), Task: t.name.String(), Job: t.name.Job, Cause: cause, Age: h.lastSuspension})
}

// isSuspended reports whether a worker gets no tasks because of earlier failures. After a suspension
// it gets one task at a time until one succeeds. Tasks from before the suspension are no trial: they say nothing of
// whether the worker is sound again, and may last.
func (w *worker) isSuspended(now clock.Millis) bool {
	h := w.health
	if now < h.suspendedUntil {
		return true
	}
	if h.lastSuspension == 0 {
		return false
	}
	for _, t := range w.tasks {
		if t.isTrial() {
			return true
		}
	}
	return false
}

// isTrial reports whether the attempt was started on its worker after the worker's last suspension.
func (t *task) isTrial() bool { return t.startSentAt >= t.worker.health.suspendedUntil }

// checkTrial counts a long-running task, which never ends in success, as one once it has run for lastingTrial.
func (p *Planner) checkTrial(t *task) {
	if !t.step.spec.LongRunning || t.stage != stageRunning || t.startedAt == 0 || t.stopReason != "" || p.now-t.startedAt < lastingTrial {
		return
	}
	t.step.job.blamedWorkers = nil
	if t.worker.health.lastSuspension > 0 && t.isTrial() {
		t.worker.health = health{}
	}
}
