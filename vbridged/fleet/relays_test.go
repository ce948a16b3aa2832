package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
	"vanillabridge/core/outbox"
	"vanillabridge/core/plan"
	"vanillabridge/core/relay"
	"vanillabridge/vbridged/peer"
)

// bubbleClock is the clock of a test's bubble.
type bubbleClock struct{}

func (bubbleClock) Now() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }

// relayNet is a leader with its relays and workers in one process, with a transit of 30 ms between cores.
type relayNet struct {
	leader   *relays
	carriers map[model.Instance]*carrier
	workers  map[model.WorkerID]flow.Worker

	mu     sync.Mutex
	term   uint64
	calls  map[string]int // by calling core, kind and worker
	silent map[model.Instance]bool
	refuse map[model.Instance]error
	// answerTime is how long workers take to answer an order.
	answerTime time.Duration
}

const relayTransit = 30 * time.Millisecond

// newRelayNet starts a leader "a" with relays "b" and "c", each in its own region with some workers.
func newRelayNet(t *testing.T, workersPerRegion int) *relayNet {
	t.Helper()
	n := &relayNet{
		carriers: map[model.Instance]*carrier{}, workers: map[model.WorkerID]flow.Worker{}, term: 1, calls: map[string]int{},
		silent: map[model.Instance]bool{}, refuse: map[model.Instance]error{}, answerTime: time.Millisecond,
	}
	ctx := t.Context()
	var members []Member
	for i, name := range []model.Instance{"a", "b", "c"} {
		zone, region := model.Zone(fmt.Sprintf("z%d", i)), model.Region(fmt.Sprintf("r%d", i))
		members = append(members, Member{Address: peer.Address{Instance: name, Zone: zone, Region: region}, Core: true})
		for k := range workersPerRegion {
			id := model.WorkerID(fmt.Sprintf("%s%d", name, k))
			n.workers[id] = flow.Worker{ID: id, StartedAt: 1, Zone: zone, Address: string(id)}
		}
	}
	options := func(name model.Instance) Options {
		return Options{Self: members[0].Address, MaxDescriptors: 40, Clock: bubbleClock{}, Workers: netWorkers{n, name}}
	}
	n.leader = newRelays(ctx, 1, options("a"), outbox.DivideDescriptors(40), NewMetrics(prometheus.NewRegistry()), n.send)
	for _, name := range []model.Instance{"b", "c"} {
		c := newCarrier(options(name), func(ctx context.Context, _ model.Instance, r relayReport) (relayReply, error) {
			return n.report(ctx, name, r)
		},
			func() (model.Instance, uint64) { return "a", n.currentTerm() })
		n.carriers[name] = c
		go c.run(ctx)
	}
	go runPeriodically(ctx, relayCheckInterval, func() { n.leader.update(bubbleClock{}.Now(), n.workers, members) })
	time.Sleep(1200 * time.Millisecond)
	t.Cleanup(func() { time.Sleep(10 * time.Second) }) // until all goroutines have ended
	return n
}

func (n *relayNet) currentTerm() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.term
}

func (n *relayNet) setSilent(name model.Instance, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[name] = silent
}

func (n *relayNet) isSilent(name model.Instance) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[name]
}

func (n *relayNet) send(ctx context.Context, to model.Instance, b carryBatch) error {
	n.mu.Lock()
	err := n.refuse[to]
	n.mu.Unlock()
	if err != nil {
		return err
	}
	time.Sleep(relayTransit)
	if n.isSilent(to) {
		<-ctx.Done()
		return fault.Wrap(fault.ErrUnknown, "no acknowledgement")
	}
	_, err = n.carriers[to].handleBatch(ctx, "a", b)
	return err
}

func (n *relayNet) report(ctx context.Context, from model.Instance, r relayReport) (relayReply, error) {
	time.Sleep(relayTransit)
	if n.isSilent(from) {
		<-ctx.Done()
		return relayReply{}, fault.Wrap(fault.ErrUnknown, "no reply")
	}
	needed := n.leader.handleReport(from, r)
	time.Sleep(relayTransit)
	return relayReply{Term: n.leader.term, Remaining: 900, Needed: needed}, nil
}

// netWorkers are the workers as one core calls them.
type netWorkers struct {
	n    *relayNet
	core model.Instance
}

func (w netWorkers) call(kind string, id model.WorkerID) {
	w.n.mu.Lock()
	w.n.calls[fmt.Sprintf("%s %s %s", w.core, kind, id)]++
	took := w.n.answerTime
	w.n.mu.Unlock()
	time.Sleep(took)
}

func (w netWorkers) Start(_ context.Context, _ Call, s plan.Start) (plan.Verdict, clock.Millis) {
	w.call("start", s.Worker.ID)
	return plan.VerdictDone, 7
}

func (w netWorkers) Stop(_ context.Context, _ Call, s plan.Stop) (plan.Verdict, clock.Millis) {
	w.call("stop", s.Worker.ID)
	return plan.VerdictDone, 7
}

