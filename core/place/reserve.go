package place

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// reservation keeps room on workers for a blocked unit. A worker has at most one.
type reservation struct {
	unit   *task
	holds  []hold
	start  clock.Millis // when the room is expected to be free
	made   clock.Millis
	strict bool // no backfill
	claim  bool // waits for preempted tasks
}

type hold struct {
	w      *worker
	n      int
	amount model.Size
}

func (s *Scheduler) book(r *reservation) {
	for _, h := range r.holds {
		if h.w.reserved != nil {
			s.release(h.w.reserved)
		}
		h.w.reserved, h.w.held = r, h.amount
	}
	s.reserved[r.unit] = r
	s.reservations = append(s.reservations, r)
}

func (s *Scheduler) release(r *reservation) {
	for _, h := range r.holds {
		if h.w.reserved == r {
			h.w.reserved, h.w.held = nil, model.Size{}
		}
	}
	delete(s.reserved, r.unit)
	s.reservations = slices.DeleteFunc(s.reservations, func(o *reservation) bool { return o == r })
}

// besides reports whether a task may start on a worker with a reservation for another unit: it
// ends before the reservation starts (backfill), or the reserved room is free without it.
func (w *worker) besides(now clock.Millis, t *task, n model.Size) bool {
	r := w.reserved
	if !r.strict && now < r.start && !t.job.service && now+t.job.duration() <= r.start {
		return true
	}
	from := max(now, r.start)
	kept := w.usable.Minus(w.foreign).Minus(w.held)
	for _, o := range w.tasks {
		if o.end(now) > from {
			kept = kept.Minus(o.charge)
		}
	}
	return n.Fits(kept)
}

// reserve renews reservations and makes new ones for the oldest blocked gang and for the oldest
// blocked tasks of each class.
func (s *Scheduler) reserve(now clock.Millis) {
	for _, r := range slices.Clone(s.reservations) {
		if s.reserved[r.unit] == r {
			s.renew(now, r)
		}
	}
	var blocked [4][]*task // by class, and the gangs
	for i := range s.classes {
		for _, p := range s.classes[i].teams {
			for _, sh := range p.blocked {
				s.addBlocked(now, sh, &blocked)
			}
		}
	}
	for slot, list := range blocked {
		slices.SortFunc(list, compareAge)
		room := s.reservationsOf(slot)
		for _, t := range list[:min(len(list), room)] {
			s.plan(now, t, false)
		}
	}
}

const gangSlot = 3

func slotOf(j *job) int {
	if j.gang {
		return gangSlot
	}
	return int(j.shape.key.class)
}

func (s *Scheduler) addBlocked(now clock.Millis, sh *shape, blocked *[4][]*task) {
	t := sh.head()
	if t == nil || sh.why != blockedRoom || sh.reason != "" || s.reserved[t] != nil {
		return
	}
	if now-max(t.accepted, t.after) >= reserveAfter {
		slot := slotOf(t.job)
		blocked[slot] = append(blocked[slot], t)
	}
}

// reservationsOf returns how many further reservations a class, or the gangs, may have.
func (s *Scheduler) reservationsOf(slot int) int {
	most := 1
	if slot != gangSlot {
		most = min(max(1, len(s.workers)/reserveWorkers), claims/4)
	}
	for _, r := range s.reservations {
		if !r.claim && slotOf(r.unit.job) == slot {
			most--
		}
	}
	return max(most, 0)
}

// renew uses a reservation whose room is free, and drops or replaces one that cannot be kept.
func (s *Scheduler) renew(now clock.Millis, r *reservation) {
	switch {
	case !r.unit.queued():
		s.release(r)
	case s.tryReserved(now, r):
	case r.claim && now-r.made > replanAfter:
		s.release(r)
	case !r.claim && now-r.start > replanAfter:
		s.release(r)
		s.plan(now, r.unit, true)
	}
}

