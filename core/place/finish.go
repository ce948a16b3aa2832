package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// findPlaced returns the task if it is on a worker with this attempt, or nil.
func (s *Scheduler) findPlaced(id model.TaskID, attempt int) *task {
	j, ok := s.jobs[id.Job]
	if !ok {
		return nil
	}
	t := j.taskAt(id.Index)
	if t == nil || int(t.attempt) != attempt || t.worker == nil {
		return nil
	}
	return t
}

func (s *Scheduler) handleEnded(now clock.Millis, e Ended) {
	t := s.findPlaced(e.Task, e.Attempt)
	if t == nil {
		return
	}
	w, j := t.worker, t.job
	t.checkpointPercent = max(t.checkpointPercent, uint8(min(max(e.CheckpointPercent, 0), 100)))
	s.recordFinalUsage(t, e)
	ordered, probe := t.command == commandStop, w.health.probe == t
	s.detach(t)
	switch {
	case e.End == proto.EndDone && !j.service:
		s.completeTask(now, w, t, e)
	case isFailure(e.End) && (!ordered || e.End == proto.EndNoStart):
		// A start failure counts against the worker even if the task had been ordered to stop.
		s.recordFailure(now, w, t, probe, e)
	default:
		if !ordered {
			// The previous leader may have preempted it.
			t.preemptedAt = now
		}
		if j.service && e.End == proto.EndDone {
			t.notBefore = now + minFailureBackoff
		}
		s.requeue(now, t, string(e.End))
	}
	s.updateEligibility(w)
	s.requeueGang(now, j)
	s.refillWorker(now, w)
}

func (s *Scheduler) recordFinalUsage(t *task, e Ended) {
	if e.PeakUsage.CPU == 0 && e.PeakUsage.Memory == 0 {
		return
	}
	if isFailure(e.End) {
		return
	}
	if t.usageReports == 0 && t.command == commandRun {
		t.job.kind.addSample(e.PeakUsage)
		return
	}
	t.job.kind.raiseLatestSample(e.PeakUsage)
}

func (s *Scheduler) completeTask(now clock.Millis, w *worker, t *task, e Ended) {
	if e.RunTime > 0 && t.checkpointPercent == 0 {
		t.job.addRunTime(e.RunTime)
	}
	s.recordSuccess(now, w, t)
	s.closeTask(now, t)
}

// requeue makes a task that was detached from its worker wait again, or finishes it if it is dropped.
func (s *Scheduler) requeue(now clock.Millis, t *task, reason string) {
	if t.job.dropped || t.dropped {
		s.closeTask(now, t)
		return
	}
	s.emit(Requeue{Task: t.id(), Attempt: int(t.attempt), CheckpointPercent: int(t.checkpointPercent), Reason: reason})
	s.enqueue(now, t)
}

func (s *Scheduler) handleAssignNotCommitted(now clock.Millis, e AssignNotCommitted) {
	t := s.findPlaced(e.Task, e.Attempt)
	if t == nil || t.phase != phaseAssigned {
		return
	}
	w := t.worker
	s.detach(t)
	s.requeue(now, t, "assignment was not committed")
	s.updateEligibility(w)
	s.requeueGang(now, t.job)
}

// orderTask emits a command for a placed task; an order to stop is final.
func (s *Scheduler) orderTask(t *task, c command, reason string) {
	if t.command == c || t.command == commandStop {
		return
	}
	t.command = c
	s.emit(Order{Task: t.id(), Attempt: int(t.attempt), Worker: t.worker.id, Command: c.toProto(), Reason: reason})
}
