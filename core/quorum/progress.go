package quorum

import (
	"slices"

	"vanillabridge/core/clock"
)

// never is earlier than any time of a clock.
const never clock.Millis = -1 << 60

// progress is the leader's view of another member. matchIndex and nextIndex are those of Raft.
type progress struct {
	matchIndex uint64
	nextIndex  uint64
	// probing limits sending to one message with entries per heartbeat, until the follower has
	// acknowledged one. paused is set after that message.
	probing bool
	paused  bool
	// inflight holds the last index of each unacknowledged message with entries.
	inflight []uint64
	// ackedSentAt is the time of sending of the newest request that the member answered, by the
	// leader's clock.
	ackedSentAt clock.Millis
	lastSentAt  clock.Millis
	// sentCommit is the commit index that was sent last. needsCommit is set if the member waits
	// for a newer one to complete a read.
	sentCommit  uint64
	needsCommit bool
	isWitness   bool
	// readsJoint is set if the member's last answer told that it can read joint memberships.
	readsJoint bool
	// nextLazySend is when entries are next replicated to a lazily replicated witness, and
	// lazyTargetIndex the index up to which they are then; 0 means that none is chosen yet.
	nextLazySend     clock.Millis
	lazyTargetIndex  uint64
	outgoingSnapshot *outgoingSnapshot
}

func (p *progress) isActive(now, within clock.Millis) bool { return now-p.ackedSentAt <= within }

// recordAck records that the member's log matches the leader's up to index.
func (p *progress) recordAck(index uint64) {
	p.matchIndex = max(p.matchIndex, index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= p.matchIndex })
	p.probing, p.paused = false, false
	p.outgoingSnapshot = nil
}

// recordReject records that the logs differ at index and may agree at hint. It ignores replies to
// outdated messages.
func (p *progress) recordReject(index, hint uint64) {
	if index <= p.matchIndex || (p.probing && index+1 != p.nextIndex) {
		return
	}
	p.nextIndex = max(p.matchIndex, min(index-1, hint)) + 1
	p.inflight = nil
	p.probing, p.paused = true, false
}

// recordContact records that a member answered a request of this leader, and what it can read. A time before the leader's
// election or in the future is that of a request of an earlier term, which followers of earlier versions repeat.
func (n *Node) recordContact(p *progress, m Message) {
	p.readsJoint = m.ReadsJoint
	if m.SentAt >= n.leaderState.electedAt && m.SentAt <= n.now {
		p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	}
}

// lastQuorumContact returns the newest time such that a majority of voters answered a request sent
// at or after it. A voter that has not answered since floor counts as having answered one sent at
// floor.
func (n *Node) lastQuorumContact(floor clock.Millis) clock.Millis {
	return majorityValue(n.inForce().sets, func(id ID) clock.Millis {
		if id == n.cfg.Self {
			return n.now
		}
		return max(n.progress[id].ackedSentAt, floor)
	})
}

func (n *Node) advanceCommitIndex() {
	index := majorityValue(n.inForce().sets, func(id ID) uint64 {
		if id == n.cfg.Self {
			return n.persistence.stableIndex
		}
		return n.progress[id].matchIndex
	})
	// Only entries of the current term are committed by counting replicas: an entry of an earlier
	// term may still be replaced although a majority holds it.
	if term, ok := n.log.term(index); !ok || term != n.hardState.Term || index <= n.commitIndex {
		return
	}
	n.commitIndex = index
}
