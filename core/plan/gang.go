package plan

import (
	"cmp"
	"slices"

	"vanillabridge/core/model"
)

// placeGang places all tasks of a gang at once, or none. A gang whose tickets have expired reserves
// its capacity while they are renewed. A gang that has waited for gangAccumulateDelay accumulates
// capacity by reservations as it becomes free.
func (p *Planner) placeGang(ps *pass, st *step, fits bool) {
	count := len(st.waitingTasks())
	if count == 0 {
		return
	}
	if (fits && (st.accumulates || p.hasNewCapacity(ps, st))) || st.waitingSuspects() > 0 {
		if list := p.chooseGangWorkers(ps, st, count, permissionValid); list != nil {
			p.assignGang(st, list)
			return
		}
		if list := p.chooseGangWorkers(ps, st, count, permissionExpired); list != nil {
			p.reserve(st, list)
			p.requestReservedTickets(st, list)
			return
		}
	}
	total := p.totalSlots(ps, st)
	if p.cfg.Features.Overload && !st.spec.OneRack {
		p.drainFor(ps, st, total)
		return
	}
	if st.job.Queue.TicketPolicy != nil && total < gangCapacityFactor*count {
		// If the permitted workers hold little more than the gang, it can start only when nearly all of
		// them are free at once.
		p.requestFurtherTickets(ps, st, 0)
	}
	if total < count || p.now-st.readyAt < gangAccumulateDelay || !p.mayAccumulate(ps, st) {
		return
	}
	ps.accumulatingGangs++
	if !fits {
		return
	}
	count -= st.waitingSuspects() // their workers are isolated instead
	list := p.gatherWorkers(ps, st, count, permissionExpired)
	p.reserve(st, list)
	if len(list) >= int(ticketRenewalShare*float64(count)) && p.anyTicketExpired(st, list) {
		// The tickets are renewed while the rest of the capacity is accumulated, which shortens the time
		// for which it is reserved.
		p.requestTickets(st, distinctWorkers(append(list, st.tickets.ticketed...)), reasonReserved)
	}
}

// anyTicketExpired reports whether one of the workers has no valid ticket.
func (p *Planner) anyTicketExpired(st *step, list []*worker) bool {
	return slices.ContainsFunc(list, func(w *worker) bool { return st.permission(p.now, w) < permissionValid })
}

// hasNewCapacity reports whether a permitted worker may have more free capacity than when the
// placement of the step was last tried.
func (p *Planner) hasNewCapacity(ps *pass, st *step) bool {
	candidates := ps.candidates(st)
	p.workersConsidered += uint64(len(candidates))
	for _, w := range candidates {
		if w.wasSchedulable && st.freeSlots(w) > 0 && st.permission(p.now, w) >= permissionExpired {
			return true
		}
	}
	return false
}

// permittedWorkers returns the workers known to be permitted to run a step: all schedulable workers
// of its pool if the queue needs no tickets. Those with a ticket need not be schedulable.
func (ps *pass) permittedWorkers(st *step) []*worker {
	if st.job.Queue.TicketPolicy == nil {
		return ps.schedulable[st.job.Queue.Pool]
	}
	return st.tickets.ticketed
}

// chooseGangWorkers returns a worker for each task of a gang in the order of their index, or nil if not all of them
// fit.
func (p *Planner) chooseGangWorkers(ps *pass, st *step, count int, minimum permission) []*worker {
	if st.waitingSuspects() == 0 {
		list := p.gatherWorkers(ps, st, count, minimum)
		if len(list) < count {
			return nil
		}
		return list
	}
	forSuspects, ok := p.suspectWorkers(ps, st, minimum)
	if !ok {
		return nil
	}
	p.reserve(st, forSuspects)
	others := p.gatherWorkers(ps, st, count-len(forSuspects), minimum)
	p.releaseReservationsInPass(st)
	if len(forSuspects)+len(others) < count {
		return nil
	}
	var list []*worker
	for _, index := range st.waitingTasks() {
		from := &others
		if st.suspects[index] {
			from = &forSuspects
			p.isolate(forSuspects[0], st)
		}
		list = append(list, (*from)[0])
		*from = (*from)[1:]
	}
	return list
}

// gatherWorkers returns the workers for up to count tasks of a gang, each listed once per task, those
// with most free slots first: the fewer workers a gang uses, the fewer failures can end it.
func (p *Planner) gatherWorkers(ps *pass, st *step, count int, minimum permission) []*worker {
	candidates := ps.permittedWorkers(st)
	p.workersConsidered += uint64(len(candidates))
	available := p.gatherScratch[:0]
	for _, w := range candidates {
		if n := st.freeSlots(w); n > 0 && w.wasSchedulable && st.eligible(w) && st.permission(p.now, w) >= minimum {
			available = append(available, workerSlots{w, n})
		}
	}
	p.gatherScratch = available
	available = p.sortBySlots(available)
	if p.cfg.Features.Overload {
		fastFirst(available)
	}
	if st.spec.OneRack {
		byRack := map[model.Rack]int{}
		for _, r := range available {
			byRack[r.worker.Rack] += r.slots
		}
		slices.SortStableFunc(available, func(a, b workerSlots) int {
			return cmp.Compare(min(byRack[b.worker.Rack], count), min(byRack[a.worker.Rack], count))
		})
	}
	var list []*worker
	for _, r := range available {
		for range min(r.slots, count-len(list)) {
			list = append(list, r.worker)
		}
	}
	return list
}

// totalSlots returns how many tasks of a gang would fit on the permitted workers if these had only their long-running
// tasks.
func (p *Planner) totalSlots(ps *pass, st *step) int {
	total := 0
	candidates := ps.permittedWorkers(st)
	p.workersConsidered += uint64(len(candidates))
	for _, w := range candidates {
		if w.wasSchedulable && st.eligible(w) {
			n := countFits(w.Capacity.Minus(w.lasting), st.spec.Charge())
			if st.spec.MaxPerWorker > 0 {
				n = min(n, st.spec.MaxPerWorker)
			}
			total += n
		}
	}
	return total
}

func (p *Planner) assignGang(st *step, list []*worker) {
	attempt := st.record().HighestAttempt + 1
	for i, w := range list {
		p.assign(st, i, attempt, w)
	}
}
