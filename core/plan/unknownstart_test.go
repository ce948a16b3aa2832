package plan_test

import (
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/plan"
)

// Guards against calls to a process whose start is not known, as an earlier version may have stored it, and against its tasks:
// they must neither start elsewhere while they may run, nor wait for ever.
func TestTasksOfWorkerOfUnknownStart(t *testing.T) {
	for name, announces := range map[string]bool{"silent": false, "announces its start": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.now = 0
			sim.configure(newQueue("/a/"))
			sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 60 * clock.Second, false }
			f := sim.addWorker("w0", workerSize)
			sim.run(10 * clock.Second)
			sim.submit("/a/", "1", flow.Step{Count: 1, Need: smallTask, Estimate: 1000})
			task := flow.Task{Job: "1"}
			sim.apply(ledger.Assign{Placements: []ledger.Placement{{Task: task, Attempt: 1, Worker: f.ID, WorkerStartedAt: f.StartedAt}}})
			sim.handleStart(0, plan.Start{Worker: f.Worker, Task: task, Attempt: 1, Expires: sim.clockOf(f) + maxLease}, f)
			sim.startLeader()
			sim.addWorker("w1", workerSize)
			sim.run(3 * clock.Second)
			if f.fencingToken != 0 {
				sim.failf("the process of unknown start is called")
			}
			wait := maxLease
			if announces {
				f.StartedAt = sim.now
				sim.apply(ledger.RegisterWorker{Worker: f.Worker})
				wait = 0
			}
			sim.run(wait + 2*clock.Second)
			if running := sim.members(task); len(running) != 1 || running[0].r.attempt == 1 {
				sim.failf("after the longest lease, or the stop, %d attempts run, want a second one only", len(running))
			}
		})
	}
}
