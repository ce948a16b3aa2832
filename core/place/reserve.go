package place

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// reservation keeps capacity on workers for a blocked unit. A worker has at most one reservation.
type reservation struct {
	unit            *task
	slots           []reservedSlots
	expectedStart   clock.Millis // when the capacity is expected to be free
	createdAt       clock.Millis
	noBackfill      bool // no other task may start even if it ends before expectedStart
	afterPreemption bool // the capacity is freed by preempted tasks
}

type reservedSlots struct {
	worker *worker
	count  int
	amount model.Size
}

func (s *Scheduler) addReservation(r *reservation) {
	for _, h := range r.slots {
		if h.worker.reservation != nil {
			s.releaseReservation(h.worker.reservation)
		}
		h.worker.reservation, h.worker.reservedAmount = r, h.amount
	}
	s.reservationByUnit[r.unit] = r
	s.reservations = append(s.reservations, r)
}

func (s *Scheduler) releaseReservation(r *reservation) {
	for _, h := range r.slots {
		if h.worker.reservation == r {
			h.worker.reservation, h.worker.reservedAmount = nil, model.Size{}
		}
	}
	delete(s.reservationByUnit, r.unit)
	s.reservations = slices.DeleteFunc(s.reservations, func(o *reservation) bool { return o == r })
}

// fitsBesideReservation reports whether a task may start on a worker that is reserved for another
// unit: either it ends before the reservation starts (backfill), or both fit on the worker.
func (w *worker) fitsBesideReservation(now clock.Millis, t *task, charge model.Size) bool {
	r := w.reservation
	if !r.noBackfill && now < r.expectedStart && !t.job.service && now+t.job.expectedRunTime() <= r.expectedStart {
		return true
	}
	from := max(now, r.expectedStart)
	free := w.usable.Minus(w.foreign).Minus(w.reservedAmount)
	for _, o := range w.tasks {
		if o.expectedEnd(now) > from {
			free = free.Minus(o.charge)
		}
	}
	return charge.FitsIn(free)
}

// updateReservations renews all reservations and adds new ones for the oldest blocked gang and for
// the oldest blocked tasks of each class.
func (s *Scheduler) updateReservations(now clock.Millis) {
	for _, r := range slices.Clone(s.reservations) {
		if s.reservationByUnit[r.unit] == r {
			s.renewReservation(now, r)
		}
	}
	var blocked [4][]*task // by reservation group
	for i := range s.classes {
		for _, p := range s.classes[i].teams {
			for _, sh := range p.blocked {
				s.addBlockedUnit(now, sh, &blocked)
			}
		}
	}
	for group, list := range blocked {
		slices.SortFunc(list, compareAge)
		left := s.reservationsLeft(group)
		for _, t := range list[:min(len(list), left)] {
			s.planReservation(now, t, false)
		}
	}
}

const gangGroup = 3

func reservationGroup(j *job) int {
	if j.gang {
		return gangGroup
	}
	return int(j.shape.key.class)
}

func (s *Scheduler) addBlockedUnit(now clock.Millis, sh *shape, blocked *[4][]*task) {
	t := sh.head()
	if t == nil || sh.blockedBy != blockedByCapacity || sh.infeasible != "" || s.reservationByUnit[t] != nil {
		return
	}
	if now-max(t.acceptedAt, t.notBefore) >= reserveDelay {
		group := reservationGroup(t.job)
		blocked[group] = append(blocked[group], t)
	}
}

// reservationsLeft returns how many more reservations a group may have.
func (s *Scheduler) reservationsLeft(group int) int {
	most := 1
	if group != gangGroup {
		most = min(max(1, len(s.workers)/workersPerReservation), maxReservations/4)
	}
	for _, r := range s.reservations {
		if !r.afterPreemption && reservationGroup(r.unit.job) == group {
			most--
		}
	}
	return max(most, 0)
}

// renewReservation starts the unit if the reserved capacity is free, and drops or replaces a
// reservation that is overdue.
func (s *Scheduler) renewReservation(now clock.Millis, r *reservation) {
	switch {
	case !r.unit.queued():
		s.releaseReservation(r)
	case s.tryReserved(now, r):
	case r.afterPreemption && now-r.createdAt > replanDelay:
		s.releaseReservation(r)
	case !r.afterPreemption && now-r.expectedStart > replanDelay:
		s.releaseReservation(r)
		s.planReservation(now, r.unit, true)
	}
}

