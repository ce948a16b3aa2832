package quorum

// receive handles a message from another replica or from this one.
func (n *Node) receive(m Message) {
	if m.Group != n.cfg.Group {
		return
	}
	if !n.isFromOtherBootstrap(m) {
		n.recordHeard(m.From)
	}
	switch m.Kind {
	case KindJoin:
		n.handleJoin(m)
		return
	case KindJoinReply:
		n.handleJoinReply(m)
		return
	}
	// A message to an earlier incarnation of this instance is not for this replica.
	if m.To != n.cfg.Self || n.isFromOtherBootstrap(m) {
		return
	}
	switch m.Kind {
	case KindPreVote:
		n.handlePreVote(m)
	case KindPreVoteReply:
		n.handlePreVoteReply(m)
	case KindVote:
		n.handleVote(m)
	case KindVoteReply:
		n.handleVoteReply(m)
	default:
		n.receiveReplication(m)
	}
}

// receiveReplication handles messages that only a leader and its followers exchange.
func (n *Node) receiveReplication(m Message) {
	if m.Term > n.hardState.Term {
		leaderID := ID{}
		if m.Kind == KindAppend || m.Kind == KindSnapshotChunk {
			leaderID = m.From
		}
		n.stepDown(m.Term, leaderID)
	}
	switch m.Kind {
	case KindAppend:
		n.handleAppend(m)
	case KindAppendReply:
		n.handleAppendReply(m)
	case KindSnapshotChunk:
		n.handleSnapshotChunk(m)
	case KindSnapshotChunkReply:
		n.handleSnapshotChunkReply(m)
	case KindReadIndex:
		n.handleReadIndex(m)
	case KindReadIndexReply:
		n.handleReadIndexReply(m)
	case KindTimeoutNow:
		n.handleTimeoutNow(m)
	}
}

// followLeader accepts the sender as leader of the current term and grants it a lease.
func (n *Node) followLeader(m Message) {
	n.role, n.leaderID = follower, m.From
	n.leaderHeardAt, n.leaseGranted = n.now, true
	n.lazyReplication = m.LazyReplication
	n.resetElectionDeadline()
}

// handleAppend appends the entries of a message if both logs agree at the entry before them.
func (n *Node) handleAppend(m Message) {
	if m.Term < n.hardState.Term {
		n.rejectEarlierTerm(m)
		return
	}
	r := Message{Kind: KindAppendReply, To: m.From, SentAt: m.SentAt, RequestID: m.RequestID}
	n.followLeader(m)
	if m.Index < n.commitIndex {
		m = trimCommitted(m, n.commitIndex)
	}
	if term, ok := n.log.term(m.Index); !ok || (m.Index > n.commitIndex && term != m.LogTerm) {
		r.Reject, r.Index = true, m.Index
		r.Hint = n.conflictHint(m.Index)
		n.send(r)
		return
	}
	if err := n.mergeEntries(m.Entries); err != nil {
		return
	}
	r.Index = m.Index + uint64(len(m.Entries))
	n.adoptBootstrapID(m.BootstrapID)
	n.commitIndex = max(n.commitIndex, min(m.Commit, r.Index))
	n.sendAfterLogSync(r)
}

// rejectEarlierTerm tells the leader of an earlier term the present one. The answer belongs to the present term, so it does
// not repeat SentAt, which is a time of the earlier leader's clock: its instance may lead again with another clock.
func (n *Node) rejectEarlierTerm(m Message) {
	n.send(Message{Kind: KindAppendReply, To: m.From, Reject: true})
}

// trimCommitted removes the entries up to the commit index from an append message, since committed
// entries are the same in both logs.
func trimCommitted(m Message, commitIndex uint64) Message {
	skip := min(commitIndex-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[skip:]
	m.Index = commitIndex
	return m
}

// conflictHint returns the highest index at which the leader's log may agree with this one after a
// conflict at index: the end of a shorter log, or else the last index before all entries of the
// conflicting term.
func (n *Node) conflictHint(index uint64) uint64 {
	if index > n.log.lastIndex() {
		return n.log.lastIndex()
	}
	conflict, ok := n.log.term(index)
	at := index - 1
	for ok && at > n.commitIndex {
		t, known := n.log.term(at)
		if !known || t != conflict {
			break
		}
		at--
	}
	return at
}

// mergeEntries appends the entries that the log lacks. If an existing entry conflicts with a
// received one, it and all that follow it are removed first.
func (n *Node) mergeEntries(entries []Entry) error {
	for i, e := range entries {
		if term, ok := n.log.term(e.Index); ok {
			if term == e.Term {
				continue
			}
			n.log.truncate(e.Index)
			n.truncateMemberships(e.Index)
			n.persistence.markDirty(e.Index)
		}
		return n.appendReceived(entries[i:])
	}
	return nil
}

func (n *Node) appendReceived(entries []Entry) error {
	n.persistence.markDirty(n.log.lastIndex() + 1)
	for _, e := range entries {
		if err := n.recordMembership(e); err != nil {
			return err
		}
		n.log.entries = append(n.log.entries, e)
	}
	return nil
}
