package group_test

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/vbridged/group"
)

func others(c *cluster, name model.Instance) []model.Instance {
	return slices.DeleteFunc(slices.Clone(c.names), func(n model.Instance) bool { return n == name })
}

// Guards against proposals that are lost, applied twice or answered before they are applied, at
// the leader and through another replica.
func TestProposeAnywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nil, "a", "b", "c")
		defer c.close()
		lead := c.leader()
		want := ""
		for i, at := range append(others(c, lead), lead) {
			text := fmt.Sprint("command", i)
			if err := c.propose(at, text); err != nil {
				t.Fatalf("propose at %s: %v", at, err)
			}
			want += text
			if i < 2 {
				want += "\x00"
			}
		}
		for _, n := range c.names {
			if err := c.at(n).Barrier(t.Context()); err != nil {
				t.Fatalf("barrier at %s: %v", n, err)
			}
			if got := c.log(n).text(); got != want {
				t.Errorf("%s applied %q, want %q", n, got, want)
			}
		}
	})
}

// Guards against a group that does not survive the loss of its leader, and against a cut-off
// leader that still confirms reads or proposals.
func TestLeaderCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nil, "a", "b", "c")
		defer c.close()
		lead := c.leader()
		if err := c.propose(lead, "one"); err != nil {
			t.Fatal(err)
		}
		c.setCut(lead, true)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if _, err := c.at(lead).ProposeHere(ctx, []byte("lost")); !errors.Is(err, fault.ErrUnknown) {
			t.Errorf("proposal at a cut-off leader: %v, want ErrUnknown", err)
		}
		if err := c.at(lead).Barrier(ctx); !errors.Is(err, fault.ErrUnavailable) {
			t.Errorf("barrier at a cut-off leader: %v, want ErrUnavailable", err)
		}
		rest := others(c, lead)
		if err := c.propose(rest[0], "two"); err != nil {
			t.Fatalf("propose after the cut: %v", err)
		}
		c.setCut(lead, false)
		if err := c.at(lead).Barrier(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := c.log(lead).text(); got != "one\x00two" {
			t.Errorf("old leader applied %q", got)
		}
	})
}

// Guards against state that is lost when all processes restart with their disks.
func TestRestartFromDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		c := newCluster(t, func(cfg *group.Config) {
			cfg.Folder = filepath.Join(dir, string(cfg.Self))
			cfg.SnapshotEntries = 5
			cfg.Limits.Trail = 0
		}, "a", "b", "c")
		defer c.close()
		want := ""
		for i := range 12 {
			text := fmt.Sprint("v", i)
			if err := c.propose(c.leader(), text); err != nil {
				t.Fatal(err)
			}
			want += "\x00" + text
		}
		self := c.at("a").Status().Self
		c.close()
		for _, n := range c.names {
			c.start(n)
		}
		if got := c.at("a").Status().Self; got != self {
			t.Errorf("identity after restart is %s, was %s", got, self)
		}
		for _, n := range c.names {
			if err := c.at(n).Barrier(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := "\x00" + c.log(n).text(); got != want {
				t.Errorf("%s restored %q, want %q", n, got, want)
			}
		}
	})
}

// Guards against a planned stop that leaves the group without a leader for an election timeout.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nil, "a", "b", "c")
		defer c.close()
		lead := c.leader()
		if err := c.propose(lead, "one"); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if err := c.at(lead).Handover(t.Context()); err != nil {
			t.Fatal(err)
		}
		if next := c.leader(); next == lead {
			t.Errorf("%s still leads", lead)
		}
		if took := time.Since(start); took >= time.Second {
			t.Errorf("handover took %v of simulated time", took)
		}
	})
}

// Guards against a replica without a folder that comes back under its old identity, and against
// one that never regains its vote.
func TestMemoryReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nil, "a", "b", "c")
		defer c.close()
		lead := c.leader()
		if err := c.propose(lead, "one"); err != nil {
			t.Fatal(err)
		}
		lost := others(c, lead)[0]
		before := c.at(lost).Status().Self
		c.stop(lost)
		c.start(lost)
		after := c.at(lost).Status().Self
		time.Sleep(20 * time.Second)
		s := c.at(lead).Status()
		if v := s.Voters; len(v) != 3 || !slices.Contains(v, after) || slices.Contains(v, before) {
			t.Errorf("voters %v, want 3 with %s in place of %s", v, after, before)
		}
		if got := c.log(lost).text(); got != "one" {
			t.Errorf("new life applied %q", got)
		}
	})
}

// Guards against a proposal that may still be appended although its caller was told it was not.
func TestNoLeaderIsSure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, func(cfg *group.Config) { cfg.Bootstrap = false }, "a", "b", "c")
		defer c.close()
		if err := c.propose("a", "one"); !errors.Is(err, fault.ErrUnavailable) {
			t.Errorf("proposal without a leader: %v", err)
		}
	})
}
