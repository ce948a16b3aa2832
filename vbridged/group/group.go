package group

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
	"vanillabridge/core/store"
)

// Group runs one replica of a consensus group.
type Group struct {
	cfg   Config
	self  quorum.ID
	store store.Store
	node  *quorum.Node

	events      *queue[event]
	writes      *queue[writeItem]
	applies     *queue[applyItem]
	roleChanges *queue[RoleChange]
	done        chan struct{}
	wg          sync.WaitGroup
	// batch holds proposals that are proposed together at flushAt. Only runNode uses these and stall.
	batch           []quorum.Proposal
	flushAt         clock.Millis
	stall           stallMonitor
	nextID          atomic.Uint64
	droppedMessages atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// err is the reason why the group has stopped, or nil while it runs.
	err error
	// state is the state of the node as of its last step.
	state quorum.State
	// applied is the index of the last entry that the machine has applied.
	applied uint64
	// stateChanged is closed and replaced when state, applied or err changes.
	stateChanged chan struct{}
	// proposedByID holds proposals that the node has neither appended nor rejected yet.
	proposedByID map[uint64]*pendingProposal
	// pendingByIndex holds appended proposals that are not yet applied.
	pendingByIndex map[uint64]*pendingProposal
	// pendingReads holds unanswered read-index requests by ID.
	pendingReads map[uint64]chan readResult
	traffic      Traffic
}

// event is an input of the node, a proposal, or a function to call on the goroutine that owns the
// node.
type event struct {
	input    quorum.Input
	proposal *pendingProposal
	call     func(*quorum.Node)
}

// Open restores a replica from its store and starts it.
func Open(cfg Config) (*Group, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	st, err := openStore(cfg)
	if err != nil {
		return nil, fault.Wrap(err, "open group %q", cfg.Group)
	}
	g := &Group{
		cfg:            cfg,
		self:           quorum.NewID(cfg.Self, st.Incarnation()),
		store:          st,
		events:         newQueue[event](),
		writes:         newQueue[writeItem](),
		applies:        newQueue[applyItem](),
		roleChanges:    newQueue[RoleChange](),
		done:           make(chan struct{}),
		stateChanged:   make(chan struct{}),
		proposedByID:   map[uint64]*pendingProposal{},
		pendingByIndex: map[uint64]*pendingProposal{},
		pendingReads:   map[uint64]chan readResult{},
	}
	if err := g.restore(); err != nil {
		_ = st.Close()
		return nil, fault.Wrap(err, "open group %q", cfg.Group)
	}
	g.wg.Go(g.runNode)
	g.wg.Go(g.runWriter)
	g.wg.Go(g.runApplier)
	g.wg.Go(g.runRoleCallbacks)
	return g, nil
}

func openStore(cfg Config) (store.Store, error) {
	if cfg.Store != nil {
		return cfg.Store, nil
	}
	if cfg.DataDir == "" {
		return store.NewMemory(randomNonzero()), nil
	}
	dir, err := store.OpenDir(cfg.DataDir)
	if err != nil {
		return nil, err
	}
	return store.Open(dir, store.DefaultLimits(), randomNonzero())
}

// randomNonzero returns a random number other than 0, because 0 stands for an unknown incarnation.
func randomNonzero() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}

func (g *Group) restore() error {
	r, snap := g.store.Restored()
	if snap.Meta.Index > 0 {
		if err := g.cfg.Machine.Restore(snap.Data); err != nil {
			return fault.Wrap(err, "restore state machine from snapshot at index %d", snap.Meta.Index)
		}
	}
	node, err := quorum.New(g.cfg.Clock.Now(), quorum.Config{
		Group: g.cfg.Group, Self: g.self, Peers: g.cfg.Peers, InitialVoters: g.cfg.InitialVoters, TargetVoters: g.cfg.TargetVoters,
		Bootstrap: g.cfg.Bootstrap, Timing: g.cfg.Timing, Limits: g.cfg.Limits, Seed: randomNonzero(),
	}, r)
	if err != nil {
		return err
	}
	g.node = node
	g.state = node.State()
	g.applied = snap.Meta.Index
	return nil
}

// Receive queues a message from another replica. It drops the message if the queue is full.
func (g *Group) Receive(m quorum.Message) {
	if g.events.len() >= maxQueuedEvents {
		g.droppedMessages.Add(1)
		return
	}
	g.events.push(event{input: quorum.Receive{Message: m}})
}

// SetPeers replaces the list of instances that may become members of the group.
func (g *Group) SetPeers(list []quorum.Peer) {
	g.events.push(event{input: quorum.UpdatePeers{Peers: list}})
}

