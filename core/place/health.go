package place

import (
	"fmt"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// health is the record of starts on a worker.
type health struct {
	streak    []model.JobID // distinct jobs that failed since the last success
	good      clock.Millis  // of the last success
	suspended bool
	probing   bool  // a probe may start
	probe     *task // a probe is on the worker
	probeAt   clock.Millis
	backoff   clock.Millis
}

// avoids reports whether the job has failed on the worker.
func (j *job) avoids(now clock.Millis, w *worker) bool {
	at, ok := j.failed[w.id]
	return ok && (now-at < avoidFor || w.health.good <= at)
}

func (j *job) avoid(w model.WorkerID, at clock.Millis) {
	if j.failed == nil {
		j.failed = make(map[model.WorkerID]clock.Millis)
	}
	j.failed[w] = at
}

// failedOn counts a failure of a task against its worker and its job.
func (s *Scheduler) failedOn(now clock.Millis, w *worker, t *task, probe bool, e Ended) {
	j := t.job
	again := j.avoids(now, w)
	j.avoid(w.id, now)
	s.blame(now, w, j, probe)
	if !again {
		t.fails = min(t.fails+1, 16)
	}
	t.after = now + min(againAfter<<min(len(j.failed)-1, 6), againMost)
	s.requeue(now, t, string(e.End)+": "+e.Reason)
	if j.dropped {
		return
	}
	enough := s.goodFailures(j) >= failWorkers && (j.done == 0 || t.fails >= failWorkers)
	if enough || t.fails >= failAny || s.nowhereLeft(now, j) {
		s.failJob(now, j, fmt.Sprintf("failed on %d workers, last: %s", len(j.failed), e.Reason))
	}
}

// blame counts a failing job against the worker and suspends it after suspendJobs of them.
func (s *Scheduler) blame(now clock.Millis, w *worker, j *job, probe bool) {
	h := &w.health
	if h.suspended && !probe {
		return
	}
	if h.suspended {
		h.probing = false
		h.backoff = min(2*h.backoff, probeMost)
		h.probeAt = now + h.backoff
		s.enlist(w)
		return
	}
	if !slices.Contains(h.streak, j.id) {
		h.streak = append(h.streak, j.id)
	}
	if len(h.streak) < suspendJobs {
		return
	}
	h.suspended, h.probing, h.backoff, h.probeAt = true, false, probeAfter, now+probeAfter
	if w.reserved != nil {
		s.release(w.reserved)
	}
	s.suspended = append(s.suspended, w)
	s.enlist(w)
	s.emit(Suspended{Worker: w.id, Reason: fmt.Sprintf("%d jobs failed in a row", len(h.streak))})
}

// succeeded clears the record of the worker and the job's failures on workers that were good.
func (s *Scheduler) succeeded(now clock.Millis, w *worker, t *task) {
	h := &w.health
	h.streak, h.good = h.streak[:0], now
	t.fails = 0
	t.job.done++
	if !h.suspended {
		return
	}
	h.suspended, h.probing, h.probe = false, false, nil
	s.enlist(w)
	s.emit(Resumed{Worker: w.id})
}

// goodFailures counts the workers on which the job failed and that have succeeded with a task
// since. Before that it is not known whether the job or the worker is bad.
func (s *Scheduler) goodFailures(j *job) int {
	n := 0
	for id, at := range j.failed {
		if w, ok := s.workers[id]; ok && w.health.good > at {
			n++
		}
	}
	return n
}

// nowhereLeft reports whether the job has failed on every worker that is not suspended.
func (s *Scheduler) nowhereLeft(now clock.Millis, j *job) bool {
	if len(j.failed) < failWorkers {
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

// probe lets one task try each suspended worker whose backoff is over.
func (s *Scheduler) probe(now clock.Millis) {
	kept := s.suspended[:0]
	for _, w := range s.suspended {
		h := &w.health
		if !h.suspended || s.workers[w.id] != w {
			continue
		}
		kept = append(kept, w)
		if !h.probing && now >= h.probeAt {
			h.probing = true
			s.enlist(w)
		}
	}
	clear(s.suspended[len(kept):])
	s.suspended = kept
}
