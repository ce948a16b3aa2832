package group_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
	"vanillabridge/vbridged/group"
)

// No proposal may be confirmed and lost, refused and applied, or applied twice, and all machines
// must agree, while replicas stop, restart and are isolated. In every third run they keep all data
// in memory.
func TestRuntimeUnderFaults(t *testing.T) {
	for seed := range uint64(9) {
		synctest.Test(t, func(t *testing.T) { runWithFaults(t, seed) })
	}
}

func runWithFaults(t *testing.T, seed uint64) {
	rng, dir := rand.New(rand.NewPCG(seed, 1)), t.TempDir()
	c := newCluster(t, func(cfg *group.Config) {
		if seed%3 < 2 {
			cfg.DataDir = filepath.Join(dir, string(cfg.Self))
		}
		cfg.SnapshotEntries, cfg.Limits = 7, quorum.DefaultLimits()
		cfg.Limits.TrailingEntries, cfg.Limits.ChunkBytes = 2, 50
	}, "a", "b", "c", "d", "e")
	defer c.close()
	c.waitForLeader()
	results := map[string]error{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	down := 0
	for i := range 150 {
		n := c.names[rng.IntN(len(c.names))]
		switch kind := rng.IntN(12); {
		case kind == 0 && down == 0:
			c.stop(n)
			down++
		case kind == 1:
			c.endFaults()
			// Restarted replicas without a disk are new members. They must replace their
			// predecessors before the next fault, or the group may lose its quorum.
			time.Sleep(20 * time.Second)
			down = 0
		case kind == 2 && down < 2:
			c.setIsolated(n, true)
			down++
		default:
			for j := range rng.IntN(4) {
				text := fmt.Sprintf("<%d.%d>", i, j)
				g := c.replica(n)
				wg.Go(func() {
					err := error(fault.ErrUnavailable)
					if g != nil {
						ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
						defer cancel()
						_, err = g.Propose(ctx, []byte(text))
					}
					mu.Lock()
					defer mu.Unlock()
					results[text] = err
				})
			}
		}
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
	}
	wg.Wait()
	c.endFaults()
	c.checkOutcomes(seed, results)
}

// endFaults reconnects isolated replicas and starts stopped ones.
func (c *cluster) endFaults() {
	for _, n := range c.names {
		c.setIsolated(n, false)
		if c.replica(n) == nil {
			c.start(n)
		}
	}
}

// checkOutcomes compares the commands that the machines applied with the results that callers got.
func (c *cluster) checkOutcomes(seed uint64, results map[string]error) {
	for _, n := range c.names {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		if err := c.replica(n).Barrier(ctx); err != nil {
			c.t.Fatalf("seed %d: barrier at %s: %v", seed, n, err)
		}
		for text, err := range results {
			count := strings.Count(c.machine(n).text(), text)
			outcomeKnown := !errors.Is(err, fault.ErrUnknown)
			if count > 1 || outcomeKnown && (count == 1) != (err == nil) {
				c.t.Errorf("seed %d: %s applied %s %d times, its caller got %v", seed, n, text, count, err)
			}
		}
	}
}
