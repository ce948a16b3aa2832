package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// schedule starts up to starts ready units, and stops early after misses shapes without a placement.
func (s *Scheduler) schedule(now clock.Millis, starts, misses int) {
	for starts > 0 && misses > 0 && s.waitingTasks > 0 {
		sh := s.nextShape()
		if sh == nil {
			return
		}
		t := sh.head()
		if t == nil || sh.infeasible != "" {
			continue
		}
		why, ok := s.tryStart(now, t)
		if !ok {
			misses--
			sh.teamClass.block(sh, why)
			continue
		}
		starts--
		s.makeReady(sh)
	}
}

// tryStart places a unit, or returns why it cannot be placed now.
func (s *Scheduler) tryStart(now clock.Millis, t *task) (blockReason, bool) {
	j := t.job
	if !j.shape.teamClass.team.withinQuota(j.base.Size, max(1, j.gangSize())) {
		return blockedByQuota, false
	}
	if j.gang {
		return s.tryGang(now, t)
	}
	if j.atUnmeasuredLimit() {
		return blockedByUnmeasuredLimit, false
	}
	need := j.kind.initialCharge(j.base.Size)
	if !s.leavesHeadroom(j, need) {
		return blockedByCapacity, false
	}
	w, charge := s.chooseWorker(now, t, need)
	if w == nil {
		s.preempt(now, j.shape, need)
		return blockedByCapacity, false
	}
	s.assign(t, w, charge)
	s.emit(Assign{Placements: []Placement{t.placement()}})
	return 0, true
}

func (j *job) atUnmeasuredLimit() bool {
	return !j.kind.hasEstimate() && j.kind.unmeasured >= maxUnmeasured
}

func (j *job) gangSize() int {
	if !j.gang {
		return 0
	}
	return j.remaining
}

// chooseWorker returns the best of a bounded number of candidate workers, and the task's charge there.
func (s *Scheduler) chooseWorker(now clock.Millis, t *task, need model.Size) (*worker, model.Size) {
	if t.job.service {
		if w, spreadCharge := s.chooseSpread(now, t, need); w != nil {
			return w, spreadCharge
		}
	}
	var best *worker
	var charge model.Size
	var score float64
	consider := func(w *worker) bool {
		candidateCharge, ok := s.chargeOn(now, w, t, need)
		if !ok {
			return false
		}
		if left := leftoverScore(w, candidateCharge); best == nil || left < score {
			best, charge, score = w, candidateCharge, left
		}
		return true
	}
	if need.Accel == 0 {
		s.visitCandidates(need, 0, consider)
	}
	if best == nil {
		s.visitCandidates(need, 1, consider)
	}
	return best, charge
}

// leftoverScore returns what stays free on the worker in its scarcest dimension, plus half of the
// imbalance between CPU and memory, because free CPU is useless without free memory and vice versa.
// Lower is better.
func leftoverScore(w *worker, charge model.Size) float64 {
	left := w.free().Minus(charge)
	cpu := float64(left.CPU) / float64(max(w.usable.CPU, 1))
	memory := float64(left.Memory) / float64(max(w.usable.Memory, 1))
	return min(cpu, memory) + max(cpu-memory, memory-cpu)/2
}

// chooseSpread returns a worker on one of up to maxSampledRacks racks. It prefers racks with few
// tasks of the service, and the emptiest worker there.
func (s *Scheduler) chooseSpread(now clock.Millis, t *task, need model.Size) (*worker, model.Size) {
	var best *worker
	var charge model.Size
	var score float64
	count := len(s.racks)
	if count == 0 {
		return nil, charge
	}
	offset := s.rng.IntN(count)
	for i := range min(count, maxSampledRacks) {
		r := s.racks[(offset+i)%count]
		for _, w := range r.workers {
			candidateCharge, ok := s.chargeOn(now, w, t, need)
			if !ok {
				continue
			}
			if c := float64(t.job.tasksByRack[r]) - leftoverScore(w, candidateCharge)/4; best == nil || c < score {
				best, charge, score = w, candidateCharge, c
			}
		}
	}
	return best, charge
}

// chargeOn returns the task's charge on the worker and whether the task may start there now.
func (s *Scheduler) chargeOn(now clock.Millis, w *worker, t *task, need model.Size) (model.Size, bool) {
	charge := clampCharge(need, w)
	if w.pool < 0 || w.overloaded || !charge.FitsIn(w.free()) {
		return charge, false
	}
	if !t.job.kind.minWorkerSize(t.job.base.Size).FitsIn(w.size) || t.job.avoids(now, w) {
		return charge, false
	}
	if w.health.suspended && (t.job.gang || w.health.probe != nil) {
		return charge, false
	}
	if w.reservation != nil && w.reservation.unit != t && !w.fitsBesideReservation(now, t, charge) {
		return charge, false
	}
	return charge, w.mayStartBeside(t)
}

// clampCharge limits a charge to the usable capacity of the worker. A task whose charge exceeds that
// gets a worker for itself.
func clampCharge(need model.Size, w *worker) model.Size {
	return model.Size{CPU: min(need.CPU, w.usable.CPU), Memory: min(need.Memory, w.usable.Memory), Accel: need.Accel}
}

