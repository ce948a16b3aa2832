package plan_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// A task that ends the workers that start it may be started fewer than startBudgetAfterCrashes times once it
// has ended maxCrashesBeforeBudget of them. The users state both.
const (
	maxCrashesBeforeBudget  = 3
	startBudgetAfterCrashes = 3
	crashDelay              = 10 * clock.Millisecond // from the start of such a task to the end of the process
	crashRestartDelay       = 3300 * clock.Millisecond
)

// crashWorkerOf ends the process of a worker shortly after the start of a task that does so, and fails the test
// if such a task was started too often.
func (sim *simulation) crashWorkerOf(f *fakeWorker, t flow.Task) {
	if sim.crashesWorker == nil || !sim.crashesWorker(t) {
		return
	}
	if sim.crashesUnder[t] >= maxCrashesBeforeBudget {
		if sim.startsAfterCrashes[t]++; sim.startsAfterCrashes[t] >= startBudgetAfterCrashes {
			sim.failf("task %s is started %d times more after it has ended %d workers", t, startBudgetAfterCrashes, maxCrashesBeforeBudget)
		}
	}
	sim.after(crashDelay, func() {
		if f.alive {
			sim.crash(f, crashRestartDelay)
		}
	})
}

// newCrashSimulation returns a simulation of 8 workers on which tasks take 2 s, and the first task of the job "bad"
// crashes its workers.
func newCrashSimulation(t *testing.T) *simulation {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 2 * clock.Second, false }
	sim.crashingJobs("bad")
	sim.startLeader()
	for i := range 8 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
	}
	sim.run(clock.Second)
	return sim
}

// crashLines returns the log lines about crashed workers and the attempts lost with them, without their times.
func crashLines(sim *simulation) []string {
	var list []string
	for _, line := range sim.logLines {
		if strings.Contains(line, "crashed") {
			_, text, _ := strings.Cut(line, " ")
			list = append(list, text)
		}
	}
	return list
}

// Guards against a log that shows a task that crashes its workers like the tasks lost beside it.
func TestCrashLogTellsStartingTasksFromOthers(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 20 * clock.Second, false }
	sim.startLeader()
	f := sim.addWorker("w", workerSize)
	sim.run(clock.Second)
	sim.submit("/a/", "1", flow.Step{Count: 1, Need: smallTask, Estimate: 20 * clock.Second})
	sim.run(3 * clock.Second)
	sim.submit("/a/", "2", flow.Step{Count: 1, Need: smallTask, Estimate: 20 * clock.Second})
	sim.run(300)
	sim.crash(f, 700)
	sim.run(clock.Second)
	want := []string{
		"task ended 1 1.0.0.0 #1 on w: worker crashed: another worker listens at its address",
		"task ended 2 2.0.0.0 #1 on w: worker crashed at start: within 275ms of its start order: another worker listens at its address",
		"worker crashed   #0 on w: another worker listens at its address; 2 attempts, 1 of them just started",
		"worker isolated 2 2.0.0 #0 on w': for tasks that may have crashed a worker",
	}
	if diff := cmp.Diff(want, crashLines(sim)); diff != "" {
		t.Fatalf("log of the crash (-want +got):\n%s", diff)
	}
}

// crashingJobs makes the first task of each of the named jobs end every worker that starts it.
func (sim *simulation) crashingJobs(ids ...model.JobID) {
	sim.crashesWorker = func(t flow.Task) bool {
		for _, id := range ids {
			if t.Job == id && t.Index == 0 && t.Step == 0 {
				return true
			}
		}
		return false
	}
}

// requireFailedWithCause fails the test unless exactly the named jobs have failed, and all others are completed.
func (sim *simulation) requireFailedWithCause(ids ...model.JobID) {
	sim.t.Helper()
	want := map[model.JobID]ledger.Phase{}
	got := map[model.JobID]ledger.Phase{}
	for id, j := range sim.state.Jobs() {
		want[id], got[id] = ledger.PhaseCompleted, j.Phase()
	}
	for _, id := range ids {
		want[id] = ledger.PhaseFailed
	}
	if diff := cmp.Diff(want, got); diff != "" {
		sim.failf("phases of the jobs (-want +got):\n%s", diff)
	}
}

// Guards against a task that is started again and again although it ends the process of each worker that
// starts it, also by the next leader, and against tasks beside it that are taken for the cause. BUDGET was
// broken so.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for _, leaderChanges := range []bool{false, true} {
			t.Run(fmt.Sprintf("gang=%t,leaders=%t", gang, leaderChanges), func(t *testing.T) {
				sim := newCrashSimulation(t)
				sim.submit("/a/", "bad", flow.Step{Count: 3, Need: smallTask, Estimate: 2000, Gang: gang})
				for i := range 40 {
					sim.submit("/a/", fmt.Sprintf("%016x", i+1), flow.Step{Count: 2, Need: smallTask, Estimate: 2000})
					sim.run(250)
					if leaderChanges && i%8 == 4 {
						sim.startLeader()
					}
				}
				sim.run(40 * clock.Second)
				sim.requireFailedWithCause("bad")
			})
		}
	}
}

