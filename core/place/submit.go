package place

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

func (s *Scheduler) handleSubmit(now clock.Millis, e Submit) {
	delete(s.pendingOffers, e.Job)
	j, ok := s.jobs[e.Job]
	if !ok {
		j = s.addJob(now, e)
	}
	for _, in := range e.Tasks {
		if j.taskAt(in.Index) == nil && in.Index >= 0 && in.Index < maxTaskIndex {
			s.addTask(now, j, in)
		}
	}
	if j.remaining == 0 {
		s.removeJob(now, j)
		return
	}
	s.requeueGang(now, j)
	s.updateFeasibility(now, j.shape)
}

func (s *Scheduler) addJob(now clock.Millis, e Submit) *job {
	j := newJob(e.Job, e.Work)
	j.shape = s.shapeOf(j)
	j.shape.jobs[j] = struct{}{}
	j.shape.hasNewJobs = true
	j.kind = j.shape.kind
	j.kind.jobCount++
	s.jobs[j.id] = j
	for _, w := range e.Failed {
		j.avoidWorker(w, now)
	}
	return j
}

func (s *Scheduler) addTask(now clock.Millis, j *job, in Task) {
	t := &task{
		job: j, acceptedAt: in.AcceptedAt, index: int32(in.Index), attempt: int32(in.Attempt),
		checkpointPercent: uint8(min(max(in.CheckpointPercent, 0), 100)),
	}
	for len(j.tasks) <= in.Index {
		j.tasks = append(j.tasks, nil)
	}
	j.tasks[in.Index] = t
	j.remaining++
	if in.Attempt > 1 || (in.Attempt == 1 && in.Assignment == nil) {
		// The previous leader may have preempted an earlier attempt just before the change.
		t.preemptedAt = now
	}
	if in.Assignment == nil {
		s.enqueue(now, t)
		return
	}
	s.restoreTask(now, t, *in.Assignment)
}

// restoreTask puts a task on the worker that durable state names, whether or not the worker has
// reported.
func (s *Scheduler) restoreTask(now clock.Millis, t *task, p Assignment) {
	w := s.workerByID(p.Worker)
	if w.reported && w.incarnation != p.Incarnation {
		s.requeue(now, t, "worker restarted")
		return
	}
	t.phase, t.startedAt = phaseAssigned, p.StartedAt
	if p.StartedAt != 0 {
		t.phase = phaseRunning
	}
	t.charge = t.job.kind.initialCharge(t.job.base.Size)
	if w.reported {
		t.charge = clampCharge(t.charge, w)
	}
	s.attach(t, w)
	if w.reported {
		return
	}
	if w.restoredIncarnations == nil {
		w.restoredIncarnations = make(map[*task]model.Incarnation)
	}
	w.restoredIncarnations[t] = p.Incarnation
}

func (s *Scheduler) handleCancel(now clock.Millis, e Cancel) {
	delete(s.pendingOffers, e.Job)
	j, ok := s.jobs[e.Job]
	if !ok {
		return
	}
	if len(e.Indexes) == 0 {
		s.dropJob(now, j, "cancelled")
		return
	}
	for _, i := range e.Indexes {
		if t := j.taskAt(i); t != nil && t.phase != phaseFinished {
			s.dropTask(now, t)
		}
	}
	j.gangQueued = false
	s.requeueGang(now, j)
}

func (s *Scheduler) dropTask(now clock.Millis, t *task) {
	t.dropped = true
	if t.worker != nil {
		s.orderTask(t, commandStop, "cancelled")
		return
	}
	s.adjustWaiting(t.job, -1)
	s.closeTask(now, t)
}

// dropJob ends a job that is cancelled or failed. Its waiting tasks end at once, without a visit to
// each of them; the others end when they have stopped.
func (s *Scheduler) dropJob(now clock.Millis, j *job, reason string) {
	if j.dropped {
		return
	}
	s.adjustWaiting(j, -j.waitingTasks)
	j.dropped = true
	if j.placedTasks == 0 {
		s.removeJob(now, j)
		return
	}
	j.forEachUnfinished(func(t *task) {
		if t.worker != nil {
			s.orderTask(t, commandStop, reason)
		}
	})
}

// closeTask finishes a task that is on no worker and not counted as waiting.
func (s *Scheduler) closeTask(now clock.Millis, t *task) {
	j := t.job
	t.phase = phaseFinished
	j.tasks[t.index] = finishedTask
	j.remaining--
	if j.remaining == 0 || (j.dropped && j.placedTasks == 0) {
		s.removeJob(now, j)
	}
}

func (s *Scheduler) removeJob(now clock.Millis, j *job) {
	if s.jobs[j.id] != j {
		return
	}
	delete(s.jobs, j.id)
	delete(j.shape.jobs, j)
	j.kind.jobCount--
	j.kind.lastUsed = now
	s.removeUnusedShape(j.shape)
}

// sortedJobs returns the jobs of a shape in a fixed order.
func (sh *shape) sortedJobs() []*job {
	list := make([]*job, 0, len(sh.jobs))
	for j := range sh.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, compareJobs)
	return list
}
