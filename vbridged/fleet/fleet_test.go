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

// nobody stands for workers that can't be reached.
type nobody struct{}

func (nobody) Start(context.Context, uint64, plan.Start) (plan.Verdict, clock.Millis) {
	return plan.VerdictUnknown, 0
}

func (nobody) Stop(context.Context, uint64, plan.Stop) (plan.Verdict, clock.Millis) {
	return plan.VerdictUnknown, 0
}

func (nobody) Hold(context.Context, uint64, plan.Hold) (plan.Reported, plan.Failure, error) {
	return plan.Reported{}, plan.FailureSilent, fault.ErrUnavailable
}

type noTickets struct{}

func (noTickets) Advise(context.Context, string, []model.WorkerID) (fleet.Advice, error) {
	return fleet.Advice{}, fault.ErrUnavailable
}

func listen(t *testing.T) (net.Listener, peer.Address) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := l.Addr().String()
	return l, peer.Address{Instance: model.Instance(at), Peer: at, HTTP: at}
}

func options(self peer.Address, seeds ...peer.Address) fleet.Options {
	return fleet.Options{
		Self: self, Seeds: seeds, Bootstrap: true, Lease: 4500, MaxLease: 10_000, Keep: 120_000,
		Workers: nobody{}, Tickets: noTickets{}, Clock: clock.NewBoot(),
	}
}

// domain starts one core and one front.
func domain(t *testing.T) (*fleet.Domain, *fleet.Front) {
	t.Helper()
	l, at := listen(t)
	o := options(at, at)
	o.Folder = t.TempDir()
	d, err := fleet.Open(o, fleet.NewMetrics(prometheus.NewRegistry()))
	if err != nil {
		t.Fatal(err)
	}
	d.Serve(l)
	fl, fat := listen(t)
	f := fleet.NewFront(options(fat, at), fleet.NewMetrics(prometheus.NewRegistry()))
	f.Serve(fl)
	t.Cleanup(f.Stop)
	return d, f
}

func config(version uint64) flow.Config {
	return flow.Config{
		Version: version, Pools: []flow.Pool{{Name: "p"}}, Document: []byte("{}"),
		Queues: []flow.Queue{{Name: "a", Host: "h", Prefix: "/a/", Pool: "p", Timeout: 3000, Stretch: 2}},
	}
}

// stop ends a core; a lone one has nobody to hand leadership over to.
func stop(d *fleet.Domain) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	d.Stop(ctx)
}

// await repeats a check until it holds.
func await(t *testing.T, what string, check func() bool) {
	t.Helper()
	for range 200 {
		if check() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("not seen in time: %s", what)
}

func do(f *fleet.Front, kind fleet.Kind, path string, job *flow.Job) fleet.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return f.Do(ctx, fleet.Request{ID: "r", Kind: kind, Host: "h", Path: path, Job: job})
}

// Guards the way of a request through front, leader and log: each kind of answer, and a repeated
// submission that is one job.
func TestRequests(t *testing.T) {
	d, f := domain(t)
	defer stop(d)
	job := &flow.Job{Spec: "x", Steps: []flow.Step{{Count: 2}}}
	await(t, "a leader that has no configuration", func() bool {
		return do(f, fleet.KindSubmit, "/a/j", job).Status == fleet.StatusNoConfig
	})
	if err := d.Configure(context.Background(), config(3)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		kind fleet.Kind
		path string
		want fleet.Reply
	}{
		{fleet.KindState, "/a/j", fleet.Reply{Status: fleet.StatusNoJob}},
		{fleet.KindCancel, "/a/j", fleet.Reply{Status: fleet.StatusNoJob}},
		{fleet.KindSubmit, "/b/j", fleet.Reply{Status: fleet.StatusNoQueue}},
		{fleet.KindSubmit, "/a/j", fleet.Reply{Status: fleet.StatusDone}},
		{fleet.KindSubmit, "/a/j", fleet.Reply{Status: fleet.StatusDone}},
		{fleet.KindPending, "/a/", fleet.Reply{Status: fleet.StatusDone, Pending: 1}},
		{fleet.KindState, "/a/j", fleet.Reply{Status: fleet.StatusDone, Phase: ledger.PhaseQueued}},
		{fleet.KindCancel, "/a/j", fleet.Reply{Status: fleet.StatusDone}},
		{fleet.KindState, "/a/j", fleet.Reply{Status: fleet.StatusDone, Phase: ledger.PhaseCancelled}},
	} {
		got := do(f, c.kind, c.path, job)
		if got.Status != c.want.Status || got.Phase != c.want.Phase || got.Pending != c.want.Pending {
			t.Errorf("%s %s = %+v, want %+v", c.kind, c.path, got, c.want)
		}
	}
	if err := d.Configure(context.Background(), config(2)); err != nil {
		t.Errorf("lower version: %v", err)
	}
	if c, err := d.Configuration(context.Background()); err != nil || c.Version != 3 {
		t.Errorf("configuration %d, %v; want 3", c.Version, err)
	}
	bad := config(4)
	bad.Queues[0].Timeout = 0
	if err := d.Configure(context.Background(), bad); !errors.Is(err, fault.ErrInvalid) {
		t.Errorf("invalid configuration: %v", err)
	}
}

// Guards against a front that holds requests which surely had no effect until their deadline while
// there is no leader: the caller is told soon when to come back.
func TestRefusesSoonWithoutLeader(t *testing.T) {
	d, f := domain(t)
	await(t, "a leader", func() bool { return do(f, fleet.KindState, "/a/j", nil).Status == fleet.StatusNoConfig })
	stop(d)
	await(t, "a front that knows no leader", func() bool { return do(f, fleet.KindSubmit, "/a/j", &flow.Job{}).Status == fleet.StatusUnavailable })
	var longest time.Duration
	for range 5 {
		from := time.Now()
		rep := do(f, fleet.KindSubmit, "/a/j", &flow.Job{})
		longest = max(longest, time.Since(from))
		if rep.Status != fleet.StatusUnavailable || rep.Retry <= 0 {
			t.Fatalf("reply = %+v, want unavailable with a time to come back", rep)
		}
	}
	// Requests have 3 s. A quarter of it is far more than the front waits, even on a busy machine.
	if longest > 750*time.Millisecond {
		t.Fatalf("a refusal took %s", longest)
	}
}

// Guards against jobs and configurations that are lost over a restart of the only core.
func TestStateSurvivesRestart(t *testing.T) {
	l, at := listen(t)
	o := options(at, at)
	o.Folder = t.TempDir()
	for life := range 3 {
		d, err := fleet.Open(o, fleet.NewMetrics(prometheus.NewRegistry()))
		if err != nil {
			t.Fatal(err)
		}
		d.Serve(l)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if life == 0 {
			err = d.Configure(ctx, config(7))
		} else {
			var c flow.Config
			if c, err = d.Configuration(ctx); err == nil && c.Version != 7 {
				t.Errorf("life %d: configuration %d, want 7", life, c.Version)
			}
		}
		cancel()
		if err != nil {
			t.Fatalf("life %d: %v", life, err)
		}
		stop(d)
		o.Bootstrap = false
		if l, err = net.Listen("tcp", at.Peer); err != nil {
			t.Fatal(err)
		}
	}
	_ = l.Close()
}
