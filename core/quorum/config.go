package quorum

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// Peer is an instance that may serve in the group.
type Peer struct {
	Name    model.Instance
	Zone    model.Zone
	Witness bool
}

// Timing holds the durations of the protocol.
type Timing struct {
	// Election is how long a follower waits for its leader before it stands for election.
	Election clock.Millis
	// Heartbeat is the longest time between two messages to a follower.
	Heartbeat clock.Millis
	// Silent is how long a voter may be silent before the leader replaces it.
	Silent clock.Millis
	// Stall is how long a local voter may be silent before the witness gets entries.
	Stall clock.Millis
	// Lazy is how often a witness gets entries when no local voter stalls.
	Lazy clock.Millis
	// Join is how often a replica outside the membership announces itself.
	Join clock.Millis
}

// DefaultTiming suits replicas a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		Election:  clock.Second,
		Heartbeat: 200 * clock.Millisecond,
		Silent:    10 * clock.Second,
		Stall:     500 * clock.Millisecond,
		Lazy:      30 * clock.Second,
		Join:      clock.Second,
	}
}

// WideTiming suits replicas in several regions, 30 ms apart one way.
func WideTiming() Timing {
	t := DefaultTiming()
	t.Election = 2 * clock.Second
	t.Heartbeat = 500 * clock.Millisecond
	t.Stall = clock.Second
	return t
}

// Limits bounds memory and message sizes, in bytes unless said otherwise.
type Limits struct {
	// Message bounds the entries of one message.
	Message int
	// Window bounds the number of messages with entries in flight to one follower.
	Window int
	// Pending bounds the entries that the leader has appended but not committed.
	Pending int
	// Chunk bounds the part of a snapshot in one message.
	Chunk int
	// Snapshot bounds a snapshot that is received.
	Snapshot int
	// Trail is the number of entries kept in the log behind a snapshot for slow followers.
	Trail uint64
	// Lag is the number of entries that a learner may lack and still count as caught up.
	Lag uint64
}

// DefaultLimits returns the limits used unless set otherwise.
func DefaultLimits() Limits {
	return Limits{
		Message:  256 << 10,
		Window:   64,
		Pending:  64 << 20,
		Chunk:    256 << 10,
		Snapshot: 1 << 30,
		Trail:    4096,
		Lag:      256,
	}
}

// Config is the fixed part of a replica.
type Config struct {
	Group string
	Self  ID
	// Peers lists all instances that may serve in the group, this one included.
	Peers []Peer
	// Founders names the voters of the first membership.
	Founders []model.Instance
	// Wanted is the number of voters, wherever they are; 0 means as many in each zone as founders.
	Wanted int
	// Boot allows this replica, while empty, to take part in founding the group.
	Boot   bool
	Timing Timing
	Limits Limits
	// Seed makes the random part of timeouts reproducible.
	Seed uint64
}

func (c Config) check() error {
	if c.Self.Name == "" || c.Self.Inc == 0 {
		return fault.Wrap(fault.ErrInvalid, "replica identity %q is incomplete", c.Self)
	}
	if _, ok := c.peer(c.Self.Name); !ok {
		return fault.Wrap(fault.ErrInvalid, "instance %q is not among the peers of group %q", c.Self.Name, c.Group)
	}
	for _, f := range c.Founders {
		if _, ok := c.peer(f); !ok {
			return fault.Wrap(fault.ErrInvalid, "founder %q is not among the peers of group %q", f, c.Group)
		}
	}
	t := c.Timing
	if t.Heartbeat <= 0 || t.Election < 3*t.Heartbeat || t.Stall < 2*t.Heartbeat || t.Join <= 0 || t.Lazy <= 0 {
		return fault.Wrap(fault.ErrInvalid, "timing %+v: need heartbeat > 0, election >= 3 heartbeats, stall >= 2 heartbeats", t)
	}
	return nil
}

func (c Config) peer(name model.Instance) (Peer, bool) {
	i := slices.IndexFunc(c.Peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return Peer{}, false
	}
	return c.Peers[i], true
}

// Restored is what the store holds at start.
type Restored struct {
	Hard    Hard
	Meta    Meta
	Entries []Entry
}

func (r Restored) empty() bool { return r.Meta.Index == 0 && len(r.Entries) == 0 }
