package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
)

// Guards against a running task that is taken for lost and starts elsewhere (TWICE), because its worker reads the clock
// of a report some time after the list: the report seems newer than the start that it doesn't list.
func TestReportOlderThanItsClockEndsNoTask(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(t, seed+1)
		sim.configure(newQueue("/a/"))
		sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return clock.Millis(200 + sim.rng.IntN(900)), false }
		sim.startLeader()
		for i := range 4 {
			sim.addWorker(fmt.Sprintf("w%d", i), workerSize).slowReports = rand.New(rand.NewPCG(seed, uint64(i)))
		}
		sim.run(2 * lease)
		for i := range 150 {
			sim.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 2, Need: smallTask, Estimate: 600})
			sim.run(100)
		}
		sim.run(20 * clock.Second)
		sim.requireCompleted()
		if n := sim.countRestarts(); n > 0 {
			t.Errorf("seed %d: %d tasks were started again", seed, n)
		}
	}
}

// Guards against a start order that was never carried out whose task waits for longer than the order's validity, two holds
// and the ways of the next order.
func TestTaskOfUnansweredStartStartsAgainSoon(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.startLeader()
	for i := range 2 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
	}
	sim.run(2 * lease)
	sim.swallowStarts = 3 // the order and its repeats
	sim.submit("/a/", "1", flow.Step{Count: 1, Need: smallTask, Estimate: 600})
	const (
		repeats  = 2 * callTimeout
		validity = 1500 * clock.Millisecond
		holds    = 800*clock.Millisecond + 4*transitTime + 50
	)
	sim.run(repeats + validity + holds + 2*commitTime + transitTime + 50)
	if n := sim.starts[flow.Task{Job: "1"}]; n != 1 {
		sim.failf("the task was started %d times, want once", n)
	}
}
