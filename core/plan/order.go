package plan

import "vanillabridge/core/clock"

// rankByRoom is the order under overload (load patterns a and c): a gang counts as due earlier by the time in which it
// finds room, and a step counts as late once its start order and the report of its end would come too late. With
// steps ahead that just miss their objective, those behind would miss theirs too (pattern b).
func rankByRoom(p *Planner, st *step) rank {
	r := p.rankWithLead(st, st.gangLead())
	if r.class == 0 && p.now+st.overhead() > st.latestOnTime {
		r = rank{1, r.start + st.latestUseful - st.latestOnTime}
	}
	return r
}

// overhead returns the time that an attempt takes beyond its expected run: tickets, commits and calls, and what slow
// workers and uneven tasks add.
func (st *step) overhead() clock.Millis {
	total := startOverhead + st.expectedRunTime()*runMarginPercent/100
	if st.job.Queue.TicketPolicy != nil && !st.tickets.answered {
		total += st.job.Queue.TicketPolicy.BaseDuration + maxCallerOverhead
	}
	return total
}

// gangLead returns how much earlier a gang counts as due than a step whose tasks start one by one. A gang finds
// room only as earlier tasks end, so it needs about as long as its own tasks take, and more if it is wide.
func (st *step) gangLead() clock.Millis {
	if !st.spec.Gang {
		return 0
	}
	return min(st.expectedRunTime(), maxGangRoomTime) + maxWideGangLead*clock.Millis(min(st.spec.Count, widestDrainedGang))/widestDrainedGang
}

// mayReserve reports whether another gang may accumulate capacity under overload.
func (p *Planner) mayReserve(ps *pass, st *step) bool {
	pool := st.job.Queue.Pool
	return ps.accumulatingGangs < minAccumulatingGangs || float64(p.reserved[pool]) < maxOverloadReservedShare*float64(ps.capacity[pool])
}
