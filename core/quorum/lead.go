package quorum

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
)

// leaderState is the state that a replica keeps only while it is leader, besides the progress of
// the other members.
type leaderState struct {
	// electedAt is when this replica became leader, and noOpIndex the index of the entry that it
	// appended first.
	electedAt clock.Millis
	noOpIndex uint64
	// announceCommit makes this step send the commit index to all followers that lack it. Only a
	// tick sets it: in other steps the commit index waits for the next entries, so that a commit
	// causes no message of its own.
	announceCommit bool
	pendingReads   []pendingRead
	// transferTarget is the voter that leadership is being transferred to. The transfer is aborted
	// at transferDeadline.
	transferTarget   ID
	transferDeadline clock.Millis
	// leaseRevoked is set once the transfer target may be elected before the lease ends.
	leaseRevoked        bool
	joinRequests        map[ID]joinRequest
	nextMembershipCheck clock.Millis
}

func (n *Node) becomeLeader() {
	n.role, n.leaderID = leader, n.cfg.Self
	n.progress = map[ID]*progress{}
	n.leaderState = leaderState{electedAt: n.now, noOpIndex: n.log.lastIndex() + 1, joinRequests: map[ID]joinRequest{}}
	n.syncProgress()
	n.appendEntry(EntryNoOp, nil)
}

func (n *Node) clearLeaderState() {
	for _, r := range n.leaderState.pendingReads {
		n.rejectRead(r)
	}
	n.leaderState = leaderState{}
	n.progress = map[ID]*progress{}
}

// syncProgress adds and removes progress records, so that there is one for each other member.
func (n *Node) syncProgress() {
	members := n.members()
	for id := range n.progress {
		if _, ok := members.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, m := range members {
		if m.ID == n.cfg.Self {
			continue
		}
		p := n.progress[m.ID]
		if p == nil {
			p = &progress{nextIndex: n.log.lastIndex() + 1, probing: true, ackedSentAt: never, lastSentAt: never}
			n.progress[m.ID] = p
		}
		p.isWitness = m.Witness
	}
}

func (n *Node) appendEntry(kind EntryKind, data []byte) Entry {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	n.persistence.markDirty(e.Index)
	return e
}

func (n *Node) propose(proposals []Proposal) {
	err := n.proposalError()
	available := n.cfg.Limits.UncommittedBytes - n.uncommittedBytes()
	for _, p := range proposals {
		if p.Term != 0 && p.Term != n.hardState.Term {
			n.outputs = append(n.outputs, Rejected{ID: p.ID, Err: fault.Wrap(fault.ErrNotLeader, "append proposal: it was made in term %d, and group %q is in term %d", p.Term, n.cfg.Group, n.hardState.Term)})
			continue
		}
		if err == nil && available < len(p.Data) {
			err = fault.Wrap(fault.ErrOverloaded, "append proposal: group %q has reached the limit of %d uncommitted bytes", n.cfg.Group, n.cfg.Limits.UncommittedBytes)
		}
		if err != nil {
			n.outputs = append(n.outputs, Rejected{ID: p.ID, Err: err})
			continue
		}
		available -= len(p.Data) + entryOverhead
		e := n.appendEntry(EntryData, p.Data)
		n.outputs = append(n.outputs, Accepted{ID: p.ID, Index: e.Index, Term: e.Term})
	}
}

func (n *Node) proposalError() error {
	switch {
	case n.role != leader:
		return fault.Wrap(fault.ErrNotLeader, "append proposal: group %q is led by %q", n.cfg.Group, n.leaderID.Name)
	case !n.leaderState.transferTarget.IsZero():
		return fault.Wrap(fault.ErrUnavailable, "append proposal: group %q is transferring leadership to %q", n.cfg.Group, n.leaderState.transferTarget.Name)
	}
	return nil
}

func (n *Node) uncommittedBytes() int {
	size := 0
	for _, e := range n.log.slice(n.commitIndex+1, n.log.lastIndex(), int(^uint(0)>>1)) {
		size += e.approxSize()
	}
	return size
}

func (n *Node) tickLeader() {
	n.leaderState.announceCommit = true
	n.tickLeadershipTransfer()
	n.tickMembership()
}

// replicate sends followers the entries that they lack, and heartbeats that are due.
func (n *Node) replicate() {
	if n.role != leader {
		return
	}
	if n.persistence.stableIndex >= n.log.lastIndex() {
		n.advanceCommitIndex()
	}
	for _, m := range n.members() {
		if p := n.progress[m.ID]; p != nil {
			n.replicateTo(m.ID, p)
		}
	}
}

func (n *Node) replicateTo(id ID, p *progress) {
	due := n.now-p.lastSentAt >= n.cfg.Timing.HeartbeatInterval
	if due {
		p.paused = false
	}
	if n.defersWitness(p) {
		return
	}
	sent := false
	for n.canSendEntries(p) {
		if !n.sendEntries(id, p) {
			return
		}
		sent = true
	}
	if !sent && (due || p.sentCommit < n.commitIndex && (n.leaderState.announceCommit || p.needsCommit)) {
		n.sendEntries(id, p)
	}
}

func (n *Node) canSendEntries(p *progress) bool {
	if p.outgoingSnapshot != nil || p.paused || p.nextIndex > n.log.lastIndex() {
		return false
	}
	return len(p.inflight) < n.cfg.Limits.MaxInflight
}

// sendEntries sends one append message, without entries if none can be sent. If the log no longer
// holds the entries that the follower needs, it starts a snapshot transfer and reports false.
func (n *Node) sendEntries(id ID, p *progress) bool {
	prev := p.nextIndex - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.startSnapshotTransfer(id, p)
		return false
	}
	m := Message{Kind: KindAppend, To: id, Index: prev, LogTerm: term, Commit: n.commitIndex, SentAt: n.now, LazyReplication: n.replicatesLazily(p)}
	if n.canSendEntries(p) {
		m.Entries = n.log.slice(p.nextIndex, n.log.lastIndex(), n.cfg.Limits.MessageBytes)
	}
	p.lastSentAt, p.sentCommit, p.needsCommit = n.now, n.commitIndex, false
	if len(m.Entries) > 0 {
		if p.probing {
			p.paused = true
		} else {
			p.nextIndex += uint64(len(m.Entries))
			p.inflight = append(p.inflight, p.nextIndex-1)
		}
	}
	n.send(m)
	return true
}

func (n *Node) handleAppendReply(m Message) {
	p := n.progress[m.From]
	if n.role != leader || m.Term != n.hardState.Term || p == nil {
		return
	}
	n.recordContact(p, m)
	if m.Reject {
		p.recordReject(m.Index, m.Hint)
		return
	}
	p.recordAck(m.Index)
	n.advanceCommitIndex()
}
