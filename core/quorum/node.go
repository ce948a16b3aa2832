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

// maxClockDriftPercent bounds the rate error of every replica's clock. Leases are valid only within
// it.
const maxClockDriftPercent = 5

// Node is one replica of a group. It is not safe for concurrent use.
type Node struct {
	cfg       Config
	rng       *rand.Rand
	now       clock.Millis
	hardState HardState
	log       raftLog
	// memberships holds the memberships of the log, oldest first. The first one is in force at
	// log.baseIndex.
	memberships []indexedMembership
	role        role
	leaderID    ID
	commitIndex uint64
	// appliedIndex is the last index emitted in an Apply or InstallSnapshot output.
	appliedIndex uint64
	// leaderHeardAt is when the last message of the current leader arrived. If leaseGranted is
	// set, this replica grants no vote for an election timeout from then on.
	leaderHeardAt    clock.Millis
	leaseGranted     bool
	electionDeadline clock.Millis
	// votes holds the answers of voters in the present campaign: whether each granted its vote.
	votes map[ID]bool
	// heardAt is when the last message of each replica arrived, and startedAt when this process started.
	heardAt   map[ID]clock.Millis
	startedAt clock.Millis
	// campaignedAt is when this replica last asked for votes.
	campaignedAt clock.Millis
	// lazyReplication is set if the leader's last message announced that the next one may come as
	// late as Timing.WitnessInterval after it.
	lazyReplication bool

	persistence  persistence
	outputs      []Output
	heldMessages []heldMessage

	progress         map[ID]*progress
	leaderState      leaderState
	incomingSnapshot incomingSnapshot
	bootstrap        bootstrapState
	// forwardedReads holds, by read ID, when each read was sent to the leader.
	forwardedReads map[uint64]clock.Millis
	// readBase is added to the IDs of reads in messages. Callers count reads anew in each process, and the leader's answer
	// to a read of an earlier process of this replica must not confirm one of this process.
	readBase     uint64
	nextJoinAt   clock.Millis
	reportedRole RoleChange
}

// indexedMembership is the membership of the entry at index. sets are its sets of voters.
type indexedMembership struct {
	index uint64
	membershipEntry
	sets [][]ID
}

func newIndexedMembership(index uint64, m membershipEntry) indexedMembership {
	return indexedMembership{index, m, m.voterSets()}
}

// New returns a replica that continues from the restored state.
func New(now clock.Millis, cfg Config, r RestoredState) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:            cfg,
		rng:            rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
		now:            now,
		hardState:      r.HardState,
		commitIndex:    r.Meta.Index,
		appliedIndex:   r.Meta.Index,
		votes:          map[ID]bool{},
		heardAt:        map[ID]clock.Millis{},
		startedAt:      now,
		progress:       map[ID]*progress{},
		forwardedReads: map[uint64]clock.Millis{},
	}
	n.log.reset(r.Meta.Index, r.Meta.Term)
	n.memberships = []indexedMembership{newIndexedMembership(r.Meta.Index, membershipEntry{members: r.Meta.Members})}
	if err := n.restore(r); err != nil {
		return nil, err
	}
	// A restarted replica does not know when it last granted a lease, so it assumes that it did
	// so just now.
	n.leaseGranted, n.leaderHeardAt = r.HardState.Term > 0, now
	n.bootstrap.reset()
	n.readBase = n.rng.Uint64()
	n.resetElectionDeadline()
	return n, nil
}

func (n *Node) restore(r RestoredState) error {
	for _, e := range r.Entries {
		if e.Index != n.log.lastIndex()+1 {
			return fault.Wrap(fault.ErrCorrupt, "restore log: entry %d follows entry %d", e.Index, n.log.lastIndex())
		}
		if err := n.recordMembership(e); err != nil {
			return err
		}
		n.log.entries = append(n.log.entries, e)
	}
	n.persistence.stableIndex = n.log.lastIndex()
	// A received snapshot can be durable although the HardState of the same Persist is not.
	if last := n.log.lastTerm(); last > n.hardState.Term {
		n.setTermAndVote(last, ID{})
	}
	if n.hardState.BootstrapID == 0 {
		n.adoptBootstrapID(r.Meta.BootstrapID)
	}
	return nil
}

// Step processes one input and returns the resulting outputs.
func (n *Node) Step(now clock.Millis, in Input) []Output {
	// Time never goes backwards here, so that a clock step cannot extend a lease.
	n.now = max(n.now, now)
	n.checkQuorum()
	switch in := in.(type) {
	case Tick:
		n.tick()
	case Receive:
		n.receive(in.Message)
	case Propose:
		n.propose(in.Proposals)
	case Persisted:
		n.handlePersisted(in.Seq)
	case SnapshotPersisted:
		n.compactLog(in.Meta)
	case SnapshotChunkLoaded:
		n.sendSnapshotChunk(in)
	case ReadIndex:
		n.requestRead(in.ID)
	case TransferLeadership:
		n.startLeadershipTransfer()
	case UpdatePeers:
		n.cfg.Peers = in.Peers
	}
	return n.collectOutputs()
}

// checkQuorum steps down if no majority has answered for an election timeout. It runs before each
// input, so that a leader whose process was paused produces no output as leader.
func (n *Node) checkQuorum() {
	if n.role == leader && n.now-n.lastQuorumContact(n.leaderState.electedAt) > n.cfg.Timing.ElectionTimeout {
		n.stepDown(n.hardState.Term, ID{})
	}
}

