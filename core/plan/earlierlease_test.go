package plan_test

import (
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/plan"
)

// Guards against a new leader that counts the lease of an earlier one as over because it has sent none itself yet: its second hold
// waits for a free connection, while the worker runs on by the lease that it has.
func TestLeaseOfEarlierLeaderHoldsAfterFirstReport(t *testing.T) {
	const start = 1_000_000
	state := ledger.New()
	task := flow.Task{Job: "1"}
	w := flow.Worker{ID: "w", StartedAt: 5, Pool: "pool", Address: "w", Capacity: workerSize, Seq: 1}
	for _, c := range []ledger.Command{
		ledger.Configure{Config: flow.Config{Version: 1, Pools: []flow.Pool{{Name: "pool"}}, Queues: []flow.Queue{{Name: "a", Host: "h", Prefix: "/a/", Pool: "pool", Timeout: 3000, Stretch: 2, Target: 1000, Attempts: 4}}}},
		ledger.RegisterWorker{Worker: w},
		ledger.Submit{Host: "h", Path: "/a/1", Job: flow.Job{Spec: "1", Steps: []flow.Step{{Count: 1, Need: smallTask, Estimate: 1000}}}, Now: start},
		ledger.Assign{Placements: []ledger.Placement{{Task: task, Attempt: 1, Worker: w.ID, WorkerStartedAt: w.StartedAt}}},
	} {
		state.Apply(c)
	}
	p, _ := plan.New(start, plan.Config{Term: 2, Lease: lease, MaxLease: maxLease, StopTimeout: stopTime, GangTimeout: gangTimeout}, state)
	p.Step(start+10, plan.HoldAnswered{
		Worker: w.Incarnation(), SentAt: start, ReceivedAt: start + 10, Clock: 60_000, Running: []plan.RunningAttempt{{Task: task, Attempt: 1}},
	})
	endedAt := clock.Millis(0)
	for now := clock.Millis(start + 20); endedAt == 0 && now < start+2*maxLease; now += 20 {
		for _, d := range p.Step(now, plan.Tick{}) {
			if e, ok := d.(plan.LogEvent); ok && e.Event == "task ended" {
				endedAt = now
			}
		}
	}
	if endedAt < start+lease || endedAt > start+lease+2*clock.Second {
		t.Errorf("the attempt ends %s after the change of leader, want from %s, the lease, to 2s later", endedAt-start, lease)
	}
}
