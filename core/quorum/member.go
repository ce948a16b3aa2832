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
	for _, step := range []func() (Membership, bool){n.addLearner, n.promote, n.removeVoter} {
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
			delete(n.lead.joins, id)
			continue
		}
		if best.IsZero() || j.at > at || (j.at == at && compareID(id, best) < 0) {
			best, at = id, j.at
		}
	}
	return best, !best.IsZero()
}

// place is what a voter stands for: the first membership fixes how many voters each place has.
type place struct {
	zone    model.Zone
	witness bool
}

func (m Member) place() place { return place{m.Zone, m.Witness} }

// missing returns how many voters a place lacks; it is negative if there are too many.
func (n *Node) missing(at place) int {
	if n.cfg.Wanted > 0 {
		return n.cfg.Wanted - len(n.voters())
	}
	count := 0
	for _, f := range n.cfg.Founders {
		if p, _ := n.cfg.peer(f); (place{p.Zone, p.Witness}) == at {
			count++
		}
	}
	for _, m := range n.members() {
		if m.Voter && m.place() == at {
			count--
		}
	}
	return count
}

// promote gives a vote to a learner that is caught up, where a voter is missing.
func (n *Node) promote() (Membership, bool) {
	members := n.members()
	for _, l := range members {
		if l.Voter || !n.caughtUp(l.ID) || n.missing(l.place()) <= 0 {
			continue
		}
		l.Voter = true
		if next := members.With(l); n.sound(next) {
			return next, true
		}
	}
	return nil, false
}

// removeVoter takes the vote of a voter that is lost and can be replaced, or of one too many.
//
// The lost voter goes before its replacement comes: with both, the replacement's loss would
// leave two lost voters of four. The others must be alive in either order.
func (n *Node) removeVoter() (Membership, bool) {
	members := n.members()
	for _, v := range members {
		if !v.Voter || v.ID == n.cfg.Self || (n.missing(v.place()) >= 0 && !n.replaceable(v)) {
			continue
		}
		next := members.Without(v.ID)
		if !n.superseded(v) {
			// It may have been cut off and comes back with its disk.
			v.Voter = false
			next = next.With(v)
		}
		if n.sound(next) {
			return next, true
		}
	}
	return nil, false
}

// replaceable reports whether a voter is lost and a learner can take its place.
func (n *Node) replaceable(v Member) bool {
	if n.alive(v.ID) {
		return false
	}
	for _, l := range n.members() {
		if l.Voter || l.place() != v.place() || !n.caughtUp(l.ID) {
			continue
		}
		if l.ID.Name == v.ID.Name || n.silent(v) {
			return true
		}
	}
	return false
}

// superseded reports whether the instance of a voter came back under another identity.
func (n *Node) superseded(v Member) bool {
	for _, m := range n.members() {
		if m.ID.Name == v.ID.Name && m.ID != v.ID {
			return true
		}
	}
	return false
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