func (w netWorkers) Hold(_ context.Context, _ Call, h plan.Hold) (plan.HoldAnswered, plan.Failure, error) {
	w.call("hold", h.Worker.ID)
	return plan.HoldAnswered{Clock: h.Expires, Running: []plan.RunningAttempt{{Task: flow.Task{Job: "j"}, Attempt: 1}}}, 0, nil
}

func (n *relayNet) start(id model.WorkerID, timeout clock.Millis) plan.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	v, _ := n.leader.Start(ctx, Call{Fence: 1}, plan.Start{Worker: n.workers[id], Task: flow.Task{Job: "j"}, Attempt: 1})
	return v
}

func (n *relayNet) takeCalls() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	calls := n.calls
	n.calls = map[string]int{}
	return calls
}

// Guards against calls that take the way across regions, and against relays in small deployments.
func TestCallsGoThroughTheCoreNearby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNet(t, 4)
		for id, w := range n.workers {
			if v := n.start(id, orderTimeout); v != plan.VerdictDone {
				t.Errorf("start on %s: %s, want done", id, v)
			}
			report, _, err := n.leader.Hold(t.Context(), Call{Fence: 1}, plan.Hold{Worker: w, Expires: 99})
			if err != nil || report.Clock != 99 || len(report.Running) != 1 {
				t.Errorf("hold of %s: %+v, %v", id, report, err)
			}
		}
		want := map[string]int{}
		for id := range n.workers {
			want[fmt.Sprintf("%s start %s", id[:1], id)], want[fmt.Sprintf("%s hold %s", id[:1], id)] = 1, 1
		}
		if diff := cmp.Diff(want, n.takeCalls()); diff != "" {
			t.Errorf("calls (-want +got):\n%s", diff)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNet(t, 2) // half of the 12 connections for orders
		n.start("b0", orderTimeout)
		if diff := cmp.Diff(map[string]int{"a start b0": 1}, n.takeCalls()); diff != "" {
			t.Errorf("calls in a small deployment (-want +got):\n%s", diff)
		}
	})
	b := outbox.DivideDescriptors(40)
	for workers, want := range map[int][2]bool{4: {false, false}, 5: {false, true}, 6: {false, true}, 7: {true, true}} {
		if got := [2]bool{needsRelays(b, workers, false), needsRelays(b, workers, true)}; got != want {
			t.Errorf("relays with %d workers, unused and used before: %v, want %v", workers, got, want)
		}
	}
}

// Guards against orders that count as not sent although a relay may carry them out, which would run a task twice, and
// against sent ones that a relay refused, which would keep a task waiting.
func TestVerdictsOfOrdersThroughRelays(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(n *relayNet)
		want  plan.Verdict
		calls int
	}{
		{"no fault", func(*relayNet) {}, plan.VerdictDone, 1},
		{"link not connected", func(n *relayNet) { n.refuse["b"] = fault.ErrUnavailable }, plan.VerdictNotSent, 0},
		{"link broke after the batch was written", func(n *relayNet) { n.refuse["b"] = fault.ErrUnknown }, plan.VerdictUnknown, 0},
		{"relay silent before the order arrives", func(n *relayNet) { n.silent["b"] = true }, plan.VerdictUnknown, 0},
		{"relay silent between order and answer", func(n *relayNet) {
			n.answerTime = 200 * time.Millisecond
			time.AfterFunc(100*time.Millisecond, func() { n.setSilent("b", true) })
		}, plan.VerdictUnknown, 1},
		{"relay without permission", func(n *relayNet) { n.carriers["b"].permit = n.carriers["b"].permit.Extend(9, 0, 0) }, plan.VerdictNotSent, 0},
		{"relay knows a newer term", func(n *relayNet) { n.term = 2 }, plan.VerdictNotSent, 0},
		{"relay full", func(n *relayNet) { n.carriers["b"].inHand = 1 << 20 }, plan.VerdictNotSent, 0},
		{"worker's turn does not come", func(n *relayNet) { n.carriers["b"].lanes.enter(context.Background(), n.workers["b0"].Incarnation()) }, plan.VerdictNotSent, 0},
		{"turn of another process of the worker does not come", func(n *relayNet) {
			n.carriers["b"].lanes.enter(context.Background(), flow.Incarnation{ID: "b0", StartedAt: 2})
		}, plan.VerdictDone, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newRelayNet(t, 4)
				n.carriers["b"].mu.Lock()
				n.mu.Lock()
				c.fault(n)
				n.mu.Unlock()
				n.carriers["b"].mu.Unlock()
				if got := n.start("b0", orderTimeout+relayGrace); got != c.want {
					t.Errorf("verdict %q, want %q", got, c.want)
				}
				time.Sleep(time.Second)
				if got := n.takeCalls()["b start b0"]; got != c.calls {
					t.Errorf("%d calls to the worker, want %d", got, c.calls)
				}
			})
		})
	}
}

