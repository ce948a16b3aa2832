package quorum

// witnessElectionTimeouts is how many election timeouts a witness waits before it starts an
// election, so that another voter can win first.
const witnessElectionTimeouts = 2

func (n *Node) isWitness() bool {
	m, ok := n.members().Find(n.cfg.Self)
	return ok && m.Witness
}

// witnessNeedsEntries reports whether entries must be replicated to the witness at once: another
// voter has not answered for Timing.WitnessStallTimeout, or the leader itself is a witness.
func (n *Node) witnessNeedsEntries() bool {
	for _, m := range n.members() {
		if m.Witness || m.ID == n.cfg.Self || !n.isVoter(m.ID) {
			continue
		}
		p := n.progress[m.ID]
		if n.now-max(p.ackedSentAt, n.leaderState.electedAt) > n.cfg.Timing.WitnessStallTimeout {
			return true
		}
	}
	return n.isWitness()
}

func (n *Node) replicatesLazily(p *progress) bool { return p.isWitness && !n.witnessNeedsEntries() }

// defersWitness reports whether nothing is sent to a lazily replicated witness now, and schedules
// the next time at which entries are.
func (n *Node) defersWitness(p *progress) bool {
	if !n.replicatesLazily(p) {
		p.nextLazySend = n.now
		return false
	}
	if n.now < p.nextLazySend {
		return p.lastSentAt != never
	}
	if p.lazyTargetIndex == 0 {
		p.lazyTargetIndex = n.log.lastIndex()
	}
	if p.matchIndex < p.lazyTargetIndex {
		return false
	}
	p.nextLazySend, p.lazyTargetIndex = n.now+n.cfg.Timing.WitnessInterval, 0
	return true
}
