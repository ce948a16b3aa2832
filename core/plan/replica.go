package plan

import (
	"maps"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// replica is a planner on which one step is placed without effect on the planner that it was copied from. It shares
// with that one what a placement only reads.
type replica struct {
	*Planner
	step *step // copy of the step, or nil
	// waiting holds the steps that wait.
	waiting []*step
	pass    *pass
}

// copyFor returns a replica for a step, or for a step that is described if it is nil.
func (p *Planner) copyFor(now clock.Millis, st *step) *replica {
	c := *p
	c.now = now
	c.decisions, c.placements, c.attemptEnds, c.runTimes, c.workersWithEnds, c.ready = nil, nil, nil, nil, nil, nil
	c.gatherScratch, c.unknownScratch, c.sortScratch, c.endsScratch = nil, nil, nil, nil
	c.workersByID, c.workersByCapacityGain, c.isolated = nil, nil, nil
	c.ticketCalls, c.reserved, c.teams = maps.Clone(p.ticketCalls), maps.Clone(p.reserved), maps.Clone(p.teams)
	c.callers = make([]*caller, len(p.callers))
	for i, original := range p.callers {
		copied := *original
		c.callers[i] = &copied
	}
	r := &replica{Planner: &c, waiting: p.ready}
	r.copyStep(st)
	c.workers = make(map[model.WorkerID]*worker, len(p.workers))
	copies := make(map[*worker]*worker, len(p.workers))
	for id, original := range p.workers {
		copied := *original
		copied.tasks = maps.Clone(original.tasks)
		c.workers[id], copies[original] = &copied, &copied
	}
	for _, original := range p.isolated {
		if w := copies[original]; w != nil {
			kept := *original.isolation
			if kept.step == st {
				kept.step = r.step
			}
			w.isolation = &kept
			c.isolated = append(c.isolated, w)
		}
	}
	r.moveStep(st, copies)
	if r.step != nil && len(r.step.reservations) > 0 && !r.step.tickets.awaitingTickets {
		r.step.accumulates, r.step.ticketsArrived = !r.step.ticketsArrived, false
		r.releaseReservationsInPass(r.step) // as each pass does before it places steps
	}
	r.pass = r.newPass()
	return r
}

// copyStep copies a step with its job and team.
func (r *replica) copyStep(st *step) {
	if st == nil {
		return
	}
	owner, copied := *st.job, *st
	if owner.team != nil {
		owner.team = r.teamForCopy(owner.team.Name)
	}
	copied.job, copied.tasks = &owner, make(map[int]*task, len(st.tasks))
	copied.waitingCache, copied.waitingStale, copied.placed = nil, true, nil
	r.step = &copied
}

// moveStep lets the copied step refer to the copied workers, and these to it.
func (r *replica) moveStep(st *step, copies map[*worker]*worker) {
	if st == nil {
		return
	}
	// The tasks of other steps of the job keep their step, but have to be known as those of the same job.
	siblings := map[*step]*step{st: r.step}
	for _, w := range copies {
		for key, original := range w.tasks {
			if original.step.job != st.job {
				continue
			}
			sibling := siblings[original.step]
			if sibling == nil {
				copied := *original.step
				copied.job = r.step.job
				sibling = &copied
				siblings[original.step] = sibling
			}
			t := *original
			t.step, t.worker = sibling, w
			w.tasks[key] = &t
		}
	}
	for index, original := range st.tasks {
		t := *original
		t.step = r.step
		if w := copies[original.worker]; w != nil {
			t.worker = w
		}
		r.step.tasks[index] = &t
	}
	r.step.reservations = nil
	for _, kept := range st.reservations {
		if w := copies[kept.worker]; w != nil {
			kept.worker = w
			r.step.reservations = append(r.step.reservations, kept)
		}
	}
	if st.drain != nil {
		planned := *st.drain
		planned.slots = nil
		for _, slots := range st.drain.slots {
			if w := copies[slots.worker]; w != nil {
				planned.slots = append(planned.slots, workerSlots{w, slots.slots})
			}
		}
		r.step.drain = &planned
	}
	tickets := &r.step.tickets
	tickets.byWorker, tickets.ticketed = make(map[*worker]ticket, len(st.tickets.byWorker)), nil
	for original, held := range st.tickets.byWorker {
		if w := copies[original]; w != nil {
			tickets.byWorker[w] = held
		}
	}
	for _, original := range st.tickets.ticketed {
		if w := copies[original]; w != nil {
			tickets.ticketed = append(tickets.ticketed, w)
		}
	}
}

// teamForCopy returns a copy of a team, or nil for the empty name.
func (r *replica) teamForCopy(name string) *team {
	if name == "" {
		return nil
	}
	t := &team{}
	if known := r.teams[name]; known != nil {
		*t = *known
	} else {
		t.Team, _ = r.state.Config().Access.Team(name)
		t.Name = name
	}
	r.teams[name] = t
	return t
}
