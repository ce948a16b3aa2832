package place

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// preempt stops tasks of lower classes to make room for a blocked urgent task, on the worker where
// that costs least of a bounded number, and reserves the room for it.
func (s *Scheduler) preempt(now clock.Millis, t *task, need model.Size) {
	if t.job.base.Urgency != model.Urgent || s.reserved[t] != nil || len(s.reservations) >= claims {
		return
	}
	var best []*task
	var at *worker
	var score clock.Millis
	for i := range s.index.pools {
		if i != poolOf(need) {
			continue
		}
		for range min(candidates, s.index.pools[i].count) {
			w := s.sample(i)
			if w == nil || w.reserved != nil || !t.job.kind.base(t.job.base.Size).Fits(w.size) {
				continue
			}
			if t.job.avoids(now, w) || w.health.suspended {
				continue
			}
			victims := s.victims(now, w, clamp(need, w), &[3]model.Size{})
			if c := cost(now, victims); victims != nil && (best == nil || c < score) {
				best, at, score = victims, w, c
			}
		}
	}
	if best == nil {
		return
	}
	s.claim(now, t, at, clamp(need, at), best)
}

func (s *Scheduler) claim(now clock.Millis, t *task, w *worker, need model.Size, victims []*task) {
	s.stopVictims(now, victims)
	s.book(&reservation{
		unit: t, start: now + claimTime, made: now, strict: true, claim: true,
		holds: []hold{{w: w, n: 1, amount: need}},
	})
}

func (s *Scheduler) stopVictims(now clock.Millis, victims []*task) {
	for _, v := range victims {
		v.preempted = now
		s.order(v, commandStop, "preempted by urgent work")
	}
}

// sample returns a random worker of a pool.
func (s *Scheduler) sample(n int) *worker {
	p := &s.index.pools[n]
	if p.count == 0 {
		return nil
	}
	k := s.random.IntN(p.count)
	for _, bucket := range p.buckets {
		if k < len(bucket) {
			return bucket[k]
		}
		k -= len(bucket)
	}
	return nil
}

// victims returns a least set of tasks whose stop makes room for need on the worker, or nil. Tasks
// that stop already count as room, and no class falls below its floor; taken sums up what was
// taken from each class so far.
func (s *Scheduler) victims(now clock.Millis, w *worker, need model.Size, taken *[3]model.Size) []*task {
	free := w.free()
	var list []*task
	for _, v := range w.tasks {
		switch {
		case v.command == commandStop:
			free = free.Plus(v.charge)
		case s.preemptable(now, v):
			list = append(list, v)
		}
	}
	slices.SortFunc(list, compareVictims)
	var chosen []*task
	for _, v := range list {
		if need.Fits(free) {
			break
		}
		c := &s.classes[v.job.shape.key.class]
		if !s.aboveFloor(c, taken[c.urgency].Plus(v.charge)) {
			continue
		}
		taken[c.urgency] = taken[c.urgency].Plus(v.charge)
		free = free.Plus(v.charge)
		chosen = append(chosen, v)
	}
	if !need.Fits(free) {
		return nil
	}
	return spare(chosen, free, need)
}

// spare takes back victims that turned out not to be needed, the costliest first.
func spare(chosen []*task, free, need model.Size) []*task {
	for i := len(chosen) - 1; i >= 0; i-- {
		if rest := free.Minus(chosen[i].charge); need.Fits(rest) {
			free = rest
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen
}

func (s *Scheduler) preemptable(now clock.Millis, v *task) bool {
	if v.job.base.Urgency >= model.Urgent || v.job.gang {
		return false
	}
	return v.preempted == 0 || now-v.preempted >= preemptEvery
}

// aboveFloor reports whether the class keeps its floor without the given charge, and whether it
// holds more, relative to its floor, than urgent work.
func (s *Scheduler) aboveFloor(c *class, less model.Size) bool {
	rest := s.portion(c.held.Minus(less)) * 100 / float64(floorPercent[c.urgency])
	u := &s.classes[model.Urgent]
	urgent := s.portion(u.held) * 100 / float64(floorPercent[model.Urgent])
	return rest >= 1 && rest > urgent
}

// cost is the run time that is lost with the victims.
func cost(now clock.Millis, victims []*task) clock.Millis {
	var sum clock.Millis
	for _, v := range victims {
		sum += clock.Second
		if v.started != 0 && !v.job.checkpoint {
			sum += now - v.started
		}
	}
	return sum
}
