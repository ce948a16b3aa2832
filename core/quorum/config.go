package quorum

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// Peer is an instance that may run a replica of the group. A witness votes and stores the log,
// and receives entries only as often as necessary.
type Peer struct {
	Name    model.Instance
	Zone    model.Zone
	Witness bool
}

// Timing holds the timeouts and intervals of the protocol.
type Timing struct {
	// ElectionTimeout is how long a follower waits without a message from the leader before it starts
	// an election.
	ElectionTimeout clock.Millis
	// HeartbeatInterval is the longest time between two messages of the leader to a follower.
	HeartbeatInterval clock.Millis
	// VoterTimeout is how long a voter may leave the leader without an answer before it is replaced.
	VoterTimeout clock.Millis
	// WitnessStallTimeout is how long a voter other than the witness may leave the leader without
	// an answer before entries are replicated to the witness at once.
	WitnessStallTimeout clock.Millis
	// WitnessInterval is how often entries are replicated to a witness while all other voters
	// answer.
	WitnessInterval clock.Millis
	// JoinInterval is how often a replica that no leader contacts sends join requests to its peers.
	JoinInterval clock.Millis
}

// DefaultTiming returns the timing for replicas a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		ElectionTimeout:     clock.Second,
		HeartbeatInterval:   200 * clock.Millisecond,
		VoterTimeout:        10 * clock.Second,
		WitnessStallTimeout: 500 * clock.Millisecond,
		WitnessInterval:     30 * clock.Second,
		JoinInterval:        clock.Second,
	}
}

// WANTiming returns the timing for replicas in several regions, 30 ms apart one way.
func WANTiming() Timing {
	t := DefaultTiming()
	t.ElectionTimeout = 2 * clock.Second
	t.HeartbeatInterval = 500 * clock.Millisecond
	t.WitnessStallTimeout = clock.Second
	return t
}

// Limits bounds memory use, message sizes and lag.
type Limits struct {
	// MessageBytes bounds the size of the entries in one message; a single entry may exceed it.
	MessageBytes int
	// MaxInflight bounds the number of unacknowledged messages with entries to one follower.
	MaxInflight int
	// UncommittedBytes bounds the entries that the leader has appended but not committed.
	UncommittedBytes int
	// ChunkBytes bounds the part of a snapshot that one message carries.
	ChunkBytes int
	// SnapshotBytes bounds the size of a snapshot that a follower accepts.
	SnapshotBytes int
	// TrailingEntries is the number of entries that stay in the log although a snapshot covers
	// them, so that slow followers need no snapshot.
	TrailingEntries uint64
	// LearnerLag is the number of entries that a replica may lack and still count as caught up.
	LearnerLag uint64
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		MessageBytes:     256 << 10,
		MaxInflight:      64,
		UncommittedBytes: 64 << 20,
		ChunkBytes:       256 << 10,
		SnapshotBytes:    1 << 30,
		TrailingEntries:  4096,
		LearnerLag:       256,
	}
}

// Config is the static configuration of a replica. Only Peers can change later, by an UpdatePeers
// input.
type Config struct {
	Group string
	Self  ID
	// Peers lists all instances that may run a replica of the group, this one included.
	Peers []Peer
	// InitialVoters names the voters of the initial membership.
	InitialVoters []model.Instance
	// TargetVoters is the target number of voters regardless of their zones; 0 means that each
	// zone keeps as many voters and witnesses as it has among InitialVoters.
	TargetVoters int
	// Bootstrap allows this replica to take part in bootstrapping the group while it stores
	// nothing.
	Bootstrap bool
	Timing    Timing
	Limits    Limits
	// Seed seeds the random part of election timeouts and the numbers of reads in messages, so that runs are reproducible.
	// It must be another one for each process of a replica.
	Seed uint64
}

func (c Config) validate() error {
	if c.Self.Name == "" || c.Self.Incarnation == 0 {
		return fault.Wrap(fault.ErrInvalid, "replica identity %q lacks a name or an incarnation", c.Self)
	}
	if _, ok := c.findPeer(c.Self.Name); !ok {
		return fault.Wrap(fault.ErrInvalid, "instance %q is not in the peer list of group %q", c.Self.Name, c.Group)
	}
	for _, name := range c.InitialVoters {
		if _, ok := c.findPeer(name); !ok {
			return fault.Wrap(fault.ErrInvalid, "initial voter %q is not in the peer list of group %q", name, c.Group)
		}
	}
	t := c.Timing
	if t.HeartbeatInterval <= 0 || t.ElectionTimeout < 3*t.HeartbeatInterval || t.WitnessStallTimeout < 2*t.HeartbeatInterval || t.JoinInterval <= 0 || t.WitnessInterval <= 0 {
		return fault.Wrap(fault.ErrInvalid, "invalid timing %+v: need heartbeat interval > 0, election timeout >= 3 heartbeats, witness stall timeout >= 2 heartbeats, join and witness intervals > 0", t)
	}
	return nil
}

func (c Config) findPeer(name model.Instance) (Peer, bool) {
	i := slices.IndexFunc(c.Peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return Peer{}, false
	}
	return c.Peers[i], true
}

// RestoredState is what the store holds when the replica starts. Entries follow Meta.Index.
type RestoredState struct {
	HardState HardState
	Meta      SnapshotMeta
	Entries   []Entry
}

func (r RestoredState) empty() bool { return r.Meta.Index == 0 && len(r.Entries) == 0 }
