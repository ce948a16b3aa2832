package quorum

// campaign asks the other voters for a vote, or whether they would give one.
func (n *Node) campaign(as role, force bool) {
	n.role, n.known = as, ID{}
	clear(n.votes)
	kind, reply, term := KindPreVote, KindPreVoteReply, n.hard.Term+1
	if as == candidate {
		kind, reply = KindVote, KindVoteReply
		n.setTerm(term, n.cfg.Self)
	}
	// The own vote counts like any other: only once it is durable.
	n.send(Message{Kind: reply, To: n.cfg.Self, Term: term})
	for _, id := range n.others() {
		n.send(Message{
			Kind: kind, To: id, Term: term,
			Index: n.log.last(), LogTerm: n.log.lastTerm(), Force: force,
		})
	}
}

func (n *Node) setTerm(term uint64, vote ID) {
	n.hard.Term, n.hard.Vote = term, vote
	n.disk.dirtyHard = true
}

// stepDown makes this replica a follower.
func (n *Node) stepDown(term uint64, known ID) {
	if term > n.hard.Term {
		n.setTerm(term, ID{})
	}
	if n.role == leader {
		n.leaveLead()
	}
	n.role, n.known = follower, known
	n.resetDeadline()
}

// bound reports whether the lease of a leader forbids this replica to vote for another.
func (n *Node) bound() bool {
	if n.role == leader {
		return true
	}
	return n.promise && n.now-n.heard < n.cfg.Timing.Election
}

func (n *Node) onPreVote(m Message) {
	r := Message{Kind: KindPreVoteReply, To: m.From, Term: m.Term}
	if m.Term <= n.hard.Term || !n.log.upToDate(m.Index, m.LogTerm) || n.bound() {
		r.Term, r.Reject = n.hard.Term, true
	}
	n.send(r)
}

func (n *Node) onVote(m Message) {
	if n.bound() && !m.Force {
		return
	}
	if m.Term > n.hard.Term {
		n.stepDown(m.Term, ID{})
	}
	r := Message{Kind: KindVoteReply, To: m.From}
	free := n.hard.Vote.IsZero() || n.hard.Vote == m.From
	if m.Term < n.hard.Term || !free || n.role != follower || !n.log.upToDate(m.Index, m.LogTerm) {
		r.Reject = true
		n.send(r)
		return
	}
	if n.hard.Vote.IsZero() {
		n.setTerm(n.hard.Term, m.From)
	}
	n.resetDeadline()
	n.send(r)
}

func (n *Node) onPreVoteReply(m Message) {
	if m.Reject {
		if m.Term > n.hard.Term {
			n.stepDown(m.Term, ID{})
		}
		return
	}
	if n.role != preCandidate || m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = true
	if n.won() {
		n.campaign(candidate, false)
	}
}

func (n *Node) onVoteReply(m Message) {
	if m.Term > n.hard.Term {
		n.stepDown(m.Term, ID{})
		return
	}
	if n.role != candidate || m.Term != n.hard.Term || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.won() {
		n.becomeLeader()
	}
}

func (n *Node) won() bool {
	count := 0
	voters := n.voters()
	for _, id := range voters {
		if n.votes[id] {
			count++
		}
	}
	return count > len(voters)/2
}

// onCampaign starts the election of a handover.
func (n *Node) onCampaign(m Message) {
	if m.Term != n.hard.Term || n.role != follower || !n.isVoter(n.cfg.Self) {
		return
	}
	n.campaign(candidate, true)
}
