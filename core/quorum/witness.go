package quorum

// witnessPatience is how many election timeouts a witness waits while local voters may stand.
const witnessPatience = 2

func (n *Node) isWitness() bool {
	m, ok := n.members().Find(n.cfg.Self)
	return ok && m.Witness
}

// wakeWitness lets a witness stand soon, because a local voter without a leader lacks entries
// that the witness holds.
func (n *Node) wakeWitness() {
	if n.lazy && n.isWitness() {
		n.lazy = false
		n.resetDeadline()
	}
}

// stalled reports whether a local voter has not answered, so that the witness must get entries.
func (n *Node) stalled() bool {
	for _, m := range n.members() {
		if !m.Voter || m.Witness || m.ID == n.cfg.Self {
			continue
		}
		p := n.peers[m.ID]
		if n.now-max(p.sentAcked, n.lead.since) > n.cfg.Timing.Stall {
			return true
		}
	}
	return n.isWitness()
}

func (n *Node) lazyFor(p *progress) bool { return p.witness && !n.stalled() }

// resting reports whether a witness is left alone for now.
func (n *Node) resting(p *progress) bool {
	if !n.lazyFor(p) {
		p.lazyNext = n.now
		return false
	}
	if n.now < p.lazyNext {
		return p.lastSend != never
	}
	if p.lazyGoal == 0 {
		p.lazyGoal = n.log.last()
	}
	if p.match < p.lazyGoal {
		return false
	}
	p.lazyNext, p.lazyGoal = n.now+n.cfg.Timing.Lazy, 0
	return true
}

// passOn makes a witness that leads give way to a local voter.
func (n *Node) passOn() {
	if n.isWitness() {
		n.handover()
	}
}