// collectOutputs emits everything that the step made due and returns its outputs.
func (n *Node) collectOutputs() []Output {
	n.answerConfirmedReads()
	n.replicate()
	n.emitPersist()
	for n.releaseMessages() {
		n.replicate()
		n.emitPersist()
	}
	n.emitApply()
	n.emitRoleChange()
	n.leaderState.announceCommit = false
	out := n.outputs
	n.outputs = nil
	return out
}

func (n *Node) emitApply() {
	to := min(n.commitIndex, n.persistence.stableIndex)
	if to <= n.appliedIndex || n.appliedIndex < n.log.baseIndex {
		return
	}
	n.outputs = append(n.outputs, Apply{Entries: n.log.slice(n.appliedIndex+1, to, int(^uint(0)>>1))})
	n.appliedIndex = to
}

func (n *Node) emitRoleChange() {
	r := RoleChange{IsLeader: n.role == leader, Term: n.hardState.Term, LeaderID: n.leaderID}
	if r != n.reportedRole {
		n.reportedRole = r
		n.outputs = append(n.outputs, r)
	}
}

func (n *Node) tick() {
	if n.role == leader {
		n.tickLeader()
		return
	}
	n.tickJoin()
	n.expireForwardedReads()
	if n.now < n.electionDeadline {
		return
	}
	n.resetElectionDeadline()
	if len(n.voters()) == 0 {
		return
	}
	n.campaign(preCandidate, false)
	if n.isVoter(n.cfg.Self) && !n.isWitness() {
		// The lease granted to the previous leader has ended, so a failed campaign is retried
		// after a shorter time.
		n.electionDeadline = n.now + n.cfg.Timing.ElectionTimeout/4 + n.jitter()
	}
}

// resetElectionDeadline sets the time of the next election to a randomized timeout from now.
func (n *Node) resetElectionDeadline() {
	wait := n.cfg.Timing.ElectionTimeout
	switch {
	case !n.isVoter(n.cfg.Self):
		wait *= nonVoterElectionTimeouts
	case n.isWitness():
		wait *= witnessElectionTimeouts
	}
	if n.isWitness() && n.lazyReplication {
		wait += n.cfg.Timing.WitnessInterval
	}
	n.electionDeadline = n.now + wait + n.jitter()
}

// jitter returns a random delay that keeps replicas from starting elections at the same time.
func (n *Node) jitter() clock.Millis {
	return clock.Millis(n.rng.Int64N(int64(n.cfg.Timing.ElectionTimeout / 2)))
}

// inForce returns the newest membership of the log.
func (n *Node) inForce() indexedMembership { return n.memberships[len(n.memberships)-1] }

func (n *Node) members() Membership { return n.inForce().members }

func (n *Node) isVoter(id ID) bool { return slices.Contains(n.voters(), id) }

// voters returns all replicas that have a vote, those of the previous voters included.
func (n *Node) voters() []ID {
	m := n.inForce()
	if !m.isJoint() {
		return m.sets[0]
	}
	all := slices.Clone(m.sets[0])
	for _, id := range m.previousVoters {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

func (n *Node) otherVoters() []ID {
	return slices.DeleteFunc(slices.Clone(n.voters()), func(id ID) bool { return id == n.cfg.Self })
}

// State is a replica's view of the group, for status reports and tests. Members must not be
// modified.
type State struct {
	IsLeader     bool
	LeaderID     ID
	Term         uint64
	CommitIndex  uint64
	AppliedIndex uint64
	FirstIndex   uint64
	LastIndex    uint64
	Members      Membership
	// LeaseEnd is when the leader lease ends: until then no other replica can become leader. It
	// is 0 without a lease.
	LeaseEnd clock.Millis
	// StepDownAt is when the leader steps down unless a majority answers before, by the replica's
	// clock; 0 on other replicas.
	StepDownAt clock.Millis
	// ExpectsCommit is set while the replica knows no leader, or holds entries of which it should learn soon that they are
	// committed. A witness to which entries are replicated lazily learns of it late.
	ExpectsCommit bool
	// SendingSnapshot is set while a snapshot is being transferred to at least one follower.
	SendingSnapshot bool
}

// State returns the replica's present view of the group.
func (n *Node) State() State {
	s := State{
		IsLeader:     n.role == leader,
		LeaderID:     n.leaderID,
		Term:         n.hardState.Term,
		CommitIndex:  n.commitIndex,
		AppliedIndex: n.appliedIndex,
		FirstIndex:   n.log.baseIndex + 1,
		LastIndex:    n.log.lastIndex(),
		Members:      n.members(),
		LeaseEnd:     n.leaseEnd(),
	}
	s.ExpectsCommit = n.leaderID.IsZero() || s.LastIndex > s.CommitIndex && !n.lazyReplication
	if n.role == leader {
		s.StepDownAt = n.lastQuorumContact(n.leaderState.electedAt) + n.cfg.Timing.ElectionTimeout
	}
	for _, p := range n.progress {
		s.SendingSnapshot = s.SendingSnapshot || p.outgoingSnapshot != nil
	}
	return s
}

// SnapshotMetaAt returns the metadata of a snapshot taken after the entry at index was applied. It
// reports false if that entry is not applied or its term is no longer known, or if the membership there is joint, which
// snapshots don't store.
func (n *Node) SnapshotMetaAt(index uint64) (SnapshotMeta, bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.appliedIndex {
		return SnapshotMeta{}, false
	}
	m := SnapshotMeta{Index: index, Term: term, BootstrapID: n.hardState.BootstrapID}
	isJoint := false
	for _, c := range n.memberships {
		if c.index <= index {
			m.Members, isJoint = c.members, c.isJoint()
		}
	}
	return m, !isJoint
}