// mayStartBeside reports whether a task may start beside those that are starting on the worker. A second task of a
// job waits until the first has started, because both would fail on a bad worker; a gang may not wait. A task that
// may have crashed a worker starts apart from those of other jobs, so that another crash proves its cause.
func (w *worker) mayStartBeside(t *task) bool {
	for _, other := range w.tasks {
		switch {
		case other.job == t.job:
			if !t.job.gang && other.phase == phaseAssigned {
				return false
			}
		case (t.isSuspect() || other.isSuspect()) && other.isStartingOn(w):
			return false
		}
	}
	return true
}

// assign starts a new attempt of a waiting task on a worker.
func (s *Scheduler) assign(t *task, w *worker, charge model.Size) {
	s.adjustWaiting(t.job, -1)
	t.attempt++
	t.phase, t.command, t.startedAt, t.usageReports, t.charge = phaseAssigned, commandRun, 0, 0, charge
	t.peakUsage, t.countedSuccess = model.Size{}, false
	s.attach(t, w)
	t.job.shape.teamClass.class.startedShare += s.capacityShare(charge)
	if w.health.suspended {
		w.health.probe = t
		s.updateEligibility(w)
	}
	if r := s.reservationByUnit[t]; r != nil {
		s.releaseReservation(r)
	}
}

func (t *task) placement() Placement {
	return Placement{
		Task: t.id(), Attempt: int(t.attempt), Worker: t.worker.id,
		Incarnation: t.worker.incarnation, CheckpointPercent: int(t.checkpointPercent),
	}
}

// attach adds a task to a worker and to the sums of charges and counts.
func (s *Scheduler) attach(t *task, w *worker) {
	j := t.job
	t.worker, t.workerSlot = w, int32(len(w.tasks))
	w.tasks = append(w.tasks, t)
	j.placedTasks++
	if j.service && w.rack != nil {
		j.adjustRackCount(w.rack, 1)
	}
	if !j.kind.hasEstimate() {
		t.countsUnmeasured = true
		j.kind.unmeasured++
	}
	j.shape.teamClass.team.declared = j.shape.teamClass.team.declared.Plus(j.base.Size)
	s.adjustCharged(w, j, t.charge)
}

// detach removes a task from its worker and from the sums of charges and counts.
func (s *Scheduler) detach(t *task) {
	w, j := t.worker, t.job
	last := w.tasks[len(w.tasks)-1]
	w.tasks[t.workerSlot], last.workerSlot = last, t.workerSlot
	w.tasks[len(w.tasks)-1] = nil
	w.tasks = w.tasks[:len(w.tasks)-1]
	t.worker = nil
	if w.health.probe == t {
		w.health.probe = nil
	}
	j.placedTasks--
	if j.service && w.rack != nil {
		j.adjustRackCount(w.rack, -1)
	}
	s.markMeasured(t)
	j.shape.teamClass.team.declared = j.shape.teamClass.team.declared.Minus(j.base.Size)
	s.adjustCharged(w, j, model.Size{}.Minus(t.charge))
}

// markMeasured ends the counting of a task in kind.unmeasured.
func (s *Scheduler) markMeasured(t *task) {
	if t.countsUnmeasured {
		t.countsUnmeasured = false
		t.job.kind.unmeasured--
	}
}

func (j *job) adjustRackCount(r *rack, n int) {
	if j.tasksByRack == nil {
		j.tasksByRack = make(map[*rack]int)
	}
	if j.tasksByRack[r] += n; j.tasksByRack[r] == 0 {
		delete(j.tasksByRack, r)
	}
}

func (s *Scheduler) adjustCharged(w *worker, j *job, delta model.Size) {
	w.charged = w.charged.Plus(delta)
	p := j.shape.teamClass
	p.charged = p.charged.Plus(delta)
	p.class.charged = p.class.charged.Plus(delta)
	s.index.update(w)
}

func (s *Scheduler) setCharge(t *task, charge model.Size) {
	if charge == t.charge {
		return
	}
	s.adjustCharged(t.worker, t.job, charge.Minus(t.charge))
	t.charge = charge
}

// refillWorker uses free capacity of a worker for the unit it is reserved for and for units of
// blocked shapes.
func (s *Scheduler) refillWorker(now clock.Millis, w *worker) {
	if s.waitingTasks == 0 || w.pool < 0 {
		return
	}
	if r := w.reservation; r != nil {
		s.tryReserved(now, r)
	}
	checks, starts := maxRefillChecks, maxRefillStarts
	for _, c := range s.rankedClasses() {
		p := s.nextTeamClass(c, func(p *teamClass) bool { return len(p.blocked) > 0 })
		if p == nil {
			continue
		}
		for _, sh := range p.blocked {
			if checks == 0 || starts == 0 {
				return
			}
			checks--
			if s.refillFromShape(now, w, sh) {
				starts--
			}
		}
	}
}

func (s *Scheduler) refillFromShape(now clock.Millis, w *worker, sh *shape) bool {
	t := sh.head()
	if t == nil || sh.key.mode == modeGang || t.job.atUnmeasuredLimit() || sh.infeasible != "" {
		return false
	}
	if !sh.teamClass.team.withinQuota(sh.key.size, 1) {
		return false
	}
	need := sh.kind.initialCharge(sh.key.size)
	charge, ok := s.chargeOn(now, w, t, need)
	if !ok || !s.leavesHeadroom(t.job, need) {
		return false
	}
	s.assign(t, w, charge)
	s.emit(Assign{Placements: []Placement{t.placement()}})
	return true
}
