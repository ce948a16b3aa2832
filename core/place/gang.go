package place

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// requeueGang queues a gang whose unfinished tasks all wait. If only some are on workers, these are
// ordered to stop, because a gang runs with all its tasks or not at all.
func (s *Scheduler) requeueGang(now clock.Millis, j *job) {
	if !j.gang || j.dropped || j.waitingTasks == 0 {
		return
	}
	if j.placedTasks > 0 {
		j.forEachUnfinished(func(t *task) {
			if t.worker != nil {
				s.orderTask(t, commandStop, "another task of the gang is not running")
			}
		})
		return
	}
	if j.gangQueued {
		return
	}
	lead := j.lead()
	if lead == nil {
		return
	}
	j.gangQueued = true
	s.pushUnit(now, lead)
}

// lead returns the task that represents the gang in the queue: the one with the latest notBefore.
func (j *job) lead() *task {
	var lead *task
	j.forEachUnfinished(func(t *task) {
		if lead == nil || t.notBefore > lead.notBefore {
			lead = t
		}
	})
	return lead
}

// workerSlots is the number of tasks of a gang that one worker gets.
type workerSlots struct {
	worker *worker
	count  int
}

// tryGang places all tasks of a gang, in few racks, or returns why it cannot be placed now.
func (s *Scheduler) tryGang(now clock.Millis, lead *task) (blockReason, bool) {
	j := lead.job
	if now < j.gangTriedAt+gangRetryInterval && j.gangTriedAt != 0 {
		return j.gangBlockedBy, false
	}
	j.gangTriedAt = now
	need := s.gangNeed(j)
	plan := s.planGang(now, lead, need)
	if plan == nil {
		j.gangBlockedBy = blockedByCapacity
		return blockedByCapacity, false
	}
	s.startGang(j, plan, need)
	return 0, true
}

func (s *Scheduler) startGang(j *job, plan []workerSlots, need model.Size) {
	var list []Placement
	next := 0
	j.forEachUnfinished(func(t *task) {
		for plan[next].count == 0 {
			next++
		}
		w := plan[next].worker
		plan[next].count--
		s.assign(t, w, clampCharge(need, w))
		list = append(list, t.placement())
	})
	j.gangQueued, j.gangTriedAt = false, 0
	s.emit(Assign{Placements: list})
}

// gangNeed returns the charge of one task of the gang. While the kind has no estimate, priorFactor is
// lowered as far as needed for the idle fleet to hold the gang: fewer of its tasks cannot be started
// to measure their use.
func (s *Scheduler) gangNeed(j *job) model.Size {
	need := j.kind.initialCharge(j.base.Size)
	if j.kind.hasEstimate() {
		return need
	}
	for factor := int64(priorFactor); factor > 1; factor-- {
		need = scaleSize(j.base.Size, factor)
		if s.countFleetSlots(need, j.base.Size, j.remaining) >= j.remaining {
			return need
		}
	}
	return j.base.Size
}

// planGang returns workers for all tasks of the gang, or nil. It prefers the rack with the least free
// capacity that holds all of them; if no rack does, it fills the racks with most free capacity first.
func (s *Scheduler) planGang(now clock.Millis, lead *task, need model.Size) []workerSlots {
	type option struct {
		r     *rack
		total int
	}
	count := lead.job.remaining
	var options []option
	sum := 0
	for _, r := range s.racks {
		total := 0
		for _, w := range r.workers {
			total += s.countSlots(now, w, lead, need, count)
		}
		if total > 0 {
			options = append(options, option{r, total})
			sum += total
		}
	}
	if sum < count {
		return nil
	}
	slices.SortStableFunc(options, func(a, b option) int {
		if (a.total >= count) != (b.total >= count) {
			if a.total >= count {
				return -1
			}
			return 1
		}
		if a.total >= count {
			return cmp.Compare(a.total, b.total)
		}
		return cmp.Compare(b.total, a.total)
	})
	var plan []workerSlots
	for _, o := range options {
		for _, w := range o.r.workers {
			n := min(s.countSlots(now, w, lead, need, count), count)
			if n > 0 {
				plan = append(plan, workerSlots{w, n})
				count -= n
			}
			if count == 0 {
				return plan
			}
		}
	}
	return nil
}

// countSlots returns how many of the gang's tasks can start on the worker now.
func (s *Scheduler) countSlots(now clock.Millis, w *worker, lead *task, need model.Size, limit int) int {
	charge, ok := s.chargeOn(now, w, lead, need)
	if !ok {
		return 0
	}
	free := w.free()
	if w.reservation != nil && w.reservation.unit != lead {
		return 1
	}
	return min(limit, countFits(free, charge))
}

// countFits returns how many times need fits into free.
func countFits(free, need model.Size) int {
	n := int64(1 << 30)
	if need.CPU > 0 {
		n = min(n, int64(free.CPU/need.CPU))
	}
	if need.Memory > 0 {
		n = min(n, int64(free.Memory/need.Memory))
	}
	if need.Accel > 0 {
		n = min(n, int64(free.Accel/need.Accel))
	}
	return int(max(n, 0))
}
