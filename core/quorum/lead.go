package quorum

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
)

// leading is the state of a leader besides the progress of its peers.
type leading struct {
	// since is when this replica became leader and first the index of its first entry.
	since clock.Millis
	first uint64
	// announce says that followers which lack the commit index get it in this step. It is set by
	// a tick, because otherwise the next entries carry it without a message of its own.
	announce bool
	reads    []waitingRead
	// target is the voter that leadership is being handed to.
	target   ID
	until    clock.Millis
	noLease  bool
	joins    map[ID]joined
	nextCare clock.Millis
}

func (n *Node) becomeLeader() {
	n.role, n.known = leader, n.cfg.Self
	n.peers = map[ID]*progress{}
	n.lead = leading{since: n.now, first: n.log.last() + 1, joins: map[ID]joined{}}
	n.syncPeers()
	n.appendOwn(EntryEmpty, nil)
}

func (n *Node) leaveLead() {
	for _, r := range n.lead.reads {
		n.refuseRead(r)
	}
	n.lead = leading{}
	n.peers = map[ID]*progress{}
}

// syncPeers keeps one progress for each other member.
func (n *Node) syncPeers() {
	members := n.members()
	for id := range n.peers {
		if _, ok := members.Find(id); !ok {
			delete(n.peers, id)
		}
	}
	for _, m := range members {
		if m.ID == n.cfg.Self {
			continue
		}
		p := n.peers[m.ID]
		if p == nil {
			p = &progress{next: n.log.last() + 1, probing: true, sentAcked: never, lastSend: never}
			n.peers[m.ID] = p
		}
		p.witness = m.Witness
	}
}

func (n *Node) appendOwn(kind EntryKind, data []byte) Entry {
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	n.disk.dirty(e.Index)
	return e
}

func (n *Node) propose(items []Proposal) {
	err := n.refusal()
	room := n.cfg.Limits.Pending - n.pendingBytes()
	for _, it := range items {
		if err == nil && room < len(it.Data) {
			err = fault.Wrap(fault.ErrOverloaded, "group %q holds %d bytes that are not committed", n.cfg.Group, n.cfg.Limits.Pending)
		}
		if err != nil {
			n.out = append(n.out, Refuse{ID: it.ID, Err: err})
			continue
		}
		room -= len(it.Data) + entryOverhead
		e := n.appendOwn(EntryData, it.Data)
		n.out = append(n.out, Accepted{ID: it.ID, Index: e.Index, Term: e.Term})
	}
}

func (n *Node) refusal() error {
	switch {
	case n.role != leader:
		return fault.Wrap(fault.ErrNotLeader, "group %q is led by %q", n.cfg.Group, n.known.Name)
	case !n.lead.target.IsZero():
		return fault.Wrap(fault.ErrUnavailable, "group %q is handing leadership to %q", n.cfg.Group, n.lead.target.Name)
	}
	return nil
}

func (n *Node) pendingBytes() int {
	size := 0
	for _, e := range n.log.slice(n.commit+1, n.log.last(), int(^uint(0)>>1)) {
		size += e.size()
	}
	return size
}

func (n *Node) tickLeader() {
	n.lead.announce = true
	n.tickHandover()
	n.tickCare()
}

// flushLeader sends what followers lack, and heartbeats that are due.
func (n *Node) flushLeader() {
	if n.role != leader {
		return
	}
	if n.disk.stable >= n.log.last() {
		n.advanceCommit()
	}
	for _, m := range n.members() {
		if p := n.peers[m.ID]; p != nil {
			n.feed(m.ID, p)
		}
	}
}

func (n *Node) feed(id ID, p *progress) {
	due := n.now-p.lastSend >= n.cfg.Timing.Heartbeat
	if due {
		p.paused = false
	}
	if n.resting(p) {
		return
	}
	sent := false
	for n.maySend(p) {
		if !n.sendEntries(id, p) {
			return
		}
		sent = true
	}
	if !sent && (due || p.told < n.commit && (n.lead.announce || p.asked)) {
		n.sendEntries(id, p)
	}
}

func (n *Node) maySend(p *progress) bool {
	if p.transfer != nil || p.paused || p.next > n.log.last() {
		return false
	}
	return len(p.flight) < n.cfg.Limits.Window
}

// sendEntries sends one message with entries, or an empty one if there are none to send.
func (n *Node) sendEntries(id ID, p *progress) bool {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.startTransfer(id, p)
		return false
	}
	m := Message{Kind: KindAppend, To: id, Index: prev, LogTerm: term, Commit: n.commit, Sent: n.now, Lazy: n.lazyFor(p)}
	if n.maySend(p) {
		m.Entries = n.log.slice(p.next, n.log.last(), n.cfg.Limits.Message)
	}
	p.lastSend, p.told, p.asked = n.now, n.commit, false
	if len(m.Entries) > 0 {
		if p.probing {
			p.paused = true
		} else {
			p.next += uint64(len(m.Entries))
			p.flight = append(p.flight, p.next-1)
		}
	}
	n.send(m)
	return true
}

func (n *Node) onAppendReply(m Message) {
	p := n.peers[m.From]
	if n.role != leader || m.Term != n.hard.Term || p == nil {
		return
	}
	p.sentAcked = max(p.sentAcked, m.Sent)
	if m.Reject {
		p.rejected(m.Index, m.Hint)
		return
	}
	p.acked(m.Index)
	n.advanceCommit()
}
