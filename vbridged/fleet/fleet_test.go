package fleet_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
	"vanillabridge/vbridged/fleet"
	"vanillabridge/vbridged/peer"
)

// unreachableWorkers is a fleet.Workers whose workers cannot be reached.
type unreachableWorkers struct{}

func (unreachableWorkers) Start(context.Context, fleet.Call, plan.Start) (plan.Verdict, clock.Millis) {
	return plan.VerdictUnknown, 0
}

func (unreachableWorkers) Stop(context.Context, fleet.Call, plan.Stop) (plan.Verdict, clock.Millis) {
	return plan.VerdictUnknown, 0
}

func (unreachableWorkers) Hold(context.Context, fleet.Call, plan.Hold) (plan.HoldAnswered, plan.Failure, error) {
	return plan.HoldAnswered{}, plan.FailureNoAnswer, fault.ErrUnavailable
}

type unavailableTickets struct{}

func (unavailableTickets) Advise(context.Context, string, []model.WorkerID) (fleet.Advice, error) {
	return fleet.Advice{}, fault.ErrUnavailable
}

func listen(t *testing.T) (net.Listener, peer.Address) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	return l, peer.Address{Instance: model.Instance(addr), Peer: addr, HTTP: addr}
}

func newOptions(self peer.Address, seeds ...peer.Address) fleet.Options {
	return fleet.Options{
		Self: self, Seeds: seeds, Bootstrap: true, Lease: 4500, MaxLease: 10_000, JobRetention: 120_000,
		Workers: unreachableWorkers{}, Tickets: unavailableTickets{}, Clock: clock.NewBoot(),
	}
}

// startDomain starts a domain of one core and one front.
func startDomain(t *testing.T) (*fleet.Domain, *fleet.Front) {
	t.Helper()
	l, addr := listen(t)
	o := newOptions(addr, addr)
	o.DataDir = t.TempDir()
	d, err := fleet.Open(o, fleet.NewMetrics(prometheus.NewRegistry()))
	if err != nil {
		t.Fatal(err)
	}
	d.Serve(l)
	frontListener, frontAddr := listen(t)
	f := fleet.NewFront(newOptions(frontAddr, addr), fleet.NewMetrics(prometheus.NewRegistry()))
	f.Serve(frontListener)
	t.Cleanup(f.Stop)
	return d, f
}

func newConfig(version uint64) flow.Config {
	return flow.Config{
		Version: version, Pools: []flow.Pool{{Name: "p"}}, Document: []byte("{}"),
		Queues: []flow.Queue{{Name: "a", Host: "h", Prefix: "/a/", Pool: "p", Timeout: 3000, Stretch: 2}},
	}
}

// stopDomain stops a core. The time-out is short because a single core cannot transfer leadership.
func stopDomain(d *fleet.Domain) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	d.Stop(ctx)
}

// waitFor repeats a check until it succeeds, for at most 10 s.
func waitFor(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for range 200 {
		if check() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", condition)
}

func sendRequest(f *fleet.Front, kind fleet.Kind, path string, job *flow.Job) fleet.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return f.Do(ctx, fleet.Request{ID: "r", Kind: kind, Host: "h", Path: path, Job: job})
}

