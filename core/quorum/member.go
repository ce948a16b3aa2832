package quorum

import (
	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// joinRequest records when a join request of a replica arrived.
type joinRequest struct{ receivedAt clock.Millis }

func encodeMembership(m Membership) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Cannot happen: the type holds only strings, numbers and booleans.
	}
	return b
}

// recordMembership puts the membership of an entry in force if the entry is of type
// EntryMembership.
func (n *Node) recordMembership(e Entry) error {
	if e.Kind != EntryMembership {
		return nil
	}
	var m Membership
	if err := decoder.Unmarshal(e.Data, &m); err != nil {
		return fault.Wrap(fault.ErrCorrupt, "decode membership entry at index %d: %v", e.Index, err)
	}
	n.memberships = append(n.memberships, indexedMembership{e.Index, m})
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

func (n *Node) appendMembership(m Membership) {
	e := n.appendEntry(EntryMembership, encodeMembership(m))
	n.memberships = append(n.memberships, indexedMembership{e.Index, m})
	n.syncProgress()
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
	committed := n.memberships[len(n.memberships)-1].index <= n.commitIndex
	// A change before the first commit of the term could overlap with a change of an earlier
	// leader.
	if !committed || n.commitIndex < n.leaderState.noOpIndex || !n.leaderState.transferTarget.IsZero() {
		return
	}
	if next, ok := n.nextMembership(); ok {
		n.appendMembership(next)
		return
	}
	n.transferFromWitness()
}

func (n *Node) nextMembership() (Membership, bool) {
	for _, step := range []func() (Membership, bool){n.addLearner, n.promoteLearner, n.removeVoter} {
		if m, ok := step(); ok {
			return m, true
		}
	}
	return nil, false
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

// missingVoters returns how many voters a slot lacks, or the whole group if Config.TargetVoters is
// set.
// It is negative if there are too many.
func (n *Node) missingVoters(slot voterSlot) int {
	if n.cfg.TargetVoters > 0 {
		return n.cfg.TargetVoters - len(n.voters())
	}
	count := 0
	for _, name := range n.cfg.InitialVoters {
		if p, _ := n.cfg.findPeer(name); (voterSlot{p.Zone, p.Witness}) == slot {
			count++
		}
	}
	for _, m := range n.members() {
		if m.Voter && m.slot() == slot {
			count--
		}
	}
	return count
}

// promoteLearner makes a caught-up learner a voter if its slot lacks one.
func (n *Node) promoteLearner() (Membership, bool) {
	members := n.members()
	for _, l := range members {
		if l.Voter || !n.isCaughtUp(l.ID) || n.missingVoters(l.slot()) <= 0 {
			continue
		}
		l.Voter = true
		if next := members.With(l); n.hasCaughtUpMajority(next) {
			return next, true
		}
	}
	return nil, false
}

// removeVoter demotes or removes a voter that is lost and can be replaced, or that is one too many.
//
// A lost voter is removed before its replacement is promoted: with both as voters, the loss of the
// replacement would leave only two of four voters. The remaining voters must be alive in either
// order.
func (n *Node) removeVoter() (Membership, bool) {
	members := n.members()
	for _, v := range members {
		if !v.Voter || v.ID == n.cfg.Self || (n.missingVoters(v.slot()) >= 0 && !n.isReplaceable(v)) {
			continue
		}
		next := members.Without(v.ID)
		if !n.isSuperseded(v) {
			// The voter may only be partitioned and return with its log, so it stays as a learner.
			v.Voter = false
			next = next.With(v)
		}
		if n.hasCaughtUpMajority(next) {
			return next, true
		}
	}
	return nil, false
}

// isReplaceable reports whether a voter is lost and a caught-up learner can take its slot. A
// learner of the same instance can do so at once, others only after Timing.VoterTimeout.
func (n *Node) isReplaceable(v Member) bool {
	if n.isAlive(v.ID) {
		return false
	}
	for _, l := range n.members() {
		if l.Voter || l.slot() != v.slot() || !n.isCaughtUp(l.ID) {
			continue
		}
		if l.ID.Name == v.ID.Name || n.hasTimedOut(v) {
			return true
		}
	}
	return false
}

// isSuperseded reports whether another incarnation of a voter's instance is a member.
func (n *Node) isSuperseded(v Member) bool {
	for _, m := range n.members() {
		if m.ID.Name == v.ID.Name && m.ID != v.ID {
			return true
		}
	}
	return false
}

func (n *Node) hasTimedOut(m Member) bool {
	p := n.progress[m.ID]
	if p == nil {
		return false
	}
	limit := n.cfg.Timing.VoterTimeout
	if m.Witness {
		limit += n.cfg.Timing.WitnessInterval
	}
	return !p.isActive(n.now, limit) && n.now-n.leaderState.electedAt > limit
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

// hasCaughtUpMajority reports whether a majority of the voters of a membership is alive and caught
// up.
func (n *Node) hasCaughtUpMajority(m Membership) bool {
	voters := m.Voters()
	count := 0
	for _, id := range voters {
		if n.isCaughtUp(id) {
			count++
		}
	}
	return count > len(voters)/2
}