// tryReserved starts the unit if all its reserved room is free.
func (s *Scheduler) tryReserved(now clock.Millis, r *reservation) bool {
	t := r.unit
	if !t.queued() {
		s.release(r)
		return false
	}
	j := t.job
	if j.learningFull() && !j.gang || !j.shape.share.team.withinQuota(j.base.Size, max(1, j.gangSize())) {
		return false
	}
	need := j.kind.need(j.base.Size)
	if j.gang {
		need = s.gangNeed(j)
	}
	sum := 0
	for _, h := range r.holds {
		n, ok := s.room(now, h.w, t, need)
		if !ok || times(h.w.free(), n) < h.n {
			return false
		}
		sum += h.n
	}
	if !j.gang {
		w := r.holds[0].w
		s.assign(t, w, clamp(need, w))
		s.emit(Assign{Placements: []Placement{t.placement()}})
		return true
	}
	if sum < j.open {
		return false
	}
	plan := make([]slots, len(r.holds))
	for i, h := range r.holds {
		plan[i] = slots{h.w, h.n}
	}
	s.release(r)
	s.startGang(j, plan, need)
	return true
}

// opening is the time from which a worker has room for one more task of a unit.
type opening struct {
	at clock.Millis
	w  *worker
}

// plan reserves the workers that are expected to have room first.
func (s *Scheduler) plan(now clock.Millis, t *task, strict bool) {
	j := t.job
	need, count := j.kind.need(j.base.Size), 1
	if j.gang {
		need, count = s.gangNeed(j), j.open
	}
	var list []opening
	s.eachSampled(max(planWorkers, 4*count), func(w *worker) {
		list = s.openings(now, list, w, t, need, count)
	})
	slices.SortStableFunc(list, func(a, b opening) int { return cmp.Compare(a.at, b.at) })
	if len(list) < count {
		return
	}
	list = list[:count]
	r := &reservation{unit: t, start: list[count-1].at, made: now, strict: strict}
	for _, o := range list {
		r.add(o.w, clamp(need, o.w))
	}
	s.book(r)
	if j.gang && j.base.Urgency == model.Urgent {
		s.preemptFor(now, r)
	}
}

func (r *reservation) add(w *worker, need model.Size) {
	for i := range r.holds {
		if r.holds[i].w == w {
			r.holds[i].n++
			r.holds[i].amount = r.holds[i].amount.Plus(need)
			return
		}
	}
	r.holds = append(r.holds, hold{w: w, n: 1, amount: need})
}

// openings adds the times at which the worker gets room for tasks of the unit, as its tasks end.
func (s *Scheduler) openings(now clock.Millis, list []opening, w *worker, t *task, need model.Size, count int) []opening {
	j := t.job
	if !w.reservable(now, t) || w.health.suspended || j.avoids(now, w) || !j.kind.base(j.base.Size).Fits(w.size) {
		return list
	}
	n := clamp(need, w)
	ending := slices.Clone(w.tasks)
	slices.SortStableFunc(ending, func(a, b *task) int { return cmp.Compare(a.end(now), b.end(now)) })
	free, found := w.free(), 0
	for at, i := now, 0; found < count; i++ {
		for found < count && found < times(free, n) {
			list = append(list, opening{at, w})
			found++
		}
		if i == len(ending) || ending[i].end(now) == forever {
			break
		}
		free = free.Plus(ending[i].charge)
		at = max(at, ending[i].end(now))
	}
	return list
}

// reservable reports whether the worker may be reserved for the unit. A gang that has waited long
// takes workers over from single tasks, whose reservations could else cover the fleet for ever.
func (w *worker) reservable(now clock.Millis, t *task) bool {
	r := w.reserved
	if r == nil {
		return true
	}
	return t.job.gang && !r.unit.job.gang && now-max(t.accepted, t.after) >= gangPatience
}

// eachSampled visits up to most workers, starting at a random rack.
func (s *Scheduler) eachSampled(most int, f func(*worker)) {
	count := len(s.racks)
	if count == 0 {
		return
	}
	offset := s.random.IntN(count)
	for i := range count {
		for _, w := range s.racks[(offset+i)%count].workers {
			if w.pool < 0 {
				continue
			}
			f(w)
			if most--; most == 0 {
				return
			}
		}
	}
}

// preemptFor makes room for an urgent gang, if that is possible on all its workers.
func (s *Scheduler) preemptFor(now clock.Millis, r *reservation) {
	var all []*task
	var taken [3]model.Size
	for _, h := range r.holds {
		if h.amount.Fits(h.w.free()) {
			continue
		}
		victims := s.victims(now, h.w, h.amount, &taken)
		if victims == nil {
			return
		}
		all = append(all, victims...)
	}
	s.stopVictims(now, all)
	r.start = now + claimTime
}
