package plan_test

import (
	"fmt"
	"strings"
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

// Guards against jobs whose tasks fail wherever they run and that keep workers from all other jobs (LOST): each failure counts
// against another worker, and two such jobs, of tasks that last and so have no successes beside them, suspend all of them.
func TestFailingJobsDontSuspendAllWorkers(t *testing.T) {
	const failing = 2
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/l/"))
	sim.taskWork = func(task flow.Task, _ *fakeWorker) (clock.Millis, bool) {
		if strings.HasPrefix(string(task.Job), "failing") {
			return 50, true
		}
		return 1000 * clock.Second, false
	}
	sim.startLeader()
	for i := range 48 {
		sim.addWorker(fmt.Sprintf("w%d", i), model.Size{CPU: 16_000, Memory: 32_000})
	}
	sim.run(clock.Second)
	lasting := flow.Step{Count: 4, Need: model.Size{CPU: 1400, Memory: 600}, Estimate: 1000, LongRunning: true}
	for i := range 38 {
		sim.submit("/l/", fmt.Sprintf("first%d", i), lasting)
		if i%19 == 10 {
			sim.submit("/l/", fmt.Sprintf("failing%d", i), lasting)
		}
		sim.run(80)
	}
	sim.run(7 * clock.Second)
	const maxWait = 9 * clock.Second // 6 s after the last run a task that lasts may have nothing running for 3 s
	for i := range 15 {
		id := fmt.Sprintf("later%d", i)
		sim.submit("/l/", id, lasting)
		sim.run(maxWait)
		if n := len(sim.members(flow.Task{Job: model.JobID(id)})); n != lasting.Count {
			sim.failf("%d of %d tasks of job %s run %v after it was accepted, beside %d failing jobs and with most of the room free", n, lasting.Count, id, maxWait, failing)
		}
	}
}

// Guards against a task that is tried again on a worker on which it failed, while there are workers on which it has not been
// tried: its attempts would be used up though it could be done.
func TestFailedTaskIsTriedOnOtherWorkersFirst(t *testing.T) {
	const failingWorkers = 6
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/l/"))
	attempts := map[model.WorkerID]int{}
	sim.taskWork = func(_ flow.Task, f *fakeWorker) (clock.Millis, bool) {
		attempts[f.ID]++
		if len(attempts) <= failingWorkers {
			return 50, true
		}
		return 1000 * clock.Second, false
	}
	sim.startLeader()
	for i := range failingWorkers + 2 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
	}
	sim.run(clock.Second)
	sim.submit("/l/", "job", flow.Step{Count: 1, Need: smallTask, Estimate: 1000, LongRunning: true})
	sim.run(3 * clock.Second)
	if len(attempts) <= failingWorkers {
		sim.failf("the task was tried on %d workers only: %v", len(attempts), attempts)
	}
}
