package plan

import "vanillabridge/core/model"

// Gauge holds statistics of a planner at one moment, for logs and metrics.
type Stats struct {
	// Workers counts all workers, Open those that could get tasks in the last placement pass.
	Workers, SchedulableWorkers int
	// Room is the total capacity of the open workers, Used the part charged by tasks, and Held the part
	// reserved for waiting steps.
	SchedulableCapacity, Used, Reserved model.Size
	// Waiting counts the steps with waiting tasks by class of their rank: those that can still meet the
	// objective, those that can still end within three times the objective, and the rest.
	WaitingSteps [3]int
	// Asks counts the ticket calls in progress, Backlog the callers that are busy with a call.
	TicketCalls, BusyCallers int
	// Looks counts how often a worker was considered for a step so far.
	WorkersConsidered uint64
}

// Gauge returns the present statistics of the planner.
func (p *Planner) Stats() Stats {
	g := Stats{Workers: len(p.workers), TicketCalls: len(p.ticketCalls), WorkersConsidered: p.workersConsidered}
	for _, w := range p.workers {
		if w.wasSchedulable {
			g.SchedulableWorkers++
			g.SchedulableCapacity, g.Used, g.Reserved = g.SchedulableCapacity.Plus(w.Capacity), g.Used.Plus(w.used), g.Reserved.Plus(w.reserved)
		}
	}
	for _, st := range p.ready {
		g.WaitingSteps[p.rankOf(st).class]++
	}
	for _, c := range p.callers {
		if c.busyUntil > p.now {
			g.BusyCallers++
		}
	}
	return g
}
