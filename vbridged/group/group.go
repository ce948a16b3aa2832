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

// Group is the runtime of one replica of a group.
type Group struct {
	cfg   Config
	self  quorum.ID
	store store.Store
	node  *quorum.Node

	events  *queue[event]
	writes  *queue[writeItem]
	applies *queue[applyItem]
	roles   *queue[Role]
	done    chan struct{}
	wg      sync.WaitGroup
	// batch holds proposals that wait until flushAt for others; both belong to run.
	batch   []quorum.Proposal
	flushAt clock.Millis
	nextID  atomic.Uint64
	dropped atomic.Uint64

	mu sync.Mutex
	// err is set once the group has stopped.
	err      error
	state    quorum.State
	applied  uint64
	changed  chan struct{}
	proposed map[uint64]*waiter
	pending  map[uint64]*waiter
	reads    map[uint64]chan readResult
	traffic  Traffic
}

// event is an input of the node, or a call on the goroutine that owns it.
type event struct {
	in       quorum.Input
	proposal *waiter
	call     func(*quorum.Node)
}

// Open starts a replica from what is stored.
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
		cfg:      cfg,
		self:     quorum.NewID(cfg.Self, st.Incarnation()),
		store:    st,
		events:   newQueue[event](),
		writes:   newQueue[writeItem](),
		applies:  newQueue[applyItem](),
		roles:    newQueue[Role](),
		done:     make(chan struct{}),
		changed:  make(chan struct{}),
		proposed: map[uint64]*waiter{},
		pending:  map[uint64]*waiter{},
		reads:    map[uint64]chan readResult{},
	}
	if err := g.restore(); err != nil {
		_ = st.Close()
		return nil, fault.Wrap(err, "open group %q", cfg.Group)
	}
	g.wg.Go(g.run)
	g.wg.Go(g.write)
	g.wg.Go(g.apply)
	g.wg.Go(g.notify)
	return g, nil
}

func openStore(cfg Config) (store.Store, error) {
	if cfg.Store != nil {
		return cfg.Store, nil
	}
	if cfg.Folder == "" {
		return store.NewMemory(random()), nil
	}
	dir, err := store.OpenDir(cfg.Folder)
	if err != nil {
		return nil, err
	}
	return store.Open(dir, store.DefaultLimits(), random())
}

// random returns a number other than 0, which marks an unknown incarnation.
func random() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}

func (g *Group) restore() error {
	r, snap := g.store.Restored()
	if snap.Meta.Index > 0 {
		if err := g.cfg.Machine.Restore(snap.Data); err != nil {
			return fault.Wrap(err, "restore machine from snapshot at index %d", snap.Meta.Index)
		}
	}
	node, err := quorum.New(g.cfg.Clock.Now(), quorum.Config{
		Group: g.cfg.Group, Self: g.self, Peers: g.cfg.Peers, Founders: g.cfg.Voters, Wanted: g.cfg.Wanted,
		Boot: g.cfg.Bootstrap, Timing: g.cfg.Timing, Limits: g.cfg.Limits, Seed: random(),
	}, r)
	if err != nil {
		return err
	}
	g.node = node
	g.state = node.State()
	g.applied = snap.Meta.Index
	return nil
}

// Receive takes a message of another replica.
func (g *Group) Receive(m quorum.Message) {
	if g.events.len() >= maxQueued {
		g.dropped.Add(1)
		return
	}
	g.events.push(event{in: quorum.Receive{Message: m}})
}

// SetPeers replaces the list of instances that may serve in the group.
func (g *Group) SetPeers(list []quorum.Peer) {
	g.events.push(event{in: quorum.Peers{List: list}})
}

// run owns the node.
func (g *Group) run() {
	ticker := time.NewTicker((g.cfg.Timing.Heartbeat / ticksPerHeartbeat).Std())
	defer ticker.Stop()
	linger := time.NewTimer(time.Hour)
	defer linger.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-ticker.C:
			g.step(quorum.Tick{})
		case <-linger.C:
			g.flush()
		case <-g.events.ready:
			g.handle(g.events.take())
			if len(g.batch) > 0 && g.flushAt == 0 {
				g.flushAt = g.cfg.Clock.Now() + g.cfg.Linger
				linger.Reset(g.cfg.Linger.Std())
			}
		}
	}
}

// flush proposes the collected batch.
func (g *Group) flush() {
	batch := g.batch
	g.batch, g.flushAt = nil, 0
	if len(batch) > 0 {
		g.step(quorum.Propose{Items: batch})
	}
}

const ticksPerHeartbeat = 4

// handle steps the node with all waiting events. Proposals are collected for the linger time;
// without one, neighbouring proposals become one batch.
func (g *Group) handle(events []event) {
	for _, e := range events {
		if e.proposal != nil {
			if g.admit(e.proposal) {
				g.batch = append(g.batch, quorum.Proposal{ID: e.proposal.id, Data: e.proposal.data})
			}
			continue
		}
		if g.cfg.Linger == 0 {
			g.flush()
		}
		if e.call != nil {
			e.call(g.node)
			continue
		}
		g.step(e.in)
	}
	if g.cfg.Linger == 0 {
		g.flush()
	}
}

func (g *Group) step(in quorum.Input) {
	out := g.node.Step(g.cfg.Clock.Now(), in)
	g.publish()
	for _, o := range out {
		g.perform(o)
	}
}

func (g *Group) perform(o quorum.Output) {
	switch o := o.(type) {
	case quorum.Send:
		g.countSend(o.Message)
		g.cfg.Transport.Send(o.To, o.Message)
	case quorum.Persist:
		g.writes.push(writeItem{persist: &o})
	case quorum.Apply:
		g.applies.push(applyItem{entries: o.Entries})
	case quorum.Install:
		g.applies.push(applyItem{install: &o.Snapshot})
	case quorum.Role:
		g.roles.push(Role{Mine: o.Leader, Leader: o.Known.Name, Term: o.Term})
	case quorum.Accepted:
		g.accepted(o)
	case quorum.Refuse:
		g.refused(o)
	case quorum.Ready:
		g.ready(o)
	case quorum.Load:
		g.wg.Go(func() { g.load(o) })
	}
}

// publish makes the state of the node visible to other goroutines.
func (g *Group) publish() {
	s := g.node.State()
	g.mu.Lock()
	defer g.mu.Unlock()
	moved := s.Known != g.state.Known || s.Leader != g.state.Leader || s.Term != g.state.Term
	g.state = s
	if moved {
		g.wake()
	}
}

// wake lets goroutines look again at the state; the caller holds mu.
func (g *Group) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Group) notify() {
	for {
		select {
		case <-g.done:
			return
		case <-g.roles.ready:
		}
		for _, r := range g.roles.take() {
			klog.InfoS("group role", "group", g.cfg.Group, "self", g.self.String(), "leads", r.Mine, "leader", r.Leader, "term", r.Term)
			if g.cfg.OnRole != nil {
				g.cfg.OnRole(r)
			}
		}
	}
}

// fail stops the group for good: a replica whose store failed must not answer.
func (g *Group) fail(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return
	}
	g.err = err
	close(g.done)
	g.wake()
}

// Close stops the replica. Proposals in progress return fault.ErrUnknown.
func (g *Group) Close() error {
	g.fail(fault.Wrap(fault.ErrStopped, "group %q is closed", g.cfg.Group))
	g.wg.Wait()
	return g.store.Close()
}

// Err returns why the group has stopped, or nil.
func (g *Group) Err() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}
