package plan

import (
	"cmp"
	"fmt"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// drain is the set of workers that are kept free of later work until a gang can start. Without it, tasks that
// need less than a member of the gang take each piece of capacity as it becomes free, and no piece ever grows
// large enough.
type drain struct {
	plannedAt clock.Millis
	// startAt is when the last member is expected to find room.
	startAt clock.Millis
	slots   []workerSlots
}

// slotTime is when a slot for a member of a gang is expected on a worker.
type slotTime struct {
	worker *worker
	at     clock.Millis
}

// drainFor reserves the free capacity of the workers that are drained for a gang, also pieces that are too small
// for a member.
func (p *Planner) drainFor(ps *pass, st *step, total int) {
	count := len(st.waitingTasks())
	if st.job.Queue.TicketPolicy != nil && total < gangCapacityFactor*count {
		p.requestFurtherTickets(ps, st, 0)
	}
	if total < count || !p.mayReserve(ps, st) {
		return
	}
	ps.accumulatingGangs++
	count -= st.waitingSuspects() // their workers are isolated instead
	if st.drain == nil || p.now-st.drain.plannedAt >= drainPlanInterval {
		first := st.drain == nil
		st.drain = p.planDrain(ps, st, count)
		if first {
			p.logEvent(LogEvent{
				Event: "workers drained for gang", Job: st.name.Job, Task: st.name.StepName(), Attempt: st.record().HighestAttempt + 1,
				Cause: fmt.Sprintf("%d workers for %d tasks, room expected in %d ms", len(st.drain.slots), count, st.drain.startAt-p.now), Age: p.now - st.readyAt,
			})
		}
	}
	if st.drain.startAt-p.now > maxDrainTime {
		return // others may use the room until it is nearer
	}
	var whole []*worker
	need := st.spec.Charge()
	for _, target := range st.drain.slots {
		w := target.worker
		if !w.wasSchedulable {
			continue
		}
		full := min(countFits(w.freeCapacity(), need), target.slots)
		for range full {
			p.reserveDrained(st, w, need)
			whole = append(whole, w)
		}
		if full < target.slots {
			w.claimed = w.claimed.Plus(need.Times(int64(target.slots - full)))
			free := w.freeCapacity()
			p.reserveDrained(st, w, model.Size{CPU: max(min(free.CPU, need.CPU), 0), Memory: max(min(free.Memory, need.Memory), 0)})
		}
	}
	if st.drain.startAt-p.now <= st.ticketCallTime() && p.anyTicketExpired(st, whole) {
		p.requestTickets(st, distinctWorkers(append(whole, st.tickets.ticketed...)), reasonReserved)
	}
}

// ticketCallTime returns the expected time of a ticket call about the permitted workers of the step.
func (st *step) ticketCallTime() clock.Millis {
	policy := st.job.Queue.TicketPolicy
	if policy == nil {
		return 0
	}
	return policy.BaseDuration + clock.Millis(policy.PerWorkerMicros*int64(len(st.tickets.ticketed))/1000) + maxCallerOverhead
}

// reserveDrained reserves capacity of a worker that is drained for a gang.
func (p *Planner) reserveDrained(st *step, w *worker, amount model.Size) {
	if amount.CPU <= 0 && amount.Memory <= 0 {
		return
	}
	if w.drained == (model.Size{}) {
		w.drainedUntil = st.drain.startAt
	}
	w.drainedUntil = min(w.drainedUntil, st.drain.startAt)
	w.drainedInPass = p.passNumber
	w.reserved, w.drained = w.reserved.Plus(amount), w.drained.Plus(amount)
	p.reserved[w.Pool] += amount.CPU
	r := reservation{worker: w, amount: amount, drains: true}
	if amount == st.spec.Charge() { // a piece that is too small holds no task yet
		r.counted = st.spec.Need
	}
	st.addReservation(r)
}

// freeCapacityFor returns the free capacity of a worker for tasks of a step, with what is drained for gangs that
// start later than these tasks end.
func (w *worker) freeCapacityFor(st *step) model.Size {
	if st.endsAt == 0 || w.drained == (model.Size{}) || st.endsAt > w.drainedUntil {
		return w.freeCapacity()
	}
	return w.freeCapacity().Plus(w.drained)
}

// planDrain chooses the permitted workers on which the members of a gang find room first.
func (p *Planner) planDrain(ps *pass, st *step, count int) *drain {
	var times []slotTime
	candidates := ps.permittedWorkers(st)
	p.workersConsidered += uint64(len(candidates))
	for _, w := range candidates {
		if w.wasSchedulable && st.eligible(w) {
			times = p.appendSlotTimes(times, st, w, count)
		}
	}
	slices.SortStableFunc(times, func(a, b slotTime) int {
		return cmp.Compare(a.at+st.slowDelay(a.worker), b.at+st.slowDelay(b.worker))
	})
	times = times[:min(count, len(times))]
	d := &drain{plannedAt: p.now}
	for _, s := range times {
		d.startAt = max(d.startAt, s.at)
		i := slices.IndexFunc(d.slots, func(r workerSlots) bool { return r.worker == s.worker })
		if i < 0 {
			d.slots = append(d.slots, workerSlots{s.worker, 1})
		} else {
			d.slots[i].slots++
		}
	}
	return d
}

// appendSlotTimes appends when members of the step are expected to find room on a worker if it gets no other work.
func (p *Planner) appendSlotTimes(times []slotTime, st *step, w *worker, count int) []slotTime {
	limit := countFits(w.Capacity, st.spec.Charge())
	if st.spec.MaxPerWorker > 0 {
		limit = min(limit, st.spec.MaxPerWorker)
	}
	limit = min(limit, count)
	free, found, at := w.freeCapacity().Minus(w.claimed), 0, p.now
	ends := p.endsScratch[:0]
	for _, t := range w.tasks {
		if t.step.spec.LongRunning {
			continue
		}
		ends = append(ends, expectedEnd{max(p.now, t.expectedEnd(p.now)), t.step.spec.Charge()})
	}
	p.endsScratch = ends
	slices.SortFunc(ends, func(a, b expectedEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.size.CPU, b.size.CPU), cmp.Compare(a.size.Memory, b.size.Memory))
	})
	for next := 0; ; next++ {
		for n := countFits(free, st.spec.Charge()); found < min(n, limit); found++ {
			times = append(times, slotTime{w, at})
		}
		if found >= limit || next == len(ends) {
			return times
		}
		free, at = free.Plus(ends[next].size), ends[next].at
	}
}

// expectedEnd is when capacity of a worker is expected to become free.
type expectedEnd struct {
	at   clock.Millis
	size model.Size
}

// expectedEnd returns when an attempt is expected to end: by its reported progress, or by the expected run time.
func (t *task) expectedEnd(now clock.Millis) clock.Millis {
	if t.stopReason != "" {
		return now
	}
	if t.percent >= minProgressForEnd && t.startedAt > 0 {
		elapsed := t.progressedAt - t.startedAt
		return t.startedAt + elapsed*100/clock.Millis(t.percent)
	}
	return t.startSentAt + t.step.expectedRunTime()
}
