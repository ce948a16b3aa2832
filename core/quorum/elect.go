package quorum

// nonVoterElectionTimeouts is how many election timeouts a replica without a vote waits before it starts an election, so
// that a voter can win first.
const nonVoterElectionTimeouts = 3

// campaign requests votes from the other voters: as preCandidate it asks whether they would vote
// for this replica, as candidate it increments the term and asks for the votes.
//
// Replicas without a vote campaign too, although their own doesn't count. One of them may have the newest entries, and
// replicas that lack these may need its vote: it has lost its vote by a membership that only it has received, or would
// get one by a membership that it lacks.
func (n *Node) campaign(as role, ignoreLease bool) {
	n.role, n.leaderID, n.campaignedAt = as, ID{}, n.now
	clear(n.votes)
	kind, reply, term := KindPreVote, KindPreVoteReply, n.hardState.Term+1
	if as == candidate {
		kind, reply = KindVote, KindVoteReply
		n.setTermAndVote(term, n.cfg.Self)
	}
	// The replica's own vote is sent as a message to itself, so that it counts only once it is
	// durable.
	n.send(Message{Kind: reply, To: n.cfg.Self, Term: term})
	for _, id := range n.otherVoters() {
		n.send(Message{
			Kind: kind, To: id, Term: term,
			Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), IgnoreLease: ignoreLease,
		})
	}
}

func (n *Node) setTermAndVote(term uint64, vote ID) {
	n.hardState.Term, n.hardState.Vote = term, vote
	n.persistence.hardStateDirty = true
}

// stepDown makes this replica a follower and adopts term if it is higher than the current one.
func (n *Node) stepDown(term uint64, leaderID ID) {
	if term > n.hardState.Term {
		n.setTermAndVote(term, ID{})
	}
	if n.role == leader {
		n.clearLeaderState()
	}
	n.role, n.leaderID = follower, leaderID
	n.resetElectionDeadline()
}

// isBoundByLease reports whether the lease granted to the current leader forbids voting for another
// replica.
func (n *Node) isBoundByLease() bool {
	if n.role == leader {
		return true
	}
	return n.leaseGranted && n.now-n.leaderHeardAt < n.cfg.Timing.ElectionTimeout
}

func (n *Node) handlePreVote(m Message) {
	r := Message{Kind: KindPreVoteReply, To: m.From, Term: m.Term}
	if m.Term <= n.hardState.Term || !n.log.isUpToDate(m.Index, m.LogTerm) || n.isBoundByLease() {
		r.Term, r.Reject = n.hardState.Term, true
	}
	n.send(r)
}

func (n *Node) handleVote(m Message) {
	if n.isBoundByLease() && !m.IgnoreLease {
		return
	}
	if m.Term > n.hardState.Term {
		n.stepDown(m.Term, ID{})
	}
	r := Message{Kind: KindVoteReply, To: m.From}
	voteFree := n.hardState.Vote.IsZero() || n.hardState.Vote == m.From
	if m.Term < n.hardState.Term || !voteFree || n.role != follower || !n.log.isUpToDate(m.Index, m.LogTerm) {
		r.Reject = true
		n.send(r)
		return
	}
	if n.hardState.Vote.IsZero() {
		n.setTermAndVote(n.hardState.Term, m.From)
	}
	n.resetElectionDeadline()
	n.send(r)
}

func (n *Node) handlePreVoteReply(m Message) {
	if m.Reject {
		if m.Term > n.hardState.Term {
			n.stepDown(m.Term, ID{})
		}
		if n.role == preCandidate {
			n.votes[m.From] = false
		}
		return
	}
	if n.role != preCandidate || m.Term != n.hardState.Term+1 {
		return
	}
	n.votes[m.From] = true
	if n.hasMajorityOfVotes() {
		n.campaign(candidate, false)
	}
}

func (n *Node) handleVoteReply(m Message) {
	if m.Term > n.hardState.Term {
		n.stepDown(m.Term, ID{})
		return
	}
	if n.role != candidate || m.Term != n.hardState.Term {
		return
	}
	n.votes[m.From] = !m.Reject
	if n.hasMajorityOfVotes() {
		n.becomeLeader()
	}
}

func (n *Node) hasMajorityOfVotes() bool {
	return hasMajorities(n.inForce().sets, func(id ID) bool { return n.votes[id] })
}

// handleTimeoutNow starts an election at once, as the target of a leadership transfer.
func (n *Node) handleTimeoutNow(m Message) {
	if m.Term != n.hardState.Term || n.role != follower || !n.isVoter(n.cfg.Self) {
		return
	}
	n.campaign(candidate, true)
}
