package quorum

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
)

// pendingRead is a read that the leader has not confirmed yet. from is the replica that requested
// it.
type pendingRead struct {
	id         uint64
	from       ID
	receivedAt clock.Millis
	readIndex  uint64
}

func (n *Node) requestRead(id uint64) {
	switch {
	case n.role == leader:
		n.addPendingRead(id, n.cfg.Self)
	case n.leaderID.IsZero():
		n.outputs = append(n.outputs, Rejected{ID: id, IsRead: true, Err: fault.Wrap(fault.ErrUnavailable, "request read index: group %q has no known leader", n.cfg.Group)})
	default:
		n.forwardedReads[id] = n.now
		n.send(Message{Kind: KindReadIndex, To: n.leaderID, RequestID: n.readBase + id})
	}
}

func (n *Node) addPendingRead(id uint64, from ID) {
	// Until an entry of its own term is committed, a leader may not know all committed entries.
	n.leaderState.pendingReads = append(n.leaderState.pendingReads, pendingRead{id: id, from: from, receivedAt: n.now, readIndex: max(n.commitIndex, n.leaderState.noOpIndex)})
}

func (n *Node) handleReadIndex(m Message) {
	if n.role != leader || m.Term != n.hardState.Term {
		n.send(Message{Kind: KindReadIndexReply, To: m.From, RequestID: m.RequestID, Reject: true})
		return
	}
	n.addPendingRead(m.RequestID, m.From)
}

func (n *Node) handleReadIndexReply(m Message) {
	id := m.RequestID - n.readBase
	if _, ok := n.forwardedReads[id]; !ok {
		return
	}
	delete(n.forwardedReads, id)
	if m.Reject {
		n.outputs = append(n.outputs, Rejected{ID: id, IsRead: true, Err: fault.Wrap(fault.ErrUnavailable, "request read index: leader of group %q changed before the read was confirmed", n.cfg.Group)})
		return
	}
	n.outputs = append(n.outputs, ReadConfirmed{ID: id, Index: m.Index})
}

// expireForwardedReads removes reads whose answer was lost. By then the caller has retried them.
func (n *Node) expireForwardedReads() {
	for id, sentAt := range n.forwardedReads {
		if n.now-sentAt > readTimeoutElections*n.cfg.Timing.ElectionTimeout {
			delete(n.forwardedReads, id)
		}
	}
}

// readTimeoutElections is how long the leader may take to answer a forwarded read, in election
// timeouts.
const readTimeoutElections = 4

// hasLease reports whether no other replica can have become leader by now.
func (n *Node) hasLease() bool { return n.now < n.leaseEnd() }

// leaseEnd returns the time until which no other replica can become leader, or 0 without a lease.
func (n *Node) leaseEnd() clock.Millis {
	if n.role != leader || n.leaderState.leaseRevoked {
		return 0
	}
	// Voters grant no other vote for an election timeout. It is shortened here, because the
	// leader's clock may be slow and the voters' clocks fast, each by the maximum drift.
	return n.lastQuorumContact(never) + n.cfg.Timing.ElectionTimeout*(100-maxClockDriftPercent)/(100+maxClockDriftPercent)
}

// answerConfirmedReads answers the pending reads that are confirmed, either by the lease or because
// a majority has answered a request sent after the read arrived.
func (n *Node) answerConfirmedReads() {
	if n.role != leader || len(n.leaderState.pendingReads) == 0 || n.commitIndex < n.leaderState.noOpIndex {
		return
	}
	leased := n.hasLease()
	confirmed := n.lastQuorumContact(never)
	var rest []pendingRead
	for _, r := range n.leaderState.pendingReads {
		if leased || confirmed > r.receivedAt {
			n.answerRead(r)
		} else {
			rest = append(rest, r)
		}
	}
	n.leaderState.pendingReads = rest
}

func (n *Node) answerRead(r pendingRead) {
	if r.from == n.cfg.Self {
		n.outputs = append(n.outputs, ReadConfirmed{ID: r.id, Index: r.readIndex})
		return
	}
	if p := n.progress[r.from]; p != nil {
		p.needsCommit = true
	}
	n.send(Message{Kind: KindReadIndexReply, To: r.from, RequestID: r.id, Index: r.readIndex})
}

func (n *Node) rejectRead(r pendingRead) {
	if r.from == n.cfg.Self {
		n.outputs = append(n.outputs, Rejected{ID: r.id, IsRead: true, Err: fault.Wrap(fault.ErrUnavailable, "request read index: leader of group %q changed before the read was confirmed", n.cfg.Group)})
		return
	}
	n.send(Message{Kind: KindReadIndexReply, To: r.from, RequestID: r.id, Reject: true})
}
