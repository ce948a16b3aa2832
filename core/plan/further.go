package plan

import "vanillabridge/core/model"

// requestReservedTickets requests tickets for workers on which the step has reserved capacity. If a
// call of the step is in progress, its answer is awaited instead. If no call can be made, the
// reservations are released, except those of a gang that accumulates capacity.
func (p *Planner) requestReservedTickets(st *step, list []*worker) {
	if len(list) == 0 {
		return
	}
	switch {
	case st.tickets.callsInProgress > 0 || (p.mayCallNow(st) && p.requestTickets(st, distinctWorkers(list), reasonReserved)):
		st.tickets.awaitingTickets = true
	case !st.accumulates:
		p.releaseReservationsInPass(st)
	}
}

// requestFurtherTickets requests tickets for workers that no call of the step has named yet, those
// with most free slots first. It can do so long before the step is placed, because which workers may
// run the step doesn't change. It names as many workers as probably give enough free slots among
// those that get a ticket, and further ones as long as they make the call little longer. Calls begin
// at different places of the list: otherwise, with equal workers, all steps would name the same ones.
//
// With minSlots above 0 it considers only workers with at least that many free slots, and makes the
// call only if it is expected to give all slots that the step lacks: under load, calls about one or
// two workers at a time would keep all callers busy.
func (p *Planner) requestFurtherTickets(ps *pass, st *step, minSlots int) {
	if st.tickets.callsInProgress > 0 || p.now < st.tickets.nextCallAt || !p.callerAvailable(st) || !p.mayCallNow(st) {
		return
	}
	list := p.unknownScratch[:0]
	total, considered := 0, 0
	var atLeast model.Millicores
	if minSlots > 0 {
		atLeast = st.spec.Charge().CPU
	}
	index := ps.indexByFree(st.job.Queue.Pool)
	index.visit(atLeast, int(p.lastCallNumber)*ticketWorkerStride, func(w *worker) bool {
		considered++
		n := st.freeSlots(w)
		if n >= minSlots && st.eligible(w) && st.permission(p.now, w) == permissionUnknown {
			total += n
			list = append(list, workerSlots{w, n})
		}
		return len(list) < maxTicketCandidates && considered < maxWorkersSearched
	})
	p.workersConsidered += uint64(considered)
	rotate(list, int(p.lastCallNumber)*ticketWorkerStride)
	p.unknownScratch = list
	rate := p.approvalRate(st.job.Queue.Name)
	if minSlots > 0 && float64(total)*rate < float64(p.missingSlots(ps, st)) {
		st.tickets.nextCallAt = p.now + placementRetryDelay
		return
	}
	var chosen []*worker
	need := ticketCapacityFactor * float64(len(st.waitingTasks())) / rate
	needTotal := gangTicketFactor * float64(len(st.waitingTasks())) / rate
	policy := st.job.Queue.TicketPolicy
	extraWorkers := int(extraWorkersTimeShare * float64(policy.BaseDuration*1000) / float64(max(policy.PerWorkerMicros, 1)))
	for i, r := range p.sortBySlots(list) {
		if min(need, needTotal) <= 0 && i >= extraWorkers {
			break
		}
		slotsIfEmpty := float64(countFits(r.worker.Capacity.Minus(r.worker.lasting), st.spec.Charge()))
		need -= max(float64(r.slots), minFreeShare*slotsIfEmpty)
		needTotal -= slotsIfEmpty
		chosen = append(chosen, r.worker)
	}
	reason := reasonFurther
	if !st.tickets.answered {
		reason = reasonFirst
	}
	if p.requestTickets(st, chosen, reason) {
		st.tickets.nextCallAt = p.now + ticketCallInterval
	} else {
		st.tickets.nextCallAt = p.now + placementRetryDelay
	}
}

// missingSlots returns how many free slots the step lacks on permitted workers: for a gang as many
// as it needs to start, but at least 1; for other steps 1.
func (p *Planner) missingSlots(ps *pass, st *step) int {
	if !st.spec.Gang {
		return 1
	}
	count := len(st.waitingTasks())
	return max(1, count-len(p.gatherWorkers(ps, st, count, permissionExpired)))
}