// tryReserved starts the unit if all its reserved capacity is free.
func (s *Scheduler) tryReserved(now clock.Millis, r *reservation) bool {
	t := r.unit
	if !t.queued() {
		s.releaseReservation(r)
		return false
	}
	j := t.job
	if j.atUnmeasuredLimit() && !j.gang || !j.shape.teamClass.team.withinQuota(j.base.Size, max(1, j.gangSize())) {
		return false
	}
	need := j.kind.initialCharge(j.base.Size)
	if j.gang {
		need = s.gangNeed(j)
	}
	sum := 0
	for _, h := range r.slots {
		charge, ok := s.chargeOn(now, h.worker, t, need)
		if !ok || countFits(h.worker.free(), charge) < h.count {
			return false
		}
		sum += h.count
	}
	if !j.gang {
		w := r.slots[0].worker
		s.assign(t, w, clampCharge(need, w))
		s.emit(Assign{Placements: []Placement{t.placement()}})
		return true
	}
	if sum < j.remaining {
		return false
	}
	plan := make([]workerSlots, len(r.slots))
	for i, h := range r.slots {
		plan[i] = workerSlots{h.worker, h.count}
	}
	s.releaseReservation(r)
	s.startGang(j, plan, need)
	return true
}

// opening is the time from which a worker has capacity for one more task of a unit.
type opening struct {
	at     clock.Millis
	worker *worker
}

// planReservation reserves the workers that are expected to have capacity for the unit first.
func (s *Scheduler) planReservation(now clock.Millis, t *task, noBackfill bool) {
	j := t.job
	need, count := j.kind.initialCharge(j.base.Size), 1
	if j.gang {
		need, count = s.gangNeed(j), j.remaining
	}
	var list []opening
	s.visitSampledWorkers(max(minPlanWorkers, 4*count), func(w *worker) {
		list = s.appendOpenings(now, list, w, t, need, count)
	})
	slices.SortStableFunc(list, func(a, b opening) int { return cmp.Compare(a.at, b.at) })
	if len(list) < count {
		return
	}
	list = list[:count]
	r := &reservation{unit: t, expectedStart: list[count-1].at, createdAt: now, noBackfill: noBackfill}
	for _, o := range list {
		r.addSlot(o.worker, clampCharge(need, o.worker))
	}
	s.addReservation(r)
	if j.gang && j.base.Urgency == model.Urgent {
		s.preemptForGang(now, r)
	}
}

func (r *reservation) addSlot(w *worker, need model.Size) {
	for i := range r.slots {
		if r.slots[i].worker == w {
			r.slots[i].count++
			r.slots[i].amount = r.slots[i].amount.Plus(need)
			return
		}
	}
	r.slots = append(r.slots, reservedSlots{worker: w, count: 1, amount: need})
}

// appendOpenings appends the times at which the worker gets capacity for tasks of the unit, as its
// present tasks end.
func (s *Scheduler) appendOpenings(now clock.Millis, list []opening, w *worker, t *task, need model.Size, count int) []opening {
	j := t.job
	if !w.reservable(now, t) || w.health.suspended || j.avoids(now, w) || !j.kind.minWorkerSize(j.base.Size).FitsIn(w.size) {
		return list
	}
	charge := clampCharge(need, w)
	ending := slices.Clone(w.tasks)
	slices.SortStableFunc(ending, func(a, b *task) int { return cmp.Compare(a.expectedEnd(now), b.expectedEnd(now)) })
	free, found := w.free(), 0
	for at, i := now, 0; found < count; i++ {
		for found < count && found < countFits(free, charge) {
			list = append(list, opening{at, w})
			found++
		}
		if i == len(ending) || ending[i].expectedEnd(now) == forever {
			break
		}
		free = free.Plus(ending[i].charge)
		at = max(at, ending[i].expectedEnd(now))
	}
	return list
}

// reservable reports whether the worker may be reserved for the unit. A gang that has waited for
// gangTakeoverDelay may take over workers reserved for single tasks; otherwise these reservations
// could cover all workers for ever.
func (w *worker) reservable(now clock.Millis, t *task) bool {
	r := w.reservation
	if r == nil {
		return true
	}
	return t.job.gang && !r.unit.job.gang && now-max(t.acceptedAt, t.notBefore) >= gangTakeoverDelay
}

// visitSampledWorkers calls visit for up to limit workers, starting at a random rack.
func (s *Scheduler) visitSampledWorkers(limit int, visit func(*worker)) {
	count := len(s.racks)
	if count == 0 {
		return
	}
	offset := s.rng.IntN(count)
	for i := range count {
		for _, w := range s.racks[(offset+i)%count].workers {
			if w.pool < 0 {
				continue
			}
			visit(w)
			if limit--; limit == 0 {
				return
			}
		}
	}
}

// preemptForGang stops tasks of lower classes for an urgent gang if that frees enough on all its
// reserved workers.
func (s *Scheduler) preemptForGang(now clock.Millis, r *reservation) {
	var all []*task
	var taken [3]model.Size
	for _, h := range r.slots {
		if h.amount.FitsIn(h.worker.free()) {
			continue
		}
		victims := s.chooseVictims(now, h.worker, h.amount, &taken)
		if victims == nil {
			return
		}
		all = append(all, victims...)
	}
	s.stopVictims(now, all)
	r.expectedStart = now + preemptStopTime
}
