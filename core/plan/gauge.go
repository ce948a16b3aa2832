package plan

import "vanillabridge/core/model"

// Gauge holds statistics of a planner at one moment, for logs and metrics.
type Gauge struct {
	// Workers counts all workers, Open those that could get tasks in the last placement pass.
	Workers, Open int
	// Room is the total capacity of the open workers, Used the part charged by tasks, and Held the part
	// reserved for waiting steps.
	Room, Used, Held model.Size
	// Waiting counts the steps with waiting tasks by class of their rank: those that can still meet the
	// objective, those that can still end within three times the objective, and the rest.
	Waiting [3]int
	// Asks counts the ticket calls in progress, Backlog the callers that are busy with a call.
	Asks, Backlog int
	// Looks counts how often a worker was considered for a step so far.
	Looks uint64
}

// Gauge returns the present statistics of the planner.
func (p *Planner) Gauge() Gauge {
	g := Gauge{Workers: len(p.workers), Asks: len(p.ticketCalls), Looks: p.workersConsidered}
	for _, w := range p.workers {
		if w.wasSchedulable {
			g.Open++
			g.Room, g.Used, g.Held = g.Room.Plus(w.Capacity), g.Used.Plus(w.used), g.Held.Plus(w.reserved)
		}
	}
	for _, st := range p.ready {
		g.Waiting[p.rankOf(st).class]++
	}
	for _, c := range p.callers {
		if c.busyUntil > p.now {
			g.Backlog++
		}
	}
	return g
}
