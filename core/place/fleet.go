package place

import (
	"cmp"
	"fmt"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

func (s *Scheduler) workerByID(id model.WorkerID) *worker {
	w, ok := s.workers[id]
	if !ok {
		w = &worker{id: id, pool: -1}
		s.workers[id] = w
	}
	return w
}

func (s *Scheduler) handleReport(now clock.Millis, e WorkerReport) {
	w := s.workerByID(e.Worker)
	if s.updateIdentity(now, w, e) {
		s.updateEligibility(w)
	}
	w.reportedAt = now
	s.recordReport(now, w, e.Held)
	s.refillWorker(now, w)
}

// updateIdentity applies incarnation, rack, size and the leaving state of a report. It reports whether
// any of them changed, which may change the eligibility of the worker.
func (s *Scheduler) updateIdentity(now clock.Millis, w *worker, e WorkerReport) bool {
	restarted := w.reported && w.incarnation != e.Incarnation
	crashed := restarted && !w.leaving
	leaving := e.Leaving || (w.leaving && !restarted)
	if w.reported && !restarted && w.leaving == leaving && w.size == e.Size && w.rack.name == e.Rack {
		return false
	}
	if w.reported {
		s.subtractCapacity(w)
	}
	w.reported, w.leaving = true, leaving
	w.incarnation, w.size, w.usable = e.Incarnation, e.Size, usableSize(e.Size)
	s.index.remove(w)
	s.index.growReference(e.Size)
	s.joinRack(w, e.Rack)
	if !w.leaving {
		s.capacity = s.capacity.Plus(w.usable)
		s.workersBySize[w.size]++
	}
	if w.leaving && w.reservation != nil {
		s.releaseReservation(w.reservation)
	}
	if restarted {
		w.health, w.overloaded, w.foreign = health{}, false, model.Size{}
	}
	s.evict(now, w, "worker restarted", crashed, func(t *task) bool { return s.assignedIncarnation(t, w) != w.incarnation })
	s.fleetChanged = true
	return true
}

// assignedIncarnation returns the incarnation of the worker to which the task was assigned.
func (s *Scheduler) assignedIncarnation(t *task, w *worker) model.Incarnation {
	if i, ok := w.restoredIncarnations[t]; ok {
		return i
	}
	return w.taskIncarnation
}

func (s *Scheduler) subtractCapacity(w *worker) {
	if w.leaving {
		return
	}
	s.capacity = s.capacity.Minus(w.usable)
	if s.workersBySize[w.size]--; s.workersBySize[w.size] == 0 {
		delete(s.workersBySize, w.size)
	}
}

func (s *Scheduler) joinRack(w *worker, name model.Rack) {
	if w.rack != nil {
		if w.rack.name == name {
			return
		}
		s.leaveRack(w)
	}
	r, ok := s.racksByName[name]
	if !ok {
		r = &rack{name: name}
		s.racksByName[name] = r
		at, _ := slices.BinarySearchFunc(s.racks, r, compareRacks)
		s.racks = slices.Insert(s.racks, at, r)
	}
	at, _ := slices.BinarySearchFunc(r.workers, w, compareWorkers)
	r.workers = slices.Insert(r.workers, at, w)
	w.rack = r
	for _, t := range w.tasks {
		if t.job.service {
			t.job.adjustRackCount(r, 1)
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
			t.job.adjustRackCount(r, -1)
		}
	}
	r.workers = slices.DeleteFunc(r.workers, func(o *worker) bool { return o == w })
	if len(r.workers) == 0 {
		delete(s.racksByName, r.name)
		s.racks = slices.DeleteFunc(s.racks, func(o *rack) bool { return o == r })
	}
	w.rack = nil
}

func compareRacks(a, b *rack) int { return cmp.Compare(a.name, b.name) }

// updateEligibility adds the worker to the index if it may get tasks, or else removes it.
func (s *Scheduler) updateEligibility(w *worker) {
	eligible := w.reported && !w.leaving
	if w.health.suspended && (!w.health.probeAllowed || w.health.probe != nil) {
		eligible = false
	}
	switch {
	case eligible && w.pool < 0:
		s.index.insert(w)
	case !eligible:
		s.index.remove(w)
	}
}

func (s *Scheduler) handleWorkerLost(now clock.Millis, id model.WorkerID) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	if w.reservation != nil {
		s.releaseReservation(w.reservation)
	}
	if w.reported {
		s.subtractCapacity(w)
	}
	s.index.remove(w)
	s.leaveRack(w)
	s.evict(now, w, "worker lost", !w.leaving, func(*task) bool { return true })
	delete(s.workers, id)
	s.fleetChanged = true
}