// runNode is the event loop of the goroutine that owns the node.
func (g *Group) runNode() {
	ticker := time.NewTicker((g.cfg.Timing.HeartbeatInterval / ticksPerHeartbeat).Duration())
	defer ticker.Stop()
	// Reset for each batch. An expiry with an empty batch has no effect.
	linger := time.NewTimer(time.Hour)
	defer linger.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-ticker.C:
			g.stepNode(quorum.Tick{})
			g.logStall()
		case <-linger.C:
			g.flushBatch()
		case <-g.events.ready:
			g.handleEvents(g.events.takeAll())
			if len(g.batch) > 0 && g.flushAt == 0 {
				g.flushAt = g.cfg.Clock.Now() + g.cfg.Linger
				linger.Reset(g.cfg.Linger.Duration())
			}
		}
	}
}

// flushBatch proposes the collected batch.
func (g *Group) flushBatch() {
	batch := g.batch
	g.batch, g.flushAt = nil, 0
	if len(batch) > 0 {
		g.stepNode(quorum.Propose{Proposals: batch})
	}
}

const ticksPerHeartbeat = 4

// handleEvents passes events to the node. It collects proposals into a batch, which is flushed
// after Config.Linger; if that is 0, only consecutive proposals of one call share a batch.
func (g *Group) handleEvents(events []event) {
	for _, e := range events {
		if e.proposal != nil {
			if g.claimProposal(e.proposal) {
				g.batch = append(g.batch, quorum.Proposal{ID: e.proposal.id, Data: e.proposal.data, Term: e.proposal.inTerm})
			}
			continue
		}
		if g.cfg.Linger == 0 {
			g.flushBatch()
		}
		if e.call != nil {
			e.call(g.node)
			continue
		}
		g.stepNode(e.input)
	}
	if g.cfg.Linger == 0 {
		g.flushBatch()
	}
}

func (g *Group) stepNode(in quorum.Input) {
	out := g.node.Step(g.cfg.Clock.Now(), in)
	g.publishState()
	for _, o := range out {
		g.handleOutput(o)
	}
}

func (g *Group) handleOutput(o quorum.Output) {
	switch o := o.(type) {
	case quorum.Send:
		g.countSent(o.Message)
		g.cfg.Transport.Send(o.To, o.Message)
	case quorum.Persist:
		g.writes.push(writeItem{persist: &o})
	case quorum.Apply:
		g.applies.push(applyItem{entries: o.Entries})
	case quorum.InstallSnapshot:
		g.applies.push(applyItem{install: &o.Snapshot})
	case quorum.RoleChange:
		g.roleChanges.push(RoleChange{IsLeader: o.IsLeader, Leader: o.LeaderID.Name, Term: o.Term})
	case quorum.Accepted:
		g.handleAccepted(o)
	case quorum.Rejected:
		g.handleRejected(o)
	case quorum.ReadConfirmed:
		g.handleReadConfirmed(o)
	case quorum.LoadSnapshotChunk:
		g.wg.Go(func() { g.loadSnapshotChunk(o) })
	}
}

// publishState copies the state of the node to where other goroutines can read it.
func (g *Group) publishState() {
	s := g.node.State()
	g.mu.Lock()
	defer g.mu.Unlock()
	roleChanged := s.LeaderID != g.state.LeaderID || s.IsLeader != g.state.IsLeader || s.Term != g.state.Term
	g.state = s
	if roleChanged {
		g.wakeWaiters()
	}
}

// wakeWaiters wakes all goroutines that wait for a change of the state. The caller must hold mu.
func (g *Group) wakeWaiters() {
	close(g.stateChanged)
	g.stateChanged = make(chan struct{})
}

func (g *Group) runRoleCallbacks() {
	for {
		select {
		case <-g.done:
			return
		case <-g.roleChanges.ready:
		}
		for _, r := range g.roleChanges.takeAll() {
			klog.InfoS("replica role changed", "group", g.cfg.Group, "self", g.self.String(), "leads", r.IsLeader, "leader", r.Leader, "term", r.Term)
			if g.cfg.OnRoleChange != nil {
				g.cfg.OnRoleChange(r)
			}
		}
	}
}

// stopWithError stops the group permanently, because a replica whose store or machine failed must
// not answer requests. The first error is kept.
func (g *Group) stopWithError(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return
	}
	g.err = err
	close(g.done)
	g.wakeWaiters()
}

// Close stops the replica and closes its store. Proposals in progress return fault.ErrUnknown.
func (g *Group) Close() error {
	g.stopWithError(fault.Wrap(fault.ErrStopped, "group %q is closed", g.cfg.Group))
	g.wg.Wait()
	return g.store.Close()
}

// Stopped returns a channel that is closed once the replica has stopped, because of Close or of an error.
func (g *Group) Stopped() <-chan struct{} { return g.done }

// Err returns the reason why the group has stopped, or nil while it runs.
func (g *Group) Err() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}
