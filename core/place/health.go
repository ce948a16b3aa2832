package place

import (
	"fmt"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// health records the task failures and successes on a worker, and its suspension.
type health struct {
	failedJobs   []model.JobID // distinct jobs with a failure since the last success
	lastSuccess  clock.Millis
	suspended    bool
	probeAllowed bool  // one task may be started as a probe, to find out whether tasks succeed again
	probe        *task // the probe on the worker, or nil
	nextProbe    clock.Millis
	probeBackoff clock.Millis
}

// avoids reports whether the job has failed on the worker within minAvoidTime, or earlier with no
// success on the worker since.
func (j *job) avoids(now clock.Millis, w *worker) bool {
	at, ok := j.failedWorkers[w.id]
	return ok && (now-at < minAvoidTime || w.health.lastSuccess <= at)
}

func (j *job) avoidWorker(w model.WorkerID, at clock.Millis) {
	if j.failedWorkers == nil {
		j.failedWorkers = make(map[model.WorkerID]clock.Millis)
	}
	j.failedWorkers[w] = at
}

// recordFailure counts a task failure against its worker and its job, and requeues the task. If the
// failures reach a limit, the job fails.
func (s *Scheduler) recordFailure(now clock.Millis, w *worker, t *task, probe bool, e Ended) {
	j := t.job
	failedBefore := j.avoids(now, w)
	j.avoidWorker(w.id, now)
	s.recordWorkerFailure(now, w, j, probe)
	if !failedBefore {
		t.failures = min(t.failures+1, 16)
	}
	t.notBefore = now + min(minFailureBackoff<<min(len(j.failedWorkers)-1, 6), maxFailureBackoff)
	s.requeue(now, t, string(e.End)+": "+e.Reason)
	if j.dropped {
		return
	}
	enough := s.countFailuresOnGoodWorkers(j) >= goodWorkerFailureLimit && (j.successes == 0 || t.failures >= goodWorkerFailureLimit)
	if enough || t.failures >= taskFailureLimit || s.hasFailedEverywhere(now, j) {
		s.failJob(now, j, fmt.Sprintf("failed on %d workers, last: %s", len(j.failedWorkers), e.Reason))
	}
}

// recordWorkerFailure counts a failed job against the worker and suspends the worker after
// suspendAfterJobs of them. A failed probe doubles the probe backoff.
func (s *Scheduler) recordWorkerFailure(now clock.Millis, w *worker, j *job, probe bool) {
	h := &w.health
	if h.suspended && !probe {
		return
	}
	if h.suspended {
		h.probeAllowed = false
		h.probeBackoff = min(2*h.probeBackoff, maxProbeBackoff)
		h.nextProbe = now + h.probeBackoff
		s.updateEligibility(w)
		return
	}
	if !slices.Contains(h.failedJobs, j.id) {
		h.failedJobs = append(h.failedJobs, j.id)
	}
	if len(h.failedJobs) < suspendAfterJobs {
		return
	}
	h.suspended, h.probeAllowed, h.probeBackoff, h.nextProbe = true, false, minProbeBackoff, now+minProbeBackoff
	if w.reservation != nil {
		s.releaseReservation(w.reservation)
	}
	s.suspended = append(s.suspended, w)
	s.updateEligibility(w)
	s.emit(Suspended{Worker: w.id, Reason: fmt.Sprintf("%d jobs failed in a row", len(h.failedJobs))})
}

// recordSuccess resets the failure counts of the worker and the task, and resumes a suspended worker.
func (s *Scheduler) recordSuccess(now clock.Millis, w *worker, t *task) {
	h := &w.health
	h.failedJobs, h.lastSuccess = h.failedJobs[:0], now
	t.failures, t.crashes, t.job.crashes = 0, 0, 0
	t.job.successes++
	if !h.suspended {
		return
	}
	h.suspended, h.probeAllowed, h.probe = false, false, nil
	s.updateEligibility(w)
	s.emit(Resumed{Worker: w.id})
}

// isStartingOn reports whether the task may be the cause of a crash of its worker: by the worker's last report it had
// not started, or had run for less than crashWindow.
func (t *task) isStartingOn(w *worker) bool {
	return t.phase == phaseAssigned || w.reportedAt-t.startedAt < crashWindow
}

// isSuspect reports whether the task, or another one of its gang, may have crashed a worker.
func (t *task) isSuspect() bool { return t.crashes > 0 || (t.job.gang && t.job.crashes > 0) }

// recordCrash counts a crash of the task's worker, and delays its next start, so that one task does not take worker
// after worker down.
func (t *task) recordCrash(now clock.Millis) {
	t.notBefore = now + min(minFailureBackoff<<min(t.crashes, 6), maxFailureBackoff)
	t.crashes = min(t.crashes+1, crashLimit)
	t.job.crashes = max(t.job.crashes, t.crashes)
}

// countFailuresOnGoodWorkers returns the number of workers on which the job failed and on which a
// task has succeeded since. Without that success, the cause may be the worker or the job.
func (s *Scheduler) countFailuresOnGoodWorkers(j *job) int {
	n := 0
	for id, at := range j.failedWorkers {
		if w, ok := s.workers[id]; ok && w.health.lastSuccess > at {
			n++
		}
	}
	return n
}

// hasFailedEverywhere reports whether the job has failed on at least goodWorkerFailureLimit workers
// and avoids every worker that may get tasks.
func (s *Scheduler) hasFailedEverywhere(now clock.Millis, j *job) bool {
	if len(j.failedWorkers) < goodWorkerFailureLimit {
		return false
	}
	for i := range s.index.pools {
		for _, bucket := range s.index.pools[i].buckets {
			for _, w := range bucket {
				if !j.avoids(now, w) {
					return false
				}
			}
		}
	}
	return true
}

func (s *Scheduler) failJob(now clock.Millis, j *job, reason string) {
	s.emit(JobFailed{Job: j.id, Reason: reason})
	s.dropJob(now, j, "job failed")
}

// allowProbes lets each suspended worker whose backoff has passed get one task as a probe.
func (s *Scheduler) allowProbes(now clock.Millis) {
	kept := s.suspended[:0]
	for _, w := range s.suspended {
		h := &w.health
		if !h.suspended || s.workers[w.id] != w {
			continue
		}
		kept = append(kept, w)
		if !h.probeAllowed && now >= h.nextProbe {
			h.probeAllowed = true
			s.updateEligibility(w)
		}
	}
	clear(s.suspended[len(kept):])
	s.suspended = kept
}