// evict requeues the chosen tasks of a worker. The caller knows that they no longer run, and whether the worker
// ended unexpectedly.
func (s *Scheduler) evict(now clock.Millis, w *worker, reason string, crashed bool, chosen func(*task) bool) {
	var list []*task
	for _, t := range w.tasks {
		if chosen(t) {
			list = append(list, t)
		}
	}
	w.restoredIncarnations, w.taskIncarnation = nil, w.incarnation
	for _, t := range list {
		if crashed && t.isStartingOn(w) {
			t.recordCrash(now)
		}
		s.detach(t)
		s.requeue(now, t, reason)
	}
	for _, t := range list {
		if t.crashes >= crashLimit && !t.job.dropped {
			s.failJob(now, t.job, fmt.Sprintf("%d workers were lost right after they got task %d", t.crashes, t.index))
		}
	}
	for _, t := range list {
		s.requeueGang(now, t.job)
	}
}

// recordReport records checkpoints, starts and measured use of the tasks that the worker holds, and
// relieves the worker if it is overloaded.
func (s *Scheduler) recordReport(now clock.Millis, w *worker, list []proto.HeldTask) {
	var use, foreign model.Size
	for i := range list {
		h := &list[i]
		use = use.Plus(h.Usage)
		t := s.findPlaced(h.Task, h.Attempt)
		if t == nil || t.worker != w {
			foreign = foreign.Plus(h.Usage)
			continue
		}
		t.checkpointPercent = max(t.checkpointPercent, uint8(min(max(h.CheckpointPercent, 0), 100)))
		if h.Phase == proto.PhaseRunning {
			s.markRunning(now, t)
			s.recordUsage(now, t, h.Usage)
		}
	}
	if foreign != w.foreign {
		w.foreign = foreign
		s.index.update(w)
	}
	s.relieveOverload(w, use, list)
}

func (s *Scheduler) markRunning(now clock.Millis, t *task) {
	if t.phase != phaseAssigned {
		return
	}
	t.phase = phaseRunning
	if t.startedAt == 0 {
		t.startedAt = now
	}
}

// recordUsage updates the charge of a running task and the estimate of its kind from a measured use.
func (s *Scheduler) recordUsage(now clock.Millis, t *task, use model.Size) {
	if now-t.startedAt < minUsageAge || (use.CPU == 0 && use.Memory == 0) {
		return
	}
	k := t.job.kind
	if t.command != commandRun && use.FitsIn(t.peakUsage) {
		return // a throttled task uses less than it will after the throttling
	}
	grown := !use.FitsIn(t.peakUsage)
	t.peakUsage = t.peakUsage.Max(use)
	switch {
	case t.usageReports == 0 && t.command == commandRun:
		k.addSample(t.peakUsage)
		s.markMeasured(t)
	case grown:
		k.raiseLatestSample(t.peakUsage)
	}
	if t.usageReports < 1<<15 {
		t.usageReports++
	}
	if !t.countedSuccess && now-t.startedAt >= successRunTime {
		t.countedSuccess = true
		s.recordSuccess(now, t.worker, t)
	}
	s.setCharge(t, clampCharge(s.chargeFor(t), t.worker))
}
