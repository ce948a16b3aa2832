package group

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
	"vanillabridge/core/store"
)

// Traffic counts the messages of a replica.
type Traffic struct {
	// Messages is the number of messages sent.
	Messages uint64
	// Bytes is the approximate encoded size of the messages sent.
	Bytes uint64
	// BytesByPeer splits Bytes by receiver.
	BytesByPeer map[model.Instance]uint64
	// Dropped is the number of received messages that were dropped because the event queue was
	// full.
	Dropped uint64
}

// Status is a replica's view of itself and its group.
type Status struct {
	Group        string
	Self         quorum.ID
	Leader       quorum.ID
	IsLeader     bool
	Term         uint64
	CommitIndex  uint64
	AppliedIndex uint64
	FirstIndex   uint64
	LastIndex    uint64
	Voters       []quorum.ID
	Learners     []quorum.ID
	Traffic      Traffic
	Store        store.Counters
	// Err is the reason why the replica has stopped, or nil while it runs.
	Err error
}

// Status returns the current status of the replica.
func (g *Group) Status() Status {
	counters := g.store.Counters()
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.traffic
	t.Dropped = g.droppedMessages.Load()
	t.BytesByPeer = make(map[model.Instance]uint64, len(g.traffic.BytesByPeer))
	for name, n := range g.traffic.BytesByPeer {
		t.BytesByPeer[name] = n
	}
	return Status{
		Group: g.cfg.Group, Self: g.self, Leader: g.state.LeaderID, IsLeader: g.state.IsLeader,
		Term: g.state.Term, CommitIndex: g.state.CommitIndex, AppliedIndex: g.applied,
		FirstIndex: g.state.FirstIndex, LastIndex: g.state.LastIndex,
		Voters: g.state.Members.Voters(), Learners: g.state.Members.Learners(),
		Traffic: t, Store: counters, Err: g.err,
	}
}

// Leader returns the known leader, the current term and whether this replica leads.
//
// The node may still consider itself leader right after the process was paused, so Leader compares
// the clock with the deadline by which a majority must have answered.
func (g *Group) Leader() (name string, term uint64, isLeader bool) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	isLeader = g.state.IsLeader && g.err == nil && now <= g.state.StepDownAt
	return string(g.state.LeaderID.Name), g.state.Term, isLeader
}

// Lease returns the expiry of the leader lease, on the group's clock, and the current term. No
// other replica can become leader before the expiry; it is 0 if this replica holds no lease.
func (g *Group) Lease() (leaseEnd clock.Millis, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return 0, g.state.Term
	}
	return g.state.LeaseEnd, g.state.Term
}

func (g *Group) countSent(m quorum.Message) {
	size := uint64(m.ApproxSize())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.traffic.Messages++
	g.traffic.Bytes += size
	if g.traffic.BytesByPeer == nil {
		g.traffic.BytesByPeer = map[model.Instance]uint64{}
	}
	g.traffic.BytesByPeer[m.To.Name] += size
}