// Guards against workers that stay with a lost relay, answers of a former relay that are taken for those of the present
// one, and a relay that calls workers after it was cut from the leader for longer than its permission.
func TestWorkersMoveFromLostRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNet(t, 4)
		n.answerTime = 1200 * time.Millisecond // the answer comes after the relay is lost
		done := make(chan plan.Verdict, 1)
		go func() { done <- n.start("b0", 5000) }()
		time.Sleep(100 * time.Millisecond)
		n.setSilent("b", true)
		time.Sleep(time.Second)
		if v := <-done; v != plan.VerdictUnknown {
			t.Errorf("order in progress at a lost relay: %s, want no answer", v)
		}
		n.answerTime = time.Millisecond
		n.takeCalls()
		n.start("b1", orderTimeout)
		calls := n.takeCalls()
		if calls["b start b1"] != 0 || calls["a start b1"]+calls["c start b1"] != 1 {
			t.Errorf("calls while relay b is lost: %v, want one through another core", calls)
		}
		// The permission of the lost relay has run out, so a batch that comes late is refused.
		_, err := n.carriers["b"].handleBatch(t.Context(), "a", carryBatch{Term: 1, Echo: bubbleClock{}.Now(), Calls: []carriedCall{{Worker: "b2", Order: &carriedOrder{}}}})
		if !errors.Is(err, fault.ErrNotLeader) {
			t.Errorf("batch after the permission: %v, want it refused", err)
		}
		n.setSilent("b", false)
		time.Sleep(200 * time.Millisecond)
		// It has a permission again, but batches from before are refused.
		_, err = n.carriers["b"].handleBatch(t.Context(), "a", carryBatch{Term: 1, Echo: bubbleClock{}.Now() - 1500, Calls: []carriedCall{{Worker: "b2", Order: &carriedOrder{}}}})
		if !errors.Is(err, fault.ErrUnavailable) {
			t.Errorf("old batch: %v, want it refused", err)
		}
		time.Sleep(2 * time.Second)
		n.takeCalls()
		n.start("b3", orderTimeout)
		if diff := cmp.Diff(map[string]int{"b start b3": 1}, n.takeCalls()); diff != "" {
			t.Errorf("calls after the relay is back (-want +got):\n%s", diff)
		}
	})
}

// Guards against answers of a former term that a relay reports as those of the present one: the new leader gives the
// same numbers to other calls, and would take a task for started.
func TestAnswersKeepTheirTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNet(t, 4)
		reports := make(chan relayReport, 100)
		c := newCarrier(Options{Clock: bubbleClock{}, Workers: netWorkers{n, "b"}}, func(_ context.Context, _ model.Instance, r relayReport) (relayReply, error) {
			reports <- r
			return relayReply{Term: 2, Remaining: 900}, nil
		}, func() (model.Instance, uint64) { return "a", 1 })
		c.permit = c.permit.Extend(1, bubbleClock{}.Now(), 900)
		c.inHand = 2
		c.addAnswer(1, carriedAnswer{Number: 5, Verdict: plan.VerdictDone}, relay.ClassStart)
		_, term, answers := c.nextReport()
		c.sendReport(t.Context(), "a", 0, nil) // another report brings the permission of the next term
		c.sendReport(t.Context(), "a", term, answers)
		c.addAnswer(1, carriedAnswer{Number: 6, Verdict: plan.VerdictDone}, relay.ClassStart)
		if <-reports; c.permit.Term() != 2 {
			t.Fatalf("permission of term %d, want 2", c.permit.Term())
		}
		if r := <-reports; r.Term != 1 || r.HasPermit || len(r.Answers) != 1 {
			t.Errorf("report %+v, want one answer of term 1 without permission", r)
		}
		if len(c.answers) != 0 {
			t.Errorf("answers %+v of a former term are kept", c.answers)
		}
		for _, r := range []relayReport{{Term: 0, HasPermit: true}, {Term: 1}} {
			n.leader.mu.Lock()
			p := &pendingCall{call: carriedCall{Number: 9}, answer: make(chan carriedAnswer, 1)}
			n.leader.links["b"].pending[9] = p
			n.leader.mu.Unlock()
			r.Answers = []carriedAnswer{{Number: 9, Verdict: plan.VerdictDone}}
			if n.leader.handleReport("b", r); p.over {
				t.Errorf("report %+v ends a call of term 1", r)
			}
		}
	})
}

// Guards against a relay that takes no batches and holds up the workers of the others.
func TestSlowRelaySlowsOnlyItsWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNet(t, 4)
		n.setSilent("b", true)
		for range 2000 {
			go n.start("b0", 600)
		}
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		if v := n.start("c0", orderTimeout); v != plan.VerdictDone {
			t.Errorf("start through the other relay: %s, want done", v)
		}
		// One transit to the relay, one back, and the linger of its answer.
		if took := time.Since(began); took > 3*relayTransit {
			t.Errorf("start through the other relay took %s, want at most %s", took, 3*relayTransit)
		}
		time.Sleep(2 * time.Second)
		n.leader.mu.Lock()
		defer n.leader.mu.Unlock()
		if waiting := len(n.leader.links["b"].pending); waiting != 0 {
			t.Errorf("%d calls wait for the slow relay after their time, want none", waiting)
		}
	})
}
