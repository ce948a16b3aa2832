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

func otherNames(c *cluster, name model.Instance) []model.Instance {
	return slices.DeleteFunc(slices.Clone(c.names), func(n model.Instance) bool { return n == name })
}

// Proposals must not be lost, applied twice or answered before they are applied, whether made at
// the leader or forwarded by another replica.
func TestProposeAtAnyReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nil, "a", "b", "c")
		defer c.close()
		lead := c.waitForLeader()
		want := ""
		for i, at := range append(otherNames(c, lead), lead) {
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
			if err := c.replica(n).Barrier(t.Context()); err != nil {
				t.Fatalf("barrier at %s: %v", n, err)
			}
			if got := c.machine(n).text(); got != want {
				t.Errorf("%s applied %q, want %q", n, got, want)
			}
		}
	})
}

// A group must survive the loss of its leader, and an isolated leader must confirm neither reads
// nor proposals.
func TestIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nil, "a", "b", "c")
		defer c.close()
		lead := c.waitForLeader()
		if err := c.propose(lead, "one"); err != nil {
			t.Fatal(err)
		}
		c.setIsolated(lead, true)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if _, err := c.replica(lead).ProposeLocal(ctx, []byte("lost")); !errors.Is(err, fault.ErrUnknown) {
			t.Errorf("proposal at an isolated leader: %v, want ErrUnknown", err)
		}
		if err := c.replica(lead).Barrier(ctx); !errors.Is(err, fault.ErrUnavailable) {
			t.Errorf("barrier at an isolated leader: %v, want ErrUnavailable", err)
		}
		followers := otherNames(c, lead)
		if err := c.propose(followers[0], "two"); err != nil {
			t.Fatalf("propose after the leader was isolated: %v", err)
		}
		c.setIsolated(lead, false)
		if err := c.replica(lead).Barrier(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := c.machine(lead).text(); got != "one\x00two" {
			t.Errorf("former leader applied %q, want only the confirmed commands", got)
		}
	})
}

// State must survive a restart of all processes with their disks, from snapshots and log.
func TestRestartFromDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		c := newCluster(t, func(cfg *group.Config) {
			cfg.DataDir = filepath.Join(dir, string(cfg.Self))
			cfg.SnapshotEntries = 5
			cfg.Limits.TrailingEntries = 0
		}, "a", "b", "c")
		defer c.close()
		want := ""
		for i := range 12 {
			text := fmt.Sprint("v", i)
			if err := c.propose(c.waitForLeader(), text); err != nil {
				t.Fatal(err)
			}
			want += "\x00" + text
		}
		self := c.replica("a").Status().Self
		c.close()
		for _, n := range c.names {
			c.start(n)
		}
		if got := c.replica("a").Status().Self; got != self {
			t.Errorf("ID after restart is %s, was %s before", got, self)
		}
		for _, n := range c.names {
			if err := c.replica(n).Barrier(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := "\x00" + c.machine(n).text(); got != want {
				t.Errorf("%s restored %q, want %q", n, got, want)
			}
		}
	})
}

// A planned stop must not leave the group without a leader for an election timeout, which is what
// happens if the leader stops without transferring its leadership.
func TestTransferLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nil, "a", "b", "c")
		defer c.close()
		lead := c.waitForLeader()
		if err := c.propose(lead, "one"); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if err := c.replica(lead).TransferLeadership(t.Context()); err != nil {
			t.Fatal(err)
		}
		if next := c.waitForLeader(); next == lead {
			t.Errorf("%s still leads after the transfer", lead)
		}
		if took := time.Since(start); took >= time.Second {
			t.Errorf("leadership transfer took %v of simulated time, want less than 1s", took)
		}
	})
}

// A replica without a data directory must restart under a new ID, since it has lost its votes,
// and must replace its predecessor as a voter.
func TestReplaceReplicaWithoutDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nil, "a", "b", "c")
		defer c.close()
		lead := c.waitForLeader()
		if err := c.propose(lead, "one"); err != nil {
			t.Fatal(err)
		}
		lost := otherNames(c, lead)[0]
		before := c.replica(lost).Status().Self
		c.stop(lost)
		c.start(lost)
		after := c.replica(lost).Status().Self
		time.Sleep(20 * time.Second)
		s := c.replica(lead).Status()
		if v := s.Voters; len(v) != 3 || !slices.Contains(v, after) || slices.Contains(v, before) {
			t.Errorf("voters %v, want 3 with %s in place of %s", v, after, before)
		}
		if got := c.machine(lost).text(); got != "one" {
			t.Errorf("replacement replica applied %q", got)
		}
	})
}

// A proposal without a known leader must fail with ErrUnavailable, which is only correct if it
// can't be appended later.
func TestProposeWithoutLeaderIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, func(cfg *group.Config) { cfg.Bootstrap = false }, "a", "b", "c")
		defer c.close()
		if err := c.propose("a", "one"); !errors.Is(err, fault.ErrUnavailable) {
			t.Errorf("proposal without a leader: %v, want ErrUnavailable", err)
		}
	})
}
