package place

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

func (s *Scheduler) worker(id model.WorkerID) *worker {
	w, ok := s.workers[id]
	if !ok {
		w = &worker{id: id, pool: -1}
		s.workers[id] = w
	}
	return w
}

func (s *Scheduler) report(now clock.Millis, e WorkerReport) {
	w := s.worker(e.Worker)
	if s.welcome(now, w, e) {
		s.enlist(w)
	}
	s.takeUsage(now, w, e.Held)
	s.refill(now, w)
}

// welcome takes over who the worker is, and reports whether that may change its eligibility.
func (s *Scheduler) welcome(now clock.Millis, w *worker, e WorkerReport) bool {
	restarted := w.known && w.incarnation != e.Incarnation
	leaving := e.Leaving || (w.leaving && !restarted)
	if w.known && !restarted && w.leaving == leaving && w.size == e.Size && w.rack.name == e.Rack {
		return false
	}
	if w.known {
		s.discount(w)
	}
	w.known, w.leaving = true, leaving
	w.incarnation, w.size, w.usable = e.Incarnation, e.Size, usable(e.Size)
	s.index.remove(w)
	s.index.grow(e.Size)
	s.joinRack(w, e.Rack)
	if !w.leaving {
		s.capacity = s.capacity.Plus(w.usable)
		s.sizes[w.size]++
	}
	if w.leaving && w.reserved != nil {
		s.release(w.reserved)
	}
	if restarted {
		w.health, w.hot, w.foreign = health{}, false, model.Size{}
	}
	s.evict(now, w, "worker restarted", func(t *task) bool { return s.lives(t, w) != w.incarnation })
	s.fleetChanged = true
	return true
}

// lives returns the incarnation of the worker that the task was assigned to.
func (s *Scheduler) lives(t *task, w *worker) model.Incarnation {
	if i, ok := w.lives[t]; ok {
		return i
	}
	return w.assignedTo
}

func (s *Scheduler) discount(w *worker) {
	if w.leaving {
		return
	}
	s.capacity = s.capacity.Minus(w.usable)
	if s.sizes[w.size]--; s.sizes[w.size] == 0 {
		delete(s.sizes, w.size)
	}
}

func (s *Scheduler) joinRack(w *worker, name model.Rack) {
	if w.rack != nil {
		if w.rack.name == name {
			return
		}
		s.leaveRack(w)
	}
	r, ok := s.rackNames[name]
	if !ok {
		r = &rack{name: name}
		s.rackNames[name] = r
		at, _ := slices.BinarySearchFunc(s.racks, r, compareRacks)
		s.racks = slices.Insert(s.racks, at, r)
	}
	at, _ := slices.BinarySearchFunc(r.workers, w, compareWorkers)
	r.workers = slices.Insert(r.workers, at, w)
	w.rack = r
	for _, t := range w.tasks {
		if t.job.service {
			t.job.countRack(r, 1)
		}
	}
}

func (s *Scheduler) leaveRack(w *worker) {
	r := w.rack
	if r == nil {
		return
	}
	for _, t := range w.tasks {
		if t.job.service {
			t.job.countRack(r, -1)
		}
	}
	r.workers = slices.DeleteFunc(r.workers, func(o *worker) bool { return o == w })
	if len(r.workers) == 0 {
		delete(s.rackNames, r.name)
		s.racks = slices.DeleteFunc(s.racks, func(o *rack) bool { return o == r })
	}
	w.rack = nil
}

func compareRacks(a, b *rack) int { return cmp.Compare(a.name, b.name) }

// enlist puts the worker into the index or takes it out.
func (s *Scheduler) enlist(w *worker) {
	eligible := w.known && !w.leaving
	if w.health.suspended && (!w.health.probing || w.health.probe != nil) {
		eligible = false
	}
	switch {
	case eligible && w.pool < 0:
		s.index.insert(w)
	case !eligible:
		s.index.remove(w)
	}
}

func (s *Scheduler) gone(now clock.Millis, id model.WorkerID) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	if w.reserved != nil {
		s.release(w.reserved)
	}
	if w.known {
		s.discount(w)
	}
	s.index.remove(w)
	s.leaveRack(w)
	s.evict(now, w, "worker lost", func(*task) bool { return true })
	delete(s.workers, id)
	s.fleetChanged = true
}

// evict returns the chosen tasks of a worker to their queues; they surely run no more.
func (s *Scheduler) evict(now clock.Millis, w *worker, reason string, chosen func(*task) bool) {
	var list []*task
	for _, t := range w.tasks {
		if chosen(t) {
			list = append(list, t)
		}
	}
	w.lives, w.assignedTo = nil, w.incarnation
	for _, t := range list {
		s.detach(t)
		s.requeue(now, t, reason)
	}
	for _, t := range list {
		s.regroup(now, t.job)
	}
}

// takeUsage learns from the tasks that the worker holds.
func (s *Scheduler) takeUsage(now clock.Millis, w *worker, list []proto.Held) {
	var use, foreign model.Size
	for i := range list {
		h := &list[i]
		use = use.Plus(h.Usage)
		t := s.find(h.Task, h.Attempt)
		if t == nil || t.worker != w {
			foreign = foreign.Plus(h.Usage)
			continue
		}
		t.saved = max(t.saved, uint8(min(max(h.Saved, 0), 100)))
		if h.Phase == proto.PhaseRunning {
			s.began(now, t)
			s.learn(now, t, h.Usage)
		}
	}
	if foreign != w.foreign {
		w.foreign = foreign
		s.index.update(w)
	}
	s.relieve(w, use, list)
}

func (s *Scheduler) began(now clock.Millis, t *task) {
	if t.phase != assigned {
		return
	}
	t.phase = running
	if t.started == 0 {
		t.started = now
	}
}

// learn takes a measured use of a running task over into its charge and its kind.
func (s *Scheduler) learn(now clock.Millis, t *task, use model.Size) {
	if now-t.started < evidenceAge || (use.CPU == 0 && use.Memory == 0) {
		return
	}
	k := t.job.kind
	if t.command != commandRun && use.Fits(t.peak) {
		return // a slowed task shows less than it will use again
	}
	grown := !use.Fits(t.peak)
	t.peak = t.peak.Max(use)
	switch {
	case t.reports == 0 && t.command == commandRun:
		k.observe(t.peak)
		s.measured(t)
	case grown:
		k.raise(t.peak)
	}
	if t.reports < 1<<15 {
		t.reports++
	}
	if !t.proved && now-t.started >= provedAfter {
		t.proved = true
		s.succeeded(now, t.worker, t)
	}
	s.setCharge(t, clamp(s.charge(t), t.worker))
}
