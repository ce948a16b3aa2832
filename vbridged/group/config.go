package group

import (
	"context"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
	"vanillabridge/core/store"
)

// Transport sends messages to other instances. Send must not block and may drop messages.
type Transport interface {
	Send(to model.Instance, m quorum.Message)
}

// Forwarder sends a proposal to another instance, which calls ProposeLocal. It returns
// fault.ErrUnavailable only if the proposal was certainly not received.
type Forwarder interface {
	Propose(ctx context.Context, to model.Instance, group string, data []byte) ([]byte, error)
}

// Machine is the replicated state machine. The group calls it from one goroutine at a time.
type Machine interface {
	// Apply executes a committed command. It must be deterministic: its result may depend only on
	// the commands applied so far.
	Apply(index uint64, data []byte) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// RoleChange reports a change of this replica's role or of the known leader.
type RoleChange struct {
	// IsLeader reports whether this replica is the leader.
	IsLeader bool
	Leader   model.Instance
	Term     uint64
}

// Config describes one replica of a group.
type Config struct {
	// Group is the name of the group; it is part of every message.
	Group string
	Self  model.Instance
	// Peers lists all instances that may become members of the group, including this one.
	Peers []quorum.Peer
	// InitialVoters lists the voters of the initial membership.
	InitialVoters []model.Instance
	// TargetVoters is the target number of voters, regardless of zone. If 0, each zone keeps as many
	// voters as it has in InitialVoters.
	TargetVoters int
	// Bootstrap allows this replica to create the group if its store is empty.
	Bootstrap bool
	// DataDir is the data directory, which must not be shared with another group. If empty, all data
	// is kept in memory.
	DataDir string
	// Store overrides DataDir if set.
	Store store.Store

	Machine   Machine
	Transport Transport
	Forwarder Forwarder
	// OnRoleChange is called for each role change, in order and from one goroutine. It may be nil and
	// must not call Close.
	OnRoleChange func(RoleChange)
	// Clock defaults to the system clock.
	Clock clock.Source

	// Linger is the longest time that a proposal waits to be batched with others into one message.
	// If 0, proposals are not delayed.
	Linger clock.Millis

	// Timing and Limits default to those of package quorum.
	Timing quorum.Timing
	Limits quorum.Limits
	// SnapshotEntries and SnapshotBytes are the log growth that triggers a snapshot, whichever is
	// reached first.
	SnapshotEntries uint64
	SnapshotBytes   uint64
	// MaxApplyBacklog is the largest number of committed but unapplied entries with which this
	// replica still accepts proposals.
	MaxApplyBacklog uint64
}

const (
	defaultSnapshotEntries = 50_000
	defaultSnapshotBytes   = 32 << 20
	defaultMaxApplyBacklog = 65_536
	// maxProposalBytes keeps a message with a single entry below the frame limit of the transport.
	maxProposalBytes = 8 << 20
	// maxQueuedEvents bounds the event queue: while it is this long, received messages are dropped,
	// which the protocol tolerates like network loss.
	maxQueuedEvents = 4096
)

func (c Config) withDefaults() (Config, error) {
	if c.Machine == nil || c.Transport == nil {
		return c, fault.Wrap(fault.ErrInvalid, "open group %q: Machine and Transport are required", c.Group)
	}
	if c.Clock == nil {
		c.Clock = clock.NewSystem()
	}
	if c.Timing == (quorum.Timing{}) {
		c.Timing = quorum.DefaultTiming()
	}
	if c.Limits == (quorum.Limits{}) {
		c.Limits = quorum.DefaultLimits()
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = defaultSnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = defaultSnapshotBytes
	}
	if c.MaxApplyBacklog == 0 {
		c.MaxApplyBacklog = defaultMaxApplyBacklog
	}
	return c, nil
}
