package place

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

func (s *Scheduler) submit(now clock.Millis, e Submit) {
	delete(s.offers, e.Job)
	j, ok := s.jobs[e.Job]
	if !ok {
		j = s.newJob(now, e)
	}
	for _, in := range e.Tasks {
		if j.find(in.Index) == nil && in.Index >= 0 && in.Index < maxTaskIndex {
			s.add(now, j, in)
		}
	}
	if j.open == 0 {
		s.forget(now, j)
		return
	}
	s.regroup(now, j)
	s.check(now, j.shape)
}

func (s *Scheduler) newJob(now clock.Millis, e Submit) *job {
	j := newJob(e.Job, e.Work)
	j.shape = s.shapeOf(j)
	j.shape.jobs[j] = struct{}{}
	j.shape.fresh = true
	j.kind = j.shape.kind
	j.kind.jobs++
	s.jobs[j.id] = j
	for _, w := range e.Failed {
		j.avoid(w, now)
	}
	return j
}

func (s *Scheduler) add(now clock.Millis, j *job, in Task) {
	t := &task{
		job: j, accepted: in.Accepted, index: int32(in.Index), attempt: int32(in.Attempt),
		saved: uint8(min(max(in.Saved, 0), 100)),
	}
	for len(j.tasks) <= in.Index {
		j.tasks = append(j.tasks, nil)
	}
	j.tasks[in.Index] = t
	j.open++
	if in.Attempt > 1 || (in.Attempt == 1 && in.Placed == nil) {
		// An earlier attempt may have been preempted a moment ago under the last leader.
		t.preempted = now
	}
	if in.Placed == nil {
		s.enqueue(now, t)
		return
	}
	s.restore(now, t, *in.Placed)
}

// restore binds a task to the worker that durable state names, whether or not it has reported.
func (s *Scheduler) restore(now clock.Millis, t *task, p Placed) {
	w := s.worker(p.Worker)
	if w.known && w.incarnation != p.Incarnation {
		s.requeue(now, t, "worker restarted")
		return
	}
	t.phase, t.started = assigned, p.Started
	if p.Started != 0 {
		t.phase = running
	}
	t.charge = t.job.kind.need(t.job.base.Size)
	if w.known {
		t.charge = clamp(t.charge, w)
	}
	s.attach(t, w)
	if w.known {
		return
	}
	if w.lives == nil {
		w.lives = make(map[*task]model.Incarnation)
	}
	w.lives[t] = p.Incarnation
}

func (s *Scheduler) cancel(now clock.Millis, e Cancel) {
	delete(s.offers, e.Job)
	j, ok := s.jobs[e.Job]
	if !ok {
		return
	}
	if len(e.Indexes) == 0 {
		s.dropJob(now, j, "cancelled")
		return
	}
	for _, i := range e.Indexes {
		if t := j.find(i); t != nil && t.phase != over {
			s.dropTask(now, t)
		}
	}
	j.queued = false
	s.regroup(now, j)
}

func (s *Scheduler) dropTask(now clock.Millis, t *task) {
	t.dropped = true
	if t.worker != nil {
		s.order(t, commandStop, "cancelled")
		return
	}
	s.count(t.job, -1)
	s.close(now, t)
}

// dropJob ends a job: its waiting tasks at once and without being visited, the others when they
// have stopped.
func (s *Scheduler) dropJob(now clock.Millis, j *job, reason string) {
	if j.dropped {
		return
	}
	s.count(j, -j.waiting)
	j.dropped = true
	if j.placed == 0 {
		s.forget(now, j)
		return
	}
	j.unfinished(func(t *task) {
		if t.worker != nil {
			s.order(t, commandStop, reason)
		}
	})
}

// close ends a task that is on no worker and not counted as waiting.
func (s *Scheduler) close(now clock.Millis, t *task) {
	j := t.job
	t.phase = over
	j.tasks[t.index] = closed
	j.open--
	if j.open == 0 || (j.dropped && j.placed == 0) {
		s.forget(now, j)
	}
}

func (s *Scheduler) forget(now clock.Millis, j *job) {
	if s.jobs[j.id] != j {
		return
	}
	delete(s.jobs, j.id)
	delete(j.shape.jobs, j)
	j.kind.jobs--
	j.kind.used = now
	s.dropShape(j.shape)
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
