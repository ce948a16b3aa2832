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
	f := sim.leaveWithTasks()
	f.partitioned, f.refuses = true, true
	sim.run(4 * clock.Second)
	f.alive = false
	sim.run(30 * clock.Second)
	sim.requireCompleted()
}

// Guards against tasks of a worker that has left which wait longer than a long-running task may be without a run.
func TestTasksOfWorkerThatHasLeftStartAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.leaveWithTasks()
	f.alive = false
	sim.run(6 * clock.Second)
	if n := len(sim.members(flow.Task{Job: "1"})); n != 2 {
		sim.failf("6 s after the end of their worker %d tasks run, want 2", n)
	}
	if n := len(sim.state.Workers()); n != 1 {
		sim.failf("the state has %d workers, want 1", n)
	}
}

// leaveWithTasks starts two tasks on a worker, and returns it just after its announcement that it ends.
func (sim *simulation) leaveWithTasks() *fakeWorker {
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
	return f
}

// Guards against jobs that fail because the workers of their tasks left as planned (LOST): such an end is no crash.
func TestPlannedEndOfWorkerIsNoCrash(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.leaveWithTasks()
	f.alive = false
	sim.run(6 * clock.Second)
	for i := range 2 {
		if c := sim.state.Crashes(flow.Task{Job: "1", Index: i}); c.Total != 0 {
			sim.failf("%d crashes are counted under task %d, want 0", c.Total, i)
		}
	}
}

// Guards against tasks that are given to a worker which has left, because an older announcement of it arrives after it was
// removed: nothing remembers that it is gone, so only its answer to a hold may make it usable.
func TestLateAnnouncementOfWorkerThatHasLeftBringsNoTasks(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.leaveWithTasks()
	f.alive = false
	sim.run(6 * clock.Second)
	before := sim.countStarts()
	late := f.Worker
	late.Leaving, late.Seq = false, 1
	sim.apply(ledger.RegisterWorker{Worker: late})
	sim.submit("/a/", "2", flow.Step{Count: 2, Need: workerSize, Estimate: clock.Second})
	sim.run(50 * clock.Second)
	sim.requireCompleted()
	if got := sim.countStarts() - before; got != 2 {
		sim.failf("%d starts after the announcement, want 2 on the other worker", got)
	}
	if n := len(sim.state.Workers()); n != 1 {
		sim.failf("the state has %d workers, want 1: the one that left is dismissed again", n)
	}
}