// Guards against tasks that are started again beside the task that has ended their worker, and lost with
// the next worker too.
func TestTasksAreLostOnceToTheSameCrashingTask(t *testing.T) {
	sim := newCrashSimulation(t)
	for i := range 40 {
		sim.submit("/a/", fmt.Sprintf("%016x", i+1), flow.Step{Count: 2, Need: smallTask, Estimate: 2000})
		sim.run(250)
		if i == 10 {
			sim.submit("/a/", "bad", flow.Step{Count: 3, Need: smallTask, Estimate: 2000})
		}
	}
	sim.run(40 * clock.Second)
	sim.requireFailedWithCause("bad")
	lostAgain := map[flow.Task]int{}
	for task, n := range sim.crashesUnder {
		if task.Job != "bad" && n > 1 {
			lostAgain[task] = n
		}
	}
	if diff := cmp.Diff(map[flow.Task]int{}, lostAgain); diff != "" {
		t.Fatalf("tasks without fault that lost several workers (-want +got):\n%s", diff)
	}
}

// Guards against a leader that panics when it logs its statistics after a job with a waiting suspect was given up: the
// records of its steps are dropped before the next pass removes them from the queue.
func TestStatsAfterJobWithSuspectsIsGivenUp(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.crashesWorker = func(flow.Task) bool { return true }
	sim.passBeforeApply = true
	sim.startLeader()
	for i := range 5 {
		sim.addWorker(fmt.Sprintf("w%d", i), smallTask)
	}
	sim.run(clock.Second)
	for i := range 40 { // too large for any worker; with so many waiting steps no pass is urgent
		sim.submit("/a/", fmt.Sprintf("%016x", i+1), flow.Step{Count: 1, Need: workerSize, Estimate: 2000})
	}
	sim.submit("/a/", "bad", flow.Step{Count: 5, Need: smallTask, Estimate: 2000})
	sim.run(20 * clock.Second)
	if phase := sim.state.Job("bad").Phase(); phase != ledger.PhaseFailed {
		t.Fatalf("job is %s, want failed", phase)
	}
	if got := sim.planner.Stats().WaitingSuspects; got != 0 {
		t.Fatalf("%d suspects wait although their job is over", got)
	}
}

// Guards against a task that crashes its workers and exceeds its starts because a start was not answered, a
// worker crashed by itself, or another leader took over; and against a job that fails although fewer than two
// workers have crashed under any of its tasks.
func TestCrashingTasksUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, rapid.Uint64().Draw(rt, "seed"))
		sim.configure(newQueue("/a/"), flow.Queue{Name: "b", Prefix: "/b/", TicketPolicy: &flow.TicketPolicy{BaseDuration: 20, PerWorkerMicros: 100, TicketValidity: 2500}})
		sim.isPermitted = func(step string, id model.WorkerID) bool { return (int(step[1])+int(id[1]))%3 != 0 }
		sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) {
			return clock.Millis(100 + sim.rng.IntN(3000)), false
		}
		crashing := map[model.JobID]bool{}
		sim.crashesWorker = func(t flow.Task) bool { return crashing[t.Job] && t.Step == 0 && t.Index == 0 }
		sim.startLeader()
		for i := range 9 {
			sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
		}
		sim.run(2 * lease)
		sim.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.05}).Draw(rt, "lose")
		for i := range rapid.IntRange(1, 25).Draw(rt, "jobs") {
			id := fmt.Sprintf("%016x", i+1)
			crashing[model.JobID(id)] = rapid.IntRange(0, 5).Draw(rt, "crash") == 0
			q := rapid.SampledFrom([]string{"/a/", "/b/"}).Draw(rt, "queue")
			step := flow.Step{
				Count: rapid.IntRange(1, 6).Draw(rt, "count"), Need: smallTask, Estimate: 1000,
				Gang: rapid.Bool().Draw(rt, "gang"), MaxPerWorker: rapid.SampledFrom([]int{0, 2, 3}).Draw(rt, "spread"),
			}
			sim.submit(q, id, step, flow.Step{Count: 2, Need: smallTask, Estimate: 500, After: []int{0}})
			sim.run(clock.Millis(rapid.IntRange(0, 800).Draw(rt, "gap")))
			injectFault(rt, sim)
		}
		sim.lostAnswerShare = 0
		for _, f := range sim.workers {
			f.partitioned = false
		}
		sim.run(120 * clock.Second)
		sim.requireEndedWithCause(crashing)
	})
}

// requireEndedWithCause fails the test unless all jobs have ended, those with a task that crashes its workers have
// failed, and at least two workers have crashed under a task of each failed job.
func (sim *simulation) requireEndedWithCause(crashing map[model.JobID]bool) {
	sim.t.Helper()
	for id, j := range sim.state.Jobs() {
		crashes := 0
		for task, n := range sim.crashesUnder {
			if task.Job == id {
				crashes = max(crashes, n)
			}
		}
		switch {
		case !j.HasEnded():
			sim.failf("job %s is still %s", id, j.Phase())
		case j.Failed && crashes < 2:
			sim.failf("job %s has failed after %d crashes under its tasks", id, crashes)
		case crashing[id] && !j.Failed:
			sim.failf("job %s with a task that crashes its workers is %s", id, j.Phase())
		}
	}
}
