package place

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// preempt stops tasks of lower classes for the first tasks of a blocked urgent shape. It does so for
// several tasks at once instead of one after the other, because each stop takes two syncs.
func (s *Scheduler) preempt(now clock.Millis, sh *shape, need model.Size) {
	if sh.key.class != model.Urgent || s.capacityShare(sh.teamClass.class.charged)*100 > urgentPreemptPercent {
		return
	}
	left := maxPreemptionsPerStep
	for i := 0; i < len(sh.queue.items) && i < maxPreemptionScan; i++ {
		t := sh.queue.items[i]
		if !t.queued() || s.reservationByUnit[t] != nil {
			continue
		}
		if left == 0 || len(s.reservations) >= maxReservations || !s.preemptForTask(now, t, need) {
			return
		}
		left--
	}
}

// preemptForTask stops tasks of lower classes for an urgent task, on the cheapest of a bounded number
// of workers, and reserves the freed capacity for the task. It reports whether a worker was found.
func (s *Scheduler) preemptForTask(now clock.Millis, t *task, need model.Size) bool {
	var bestVictims []*task
	var bestWorker *worker
	var score clock.Millis
	for i := range s.index.pools {
		if i != poolOf(need) {
			continue
		}
		for range min(maxCandidates, s.index.pools[i].count) {
			w := s.randomWorker(i)
			if w == nil || w.reservation != nil || !t.job.kind.minWorkerSize(t.job.base.Size).FitsIn(w.size) {
				continue
			}
			if t.job.avoids(now, w) || w.health.suspended {
				continue
			}
			victims := s.chooseVictims(now, w, clampCharge(need, w), &[3]model.Size{})
			if c := preemptionCost(now, victims); victims != nil && (bestVictims == nil || c < score) {
				bestVictims, bestWorker, score = victims, w, c
			}
		}
	}
	if bestVictims == nil {
		return false
	}
	s.preemptAndReserve(now, t, bestWorker, clampCharge(need, bestWorker), bestVictims)
	return true
}

func (s *Scheduler) preemptAndReserve(now clock.Millis, t *task, w *worker, need model.Size, victims []*task) {
	s.stopVictims(now, victims)
	s.addReservation(&reservation{
		unit: t, expectedStart: now + preemptStopTime, createdAt: now, noBackfill: true, afterPreemption: true,
		slots: []reservedSlots{{worker: w, count: 1, amount: need}},
	})
}

func (s *Scheduler) stopVictims(now clock.Millis, victims []*task) {
	for _, v := range victims {
		v.preemptedAt = now
		s.orderTask(v, commandStop, "preempted by urgent work")
	}
}

// randomWorker returns a random worker of pool n, or nil.
func (s *Scheduler) randomWorker(n int) *worker {
	p := &s.index.pools[n]
	if p.count == 0 {
		return nil
	}
	k := s.rng.IntN(p.count)
	for _, bucket := range p.buckets {
		if k < len(bucket) {
			return bucket[k]
		}
		k -= len(bucket)
	}
	return nil
}

// chooseVictims returns a minimal set of tasks whose stop frees need on the worker, or nil if there is
// none. Tasks that are already stopping count as free, and no class falls below its floor; taken sums
// up by class the charges of the victims so far.
func (s *Scheduler) chooseVictims(now clock.Millis, w *worker, need model.Size, taken *[3]model.Size) []*task {
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
		if need.FitsIn(free) {
			break
		}
		c := &s.classes[v.job.shape.key.class]
		if !s.staysAboveFloor(c, taken[c.urgency].Plus(v.charge)) {
			continue
		}
		taken[c.urgency] = taken[c.urgency].Plus(v.charge)
		free = free.Plus(v.charge)
		chosen = append(chosen, v)
	}
	if !need.FitsIn(free) {
		return nil
	}
	return dropUnneededVictims(chosen, free, need)
}

// dropUnneededVictims removes victims that are not needed to free need, the costliest first.
func dropUnneededVictims(chosen []*task, free, need model.Size) []*task {
	for i := len(chosen) - 1; i >= 0; i-- {
		if rest := free.Minus(chosen[i].charge); need.FitsIn(rest) {
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
	return v.preemptedAt == 0 || now-v.preemptedAt >= minPreemptInterval
}

// staysAboveFloor reports whether the class, after losing the given charge, still has its floor and
// more than urgent work has, relative to their floors.
func (s *Scheduler) staysAboveFloor(c *class, charge model.Size) bool {
	ratio := s.capacityShare(c.charged.Minus(charge)) * 100 / float64(floorPercent[c.urgency])
	u := &s.classes[model.Urgent]
	urgent := s.capacityShare(u.charged) * 100 / float64(floorPercent[model.Urgent])
	return ratio >= 1 && ratio > urgent
}

// preemptionCost returns the run time that is lost by stopping the victims, plus 1 s for each.
func preemptionCost(now clock.Millis, victims []*task) clock.Millis {
	var sum clock.Millis
	for _, v := range victims {
		sum += clock.Second
		if v.startedAt != 0 && !v.job.checkpoint {
			sum += now - v.startedAt
		}
	}
	return sum
}
