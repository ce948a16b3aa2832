package plan

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Stats holds statistics of a planner at one moment, for logs and metrics.
type Stats struct {
	// Workers counts all workers, SchedulableWorkers those that could get tasks in the last placement
	// pass.
	Workers, SchedulableWorkers int
	// SchedulableCapacity is the total capacity of the schedulable workers, Used the part charged by
	// tasks, and Reserved the part reserved for waiting steps.
	SchedulableCapacity, Used, Reserved model.Size
	// WaitingSteps counts the steps with waiting tasks by class of their rank: those that can still meet the
	// objective, those that can still end within three times the objective, and the rest.
	WaitingSteps [3]int
	// IsolatedWorkers counts the workers that are kept for suspects, WaitingSuspects the suspects that wait.
	IsolatedWorkers, WaitingSuspects int
	// TicketCalls counts the ticket calls in progress, BusyCallers the callers that are busy with a call.
	TicketCalls, BusyCallers int
	// WorkersConsidered counts how often a worker was considered for a step so far.
	WorkersConsidered uint64
	// Teams holds the statistics of the teams that have jobs, by name. FullFor is how long the workers have been full.
	Teams   []TeamStats
	FullFor clock.Millis
}

// Stats returns the current statistics of the planner.
func (p *Planner) Stats() Stats {
	stats := Stats{Workers: len(p.workers), TicketCalls: len(p.ticketCalls), WorkersConsidered: p.workersConsidered, IsolatedWorkers: len(p.isolated), Teams: p.teamStats(), FullFor: p.fullFor(p.now)}
	for _, w := range p.workers {
		if w.wasSchedulable {
			stats.SchedulableWorkers++
			stats.SchedulableCapacity, stats.Used, stats.Reserved = stats.SchedulableCapacity.Plus(w.Capacity), stats.Used.Plus(w.used), stats.Reserved.Plus(w.reserved)
		}
	}
	for _, st := range p.ready {
		stats.WaitingSteps[p.rankOf(st).class]++
		stats.WaitingSuspects += st.waitingSuspects()
	}
	for _, c := range p.callers {
		if c.busyUntil > p.now {
			stats.BusyCallers++
		}
	}
	return stats
}
