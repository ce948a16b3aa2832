package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// find returns the task if the attempt is its present one and on a worker.
func (s *Scheduler) find(id model.TaskID, attempt int) *task {
	j, ok := s.jobs[id.Job]
	if !ok {
		return nil
	}
	t := j.find(id.Index)
	if t == nil || int(t.attempt) != attempt || t.worker == nil {
		return nil
	}
	return t
}

func (s *Scheduler) ended(now clock.Millis, e Ended) {
	t := s.find(e.Task, e.Attempt)
	if t == nil {
		return
	}
	w, j := t.worker, t.job
	t.saved = max(t.saved, uint8(min(max(e.Saved, 0), 100)))
	s.learnEnd(t, e)
	ordered, probe := t.command == commandStop, w.health.probe == t
	s.detach(t)
	switch {
	case e.End == proto.EndDone && !j.service:
		s.finished(now, w, t, e)
	case isFailure(e.End) && (!ordered || e.End == proto.EndNoStart):
		// A worker that could not start a task has failed even if the task was to stop anyway.
		s.failedOn(now, w, t, probe, e)
	default:
		if !ordered {
			// The last leader may have preempted it.
			t.preempted = now
		}
		if j.service && e.End == proto.EndDone {
			t.after = now + againAfter
		}
		s.requeue(now, t, string(e.End))
	}
	s.enlist(w)
	s.regroup(now, j)
	s.refill(now, w)
}

func (s *Scheduler) learnEnd(t *task, e Ended) {
	if e.Usage.CPU == 0 && e.Usage.Memory == 0 {
		return
	}
	if isFailure(e.End) {
		return
	}
	if t.reports == 0 && t.command == commandRun {
		t.job.kind.observe(e.Usage)
		return
	}
	t.job.kind.raise(e.Usage)
}

func (s *Scheduler) finished(now clock.Millis, w *worker, t *task, e Ended) {
	if e.Time > 0 && t.saved == 0 {
		t.job.kind.observeTime(e.Time)
	}
	s.succeeded(now, w, t)
	s.close(now, t)
}

// requeue lets a task that was taken off its worker wait again, or ends it.
func (s *Scheduler) requeue(now clock.Millis, t *task, reason string) {
	if t.job.dropped || t.dropped {
		s.close(now, t)
		return
	}
	s.emit(Requeue{Task: t.id(), Attempt: int(t.attempt), Saved: int(t.saved), Reason: reason})
	s.enqueue(now, t)
}

func (s *Scheduler) unassigned(now clock.Millis, e Unassigned) {
	t := s.find(e.Task, e.Attempt)
	if t == nil || t.phase != assigned {
		return
	}
	w := t.worker
	s.detach(t)
	s.requeue(now, t, "not committed")
	s.enlist(w)
	s.regroup(now, t.job)
}

// order gives a command for a placed task; an order to stop is final.
func (s *Scheduler) order(t *task, c command, reason string) {
	if t.command == c || t.command == commandStop {
		return
	}
	t.command = c
	s.emit(Order{Task: t.id(), Attempt: int(t.attempt), Worker: t.worker.id, Command: c.proto(), Reason: reason})
}
