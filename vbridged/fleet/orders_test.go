package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/outbox"
	"vanillabridge/core/plan"
)

// callRecorder is a Workers that records the calls that it gets.
type callRecorder struct{ calls chan string }

func (r callRecorder) Start(_ context.Context, _ Call, s plan.Start) (plan.Verdict, clock.Millis) {
	r.calls <- "start " + s.Task.String()
	return plan.VerdictUnknown, 0
}

func (r callRecorder) Stop(context.Context, Call, plan.Stop) (plan.Verdict, clock.Millis) {
	r.calls <- "stop"
	return plan.VerdictUnknown, 0
}

func (r callRecorder) Hold(context.Context, Call, plan.Hold) (plan.HoldAnswered, plan.Failure, error) {
	r.calls <- "hold"
	return plan.HoldAnswered{}, plan.FailureNoAnswer, context.DeadlineExceeded
}

// manualClock is a clock that a test sets.
type manualClock struct{ now clock.Millis }

func (c *manualClock) Now() clock.Millis { return c.now }

// Guards against a leader that was paused past the end of its lease and, before it learns that another one has
// taken over, renews the leases of workers or sends orders: the other leader counts them as over and starts
// their tasks elsewhere.
func TestPausedLeaderDoesNotCallWorkers(t *testing.T) {
	c := &manualClock{now: 1000}
	r := callRecorder{calls: make(chan string, 10)}
	leaseEnd := clock.Millis(1800)
	d := &Domain{
		options: Options{Clock: c, Workers: r}, state: ledger.New(), metrics: NewMetrics(prometheus.NewRegistry()),
		leaderLease: func() (clock.Millis, uint64) { return leaseEnd, 3 },
	}
	w := flow.Worker{ID: "w", StartedAt: 1, Pool: "p", Address: "a"}
	d.state.Apply(ledger.RegisterWorker{Worker: w})
	planner, _ := plan.New(c.now, plan.Config{Term: 3, Lease: 4500, MaxLease: 6000}, d.state)
	s := &session{
		term: 3, planner: planner, ctx: t.Context(), cancel: func() {}, budget: outbox.DivideDescriptors(0),
		orders: outbox.New[plan.Decision](10), holdSlots: make(chan struct{}, 1), workers: r,
	}
	d.session = s
	act := func() {
		d.mu.Lock()
		d.sendOrders(s)
		d.mu.Unlock()
		if _, ok := d.sendNextHold(s, flow.Incarnation{ID: w.ID, StartedAt: w.StartedAt}, route{}); !ok {
			t.Fatal("no further holds, want that they go on")
		}
	}
	c.now = 7000 // the process was paused
	task := flow.Task{Job: "j"}
	queueOrder(s, w.Incarnation(), task, 1, c.now+startSendTimeout, false, plan.Start{Worker: w, Task: task, Attempt: 1})
	act()
	select {
	case call := <-r.calls:
		t.Errorf("%s after the end of the lease, want no call", call)
	case <-time.After(50 * time.Millisecond):
	}
	leaseEnd = 7900 // no other one has taken over, and the lease is renewed
	act()
	got := map[string]bool{<-r.calls: true, <-r.calls: true}
	if diff := cmp.Diff(map[string]bool{"hold": true, "start j.0.0.0": true}, got); diff != "" {
		t.Errorf("calls with a valid lease (-want +got):\n%s", diff)
	}
}
