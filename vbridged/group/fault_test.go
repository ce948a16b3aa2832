package group_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
	"vanillabridge/core/store"
	"vanillabridge/vbridged/group"
)

// brokenStore fails to write once it is told to.
type brokenStore struct {
	store.Store
	mu     sync.Mutex
	broken bool
}

func (s *brokenStore) Write(batch []quorum.Persist) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return fault.Wrap(fault.ErrStopped, "no space left on device")
	}
	return s.Store.Write(batch)
}

// Guards against a replica that answers after its disk failed, and a group that stops with it.
func TestStoreFailureStopsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stores := map[model.Instance]*brokenStore{}
		c := newCluster(t, func(cfg *group.Config) {
			s := &brokenStore{Store: store.NewMemory(uint64(len(stores) + 1))}
			stores[cfg.Self], cfg.Store = s, s
		}, "a", "b", "c")
		defer c.close()
		lead := c.leader()
		s := stores[lead]
		s.mu.Lock()
		s.broken = true
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := c.at(lead).ProposeHere(ctx, []byte("lost")); !errors.Is(err, fault.ErrUnknown) {
			t.Errorf("proposal during the failure: %v, want ErrUnknown", err)
		}
		if err := c.propose(lead, "later"); !errors.Is(err, fault.ErrStopped) {
			t.Errorf("proposal after the failure: %v, want ErrStopped", err)
		}
		if err := c.propose(others(c, lead)[0], "two"); err != nil {
			t.Errorf("proposal at another replica: %v", err)
		}
	})
}

// deaf forwards proposals but loses the answers.
type deaf struct{ link }

func (d deaf) Propose(ctx context.Context, to model.Instance, name string, data []byte) ([]byte, error) {
	_, _ = d.link.Propose(ctx, to, name, data)
	return nil, errors.New("connection reset")
}

// Guards against a forwarded proposal that ran although its caller was told it did not.
func TestLostAnswerIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, func(cfg *group.Config) { cfg.Forwarder = deaf{cfg.Forwarder.(link)} }, "a", "b", "c")
		defer c.close()
		if err := c.propose(others(c, c.leader())[0], "one"); !errors.Is(err, fault.ErrUnknown) {
			t.Errorf("proposal with a lost answer: %v, want ErrUnknown", err)
		}
	})
}

// Guards against a machine that misses or repeats commands when a snapshot replaces the log.
func TestFollowerGetsSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		c := newCluster(t, func(cfg *group.Config) {
			cfg.Folder = dir + "/" + string(cfg.Self)
			cfg.SnapshotEntries = 5
			cfg.Limits = quorum.DefaultLimits()
			cfg.Limits.Trail, cfg.Limits.Chunk = 0, 10
		}, "a", "b", "c")
		defer c.close()
		slow := others(c, c.leader())[0]
		c.stop(slow)
		for i := range 30 {
			if err := c.propose(c.leader(), fmt.Sprint("v", i)); err != nil {
				t.Fatal(err)
			}
		}
		c.start(slow)
		if err := c.at(slow).Barrier(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got, want := c.log(slow).text(), c.log(c.leader()).text(); got != want {
			t.Errorf("%s holds %q, want %q", slow, got, want)
		}
	})
}

// jumpClock is the system clock, which a test moves as a pause of the process does.
type jumpClock struct {
	clock.Source
	mu   sync.Mutex
	jump clock.Millis
}

func (j *jumpClock) Now() clock.Millis {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.Source.Now() + j.jump
}

// Guards against a process that was paused and claims leadership before its next timer runs.
func TestLeaderAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocks := map[model.Instance]*jumpClock{}
		c := newCluster(t, func(cfg *group.Config) {
			j := &jumpClock{Source: clock.NewSystem()}
			clocks[cfg.Self], cfg.Clock = j, j
		}, "a", "b", "c")
		defer c.close()
		lead := c.leader()
		j := clocks[lead]
		j.mu.Lock()
		j.jump = 5 * clock.Second
		j.mu.Unlock()
		if _, _, mine := c.at(lead).Leader(); mine {
			t.Errorf("%s leads right after a pause of 5 s", lead)
		}
	})
}

// gated is a machine that stands still until it is opened.
type gated struct {
	*journal
	open chan struct{}
}

func (g gated) Apply(index uint64, data []byte) []byte {
	<-g.open
	return g.journal.Apply(index, data)
}

// Guards against a queue of committed entries that grows without end behind a slow machine.
func TestSlowMachineRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		open := make(chan struct{})
		c := newCluster(t, func(cfg *group.Config) {
			cfg.Backlog, cfg.Machine = 5, gated{cfg.Machine.(*journal), open}
		}, "a")
		defer c.close()
		c.leader()
		var wg sync.WaitGroup
		var refused, done atomic.Int32
		for i := range 20 {
			wg.Go(func() {
				err := c.propose("a", fmt.Sprint(i))
				switch {
				case err == nil:
					done.Add(1)
				case errors.Is(err, fault.ErrOverloaded):
					refused.Add(1)
				}
			})
			time.Sleep(time.Millisecond)
		}
		close(open)
		wg.Wait()
		if d := done.Load(); d < 5 || d > 8 || refused.Load() != 20-d {
			t.Errorf("%d proposals done and %d refused of 20 with a backlog of 5", d, refused.Load())
		}
	})
}
