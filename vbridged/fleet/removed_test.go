package fleet_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/flow"
	"vanillabridge/vbridged/fleet"
	"vanillabridge/vbridged/peer"
)

// core is one of several cores of a domain, which a test stops and starts.
type core struct {
	options  fleet.Options
	domain   *fleet.Domain
	listener net.Listener
}

func (c *core) start(t *testing.T) {
	t.Helper()
	if c.listener == nil {
		l, err := net.Listen("tcp", c.options.Self.Peer)
		if err != nil {
			t.Fatal(err)
		}
		c.listener = l
	}
	d, err := fleet.Open(c.options, fleet.NewMetrics(prometheus.NewRegistry()))
	if err != nil {
		t.Fatal(err)
	}
	d.Serve(c.listener)
	c.domain, c.options.Bootstrap = d, false
}

func (c *core) stop() {
	if c.domain != nil {
		stopDomain(c.domain)
		_ = c.listener.Close()
		c.domain, c.listener = nil, nil
	}
}

// keyConfig returns a configuration in which a team has the given keys.
func keyConfig(version uint64, keys ...string) flow.Config {
	c := newConfig(version)
	team := flow.Team{Name: "team"}
	for _, k := range keys {
		team.Keys = append(team.Keys, flow.HashKey(k))
	}
	c.Access = flow.Access{Enforced: true, Teams: []flow.Team{team}}
	return c
}

func configure(t *testing.T, d *fleet.Domain, c flow.Config) {
	t.Helper()
	waitFor(t, "a committed configuration", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		return d.Configure(ctx, c) == nil
	})
}

// submitAs hands in a job with a key.
func submitAs(f *fleet.Front, key, path string) fleet.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return f.Do(ctx, fleet.Request{
		ID: "r", Kind: fleet.KindSubmit, Host: "h", Path: path, Job: &flow.Job{Steps: []flow.Step{{Count: 1}}}, Key: flow.HashKey(key),
	}).Status
}

// startCores starts a domain of three cores and a front.
func startCores(t *testing.T) ([]*core, *fleet.Front) {
	t.Helper()
	var cores []*core
	var seeds []peer.Address
	for range 3 {
		l, addr := listen(t)
		seeds = append(seeds, addr)
		cores = append(cores, &core{listener: l})
	}
	for i, c := range cores {
		c.options = newOptions(seeds[i], seeds...)
		c.options.DataDir, c.options.TolerableCoreLosses = filepath.Join(t.TempDir(), "data"), 1
		c.start(t)
		t.Cleanup(c.stop)
	}
	l, addr := listen(t)
	f := fleet.NewFront(newOptions(addr, seeds...), fleet.NewMetrics(prometheus.NewRegistry()))
	f.Serve(l)
	t.Cleanup(f.Stop)
	return cores, f
}

// Guards against a removed key that works again: at a core that starts from an old copy of its data folder, at the next
// leader, and after all cores have restarted.
func TestRemovedKeyStaysRemoved(t *testing.T) {
	cores, f := startCores(t)
	configure(t, cores[0].domain, keyConfig(1, "old", "new"))
	waitFor(t, "an accepted submission", func() bool { return submitAs(f, "old", "/a/first") == fleet.StatusDone })
	cores[2].stop()
	saved := filepath.Join(t.TempDir(), "saved")
	if err := os.CopyFS(saved, os.DirFS(cores[2].options.DataDir)); err != nil {
		t.Fatal(err)
	}
	configure(t, cores[0].domain, keyConfig(2, "new"))
	check := func(when string) {
		t.Helper()
		waitFor(t, "an answer to the key that is left "+when, func() bool {
			switch got := submitAs(f, "old", "/a/late"); got {
			case fleet.StatusUnauthorized, fleet.StatusUnavailable, fleet.StatusUnknown: // no leader, or its answer was lost
			default:
				t.Fatalf("submission with the removed key %s: %s", when, got)
			}
			return submitAs(f, "new", "/a/second") == fleet.StatusDone
		})
		if got := submitAs(f, "old", "/a/late"); got != fleet.StatusUnauthorized {
			t.Fatalf("submission with the removed key %s: %s, want %s", when, got, fleet.StatusUnauthorized)
		}
		late := fleet.Request{ID: "r", Kind: fleet.KindState, Host: "h", Path: "/a/late", Key: flow.HashKey("new")}
		if got := f.Do(t.Context(), late).Status; got != fleet.StatusNoJob {
			t.Fatalf("the job of a refused submission %s: %s, want %s", when, got, fleet.StatusNoJob)
		}
	}
	check("after its removal")
	cores[2].options.DataDir = saved
	cores[2].start(t)
	check("with a core of an old data folder")
	cores[0].stop()
	check("after the loss of a core")
	cores[1].stop()
	cores[2].stop()
	for _, c := range cores {
		c.start(t)
	}
	check("after a restart of all cores")
}
