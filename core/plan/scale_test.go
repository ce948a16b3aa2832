package plan_test

import (
	"fmt"
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
)

// considerationsPerStart returns how many workers the planner considers for each task that it starts,
// with the given number of workers and about 600 steps that wait.
func considerationsPerStart(t *testing.T, workers int) float64 {
	sim := newSimulation(t, 1)
	policy := &flow.TicketPolicy{BaseDuration: 20, PerWorkerMicros: 300, TicketValidity: 2500}
	sim.configure(flow.Queue{Name: "a", Prefix: "/a/", TicketPolicy: policy}, flow.Queue{Name: "g", Prefix: "/g/", TicketPolicy: policy})
	sim.isPermitted = func(step string, id model.WorkerID) bool {
		return (len(step)*7+int(id[len(id)-1])+int(step[len(step)-3]))%3 != 0
	}
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 2 * clock.Second, false }
	sim.callers = nil
	for i := range 40 {
		sim.callers = append(sim.callers, model.Instance(fmt.Sprintf("c%d", i)))
	}
	sim.startLeader()
	for i := range workers {
		sim.addWorker(fmt.Sprintf("w%05d", i), workerSize)
	}
	sim.run(1500)
	jobs := 0
	submit := func(n int) {
		for range n {
			jobs++
			if jobs%5 == 0 {
				sim.submit("/g/", fmt.Sprintf("%016x", jobs), flow.Step{Count: 16, Need: smallTask, Estimate: 2000, Gang: true})
				continue
			}
			sim.submit("/a/", fmt.Sprintf("%016x", jobs), flow.Step{Count: 4, Need: smallTask, Estimate: 2000})
		}
	}
	// Twice as much work as fits in the time, so that steps wait all the while.
	submit(workers*4/6 + 600)
	sim.run(500)
	considered, starts := sim.planner.WorkersConsidered(), sim.countStarts()
	sim.run(3 * clock.Second)
	starts = sim.countStarts() - starts
	if starts < workers/2 {
		t.Fatalf("%d starts with %d workers, want at least %d", starts, workers, workers/2)
	}
	waiting := sim.planner.Stats().WaitingSteps
	if n := waiting[0] + waiting[1] + waiting[2]; n < 300 {
		t.Fatalf("%d steps wait with %d workers, want at least 300", n, workers)
	}
	return float64(sim.planner.WorkersConsidered()-considered) / float64(starts)
}

// Guards against a cost of a start that grows with the number of workers: with 1,100 of them the leader
// considered all for each waiting step.
func TestConsideredWorkersPerStartDontGrowWithWorkers(t *testing.T) {
	small := considerationsPerStart(t, 120)
	for _, workers := range []int{1100, 10_000} {
		got := considerationsPerStart(t, workers)
		t.Logf("%d workers: %.1f considered a start, %.1f with 120", workers, got, small)
		if got > 2*small {
			t.Errorf("%d workers: %.1f workers considered a start, want at most %.1f", workers, got, 2*small)
		}
	}
}
