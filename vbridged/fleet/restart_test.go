package fleet

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"vanillabridge/core/clock"
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

// Guards against a leader that keeps a clock reading of a relay's former process: with a clock that was set back no batch
// of the present one would ever be too old to be carried out, and with one that wasn't all might be.
func TestEchoIsOfPresentProcessOfRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNet(t, 1)
		report := func(hasPermit bool, at clock.Millis) clock.Millis {
			n.leader.handleReport("d", relayReport{Term: 1, HasPermit: hasPermit, Clock: at, Conns: 1})
			n.leader.mu.Lock()
			defer n.leader.mu.Unlock()
			return n.leader.links["d"].echo
		}
		for _, back := range []clock.Millis{clock.Hour, 300 * clock.Millisecond, -clock.Hour} {
			now := bubbleClock{}.Now()
			report(true, now)
			report(false, now-back) // a process without a permission yet
			now -= back
			echo := report(true, now+150)
			if relay.IsStale(now+200, echo) || !relay.IsStale(now+151+relay.MaxBatchAge, echo) {
				t.Errorf("clock set back by %s: echo is %s after the newest reading", back, echo-now-150)
			}
			if echo = report(true, now+50); echo != now+150 {
				t.Errorf("clock set back by %s: an overtaken report changes the echo by %s", back, echo-now-150)
			}
			if echo = report(true, now+300+back); echo != now+300+back {
				t.Errorf("late report of the former process: echo %s", echo-now)
			}
			if echo = report(true, now+450); back != 300 && echo != now+450 {
				t.Errorf("after a late report of the former process: echo is %s off", echo-now-450)
			}
			report(false, now)
		}
	})
}