// Guards against wrong replies on the path of a request through front, leader and log: each status is
// checked, and a repeated submission must result in one job.
func TestRequestReplies(t *testing.T) {
	d, f := startDomain(t)
	defer stopDomain(d)
	job := &flow.Job{Spec: "x", Steps: []flow.Step{{Count: 2}}}
	waitFor(t, "a leader that has no configuration", func() bool {
		return sendRequest(f, fleet.KindSubmit, "/a/j", job).Status == fleet.StatusNoConfig
	})
	if err := d.Configure(context.Background(), newConfig(3)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		kind fleet.Kind
		path string
		want fleet.Reply
	}{
		{fleet.KindState, "/a/j", fleet.Reply{Status: fleet.StatusNoJob}},
		{fleet.KindCancel, "/a/x", fleet.Reply{Status: fleet.StatusNoJob}},
		{fleet.KindSubmit, "/b/j", fleet.Reply{Status: fleet.StatusNoQueue}},
		{fleet.KindSubmit, "/a/j", fleet.Reply{Status: fleet.StatusDone}},
		{fleet.KindSubmit, "/a/j", fleet.Reply{Status: fleet.StatusDone}},
		{fleet.KindPending, "/a/", fleet.Reply{Status: fleet.StatusDone, Pending: 1}},
		{fleet.KindState, "/a/j", fleet.Reply{Status: fleet.StatusDone, Phase: ledger.PhaseQueued}},
		{fleet.KindCancel, "/a/j", fleet.Reply{Status: fleet.StatusDone}},
		{fleet.KindState, "/a/j", fleet.Reply{Status: fleet.StatusDone, Phase: ledger.PhaseCancelled}},
	} {
		got := sendRequest(f, c.kind, c.path, job)
		if got.Status != c.want.Status || got.Phase != c.want.Phase || got.Pending != c.want.Pending {
			t.Errorf("%s %s = %+v, want %+v", c.kind, c.path, got, c.want)
		}
	}
	if err := d.Configure(context.Background(), newConfig(2)); err != nil {
		t.Errorf("Configure with a lower version: %v, want no error", err)
	}
	if c, err := d.Configuration(context.Background()); err != nil || c.Version != 3 {
		t.Errorf("Configuration = version %d, %v; want version 3", c.Version, err)
	}
	bad := newConfig(4)
	bad.Queues[0].Timeout = 0
	if err := d.Configure(context.Background(), bad); !errors.Is(err, fault.ErrInvalid) {
		t.Errorf("Configure with a queue without time-out: %v, want %v", err, fault.ErrInvalid)
	}
}

// Guards against a front that holds requests until their deadline while there is no leader. Requests
// that certainly had no effect must soon be refused with a time to retry.
func TestFrontRejectsQuicklyWithoutLeader(t *testing.T) {
	d, f := startDomain(t)
	waitFor(t, "a leader", func() bool { return sendRequest(f, fleet.KindState, "/a/j", nil).Status == fleet.StatusNoConfig })
	stopDomain(d)
	waitFor(t, "a front that knows no leader", func() bool {
		return sendRequest(f, fleet.KindSubmit, "/a/j", &flow.Job{}).Status == fleet.StatusUnavailable
	})
	var longest time.Duration
	for range 5 {
		start := time.Now()
		reply := sendRequest(f, fleet.KindSubmit, "/a/j", &flow.Job{})
		longest = max(longest, time.Since(start))
		if reply.Status != fleet.StatusUnavailable || reply.RetryAfter <= 0 {
			t.Fatalf("reply = %+v, want status unavailable and a retry time", reply)
		}
	}
	// Requests have a deadline of 3 s. A quarter of it is far more than leaderWaitTimeout, even on a
	// busy machine.
	if longest > 750*time.Millisecond {
		t.Fatalf("slowest refusal took %s, want at most 750ms", longest)
	}
}

// Guards against the loss of the configuration when the only core restarts.
func TestStateSurvivesRestart(t *testing.T) {
	l, addr := listen(t)
	o := newOptions(addr, addr)
	o.DataDir = t.TempDir()
	for run := range 3 {
		d, err := fleet.Open(o, fleet.NewMetrics(prometheus.NewRegistry()))
		if err != nil {
			t.Fatal(err)
		}
		d.Serve(l)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if run == 0 {
			err = d.Configure(ctx, newConfig(7))
		} else {
			var c flow.Config
			if c, err = d.Configuration(ctx); err == nil && c.Version != 7 {
				t.Errorf("run %d: configuration version %d, want 7", run, c.Version)
			}
		}
		cancel()
		if err != nil {
			t.Fatalf("run %d: %v", run, err)
		}
		stopDomain(d)
		o.Bootstrap = false
		if l, err = net.Listen("tcp", addr.Peer); err != nil {
			t.Fatal(err)
		}
	}
	_ = l.Close()
}
