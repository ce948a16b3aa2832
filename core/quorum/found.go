package quorum

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// bootstrapState is what an empty replica has learned from replies to its join requests: which
// initial voters are ready to bootstrap the group, and whether the group exists already.
type bootstrapState struct {
	replies     map[model.Instance]bootstrapReply
	groupExists bool
}

type bootstrapReply struct {
	id         ID
	receivedAt clock.Millis
}

func (s *bootstrapState) reset() { s.replies = map[model.Instance]bootstrapReply{} }

func (n *Node) isEmpty() bool { return n.log.lastIndex() == 0 && n.hardState.BootstrapID == 0 }

// isFromOtherBootstrap reports whether a message comes from a group of the same name that was
// bootstrapped separately.
func (n *Node) isFromOtherBootstrap(m Message) bool {
	return m.BootstrapID != 0 && n.hardState.BootstrapID != 0 && m.BootstrapID != n.hardState.BootstrapID
}

// adoptBootstrapID sets the bootstrap ID of this replica together with the first entries that it
// stores.
func (n *Node) adoptBootstrapID(bootstrapID uint64) {
	if n.hardState.BootstrapID == 0 && n.log.lastIndex() > 0 {
		n.hardState.BootstrapID = bootstrapID
		n.persistence.hardStateDirty = true
	}
}

// tickJoin sends join requests if no leader has contacted this replica for some time, and
// bootstraps the group if all initial voters are ready.
func (n *Node) tickJoin() {
	if n.now < n.nextJoinAt {
		return
	}
	leaderTimeout := 3 * n.cfg.Timing.ElectionTimeout
	if n.lazyReplication {
		leaderTimeout += n.cfg.Timing.WitnessInterval
	}
	if n.leaseGranted && n.now-n.leaderHeardAt <= leaderTimeout {
		return
	}
	n.nextJoinAt = n.now + n.cfg.Timing.JoinInterval
	if n.canBootstrap() {
		n.bootstrapGroup()
		return
	}
	for _, p := range n.cfg.Peers {
		if p.Name != n.cfg.Self.Name {
			n.send(Message{Kind: KindJoin, To: ID{Name: p.Name}})
		}
	}
}

// handleJoin records a join request if this replica is leader, and replies whether this replica
// belongs to a group. The reply is addressed to one incarnation of the requesting instance, so that
// a later incarnation ignores it.
func (n *Node) handleJoin(m Message) {
	if _, ok := n.cfg.findPeer(m.From.Name); !ok || m.From.Name == n.cfg.Self.Name || m.To.Name != n.cfg.Self.Name {
		return
	}
	if n.role == leader && !n.isFromOtherBootstrap(m) {
		n.leaderState.joinRequests[m.From] = joinRequest{receivedAt: n.now}
		if p := n.progress[m.From]; p != nil {
			p.lastSentAt = never
		}
	}
	n.send(Message{Kind: KindJoinReply, To: m.From, CanBootstrap: n.cfg.Bootstrap && n.isEmpty()})
}

func (n *Node) handleJoinReply(m Message) {
	if m.To != n.cfg.Self || !n.isEmpty() {
		return
	}
	if m.BootstrapID != 0 {
		n.bootstrap.groupExists = true
	}
	if m.CanBootstrap {
		n.bootstrap.replies[m.From.Name] = bootstrapReply{id: m.From, receivedAt: n.now}
	}
}

// canBootstrap reports whether this replica should bootstrap the group: all other initial voters
// replied that they are empty, and no reply came from an existing group.
func (n *Node) canBootstrap() bool {
	if !n.cfg.Bootstrap || !n.isEmpty() || n.bootstrap.groupExists || len(n.cfg.InitialVoters) == 0 {
		return false
	}
	// Only the initial voter with the lowest name acts, so that no two replicas bootstrap the
	// group.
	if slices.Min(n.cfg.InitialVoters) != n.cfg.Self.Name {
		return false
	}
	for _, name := range n.cfg.InitialVoters {
		reply, ok := n.bootstrap.replies[name]
		if name != n.cfg.Self.Name && (!ok || n.now-reply.receivedAt > 2*n.cfg.Timing.JoinInterval) {
			return false
		}
	}
	return true
}

// bootstrapGroup appends the initial membership as the first entry and starts an election.
func (n *Node) bootstrapGroup() {
	var m Membership
	for _, name := range n.cfg.InitialVoters {
		id := n.cfg.Self
		if name != id.Name {
			id = n.bootstrap.replies[name].id
		}
		p, _ := n.cfg.findPeer(name)
		m = m.With(Member{ID: id, Zone: p.Zone, Voter: true, Witness: p.Witness})
	}
	n.setTermAndVote(1, ID{})
	n.hardState.BootstrapID = n.rng.Uint64() | 1
	n.appendMembershipEntry(membershipEntry{members: m})
	n.campaign(candidate, false)
}
