package quorum

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// joinRequest records when a join request of a replica arrived.
type joinRequest struct{ receivedAt clock.Millis }

// recordMembership puts the membership of an entry in force if the entry is of type
// EntryMembership.
func (n *Node) recordMembership(e Entry) error {
	if e.Kind != EntryMembership {
		return nil
	}
	m, err := decodeMembership(e.Data)
	if err != nil {
		return fault.Wrap(fault.ErrCorrupt, "decode membership entry at index %d: %v", e.Index, err)
	}
	n.memberships = append(n.memberships, newIndexedMembership(e.Index, m))
	return nil
}

// truncateMemberships removes the memberships of truncated entries, which start at index from.
func (n *Node) truncateMemberships(from uint64) {
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= from {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// compactMemberships removes memberships that were replaced at or before the start of the log.
func (n *Node) compactMemberships() {
	for len(n.memberships) > 1 && n.memberships[1].index <= n.log.baseIndex {
		n.memberships = n.memberships[1:]
	}
}

// appendMembership appends a membership at the leader and starts to replicate to its new members.
func (n *Node) appendMembership(m membershipEntry) {
	n.appendMembershipEntry(m)
	n.syncProgress()
}

// appendMembershipEntry appends a membership and puts it in force, at a leader or at the replica that bootstraps the group.
func (n *Node) appendMembershipEntry(m membershipEntry) {
	e := n.appendEntry(EntryMembership, m.encode())
	n.memberships = append(n.memberships, newIndexedMembership(e.Index, m))
}

// tickMembership retries snapshot chunks and starts the next membership change if one is necessary.
// At most one change is in progress.
func (n *Node) tickMembership() {
	if n.now < n.leaderState.nextMembershipCheck {
		return
	}
	n.leaderState.nextMembershipCheck = n.now + n.cfg.Timing.HeartbeatInterval
	for id, p := range n.progress {
		n.retrySnapshotChunk(id, p)
	}
	committed := n.inForce().index <= n.commitIndex
	// A change before the first commit of the term could overlap with a change of an earlier
	// leader.
	if !committed || n.commitIndex < n.leaderState.noOpIndex || !n.leaderState.transferTarget.IsZero() {
		return
	}
	if next, ok := n.nextMembership(); ok {
		n.appendMembership(next)
		return
	}
	n.handOverIfUnfit()
}

func (n *Node) nextMembership() (membershipEntry, bool) {
	if n.inForce().isJoint() {
		return membershipEntry{members: withoutSuperseded(n.members())}, true
	}
	if m, ok := n.addLearner(); ok {
		return membershipEntry{members: m}, true
	}
	return n.changeVoters()
}

// withoutSuperseded leaves out learners whose instance is a voter under another identity, because their disk is lost.
// Other replicas without a vote stay as learners: they may come back with their log.
func withoutSuperseded(members Membership) Membership {
	return slices.DeleteFunc(slices.Clone(members), func(l Member) bool {
		return !l.Voter && slices.ContainsFunc(members, func(v Member) bool { return v.Voter && v.ID.Name == l.ID.Name })
	})
}

// addLearner adds a replica that sent a join request as a learner, in place of learners of the same
// name.
func (n *Node) addLearner() (Membership, bool) {
	members := n.members()
	for _, p := range n.cfg.Peers {
		id, ok := n.latestJoinRequest(p)
		if !ok {
			continue
		}
		next := members
		for _, m := range members {
			if m.ID.Name == p.Name && !m.Voter {
				next = next.Without(m.ID)
			}
		}
		delete(n.leaderState.joinRequests, id)
		return next.With(Member{ID: id, Zone: p.Zone, Witness: p.Witness}), true
	}
	return nil, false
}

// latestJoinRequest returns the identity in the newest unexpired join request of an instance,
// except identities that are members already.
func (n *Node) latestJoinRequest(p Peer) (ID, bool) {
	var latest ID
	var latestAt clock.Millis
	for id, j := range n.leaderState.joinRequests {
		if _, member := n.members().Find(id); member || id.Name != p.Name {
			continue
		}
		if n.now-j.receivedAt > 3*n.cfg.Timing.JoinInterval {
			delete(n.leaderState.joinRequests, id)
			continue
		}
		if latest.IsZero() || j.receivedAt > latestAt || (j.receivedAt == latestAt && compareIDs(id, latest) < 0) {
			latest, latestAt = id, j.receivedAt
		}
	}
	return latest, !latest.IsZero()
}

// voterSlot is a zone together with a kind of voter. The initial membership determines how many
// voters each slot should have.
type voterSlot struct {
	zone    model.Zone
	witness bool
}

func (m Member) slot() voterSlot { return voterSlot{m.Zone, m.Witness} }

// missingVoters returns how many voters of a membership a slot lacks, or the whole group if Config.TargetVoters is set.
// It is negative if there are too many.
func (n *Node) missingVoters(members Membership, slot voterSlot) int {
	if n.cfg.TargetVoters > 0 {
		return n.cfg.TargetVoters - len(members.Voters())
	}
	count := 0
	for _, name := range n.cfg.InitialVoters {
		if p, _ := n.cfg.findPeer(name); (voterSlot{p.Zone, p.Witness}) == slot {
			count++
		}
	}
	for _, m := range members {
		if m.Voter && m.slot() == slot {
			count--
		}
	}
	return count
}

// changeVoters returns the membership in which each slot has the voters that it should have: lost ones are exchanged for
// caught-up learners, missing ones added, and those too many lose their vote. A change of more than one voter is joint.
//
// A voter that is to be replaced is never removed alone, nor is its replacement added alone: in between, the group would
// bear the loss of fewer disks than it is meant to.
func (n *Node) changeVoters() (membershipEntry, bool) {
	next := n.demoteSurplus(n.promoteMissing(n.exchangeLost(n.members())))
	changed := 0
	for i, m := range n.members() {
		if next[i].Voter != m.Voter {
			changed++
		}
	}
	entry := membershipEntry{members: next, previousVoters: n.members().Voters()}
	if changed == 0 || !hasMajorities(entry.voterSets(), n.isCaughtUp) {
		return membershipEntry{}, false
	}
	if changed == 1 {
		return membershipEntry{members: withoutSuperseded(next)}, true
	}
	return entry, n.allReadJoint()
}

// allReadJoint reports whether all members that have answered this leader, and are not lost since, can read joint
// memberships. One that can't doesn't acknowledge them, nor any later entry.
func (n *Node) allReadJoint() bool {
	for _, m := range n.members() {
		if p := n.progress[m.ID]; p != nil && p.isActive(n.now, n.voterTimeout(m)) && !p.readsJoint {
			return false
		}
	}
	return true
}

// exchangeLost gives the votes of lost voters to caught-up learners of their slots.
func (n *Node) exchangeLost(members Membership) Membership {
	next := slices.Clone(members)
	for i, v := range members {
		if !v.Voter || n.isAlive(v.ID) {
			continue
		}
		if r := n.findReplacement(next, v); r >= 0 {
			next[i].Voter, next[r].Voter = false, true
		}
	}
	return next
}

// findReplacement returns the position of the learner that should take the vote of a lost voter, or -1. The learner of
// the same instance can do so at once, because the voter is then gone for good, others only after Timing.VoterTimeout.
func (n *Node) findReplacement(members Membership, v Member) int {
	found := -1
	for i, l := range members {
		if l.Voter || l.slot() != v.slot() || !n.isCaughtUp(l.ID) {
			continue
		}
		if l.ID.Name == v.ID.Name {
			return i
		}
		if found < 0 && n.hasTimedOut(v) {
			found = i
		}
	}
	return found
}

// promoteMissing gives a vote to caught-up learners whose slot lacks voters. An even number of voters bears no more
// losses than one voter less, and has one more to lose, so on the way to the intended number it stays odd.
func (n *Node) promoteMissing(members Membership) Membership {
	next := slices.Clone(members)
	last := -1
	for i, l := range next {
		if !l.Voter && n.isCaughtUp(l.ID) && n.missingVoters(next, l.slot()) > 0 {
			next[i].Voter, last = true, i
		}
	}
	if count := len(next.Voters()); last >= 0 && count%2 == 0 && count < n.targetVoters() {
		next[last].Voter = false
	}
	return next
}

func (n *Node) targetVoters() int {
	if n.cfg.TargetVoters > 0 {
		return n.cfg.TargetVoters
	}
	return len(n.cfg.InitialVoters)
}

// demoteSurplus takes the vote of voters that are too many, lost ones first. A leader keeps its own.
func (n *Node) demoteSurplus(members Membership) Membership {
	next := slices.Clone(members)
	for _, alive := range []bool{false, true} {
		for i, v := range next {
			if v.Voter && v.ID != n.cfg.Self && n.isAlive(v.ID) == alive && n.missingVoters(next, v.slot()) < 0 {
				next[i].Voter = false
			}
		}
	}
	return next
}

func (n *Node) hasTimedOut(m Member) bool {
	p := n.progress[m.ID]
	if p == nil {
		return false
	}
	limit := n.voterTimeout(m)
	return !p.isActive(n.now, limit) && n.now-n.leaderState.electedAt > limit
}

// voterTimeout returns how long a voter may leave the leader without an answer. A witness is not always sent messages.
func (n *Node) voterTimeout(m Member) clock.Millis {
	if m.Witness {
		return n.cfg.Timing.VoterTimeout + n.cfg.Timing.WitnessInterval
	}
	return n.cfg.Timing.VoterTimeout
}

func (n *Node) isAlive(id ID) bool {
	if id == n.cfg.Self {
		return true
	}
	p := n.progress[id]
	return p != nil && p.isActive(n.now, n.cfg.Timing.ElectionTimeout)
}

func (n *Node) isCaughtUp(id ID) bool {
	if id == n.cfg.Self {
		return true
	}
	p := n.progress[id]
	return n.isAlive(id) && p.matchIndex+n.cfg.Limits.LearnerLag >= n.log.lastIndex() && p.matchIndex >= n.leaderState.noOpIndex
}
