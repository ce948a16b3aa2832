package quorum

import (
	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// joined is a replica outside the membership that announced itself.
type joined struct{ at clock.Millis }

func encodeMembers(m Membership) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // The type holds only strings, numbers and booleans.
	}
	return b
}

// noteMembers puts a membership in force when its entry is appended.
func (n *Node) noteMembers(e Entry) error {
	if e.Kind != EntryMembers {
		return nil
	}
	var m Membership
	if err := decoder.Unmarshal(e.Data, &m); err != nil {
		return fault.Wrap(fault.ErrCorrupt, "membership at index %d: %v", e.Index, err)
	}
	n.configs = append(n.configs, placed{e.Index, m})
	return nil
}

// dropConfigs forgets memberships of entries from index on.
func (n *Node) dropConfigs(from uint64) {
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index >= from {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

// trimConfigs forgets memberships that are replaced before the start of the log.
func (n *Node) trimConfigs() {
	for len(n.configs) > 1 && n.configs[1].index <= n.log.base {
		n.configs = n.configs[1:]
	}
}

func (n *Node) appendMembers(m Membership) {
	e := n.appendOwn(EntryMembers, encodeMembers(m))
	n.configs = append(n.configs, placed{e.Index, m})
	n.syncPeers()
}

// tickCare repairs the membership, one step at a time.
func (n *Node) tickCare() {
	if n.now < n.lead.nextCare {
		return
	}
	n.lead.nextCare = n.now + n.cfg.Timing.Heartbeat
	for id, p := range n.peers {
		n.retryTransfer(id, p)
	}
	settled := n.configs[len(n.configs)-1].index <= n.commit
	// A change before the first commit of the term could overlap one of an earlier leader.
	if !settled || n.commit < n.lead.first || !n.lead.target.IsZero() {
		return
	}
	if next, ok := n.nextMembers(); ok {
		n.appendMembers(next)
		return
	}
	n.passOn()
}

func (n *Node) nextMembers() (Membership, bool) {
	for _, step := range []func() (Membership, bool){n.addLearner, n.removeVoter, n.promote} {
		if m, ok := step(); ok {
			return m, true
		}
	}
	return nil, false
}

// addLearner admits a replica that announced itself, in place of learners of the same name.
func (n *Node) addLearner() (Membership, bool) {
	members := n.members()
	for _, p := range n.cfg.Peers {
		id, ok := n.joinedAs(p)
		if !ok {
			continue
		}
		next := members
		for _, m := range members {
			if m.ID.Name == p.Name && !m.Voter {
				next = next.Without(m.ID)
			}
		}
		delete(n.lead.joins, id)
		return next.With(Member{ID: id, Zone: p.Zone, Witness: p.Witness}), true
	}
	return nil, false
}

// joinedAs returns the identity under which an instance that is not a member announced itself last.
func (n *Node) joinedAs(p Peer) (ID, bool) {
	var best ID
	var at clock.Millis
	for id, j := range n.lead.joins {
		if _, member := n.members().Find(id); member || id.Name != p.Name {
			continue
		}
		if n.now-j.at > 3*n.cfg.Timing.Join {
			continue
		}
		if best.IsZero() || j.at > at || (j.at == at && compareID(id, best) < 0) {
			best, at = id, j.at
		}
	}
	return best, !best.IsZero()
}

// removeVoter ends a replacement: the voter that was replaced loses its vote.
func (n *Node) removeVoter() (Membership, bool) {
	members := n.members()
	if len(members.Voters()) <= n.cfg.target() {
		return nil, false
	}
	out, ok := n.worst(members)
	if !ok {
		return nil, false
	}
	next := members.Without(out.ID)
	if !n.superseded(out) {
		out.Voter = false
		next = next.With(out)
	}
	return next, n.sound(next)
}

// worst picks a voter to remove: one with a newer identity, then a silent one, then any other.
func (n *Node) worst(members Membership) (Member, bool) {
	var silent, other Member
	for _, m := range members {
		if !m.Voter || m.ID == n.cfg.Self {
			continue
		}
		switch {
		case n.superseded(m):
			return m, true
		case n.silent(m) && silent.ID.IsZero():
			silent = m
		case other.ID.IsZero() || n.peers[m.ID].match < n.peers[other.ID].match:
			other = m
		}
	}
	if !silent.ID.IsZero() {
		return silent, true
	}
	return other, !other.ID.IsZero()
}

// promote gives a vote to a learner that is caught up, if a voter is missing or lost.
func (n *Node) promote() (Membership, bool) {
	members := n.members()
	for _, l := range members {
		if l.Voter || !n.caughtUp(l.ID) || !n.wanted(members, l) {
			continue
		}
		l.Voter = true
		next := members.With(l)
		if n.sound(next) {
			return next, true
		}
	}
	return nil, false
}

// wanted reports whether a learner should replace a voter or fill a free place.
func (n *Node) wanted(members Membership, l Member) bool {
	voters := len(members.Voters())
	if voters < n.cfg.target() {
		return true
	}
	if voters > n.cfg.target() {
		return false
	}
	for _, v := range members {
		if !v.Voter || v.ID == n.cfg.Self {
			continue
		}
		if v.ID.Name == l.ID.Name {
			return true
		}
		if n.silent(v) && v.Zone == l.Zone && v.Witness == l.Witness && !n.waiting(v.ID.Name) {
			return true
		}
	}
	return false
}

// waiting reports whether a new life of the instance is a learner that will take the place.
func (n *Node) waiting(name model.Instance) bool {
	for _, m := range n.members() {
		if !m.Voter && m.ID.Name == name && n.alive(m.ID) {
			return true
		}
	}
	return false
}

func (n *Node) superseded(v Member) bool {
	for _, m := range n.members() {
		if m.Voter && m.ID.Name == v.ID.Name && m.ID != v.ID {
			return n.silent(v) || m.ID == n.cfg.Self || n.newer(m.ID, v.ID)
		}
	}
	return false
}

// newer reports whether a answered more recently than b.
func (n *Node) newer(a, b ID) bool {
	pa, pb := n.peers[a], n.peers[b]
	return pa != nil && (pb == nil || pa.sentAcked > pb.sentAcked)
}

func (n *Node) silent(m Member) bool {
	p := n.peers[m.ID]
	if p == nil {
		return false
	}
	limit := n.cfg.Timing.Silent
	if m.Witness {
		limit += n.cfg.Timing.Lazy
	}
	return !p.active(n.now, limit) && n.now-n.lead.since > limit
}

func (n *Node) alive(id ID) bool {
	if id == n.cfg.Self {
		return true
	}
	p := n.peers[id]
	return p != nil && p.active(n.now, n.cfg.Timing.Election)
}

func (n *Node) caughtUp(id ID) bool {
	if id == n.cfg.Self {
		return true
	}
	p := n.peers[id]
	return n.alive(id) && p.match+n.cfg.Limits.Lag >= n.log.last() && p.match >= n.lead.first
}

// sound reports whether a majority of the voters of a membership is alive and caught up.
func (n *Node) sound(m Membership) bool {
	voters := m.Voters()
	count := 0
	for _, id := range voters {
		if n.caughtUp(id) {
			count++
		}
	}
	return count > len(voters)/2
}
