package plan_test

import (
	"fmt"
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
)

// Guards against workers that get no work for good (LOST): they failed what they started for a time, and have a task that
// lasts, which never ends in the success that their trial waits for.
func TestWorkersWithLastingTasksAreTriedAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"), newQueue("/l/"))
	failing := true
	sim.taskWork = func(task flow.Task, _ *fakeWorker) (clock.Millis, bool) {
		if task.Job == "lasting" {
			return 1000 * clock.Second, false
		}
		return 100, failing
	}
	sim.startLeader()
	for i := range 4 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
	}
	sim.run(clock.Second)
	sim.submit("/l/", "lasting", flow.Step{Count: 4, Need: smallTask, Estimate: 1000, LongRunning: true, MaxPerWorker: 1})
	sim.run(clock.Second)
	for i := range 20 {
		sim.submit("/a/", fmt.Sprintf("failing%d", i), flow.Step{Count: 2, Need: smallTask, Estimate: 100})
		sim.run(50)
	}
	sim.run(clock.Second)
	failing = false
	for i := range 20 {
		sim.submit("/a/", fmt.Sprintf("sound%d", i), flow.Step{Count: 2, Need: smallTask, Estimate: 100})
	}
	sim.run(10 * clock.Second)
	for i := range 20 {
		if sim.endedAt[model.JobID(fmt.Sprintf("sound%d", i))] == 0 {
			sim.failf("job sound%d waits beside four workers that are sound and nearly empty", i)
		}
	}
}

// Guards against workers whose trial is itself a task that lasts: no other task would be tried there any more.
func TestLastingTaskCountsAsTrial(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"), newQueue("/l/"))
	failing := true
	sim.taskWork = func(task flow.Task, _ *fakeWorker) (clock.Millis, bool) {
		if task.Job != "lasting" {
			return 100, failing
		}
		return 1000 * clock.Second, false
	}
	sim.startLeader()
	sim.addWorker("w0", workerSize)
	sim.run(clock.Second)
	for i := range 3 {
		sim.submit("/a/", fmt.Sprintf("failing%d", i), flow.Step{Count: 1, Need: smallTask, Estimate: 100})
	}
	sim.run(500)
	failing = false
	sim.submit("/l/", "lasting", flow.Step{Count: 3, Need: smallTask, Estimate: 1000, LongRunning: true})
	sim.run(15 * clock.Second)
	if n := len(sim.members(flow.Task{Job: "lasting"})); n != 3 {
		sim.failf("%d of 3 tasks run on the only worker", n)
	}
}

// Guards against a worker that fails all it starts and, because its trials aren't awaited, draws work again.
func TestFailingWorkerGetsOneTrialAtATime(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"), newQueue("/l/"))
	sim.taskWork = func(task flow.Task, f *fakeWorker) (clock.Millis, bool) {
		if task.Job == "lasting" {
			return 1000 * clock.Second, false
		}
		return 100, f.ID == "w0"
	}
	sim.startLeader()
	for i := range 4 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
	}
	sim.run(clock.Second)
	sim.submit("/l/", "lasting", flow.Step{Count: 4, Need: smallTask, Estimate: 1000, LongRunning: true, MaxPerWorker: 1})
	sim.run(clock.Second)
	for i := range 400 {
		sim.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 1, Need: smallTask, Estimate: 100})
		sim.run(50)
	}
	// Two jobs in 20 s before each suspension of 3, 6, 12 s, with the tasks that start beside each other.
	if n := sim.countRestarts(); n > 20 {
		sim.failf("%d attempts failed on the worker that fails all, want at most 20", n)
	}
}
