package plan_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/plan"
)

// Guards against log lines that name a worker but not its process: after a restart, nobody can tell which one a task was
// sent to, and which one answered for it.
func TestLogNamesProcesses(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 60 * clock.Second, false }
	type named struct {
		Event  string
		Worker flow.Incarnation
		Found  clock.Millis
		Starts []clock.Millis
	}
	var got []named
	sim.onLog = func(e plan.LogEvent) {
		if e.Worker.ID != "" || len(e.Starts) > 0 {
			got = append(got, named{e.Event, e.Worker, e.Found, e.Starts})
		}
	}
	sim.startLeader()
	earlier := sim.addWorker("w", workerSize).Incarnation()
	sim.run(2 * lease)
	sim.submit("/a/", "1", flow.Step{Count: 1, Need: smallTask, Estimate: 1000})
	sim.run(clock.Second)
	sim.restart(sim.workers["w"], 100)
	sim.run(clock.Second)
	later := sim.workers["w"].Incarnation()
	want := []named{
		{Event: "worker joins", Worker: earlier},
		{Event: "worker answers", Worker: earlier},
		{Event: "step placed", Starts: []clock.Millis{earlier.StartedAt}},
		{Event: "task stopped", Worker: later},
		{Event: "worker crashed", Worker: earlier, Found: later.StartedAt},
		{Event: "worker joins", Worker: later},
		{Event: "worker answers", Worker: later},
		{Event: "task ended", Worker: earlier, Found: later.StartedAt},
		{Event: "step placed", Starts: []clock.Millis{later.StartedAt}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events that name a process (-want +got):\n%s", diff)
	}
}
