package plan_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
)

// Guards against tasks that run twice and leases that outlive what the next leader assumes, while relays between leader
// and workers die between an order and its answer, freeze past their permission and wake with old batches, are cut from
// the leader or the workers, answer late or serve the term before.
func TestPromisesThroughFailingRelays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, rapid.Uint64().Draw(rt, "seed"))
		sim.configure(newQueue("/a/"))
		sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) {
			took := 100 + sim.rng.IntN(3000)
			if sim.rng.IntN(4) == 0 {
				took += 6000 // longer than a lease
			}
			return clock.Millis(took), sim.rng.IntN(40) == 0
		}
		sim.isRough = true
		sim.carriers = newCarriers(sim, 3)
		sim.startLeader()
		for i := range 6 {
			sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
		}
		sim.run(2 * lease)
		sim.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "lose")
		for i := range rapid.IntRange(1, 30).Draw(rt, "jobs") {
			step := flow.Step{Count: rapid.IntRange(1, 6).Draw(rt, "count"), Need: smallTask, Estimate: 1000, Gang: rapid.Bool().Draw(rt, "gang")}
			sim.submit("/a/", fmt.Sprintf("%016x", i+1), step, flow.Step{Count: 2, Need: smallTask, Estimate: 500, After: []int{0}})
			sim.run(clock.Millis(rapid.IntRange(0, 800).Draw(rt, "gap")))
			sim.carriers.injectFault(rt)
		}
		sim.lostAnswerShare = 0
		for _, f := range sim.workers {
			f.partitioned = false
		}
		sim.run(90 * clock.Second)
		for id, j := range sim.state.Jobs() {
			if !j.HasEnded() {
				sim.failf("job %s is still %s", id, j.Phase())
			}
		}
		if sim.carriers.carried == 0 {
			sim.failf("no call went through a relay")
		}
	})
}

func (cs *carriers) injectFault(rt *rapid.T) {
	sim := cs.sim
	c := cs.list[rapid.IntRange(0, len(cs.list)-1).Draw(rt, "relay")]
	length := clock.Millis(rapid.IntRange(100, 6000).Draw(rt, "length"))
	switch rapid.IntRange(0, 9).Draw(rt, "fault") {
	case 0:
		if !c.down {
			c.crash(sim, length)
		}
	case 1:
		c.awakeAt = sim.now + length
	case 2:
		c.cutLeader = true
		sim.after(length, func() { c.cutLeader = false })
	case 3:
		c.cutWorkers = true
		sim.after(length, func() { c.cutWorkers = false })
	case 4:
		sim.startLeader()
	case 5:
		// The leader changes while a relay is frozen with the permission and the batches of the former.
		c.awakeAt = sim.now + length
		sim.after(length/2, sim.startLeader)
	case 6:
		injectFault(rt, sim)
	}
}

// Guards against leases that lapse, and tasks that start twice or not at all, when the relays of a large deployment are
// replaced one after the other under load.
func TestTenThousandWorkersThroughReplacedRelays(t *testing.T) {
	const workers = 10_000
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 1500, false }
	sim.carriers = newCarriers(sim, 6)
	sim.startLeader()
	for i := range workers {
		sim.addWorker(fmt.Sprintf("w%05d", i), workerSize)
	}
	sim.run(3 * clock.Second)
	job := 0
	for _, c := range sim.carriers.list {
		c.crash(sim, 2*clock.Second)
		for range 30 {
			job++
			sim.submit("/a/", fmt.Sprintf("%016x", job), flow.Step{Count: 40, Need: smallTask, Estimate: 1500})
			sim.run(100)
		}
	}
	sim.run(15 * clock.Second)
	sim.requireCompleted()
	lapses := 0
	for _, f := range sim.workers {
		for _, e := range f.ends {
			if e.End == ledger.EndLeaseExpired {
				lapses++
			}
		}
	}
	if n := sim.countRestarts(); lapses > 0 || n > 0 {
		t.Errorf("%d leases lapsed and %d tasks were started again, want none", lapses, n)
	}
}
