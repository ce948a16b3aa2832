package fleet

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"vanillabridge/core/flow"
	"vanillabridge/core/plan"
	"vanillabridge/core/relay"
)

// heldWorkers answers holds with the attempts in running.
type heldWorkers struct {
	netWorkers
	running []plan.RunningAttempt
}

func (w *heldWorkers) Hold(context.Context, Call, plan.Hold) (plan.HoldAnswered, plan.Failure, error) {
	return plan.HoldAnswered{Running: w.running}, 0, nil
}

// Guards against a restarted relay whose reports have the numbers of its former process, so that the leader takes a
// difference for one to another report: an attempt that runs would not be listed, and start again elsewhere.
func TestReportsOfRestartedRelayAreItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := plan.RunningAttempt{Task: flow.Task{Job: "j"}, Attempt: 1}, plan.RunningAttempt{Task: flow.Task{Job: "k"}, Attempt: 1}
		workers := &heldWorkers{running: []plan.RunningAttempt{first}}
		var atLeader relay.Memory
		hold := func(c *carrier) relay.Delta {
			return *c.makeCall(t.Context(), 1, carriedCall{Class: relay.ClassHold, Worker: "b0", StartedAt: 1, Base: atLeader.Number()}).Report
		}
		// Both begin at the same time of day, as when it is set back between their starts.
		former, present := newCarrier(Options{Clock: bubbleClock{}, Workers: workers}, nil, nil), newCarrier(Options{Clock: bubbleClock{}, Workers: workers}, nil, nil)
		_, atLeader, _ = atLeader.Decode(hold(former))
		workers.running = append(workers.running, second)
		hold(present) // lost
		report, _, ok := atLeader.Decode(hold(present))
		if diff := cmp.Diff(workers.running, report.Running); !ok || diff != "" {
			t.Errorf("report of the restarted relay, decoded %t (-want +got):\n%s", ok, diff)
		}
	})
}
