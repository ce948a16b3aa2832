package plan

import "vanillabridge/core/model"

// Gauge is what a plan looks like at one moment, for logs and metrics.
type Gauge struct {
	// Workers counts all workers, Open those that may get tasks.
	Workers, Open int
	// Room is the capacity of the open workers; Used is charged by tasks and Held kept for steps.
	Room, Used, Held model.Size
	// Waiting counts the steps with waiting tasks: those that can still end on time, those that can
	// end late, and the rest.
	Waiting [3]int
	// Asks counts the ticket calls in progress, Backlog the callers that are busy with earlier ones.
	Asks, Backlog int
	// Looks is how often a worker was considered for a step so far.
	Looks uint64
}

// Gauge returns what the plan looks like now.
func (p *Planner) Gauge() Gauge {
	g := Gauge{Workers: len(p.workers), Asks: len(p.asks), Looks: p.looks}
	for _, w := range p.workers {
		if w.wasOpen {
			g.Open++
			g.Room, g.Used, g.Held = g.Room.Plus(w.Capacity), g.Used.Plus(w.used), g.Held.Plus(w.held)
		}
	}
	for _, ph := range p.ready {
		g.Waiting[p.rankOf(ph).group]++
	}
	for _, c := range p.callers {
		if c.until > p.now {
			g.Backlog++
		}
	}
	return g
}
