package quorum

import "vanillabridge/core/clock"

// CommitStatus is what a replica knows about why its group does or does not commit entries.
type CommitStatus struct {
	// MembershipIndex is the index of the entry with the membership in force, and Members that membership.
	MembershipIndex uint64
	Members         Membership
	// PreviousVoters is set while the membership in force is joint: a majority of them is needed as well.
	PreviousVoters []ID
	// CommittedIndex is the index of the newest membership that this replica knows to be committed, and Committed that
	// membership. Both differ from the membership in force while a change is in progress.
	CommittedIndex uint64
	Committed      Membership
	// MissingVoters lists the voters of the membership in force that this replica has not heard from for an election
	// timeout. A replica hears from all voters only while it leads or asks for votes, so otherwise the list is empty.
	MissingVoters []MissingVoter
	// RefusingVoters lists the voters that refused this replica their vote in its last campaign, unless it leads.
	RefusingVoters []ID
}

// MissingVoter is a voter that a replica does not hear from.
type MissingVoter struct {
	ID ID
	// Since is when the last message of the voter arrived, or when this replica began to wait for one, by its clock.
	Since clock.Millis
	// SucceededBy is another identity that the voter's instance has used since: the voter's disk is lost. It is zero if
	// there is none.
	SucceededBy ID
}

// CommitStatus returns what the replica knows about why its group does or does not commit entries.
func (n *Node) CommitStatus() CommitStatus {
	newest := n.inForce()
	s := CommitStatus{MembershipIndex: newest.index, Members: newest.members, PreviousVoters: newest.previousVoters}
	for _, m := range n.memberships {
		if m.index <= n.commitIndex {
			s.CommittedIndex, s.Committed = m.index, m.members
		}
	}
	if n.role == leader || n.campaignedAt > n.leaderHeardAt {
		s.MissingVoters = n.missingVoterList()
	}
	for _, id := range n.voters() {
		if granted, answered := n.votes[id]; answered && !granted && n.role != leader {
			s.RefusingVoters = append(s.RefusingVoters, id)
		}
	}
	return s
}

func (n *Node) missingVoterList() []MissingVoter {
	var missing []MissingVoter
	for _, id := range n.otherVoters() {
		since := max(n.heardAt[id], n.expectsAnswersSince())
		if n.now-since <= n.cfg.Timing.ElectionTimeout {
			continue
		}
		missing = append(missing, MissingVoter{ID: id, Since: since, SucceededBy: n.successor(id)})
	}
	return missing
}

// expectsAnswersSince returns when this replica was elected, or lost its leader or started.
func (n *Node) expectsAnswersSince() clock.Millis {
	if n.role == leader {
		return n.leaderState.electedAt
	}
	return max(n.leaderHeardAt, n.startedAt)
}

// successor returns the identity that the instance of a voter uses by now, or zero if none was heard from.
func (n *Node) successor(id ID) ID {
	for other := range n.heardAt {
		if other.Name == id.Name && other != id && n.heardAt[other] > n.heardAt[id] {
			return other
		}
	}
	return ID{}
}

// recordHeard records that a message of a replica arrived. It keeps the members and the latest other identity of each
// instance of Config.Peers.
func (n *Node) recordHeard(id ID) {
	if _, ok := n.cfg.findPeer(id.Name); !ok {
		return
	}
	if _, known := n.heardAt[id]; !known {
		for other := range n.heardAt {
			if _, member := n.members().Find(other); other.Name == id.Name && !member {
				delete(n.heardAt, other)
			}
		}
	}
	n.heardAt[id] = n.now
}
