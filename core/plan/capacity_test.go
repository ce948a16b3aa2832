package plan_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// shrinkGrace is how long after its announcement a smaller capacity need not hold for starts. It covers the orders
// on their way; the users allow more, at least 5.5 s.
const shrinkGrace = 2 * clock.Second

// startCapacity returns the capacity that a start must not exceed now.
func (sim *simulation) startCapacity(f *fakeWorker) model.Size {
	if f.shrunkAt != 0 && sim.now < f.shrunkAt+shrinkGrace {
		return f.Capacity.Max(f.formerCapacity)
	}
	return f.Capacity
}

// resize changes the capacity of a worker, which announces it.
func (sim *simulation) resize(f *fakeWorker, size model.Size) {
	f.formerCapacity, f.shrunkAt = sim.startCapacity(f), sim.now
	f.Capacity = size
	f.Seq++
	announced := f.Worker
	sim.after(transitTime+commitTime, func() { sim.apply(ledger.RegisterWorker{Worker: announced}) })
}

// Guards against a step that waits although the capacity of a worker has grown: a pass considers only workers
// with new capacity for it, and these were only workers on which a task had ended.
func TestGrownCapacityIsUsed(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 30 * clock.Second, false }
	sim.startLeader()
	f := sim.addWorker("w", model.Size{CPU: 1000, Memory: 1000})
	sim.run(clock.Second)
	sim.submit("/a/", "1", flow.Step{Count: 2, Need: smallTask, Estimate: 30 * clock.Second})
	sim.run(2 * clock.Second)
	if got := sim.countStarts(); got != 1 {
		t.Fatalf("%d tasks have started on a worker with room for 1", got)
	}
	sim.resize(f, workerSize)
	sim.run(clock.Second)
	if got := sim.countStarts(); got != 2 {
		t.Fatalf("%d tasks have started 1 s after the worker has room for 4, want 2", got)
	}
}

// Guards against the start of a task that no longer fits, because its worker has shrunk while the assignment was being
// committed.
func TestShrunkCapacityHoldsForUnsentStarts(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.startLeader()
	f := sim.addWorker("w", model.Size{CPU: 2000, Memory: 1000})
	sim.run(clock.Second)
	sim.submit("/a/", "1", flow.Step{Count: 2, Need: smallTask, Estimate: 500})
	f.Capacity, f.Seq = model.Size{CPU: 1000, Memory: 1000}, 2
	sim.apply(ledger.RegisterWorker{Worker: f.Worker})
	sim.run(300)
	if got := sim.countStarts(); got != 1 {
		t.Fatalf("%d tasks have started on a worker that has shrunk to room for 1", got)
	}
	sim.run(5 * clock.Second)
	sim.requireCompleted()
}

// Guards against starts that bring a worker over a capacity that has shrunk while it runs tasks (LIMIT), also those
// whose assignment is being committed when it shrinks, and against work that is not done once it has grown again.
func TestChangingCapacityUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, rapid.Uint64().Draw(rt, "seed"))
		sim.configure(newQueue("/a/"), flow.Queue{Name: "b", Prefix: "/b/", TicketPolicy: &flow.TicketPolicy{BaseDuration: 20, PerWorkerMicros: 100, TicketValidity: 2500}})
		sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) {
			return clock.Millis(100 + sim.rng.IntN(4000)), false
		}
		sim.startLeader()
		for i := range 6 {
			sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
		}
		sim.run(2 * lease)
		for i := range rapid.IntRange(1, 30).Draw(rt, "jobs") {
			q := rapid.SampledFrom([]string{"/a/", "/b/"}).Draw(rt, "queue")
			sim.submit(q, fmt.Sprintf("%016x", i+1), flow.Step{
				Count: rapid.IntRange(1, 6).Draw(rt, "count"), Need: smallTask, Estimate: 1000, Gang: rapid.Bool().Draw(rt, "gang"),
			})
			sim.run(clock.Millis(rapid.IntRange(0, 400).Draw(rt, "gap")))
			list := sim.sortedWorkers()
			f := list[rapid.IntRange(0, len(list)-1).Draw(rt, "resized")]
			if share := rapid.SampledFrom([]int64{0, 1, 2, 4, 4}).Draw(rt, "quarters"); f.alive {
				sim.resize(f, model.Size{CPU: workerSize.CPU * model.Millicores(share) / 4, Memory: workerSize.Memory})
			}
			injectFault(rt, sim)
		}
		for _, f := range sim.workers {
			f.partitioned = false
			if f.alive {
				sim.resize(f, workerSize)
			}
		}
		sim.run(90 * clock.Second)
		sim.requireEndedWithCause(nil)
	})
}
