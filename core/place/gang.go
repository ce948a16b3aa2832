package place

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// regroup queues a gang whose unfinished tasks all wait. While some are on workers and others are
// not, those on workers are ordered to stop: a gang runs whole or not at all.
func (s *Scheduler) regroup(now clock.Millis, j *job) {
	if !j.gang || j.dropped || j.waiting == 0 {
		return
	}
	if j.placed > 0 {
		j.unfinished(func(t *task) {
			if t.worker != nil {
				s.order(t, commandStop, "another task of the gang is not running")
			}
		})
		return
	}
	if j.queued {
		return
	}
	lead := j.lead()
	if lead == nil {
		return
	}
	j.queued = true
	s.push(now, lead)
}

// lead returns the task that stands for the gang in its queue: the one that may start last.
func (j *job) lead() *task {
	var lead *task
	j.unfinished(func(t *task) {
		if lead == nil || t.after > lead.after {
			lead = t
		}
	})
	return lead
}

// share of a gang's tasks on one worker.
type slots struct {
	w *worker
	n int
}

// tryGang places all tasks of a gang, in as few racks as possible, or none.
func (s *Scheduler) tryGang(now clock.Millis, lead *task) (blockReason, bool) {
	j := lead.job
	if now < j.tried+gangEvery && j.tried != 0 {
		return j.triedWhy, false
	}
	j.tried = now
	need := s.gangNeed(j)
	plan := s.planGang(now, lead, need)
	if plan == nil {
		j.triedWhy = blockedRoom
		return blockedRoom, false
	}
	s.startGang(j, plan, need)
	return 0, true
}

func (s *Scheduler) startGang(j *job, plan []slots, need model.Size) {
	var list []Placement
	next := 0
	j.unfinished(func(t *task) {
		for plan[next].n == 0 {
			next++
		}
		w := plan[next].w
		plan[next].n--
		s.assign(t, w, clamp(need, w))
		list = append(list, t.placement())
	})
	j.queued, j.tried = false, 0
	s.emit(Assign{Placements: list})
}

// gangNeed returns the charge of one task of the gang. The prior shrinks where the whole fleet
// could not hold the gang at it, because no smaller number of its tasks may start to learn.
func (s *Scheduler) gangNeed(j *job) model.Size {
	need := j.kind.need(j.base.Size)
	if j.kind.proved() {
		return need
	}
	for factor := int64(priorFactor); factor > 1; factor-- {
		need = scaled(j.base.Size, factor)
		if s.fleetSlots(need, j.base.Size, j.open) >= j.open {
			return need
		}
	}
	return j.base.Size
}

// planGang finds workers for all tasks of the gang, or returns nil. The smallest rack that holds
// all comes first; else racks are filled in the order of their room.
func (s *Scheduler) planGang(now clock.Millis, lead *task, need model.Size) []slots {
	type option struct {
		r     *rack
		total int
	}
	count := lead.job.open
	var options []option
	sum := 0
	for _, r := range s.racks {
		total := 0
		for _, w := range r.workers {
			total += s.slotsOn(now, w, lead, need, count)
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
	var plan []slots
	for _, o := range options {
		for _, w := range o.r.workers {
			n := min(s.slotsOn(now, w, lead, need, count), count)
			if n > 0 {
				plan = append(plan, slots{w, n})
				count -= n
			}
			if count == 0 {
				return plan
			}
		}
	}
	return nil
}

// slotsOn returns how many of the gang's tasks fit on the worker now.
func (s *Scheduler) slotsOn(now clock.Millis, w *worker, lead *task, need model.Size, most int) int {
	n, ok := s.room(now, w, lead, need)
	if !ok {
		return 0
	}
	free := w.free()
	if w.reserved != nil && w.reserved.unit != lead {
		return 1
	}
	return min(most, times(free, n))
}

// times returns how often need fits into free.
func times(free, need model.Size) int {
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
