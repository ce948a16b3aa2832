package quorum

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// founding is what an empty replica knows about the other founders.
type founding struct {
	answers map[model.Instance]answer
	exists  bool
}

type answer struct {
	id ID
	at clock.Millis
}

func (f *founding) start() { f.answers = map[model.Instance]answer{} }

func (n *Node) empty() bool { return n.log.last() == 0 && n.hard.Found == 0 }

// foreign reports whether a message belongs to another founding of the group.
func (n *Node) foreign(m Message) bool {
	return m.Found != 0 && n.hard.Found != 0 && m.Found != n.hard.Found
}

// adopt makes this replica part of a founding, together with the first entries that it stores.
func (n *Node) adopt(found uint64) {
	if n.hard.Found == 0 && n.log.last() > 0 {
		n.hard.Found = found
		n.disk.dirtyHard = true
	}
}

// tickJoin announces a replica that no leader knows, and founds the group if all agree.
func (n *Node) tickJoin() {
	if n.now < n.nextJoin {
		return
	}
	quiet := 3 * n.cfg.Timing.Election
	if n.lazy {
		quiet += n.cfg.Timing.Lazy
	}
	if n.promise && n.now-n.heard <= quiet {
		return
	}
	n.nextJoin = n.now + n.cfg.Timing.Join
	if n.mayFound() {
		n.found()
		return
	}
	for _, p := range n.cfg.Peers {
		if p.Name != n.cfg.Self.Name {
			n.send(Message{Kind: KindJoin, To: ID{Name: p.Name}})
		}
	}
}

// onJoin answers whether this replica belongs to a group. The answer names one life of the
// asking instance, so that it cannot be mistaken for one given to an earlier life.
func (n *Node) onJoin(m Message) {
	if _, ok := n.cfg.peer(m.From.Name); !ok || m.From.Name == n.cfg.Self.Name || m.To.Name != n.cfg.Self.Name {
		return
	}
	if n.role == leader && !n.foreign(m) {
		n.lead.joins[m.From] = joined{at: n.now}
		if p := n.peers[m.From]; p != nil {
			p.lastSend = never
		}
	}
	n.send(Message{Kind: KindJoinReply, To: m.From, Boot: n.cfg.Boot && n.empty()})
}

func (n *Node) onJoinReply(m Message) {
	if m.To != n.cfg.Self || !n.empty() {
		return
	}
	if m.Found != 0 {
		n.founding.exists = true
	}
	if m.Boot {
		n.founding.answers[m.From.Name] = answer{id: m.From, at: n.now}
	}
}

// mayFound reports whether all founders answered that they are empty and no group exists.
func (n *Node) mayFound() bool {
	if !n.cfg.Boot || !n.empty() || n.founding.exists || len(n.cfg.Founders) == 0 {
		return false
	}
	// One founder acts for all, so that two foundings do not compete.
	if slices.Min(n.cfg.Founders) != n.cfg.Self.Name {
		return false
	}
	for _, f := range n.cfg.Founders {
		a, ok := n.founding.answers[f]
		if f != n.cfg.Self.Name && (!ok || n.now-a.at > 2*n.cfg.Timing.Join) {
			return false
		}
	}
	return true
}

// found writes the first membership as the first entry and stands for election.
func (n *Node) found() {
	var m Membership
	for _, f := range n.cfg.Founders {
		id := n.cfg.Self
		if f != id.Name {
			id = n.founding.answers[f].id
		}
		p, _ := n.cfg.peer(f)
		m = m.With(Member{ID: id, Zone: p.Zone, Voter: true, Witness: p.Witness})
	}
	n.setTerm(1, ID{})
	n.hard.Found = n.rng.Uint64() | 1
	e := n.appendOwn(EntryMembers, encodeMembers(m))
	n.configs = append(n.configs, placed{e.Index, m})
	n.campaign(candidate, false)
}
