package plan_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

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

// Guards against a job that counts as late, and is passed over by all others, because its own runs failed:
// its objective follows from the work that it needs, failed runs included.
func TestFailedRunsLengthenTheObjective(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	failures := 0
	sim.taskWork = func(task flow.Task, _ *fakeWorker) (clock.Millis, bool) {
		if task.Job == "failing" && failures < 1 {
			failures++
			return 2900, true
		}
		return 3 * clock.Second, false
	}
	sim.startLeader()
	sim.addWorker("w0", workerSize)
	sim.run(500)
	step := flow.Step{Count: 4, Need: smallTask, Estimate: 3000, Gang: true}
	// The objective is 7 s, so a run that begins after 4 s is late; with the failed run it is 10 s.
	submittedAt := sim.now
	sim.submit("/a/", "failing", step)
	sim.run(100)
	for i := range 8 {
		sim.run(1000)
		sim.submit("/a/", fmt.Sprintf("other%d", i), step)
	}
	sim.run(40 * clock.Second)
	if took := sim.endedAt["failing"] - submittedAt; took > 10*clock.Second {
		t.Errorf("the job whose run failed once took %d ms, want at most 10000", took)
	}
}

// Guards against a task that is taken for lost because its worker lists it in a row of which nothing else can be read.
func TestUnknownAttemptIsNotTakenForLost(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.startLeader()
	f := sim.addWorker("w0", workerSize)
	sim.run(500)
	sim.submit("/a/", "j", flow.Step{Count: 2, Need: smallTask, Estimate: 20_000})
	sim.run(300)
	var events []plan.Decision
	for range 2 {
		sim.now++
		events = append(events, sim.planner.Step(sim.now, plan.HoldAnswered{
			Worker: flow.Incarnation{ID: f.ID, StartedAt: f.StartedAt}, SentAt: sim.now, ReceivedAt: sim.now, Clock: sim.clockOf(f),
			Running: []plan.RunningAttempt{{Task: flow.Task{Job: "j"}}},
		})...)
	}
	var ended []string
	for _, d := range events {
		if e, ok := d.(plan.LogEvent); ok && e.Event == "task ended" {
			ended = append(ended, e.Task)
		}
		if s, ok := d.(plan.Stop); ok {
			t.Errorf("attempt %d is stopped", s.Attempt)
		}
	}
	if diff := cmp.Diff([]string{"j.0.0.1"}, ended); diff != "" {
		t.Errorf("tasks taken for lost (-want +got):\n%s", diff)
	}
}
