package quorum

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
)

// waitingRead is a read that the leader has not confirmed yet.
type waitingRead struct {
	id    uint64
	from  ID
	at    clock.Millis
	index uint64
}

func (n *Node) read(id uint64) {
	switch {
	case n.role == leader:
		n.addRead(id, n.cfg.Self)
	case n.known.IsZero():
		n.out = append(n.out, Refuse{ID: id, Read: true, Err: fault.Wrap(fault.ErrUnavailable, "group %q has no known leader", n.cfg.Group)})
	default:
		n.reads[id] = n.now
		n.send(Message{Kind: KindRead, To: n.known, Seq: id})
	}
}

func (n *Node) addRead(id uint64, from ID) {
	// Until its first entry is committed, a leader may not know all that was committed before.
	n.lead.reads = append(n.lead.reads, waitingRead{id: id, from: from, at: n.now, index: max(n.commit, n.lead.first)})
}

func (n *Node) onRead(m Message) {
	if n.role != leader || m.Term != n.hard.Term {
		n.send(Message{Kind: KindReadReply, To: m.From, Seq: m.Seq, Reject: true})
		return
	}
	n.addRead(m.Seq, m.From)
}

func (n *Node) onReadReply(m Message) {
	if _, ok := n.reads[m.Seq]; !ok {
		return
	}
	delete(n.reads, m.Seq)
	if m.Reject {
		n.out = append(n.out, Refuse{ID: m.Seq, Read: true, Err: fault.Wrap(fault.ErrUnavailable, "group %q has changed its leader", n.cfg.Group)})
		return
	}
	n.out = append(n.out, Ready{ID: m.Seq, Index: m.Index})
}

// dropReads forgets reads whose answer was lost; the caller has long asked again.
func (n *Node) dropReads() {
	for id, at := range n.reads {
		if n.now-at > readLife*n.cfg.Timing.Election {
			delete(n.reads, id)
		}
	}
}

// readLife is how many election timeouts an answer to a read may take.
const readLife = 4

// leased reports whether no other replica can have become leader by now.
func (n *Node) leased() bool { return n.now < n.leaseEnd() }

// leaseEnd returns the instant until which no other replica can become leader.
func (n *Node) leaseEnd() clock.Millis {
	if n.role != leader || n.lead.noLease {
		return 0
	}
	// The leader's clock may run slow and the voters' clocks fast.
	return n.majoritySent(never) + n.cfg.Timing.Election*(100-driftPercent)/(100+driftPercent)
}

// flushReads answers reads that the lease or a later exchange with a majority confirms.
func (n *Node) flushReads() {
	if n.role != leader || len(n.lead.reads) == 0 || n.commit < n.lead.first {
		return
	}
	leased := n.leased()
	confirmed := n.majoritySent(never)
	var rest []waitingRead
	for _, r := range n.lead.reads {
		if leased || confirmed > r.at {
			n.answerRead(r)
		} else {
			rest = append(rest, r)
		}
	}
	n.lead.reads = rest
}

func (n *Node) answerRead(r waitingRead) {
	if r.from == n.cfg.Self {
		n.out = append(n.out, Ready{ID: r.id, Index: r.index})
		return
	}
	if p := n.peers[r.from]; p != nil {
		p.asked = true
	}
	n.send(Message{Kind: KindReadReply, To: r.from, Seq: r.id, Index: r.index})
}

func (n *Node) refuseRead(r waitingRead) {
	if r.from == n.cfg.Self {
		n.out = append(n.out, Refuse{ID: r.id, Read: true, Err: fault.Wrap(fault.ErrUnavailable, "group %q has changed its leader", n.cfg.Group)})
		return
	}
	n.send(Message{Kind: KindReadReply, To: r.from, Seq: r.id, Reject: true})
}
