package quorum

// handover starts to pass leadership to the local voter that holds most of the log.
func (n *Node) handover() {
	if n.role != leader || !n.lead.target.IsZero() || n.commit < n.lead.first {
		return
	}
	best, ok := n.heir()
	if !ok {
		return
	}
	n.lead.target, n.lead.until = best, n.now+n.cfg.Timing.Election
}

func (n *Node) heir() (ID, bool) {
	var best ID
	for _, m := range n.members() {
		if !m.Voter || m.Witness || m.ID == n.cfg.Self || !n.caughtUp(m.ID) {
			continue
		}
		if best.IsZero() || n.peers[m.ID].match > n.peers[best].match {
			best = m.ID
		}
	}
	return best, !best.IsZero()
}

// tickHandover tells the heir to stand once it holds the whole log.
func (n *Node) tickHandover() {
	if n.lead.target.IsZero() {
		return
	}
	p := n.peers[n.lead.target]
	if n.now >= n.lead.until || p == nil {
		n.lead.target = ID{}
		return
	}
	if p.match == n.log.last() {
		// The campaign ignores promises made to this leader, so its lease ends for this term.
		n.lead.noLease = true
		n.send(Message{Kind: KindCampaign, To: n.lead.target})
	}
}
