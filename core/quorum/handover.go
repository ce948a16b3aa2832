package quorum

// startLeadershipTransfer starts a transfer of leadership to the most up-to-date voter that is not
// a witness.
func (n *Node) startLeadershipTransfer() {
	if n.role != leader || !n.leaderState.transferTarget.IsZero() || n.commitIndex < n.leaderState.noOpIndex {
		return
	}
	target, ok := n.selectTransferTarget()
	if !ok {
		return
	}
	n.leaderState.transferTarget, n.leaderState.transferDeadline = target, n.now+n.cfg.Timing.ElectionTimeout
}

func (n *Node) selectTransferTarget() (ID, bool) {
	var target ID
	for _, m := range n.members() {
		if !m.Voter || m.Witness || m.ID == n.cfg.Self || !n.isCaughtUp(m.ID) {
			continue
		}
		if target.IsZero() || n.progress[m.ID].matchIndex > n.progress[target].matchIndex {
			target = m.ID
		}
	}
	return target, !target.IsZero()
}

// tickLeadershipTransfer makes the target start an election once it holds the whole log, and aborts
// the transfer at its deadline.
func (n *Node) tickLeadershipTransfer() {
	if n.leaderState.transferTarget.IsZero() {
		return
	}
	p := n.progress[n.leaderState.transferTarget]
	if n.now >= n.leaderState.transferDeadline || p == nil {
		n.leaderState.transferTarget = ID{}
		return
	}
	if p.matchIndex == n.log.lastIndex() {
		// Voters ignore the lease of this leader in that election, so the lease is revoked for the
		// rest of the term.
		n.leaderState.leaseRevoked = true
		n.send(Message{Kind: KindTimeoutNow, To: n.leaderState.transferTarget})
	}
}

// handOverIfUnfit transfers leadership to another voter if this leader is a witness or has no vote.
func (n *Node) handOverIfUnfit() {
	if n.isWitness() || !n.isVoter(n.cfg.Self) {
		n.startLeadershipTransfer()
	}
}
