package plan_test

import (
	"fmt"
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
)

// Guards against a task that never runs again beside idle workers (LOST): its step was placed while they had capacity that
// they have had ever since, so a mark of the last placement kept it from them when its worker was lost.
func TestTasksOfLostWorkerStartOnIdleOnes(t *testing.T) {
	tickets := &flow.TicketPolicy{BaseDuration: 20, PerWorkerMicros: 100, TicketValidity: 2500}
	for name, step := range map[string]flow.Step{
		"single":       {Count: 1, Need: smallTask, Estimate: 20_000},
		"long-running": {Count: 2, Need: smallTask, Estimate: 1000, LongRunning: true, MaxPerWorker: 1},
		"gang":         {Count: 3, Need: smallTask, Estimate: 20_000, Gang: true},
	} {
		for _, queue := range []string{"/a/", "/t/"} {
			t.Run(name+queue, func(t *testing.T) {
				sim := newSimulation(t, 1)
				sim.configure(newQueue("/a/"), flow.Queue{Name: "t", Prefix: "/t/", TicketPolicy: tickets})
				sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 20 * clock.Second, false }
				sim.startLeader()
				for i := range 6 {
					sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
				}
				sim.run(2 * lease)
				sim.submit(queue, "1", step)
				sim.run(clock.Second)
				lost := sim.members(flow.Task{Job: "1"})[0].f
				lost.alive, lost.vanishes = false, true
				// The lease with its drift, contact, commits, and a ticket call.
				sim.run(lease*104/100 + 3*clock.Second)
				if n := len(sim.members(flow.Task{Job: "1"})); n != step.Count {
					sim.failf("%d of %d tasks run beside 5 idle workers", n, step.Count)
				}
			})
		}
	}
}
