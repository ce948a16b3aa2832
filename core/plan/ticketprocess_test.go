package plan_test

import (
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
)

// Guards against a ticket that was requested for one process of a worker and is sent to the next one, which rejects it: the worker
// started again between the request and its answer.
func TestTicketOfEarlierProcessIsNotUsed(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(flow.Queue{Name: "b", Prefix: "/b/", TicketPolicy: &flow.TicketPolicy{BaseDuration: 20, PerWorkerMicros: 100, TicketValidity: 2500}})
	sim.ticketCallTime = clock.Second
	sim.startLeader()
	sim.addWorker("w", workerSize)
	sim.run(2 * lease)
	sim.submit("/b/", "1", flow.Step{Count: 1, Need: smallTask, Estimate: 500})
	sim.run(200)
	sim.restart(sim.workers["w"], 100)
	sim.run(1500)
	if n := sim.countStarts(); n > 0 {
		sim.failf("%d starts with the ticket of the earlier process", n)
	}
	sim.run(clock.Second)
	if n := sim.countStarts(); n != 1 {
		sim.failf("%d starts after the second ticket call, want 1", n)
	}
}
