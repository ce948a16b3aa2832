package quorum

import (
	"math/rand/v2"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// driftPercent is the bound on how far any clock may run off true time.
const driftPercent = 5

// Node is one replica of a group. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	rng  *rand.Rand
	now  clock.Millis
	hard Hard
	log  tail
	// configs holds the memberships in the log, oldest first; the first is at or below log.base.
	configs []placed
	role    role
	known   ID
	commit  uint64
	// applied is the last index handed out in Apply or Install.
	applied uint64
	// heard is when the current leader was last heard; no vote is given for Election after it.
	heard    clock.Millis
	promise  bool
	deadline clock.Millis
	votes    map[ID]bool
	lazy     bool

	disk   disk
	out    []Output
	queued []held

	peers    map[ID]*progress
	lead     leading
	inbound  inbound
	founding founding
	// reads holds when each read was sent to the leader.
	reads    map[uint64]clock.Millis
	nextJoin clock.Millis
	told     Role
}

type placed struct {
	index   uint64
	members Membership
}

// New returns a replica that continues from what was stored.
func New(now clock.Millis, cfg Config, r Restored) (*Node, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Inc))),
		now:     now,
		hard:    r.Hard,
		commit:  r.Meta.Index,
		applied: r.Meta.Index,
		votes:   map[ID]bool{},
		peers:   map[ID]*progress{},
		reads:   map[uint64]clock.Millis{},
	}
	n.log.reset(r.Meta.Index, r.Meta.Term)
	n.configs = []placed{{r.Meta.Index, r.Meta.Members}}
	if err := n.restore(r); err != nil {
		return nil, err
	}
	// A restarted replica does not know when it last confirmed a leader's lease.
	n.promise, n.heard = r.Hard.Term > 0, now
	n.founding.start()
	n.resetDeadline()
	return n, nil
}

func (n *Node) restore(r Restored) error {
	for _, e := range r.Entries {
		if e.Index != n.log.last()+1 {
			return fault.Wrap(fault.ErrCorrupt, "restored entry %d after %d", e.Index, n.log.last())
		}
		if err := n.noteMembers(e); err != nil {
			return err
		}
		n.log.entries = append(n.log.entries, e)
	}
	n.disk.stable = n.log.last()
	// A received snapshot can be durable without the Hard that came with it.
	if last := n.log.lastTerm(); last > n.hard.Term {
		n.setTerm(last, ID{})
	}
	if n.hard.Found == 0 {
		n.adopt(r.Meta.Found)
	}
	return nil
}

// Step takes one input and returns what it causes.
func (n *Node) Step(now clock.Millis, in Input) []Output {
	// A clock never runs backwards here, so that a lease cannot grow by a clock step.
	n.now = max(n.now, now)
	n.guard()
	switch in := in.(type) {
	case Tick:
		n.tick()
	case Receive:
		n.receive(in.Message)
	case Propose:
		n.propose(in.Items)
	case Persisted:
		n.persisted(in.Seq)
	case Snapshotted:
		n.snapshotted(in.Meta)
	case Loaded:
		n.loaded(in)
	case Read:
		n.read(in.ID)
	case Handover:
		n.handover()
	case Peers:
		n.cfg.Peers = in.List
	}
	return n.finish()
}

// guard makes a leader that was paused notice, before any output, that its majority is gone.
func (n *Node) guard() {
	if n.role == leader && n.now-n.majoritySent(n.lead.since) > n.cfg.Timing.Election {
		n.stepDown(n.hard.Term, ID{})
	}
}

// finish collects the outputs of a step.
func (n *Node) finish() []Output {
	n.flushReads()
	n.flushLeader()
	n.flushPersist()
	for n.release() {
		n.flushLeader()
		n.flushPersist()
	}
	n.flushApply()
	n.flushRole()
	n.lead.announce = false
	out := n.out
	n.out = nil
	return out
}

func (n *Node) flushApply() {
	to := min(n.commit, n.disk.stable)
	if to <= n.applied || n.applied < n.log.base {
		return
	}
	n.out = append(n.out, Apply{Entries: n.log.slice(n.applied+1, to, int(^uint(0)>>1))})
	n.applied = to
}

func (n *Node) flushRole() {
	r := Role{Leader: n.role == leader, Term: n.hard.Term, Known: n.known}
	if r != n.told {
		n.told = r
		n.out = append(n.out, r)
	}
}

func (n *Node) tick() {
	if n.role == leader {
		n.tickLeader()
		return
	}
	n.tickJoin()
	n.dropReads()
	if n.now < n.deadline {
		return
	}
	n.resetDeadline()
	if !n.isVoter(n.cfg.Self) {
		return
	}
	n.campaign(preCandidate, false)
	if !n.isWitness() {
		// The promise to the old leader has ended, so a campaign that fails is repeated sooner.
		n.deadline = n.now + n.cfg.Timing.Election/4 + n.jitter()
	}
}

// resetDeadline draws the next time at which this replica stands for election.
func (n *Node) resetDeadline() {
	wait := n.cfg.Timing.Election
	if n.isWitness() {
		// The witness lets local voters stand first.
		wait *= witnessPatience
		if n.lazy {
			wait += n.cfg.Timing.Lazy
		}
	}
	n.deadline = n.now + wait + n.jitter()
}

// jitter keeps replicas from standing at the same time.
func (n *Node) jitter() clock.Millis {
	return clock.Millis(n.rng.Int64N(int64(n.cfg.Timing.Election / 2)))
}

func (n *Node) members() Membership { return n.configs[len(n.configs)-1].members }

func (n *Node) isVoter(id ID) bool {
	m, ok := n.members().Find(id)
	return ok && m.Voter
}

func (n *Node) voters() []ID { return n.members().Voters() }

func (n *Node) others() []ID {
	return slices.DeleteFunc(n.voters(), func(id ID) bool { return id == n.cfg.Self })
}

// State is what a replica knows, for status and tests. Its Members must not be changed.
type State struct {
	Leader  bool
	Known   ID
	Term    uint64
	Commit  uint64
	Applied uint64
	First   uint64
	Last    uint64
	Members Membership
	// Lease is the instant until which no other replica can become leader; 0 without a lease.
	Lease clock.Millis
	// Until is when a leader steps down unless a majority answers before, by the replica's clock.
	Until clock.Millis
	// Sending says that a snapshot is on its way to a follower.
	Sending bool
}

// State returns the observable state.
func (n *Node) State() State {
	s := State{
		Leader:  n.role == leader,
		Known:   n.known,
		Term:    n.hard.Term,
		Commit:  n.commit,
		Applied: n.applied,
		First:   n.log.base + 1,
		Last:    n.log.last(),
		Members: n.members(),
		Lease:   n.leaseEnd(),
	}
	if n.role == leader {
		s.Until = n.majoritySent(n.lead.since) + n.cfg.Timing.Election
	}
	for _, p := range n.peers {
		s.Sending = s.Sending || p.transfer != nil
	}
	return s
}

// MetaAt describes a snapshot of the machine after the entry at index.
func (n *Node) MetaAt(index uint64) (Meta, bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.applied {
		return Meta{}, false
	}
	m := Meta{Index: index, Term: term, Found: n.hard.Found}
	for _, c := range n.configs {
		if c.index <= index {
			m.Members = c.members
		}
	}
	return m, true
}
