package plan_test

import (
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/plan"
)

// Guards against a task that runs again although its worker, which was drained and then left, had listed its success:
// the answer was lost with the worker's connections (TWICE, seen on a drained worker that left 31 ms after the end).
func TestListedEndsOfLeavingWorkerAreKept(t *testing.T) {
	const departure = 3 * clock.Second
	for taskEnd := departure - 500; taskEnd < departure+plan.LeaveSettleTime+commitTime; taskEnd += 10 {
		sim := newSimulation(t, 1)
		sim.configure(newQueue("/a/"))
		first := true
		sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) {
			if !first {
				return 500, false
			}
			first = false
			return sim.state.Workers()["w"].StartedAt + taskEnd - sim.now, false
		}
		sim.startLeader()
		f := sim.addWorker("w", smallTask)
		f.losesAnswers = true
		sim.run(clock.Second)
		sim.submit("/a/", "1", flow.Step{Count: 1, Need: smallTask, Estimate: 2 * clock.Second})
		sim.run(500)
		f.Leaving, f.Seq = true, 2
		sim.apply(ledger.RegisterWorker{Worker: f.Worker})
		sim.addWorker("v", smallTask)
		sim.run(departure - 1500)
		sim.apply(ledger.RegisterWorker{Worker: f.WithLeft()})
		sim.run(plan.LeaveSettleTime) // its announcement is acknowledged, and its process ends
		f.alive = false
		sim.run(20 * clock.Second)
		sim.requireCompleted()
		task := flow.Task{Job: "1"}
		if starts := sim.starts[task]; f.listedDone[task] && starts > 1 {
			t.Errorf("task that ended %d ms after the worker's departure was listed as done and started %d times", taskEnd-departure, starts)
		}
	}
}

// Guards against tasks that start elsewhere while their worker, which has announced its end, still runs them (TWICE): the
// link is cut before the acknowledgement arrives, refuses connections, and the process lives on for some seconds.
func TestTasksOfWorkerCutOffAsItLeavesRunOnce(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 12 * clock.Second, false }
	sim.startLeader()
	f := sim.addWorker("w0", workerSize)
	sim.run(2 * lease)
	sim.submit("/a/", "1", flow.Step{Count: 2, Need: smallTask, Estimate: 12 * clock.Second})
	sim.run(clock.Second)
	sim.addWorker("w1", workerSize)
	f.Leaving, f.Seq = true, 2
	sim.apply(ledger.RegisterWorker{Worker: f.Worker})
	sim.run(3 * clock.Second)
	sim.apply(ledger.RegisterWorker{Worker: f.WithLeft()})
	f.partitioned, f.refuses = true, true
	sim.run(4 * clock.Second)
	f.alive = false
	sim.run(30 * clock.Second)
	sim.requireCompleted()
}
