package quorum

// receive dispatches a message of another replica or of this one.
func (n *Node) receive(m Message) {
	if m.Group != n.cfg.Group {
		return
	}
	switch m.Kind {
	case KindJoin:
		n.onJoin(m)
		return
	case KindJoinReply:
		n.onJoinReply(m)
		return
	}
	// A message to an earlier life of this instance is not for this replica.
	if m.To != n.cfg.Self || n.foreign(m) {
		return
	}
	switch m.Kind {
	case KindPreVote:
		n.onPreVote(m)
	case KindPreVoteReply:
		n.onPreVoteReply(m)
	case KindVote:
		n.onVote(m)
	case KindVoteReply:
		n.onVoteReply(m)
	default:
		n.receiveLed(m)
	}
}

// receiveLed handles messages that only a leader and its followers exchange.
func (n *Node) receiveLed(m Message) {
	if m.Term > n.hard.Term {
		known := ID{}
		if m.Kind == KindAppend || m.Kind == KindChunk {
			known = m.From
		}
		n.stepDown(m.Term, known)
	}
	switch m.Kind {
	case KindAppend:
		n.onAppend(m)
	case KindAppendReply:
		n.onAppendReply(m)
	case KindChunk:
		n.onChunk(m)
	case KindChunkReply:
		n.onChunkReply(m)
	case KindRead:
		n.onRead(m)
	case KindReadReply:
		n.onReadReply(m)
	case KindCampaign:
		n.onCampaign(m)
	}
}

// follow accepts the sender as leader of the current term.
func (n *Node) follow(m Message) {
	n.role, n.known = follower, m.From
	n.heard, n.promise = n.now, true
	n.lazy = m.Lazy
	n.resetDeadline()
}

// onAppend appends entries after a position at which both logs agree.
func (n *Node) onAppend(m Message) {
	r := Message{Kind: KindAppendReply, To: m.From, Sent: m.Sent, Seq: m.Seq}
	if m.Term < n.hard.Term {
		r.Reject = true
		n.send(r)
		return
	}
	n.follow(m)
	if m.Index < n.commit {
		m = trim(m, n.commit)
	}
	if term, ok := n.log.term(m.Index); !ok || (m.Index > n.commit && term != m.LogTerm) {
		r.Reject, r.Index = true, m.Index
		r.Hint = n.agreeBefore(m.Index)
		n.send(r)
		return
	}
	if err := n.store(m.Entries); err != nil {
		return
	}
	r.Index = m.Index + uint64(len(m.Entries))
	n.adopt(m.Found)
	n.commit = max(n.commit, min(m.Commit, r.Index))
	n.sendSynced(r)
}

// trim drops the entries up to the commit index, which agree by definition.
func trim(m Message, commit uint64) Message {
	skip := min(commit-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[skip:]
	m.Index = commit
	return m
}

// agreeBefore returns the last position before index that is not in the conflicting term.
func (n *Node) agreeBefore(index uint64) uint64 {
	if index > n.log.last() {
		return n.log.last()
	}
	conflict, ok := n.log.term(index)
	at := index - 1
	for ok && at > n.commit {
		t, known := n.log.term(at)
		if !known || t != conflict {
			break
		}
		at--
	}
	return at
}

// store appends entries and drops own ones that conflict with them.
func (n *Node) store(entries []Entry) error {
	for i, e := range entries {
		if term, ok := n.log.term(e.Index); ok {
			if term == e.Term {
				continue
			}
			n.log.truncate(e.Index)
			n.dropConfigs(e.Index)
			n.disk.dirty(e.Index)
		}
		return n.extend(entries[i:])
	}
	return nil
}

func (n *Node) extend(entries []Entry) error {
	n.disk.dirty(n.log.last() + 1)
	for _, e := range entries {
		if err := n.noteMembers(e); err != nil {
			return err
		}
		n.log.entries = append(n.log.entries, e)
	}
	return nil
}
