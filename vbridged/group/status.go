package group

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
	"vanillabridge/core/store"
)

// Traffic counts messages sent, by approximate encoded size in bytes.
type Traffic struct {
	Messages uint64
	Bytes    uint64
	// ByPeer holds the bytes for each receiver.
	ByPeer map[model.Instance]uint64
	// Dropped counts received messages that were discarded because the group was busy.
	Dropped uint64
}

// Status is what a replica knows about itself and its group.
type Status struct {
	Group    string
	Self     quorum.ID
	Leader   quorum.ID
	Mine     bool
	Term     uint64
	Commit   uint64
	Applied  uint64
	First    uint64
	Last     uint64
	Voters   []quorum.ID
	Learners []quorum.ID
	Traffic  Traffic
	Store    store.Counters
	// Err says why the replica has stopped, or is nil.
	Err error
}

// Status returns what the replica knows now.
func (g *Group) Status() Status {
	counters := g.store.Counters()
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.traffic
	t.Dropped = g.dropped.Load()
	t.ByPeer = make(map[model.Instance]uint64, len(g.traffic.ByPeer))
	for name, n := range g.traffic.ByPeer {
		t.ByPeer[name] = n
	}
	return Status{
		Group: g.cfg.Group, Self: g.self, Leader: g.state.Known, Mine: g.state.Leader,
		Term: g.state.Term, Commit: g.state.Commit, Applied: g.applied,
		First: g.state.First, Last: g.state.Last,
		Voters: g.state.Members.Voters(), Learners: g.state.Members.Learners(),
		Traffic: t, Store: counters, Err: g.err,
	}
}

// Leader returns the known leader, the current term and whether this replica leads.
//
// A process that was paused may still be marked as leader, so the time by which a majority must
// have answered is checked here again.
func (g *Group) Leader() (name string, term uint64, mine bool) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	mine = g.state.Leader && g.err == nil && now <= g.state.Until
	return string(g.state.Known.Name), g.state.Term, mine
}

// Lease returns the instant on the group's clock until which no other replica can become
// leader, or 0 if this replica has no such lease. The term is the one of the lease.
func (g *Group) Lease() (until clock.Millis, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return 0, g.state.Term
	}
	return g.state.Lease, g.state.Term
}

func (g *Group) countSend(m quorum.Message) {
	size := uint64(m.Size())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.traffic.Messages++
	g.traffic.Bytes += size
	if g.traffic.ByPeer == nil {
		g.traffic.ByPeer = map[model.Instance]uint64{}
	}
	g.traffic.ByPeer[m.To.Name] += size
}
