package plan_test

import (
	"fmt"
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/plan"
)

// Guards against tasks that wait for a report, and workers that stay closed, after orders that were
// certainly not sent: their capacity is free at once, and the tasks start elsewhere.
func TestTaskOfUnsentOrderStartsElsewhere(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.startLeader()
	for i := range 3 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
	}
	sim.run(500)
	unsent := 0
	sim.loseStart = func(d plan.Start) bool {
		if d.Worker.ID != "w0" {
			return false
		}
		unsent++
		return true
	}
	for i := range 4 {
		sim.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 3, Need: smallTask, Estimate: 500, Gang: i%2 == 0})
	}
	sim.run(3 * clock.Second)
	sim.requireCompleted()
	if unsent == 0 || unsent > 20 {
		t.Errorf("%d orders to the worker without a connection, want a few", unsent)
	}
	if sim.gangTimeouts > 0 {
		t.Errorf("%d gang members ended at their time-out, want none", sim.gangTimeouts)
	}
}
