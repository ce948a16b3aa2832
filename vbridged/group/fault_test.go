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

// failingStore is a store whose writes fail while failing is set, for lack of space if full is set.
type failingStore struct {
	store.Store
	mu            sync.Mutex
	failing, full bool
}

func (s *failingStore) setFull(full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = full
}

func (s *failingStore) Write(batch []quorum.Persist) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full {
		return store.ErrFull
	}
	if s.failing {
		return fault.Wrap(fault.ErrStopped, "no space left on device")
	}
	return s.Store.Write(batch)
}

// A replica must not answer after its disk failed, and the other replicas must continue without it.
func TestStoreFailureStopsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stores := map[model.Instance]*failingStore{}
		c := newCluster(t, func(cfg *group.Config) {
			s := &failingStore{Store: store.NewMemory(uint64(len(stores) + 1))}
			stores[cfg.Self], cfg.Store = s, s
		}, "a", "b", "c")
		defer c.close()
		lead := c.waitForLeader()
		s := stores[lead]
		s.mu.Lock()
		s.failing = true
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := c.replica(lead).ProposeLocal(ctx, []byte("lost")); !errors.Is(err, fault.ErrUnknown) {
			t.Errorf("proposal during the store failure: %v, want ErrUnknown", err)
		}
		if err := c.propose(lead, "later"); !errors.Is(err, fault.ErrStopped) {
			t.Errorf("proposal after the store failure: %v, want ErrStopped", err)
		}
		if err := c.propose(otherNames(c, lead)[0], "two"); err != nil {
			t.Errorf("proposal at another replica: %v", err)
		}
	})
}

// Guards against a replica that stays away after its disk was full for a while, and against a leader that
// keeps leading without its disk: another one takes over, nothing acknowledged is lost, and with its space
// back the replica makes up a majority again.
func TestReplicaSurvivesFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stores := map[model.Instance]*failingStore{}
		c := newCluster(t, func(cfg *group.Config) {
			s := &failingStore{Store: store.NewMemory(uint64(len(stores) + 1))}
			stores[cfg.Self], cfg.Store = s, s
		}, "a", "b", "c")
		defer c.close()
		full := c.waitForLeader()
		stores[full].setFull(true)
		others := otherNames(c, full)
		// The first proposal reaches the leader before it has handed over, and may be committed by the others.
		if err := c.propose(others[0], "at the old leader"); err != nil && !errors.Is(err, fault.ErrUnknown) {
			t.Fatalf("proposal at the leader with the full disk: %v, want nil or ErrUnknown", err)
		}
		for i := range 20 {
			if err := c.propose(others[i%2], fmt.Sprint("while full ", i)); err != nil {
				t.Fatalf("proposal %d while the disk of the leader is full: %v", i, err)
			}
		}
		if lead := c.waitForLeader(); lead == full {
			t.Errorf("%s still leads without space on its disk", lead)
		}
		stores[full].setFull(false)
		time.Sleep(2 * time.Second)
		// Without one of the others, the replica is needed for a majority. The leader keeps its disk: a
		// proposal that it has taken when its disk fills up is indeterminate, as above.
		lead := c.waitForLeader()
		away := others[0]
		if away == lead {
			away = others[1]
		}
		stores[away].setFull(true)
		if err := c.propose(lead, "with space again"); err != nil {
			t.Errorf("proposal after the disk has space again: %v", err)
		}
		stores[away].setFull(false)
	})
}

// answerDroppingForwarder forwards proposals but drops the answers.
type answerDroppingForwarder struct{ link }

func (d answerDroppingForwarder) Propose(ctx context.Context, to model.Instance, name string, data []byte) ([]byte, error) {
	_, _ = d.link.Propose(ctx, to, name, data)
	return nil, errors.New("connection reset")
}

// A forwarded proposal whose answer is lost may have been applied, so its caller must get
// ErrUnknown.
func TestLostAnswerReturnsErrUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, func(cfg *group.Config) { cfg.Forwarder = answerDroppingForwarder{cfg.Forwarder.(link)} }, "a", "b", "c")
		defer c.close()
		if err := c.propose(otherNames(c, c.waitForLeader())[0], "one"); !errors.Is(err, fault.ErrUnknown) {
			t.Errorf("proposal with a lost answer: %v, want ErrUnknown", err)
		}
	})
}

// A follower that catches up from a snapshot instead of the log must neither miss nor repeat
// commands.
func TestFollowerGetsSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		c := newCluster(t, func(cfg *group.Config) {
			cfg.DataDir = dir + "/" + string(cfg.Self)
			cfg.SnapshotEntries = 5
			cfg.Limits = quorum.DefaultLimits()
			cfg.Limits.TrailingEntries, cfg.Limits.ChunkBytes = 0, 10
		}, "a", "b", "c")
		defer c.close()
		slow := otherNames(c, c.waitForLeader())[0]
		c.stop(slow)
		for i := range 30 {
			if err := c.propose(c.waitForLeader(), fmt.Sprint("v", i)); err != nil {
				t.Fatal(err)
			}
		}
		c.start(slow)
		if err := c.replica(slow).Barrier(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got, want := c.machine(slow).text(), c.machine(c.waitForLeader()).text(); got != want {
			t.Errorf("%s holds %q, want %q", slow, got, want)
		}
	})
}

// jumpClock is the system clock plus an offset, which simulates a pause of the process.
type jumpClock struct {
	clock.Source
	mu     sync.Mutex
	offset clock.Millis
}

func (j *jumpClock) Now() clock.Millis {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.Source.Now() + j.offset
}

// A leader that was paused past its step-down deadline must not claim leadership before its next
// timer runs.
func TestLeaderAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocks := map[model.Instance]*jumpClock{}
		c := newCluster(t, func(cfg *group.Config) {
			j := &jumpClock{Source: clock.NewSystem()}
			clocks[cfg.Self], cfg.Clock = j, j
		}, "a", "b", "c")
		defer c.close()
		lead := c.waitForLeader()
		j := clocks[lead]
		j.mu.Lock()
		j.offset = 5 * clock.Second
		j.mu.Unlock()
		if _, _, isLeader := c.replica(lead).Leader(); isLeader {
			t.Errorf("%s leads right after a pause of 5 s", lead)
		}
	})
}

// blockingMachine is a state machine that blocks in Apply until unblock is closed.
type blockingMachine struct {
	*recordingMachine
	unblock chan struct{}
}

func (m blockingMachine) Apply(index uint64, data []byte) []byte {
	<-m.unblock
	return m.recordingMachine.Apply(index, data)
}

// The queue of committed entries must not grow without bound when the machine is slow: proposals
// beyond the backlog must be refused.
func TestSlowStateMachineRefusesProposals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unblock := make(chan struct{})
		c := newCluster(t, func(cfg *group.Config) {
			cfg.MaxApplyBacklog, cfg.Machine = 5, blockingMachine{cfg.Machine.(*recordingMachine), unblock}
		}, "a")
		defer c.close()
		c.waitForLeader()
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
		close(unblock)
		wg.Wait()
		if d := done.Load(); d < 5 || d > 8 || refused.Load() != 20-d {
			t.Errorf("%d proposals done and %d refused of 20, want 5 to 8 done and the others refused with a backlog of 5", d, refused.Load())
		}
	})
}
