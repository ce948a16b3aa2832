package group

import (
	"context"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
	"vanillabridge/core/store"
)

// Transport sends messages to other instances. Send must not block; it may lose messages.
type Transport interface {
	Send(to model.Instance, m quorum.Message)
}

// Forwarder proposes at another instance, which calls ProposeHere. If it is sure that the
// proposal was not received, it returns fault.ErrUnavailable.
type Forwarder interface {
	Propose(ctx context.Context, to model.Instance, group string, data []byte) ([]byte, error)
}

// Machine is the replicated state. The group calls it from one goroutine at a time.
type Machine interface {
	// Apply executes a committed command; its result must depend on nothing but the commands so far.
	Apply(index uint64, data []byte) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Role is a change of the role of this replica or of the known leader.
type Role struct {
	// Mine says that this replica leads.
	Mine   bool
	Leader model.Instance
	Term   uint64
}

// Config describes one replica of a group.
type Config struct {
	// Group names the group in every message.
	Group string
	Self  model.Instance
	// Peers lists all instances that may serve in the group, this one included.
	Peers []quorum.Peer
	// Voters names the voters of the first membership.
	Voters []model.Instance
	// Wanted is the number of voters, wherever they are; 0 means as many in each zone as Voters has.
	Wanted int
	// Bootstrap lets this replica found the group while it is empty.
	Bootstrap bool
	// Folder holds the data of this group alone; if empty, everything is kept in memory.
	Folder string
	// Store replaces Folder if set.
	Store store.Store

	Machine   Machine
	Transport Transport
	Forwarder Forwarder
	// OnRole is called in order from one goroutine; it may be nil and must not call Close.
	OnRole func(Role)
	// Clock is the system clock if nil.
	Clock clock.Source

	// Linger is how long proposals may wait for others, so that they share a message; 0 means not at
	// all.
	Linger clock.Millis

	// Timing and Limits are the defaults of package quorum if zero.
	Timing quorum.Timing
	Limits quorum.Limits
	// SnapshotEntries and SnapshotBytes say after how much log a snapshot is taken.
	SnapshotEntries uint64
	SnapshotBytes   uint64
	// Backlog is the number of committed entries that the machine may be behind before this
	// replica refuses proposals.
	Backlog uint64
}

const (
	defaultSnapshotEntries = 50_000
	defaultSnapshotBytes   = 32 << 20
	defaultBacklog         = 65_536
	// maxProposal keeps a message with one entry below the frame limit of the transport, in bytes.
	maxProposal = 8 << 20
	// maxQueued bounds the messages that wait for the group; more are dropped like lost ones.
	maxQueued = 4096
)

func (c Config) withDefaults() (Config, error) {
	if c.Machine == nil || c.Transport == nil {
		return c, fault.Wrap(fault.ErrInvalid, "group %q has no machine or no transport", c.Group)
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
	if c.Backlog == 0 {
		c.Backlog = defaultBacklog
	}
	return c, nil
}
