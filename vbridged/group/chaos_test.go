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

// Guards against proposals that are confirmed and lost, refused and applied, or applied twice, and
// against machines that differ, while replicas stop, restart and are cut off. In every third run
// they keep nothing on disk.
func TestRuntimeUnderFaults(t *testing.T) {
	for seed := range uint64(9) {
		synctest.Test(t, func(t *testing.T) { runFaults(t, seed) })
	}
}

func runFaults(t *testing.T, seed uint64) {
	rng, dir := rand.New(rand.NewPCG(seed, 1)), t.TempDir()
	c := newCluster(t, func(cfg *group.Config) {
		if seed%3 < 2 {
			cfg.Folder = filepath.Join(dir, string(cfg.Self))
		}
		cfg.SnapshotEntries, cfg.Limits = 7, quorum.DefaultLimits()
		cfg.Limits.Trail, cfg.Limits.Chunk = 2, 50
	}, "a", "b", "c", "d", "e")
	defer c.close()
	c.leader()
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
			c.restore()
			// Replicas without a disk need time to be replaced before the next one is lost.
			time.Sleep(20 * time.Second)
			down = 0
		case kind == 2 && down < 2:
			c.setCut(n, true)
			down++
		default:
			for j := range rng.IntN(4) {
				text := fmt.Sprintf("<%d.%d>", i, j)
				g := c.at(n)
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
	c.restore()
	c.check(seed, results)
}

// restore ends all faults.
func (c *cluster) restore() {
	for _, n := range c.names {
		c.setCut(n, false)
		if c.at(n) == nil {
			c.start(n)
		}
	}
}

// check compares the machines with what the callers were told.
func (c *cluster) check(seed uint64, results map[string]error) {
	for _, n := range c.names {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		if err := c.at(n).Barrier(ctx); err != nil {
			c.t.Fatalf("seed %d: barrier at %s: %v", seed, n, err)
		}
		for text, err := range results {
			count := strings.Count(c.log(n).text(), text)
			sure := !errors.Is(err, fault.ErrUnknown)
			if count > 1 || sure && (count == 1) != (err == nil) {
				c.t.Errorf("seed %d: %s applied %s %d times, its caller got %v", seed, n, text, count, err)
			}
		}
	}
}
