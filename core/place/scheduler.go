package place

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Scheduler places the tasks of one availability zone. It is not safe for concurrent use.
type Scheduler struct {
	config  Config
	jobs    map[model.JobID]*job
	workers map[model.WorkerID]*worker
	order   []*worker
	queue   []*task
	out     []Decision
}

// New returns a scheduler without workers and tasks.
func New(config Config) *Scheduler {
	return &Scheduler{
		config:  config,
		jobs:    make(map[model.JobID]*job),
		workers: make(map[model.WorkerID]*worker),
	}
}

// Step takes an event and returns the decisions that follow from it.
func (s *Scheduler) Step(now clock.Millis, e Event) []Decision {
	s.out = nil
	switch e := e.(type) {
	case WorkerReport:
		s.report(now, e)
	case WorkerGone:
		s.gone(e.Worker)
	case Offer:
		s.emit(Accept{Job: e.Job})
	case Submit:
		s.submit(e)
	case Started:
		s.begin(now, e)
	case Ended:
		s.ended(e)
	case Unassigned:
		s.unassigned(e)
	case Cancel:
		s.cancel(e)
	}
	s.schedule()
	return s.out
}

func (s *Scheduler) emit(d Decision) { s.out = append(s.out, d) }

func (s *Scheduler) worker(id model.WorkerID) *worker {
	w, ok := s.workers[id]
	if !ok {
		w = &worker{id: id}
		s.workers[id] = w
		s.order = append(s.order, w)
	}
	return w
}

func (s *Scheduler) report(now clock.Millis, e WorkerReport) {
	w := s.worker(e.Worker)
	if w.known && w.incarnation != e.Incarnation {
		s.evict(w, "worker restarted")
		w.leaving = false
	}
	w.known, w.incarnation, w.rack, w.size, w.usable = true, e.Incarnation, e.Rack, e.Size, usable(e.Size)
	w.leaving = w.leaving || e.Leaving
	for _, h := range e.Held {
		if t := s.find(h.Task, h.Attempt); t != nil && t.worker == w && h.Phase == proto.PhaseRunning {
			s.begin(now, Started{Task: h.Task, Attempt: h.Attempt})
		}
	}
}

func (s *Scheduler) gone(id model.WorkerID) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	s.evict(w, "worker lost")
	delete(s.workers, id)
	s.order = slices.DeleteFunc(s.order, func(o *worker) bool { return o == w })
}

func (s *Scheduler) evict(w *worker, reason string) {
	for _, t := range slices.Clone(w.tasks) {
		s.requeue(t, reason)
	}
}

// requeue frees the task's place and lets it wait again, or ends it when its job is cancelled.
func (s *Scheduler) requeue(t *task, reason string) {
	t.worker.remove(t)
	t.stopping = false
	if t.job.cancelled || t.dropped {
		s.close(t)
		return
	}
	t.phase = waiting
	s.queue = append([]*task{t}, s.queue...)
	s.emit(Requeue{Task: t.id(), Attempt: int(t.attempt), Saved: int(t.saved), Reason: reason})
}

func (s *Scheduler) close(t *task) {
	t.phase = over
	t.job.open--
	if t.job.open == 0 {
		delete(s.jobs, t.job.id)
	}
}

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

func (s *Scheduler) submit(e Submit) {
	j, ok := s.jobs[e.Job]
	if !ok {
		j = newJob(e.Job, e.Work)
		s.jobs[e.Job] = j
	}
	for _, in := range e.Tasks {
		if j.find(in.Index) != nil {
			continue
		}
		t := &task{
			job: j, accepted: in.Accepted, index: int32(in.Index), attempt: int32(in.Attempt),
			saved: uint8(in.Saved), charge: prior(j.base.Size),
		}
		j.tasks = append(j.tasks, t)
		j.open++
		if in.Placed == nil {
			s.queue = append(s.queue, t)
			continue
		}
		t.phase, t.started = assigned, in.Placed.Started
		w := s.worker(in.Placed.Worker)
		w.add(t)
	}
}

func (s *Scheduler) begin(now clock.Millis, e Started) {
	t := s.find(e.Task, e.Attempt)
	if t == nil || t.phase != assigned {
		return
	}
	t.phase, t.started = running, now
}

func (s *Scheduler) ended(e Ended) {
	t := s.find(e.Task, e.Attempt)
	if t == nil {
		return
	}
	t.saved = uint8(max(int(t.saved), e.Saved))
	if e.End != proto.EndDone || t.job.service {
		s.requeue(t, string(e.End))
		return
	}
	t.worker.remove(t)
	s.close(t)
}

func (s *Scheduler) unassigned(e Unassigned) {
	if t := s.find(e.Task, e.Attempt); t != nil && t.phase == assigned {
		s.requeue(t, "not committed")
	}
}

func (s *Scheduler) cancel(e Cancel) {
	j, ok := s.jobs[e.Job]
	if !ok {
		return
	}
	j.cancelled = len(e.Indexes) == 0
	for _, t := range j.tasks {
		if !j.cancelled && !slices.Contains(e.Indexes, int(t.index)) {
			continue
		}
		switch {
		case t.phase == over:
		case t.worker == nil:
			s.close(t)
		default:
			t.stopping, t.dropped = true, true
			s.emit(Order{Task: t.id(), Attempt: int(t.attempt), Worker: t.worker.id, Command: proto.CommandStop, Reason: "cancelled"})
		}
	}
}

// schedule places waiting tasks first-in first-out on the first worker with room.
func (s *Scheduler) schedule() {
	kept := s.queue[:0]
	for _, t := range s.queue {
		if t.phase != over && !s.place(t) {
			kept = append(kept, t)
		}
	}
	s.queue = kept
}

func (s *Scheduler) place(t *task) bool {
	for _, w := range s.order {
		if !w.known || w.leaving || !t.charge.Fits(w.free()) {
			continue
		}
		t.attempt++
		t.phase = assigned
		w.add(t)
		s.emit(Assign{Placements: []Placement{{
			Task: t.id(), Attempt: int(t.attempt), Worker: w.id, Incarnation: w.incarnation, Saved: int(t.saved),
		}}})
		return true
	}
	return false
}
