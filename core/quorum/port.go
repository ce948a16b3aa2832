package quorum

import "vanillabridge/core/model"

// Input is an event that a Node processes in Step.
type Input interface{ input() }

// Tick makes the Node check its timeouts against the current time.
type Tick struct{}

// Receive delivers a message from another replica.
type Receive struct{ Message Message }

// Proposal is a command to append to the log. The caller chooses the ID that the result refers to.
type Proposal struct {
	ID   uint64
	Data []byte
	// Term is the term that the replica must lead to append the command, or 0 for any.
	Term uint64
}

// Propose proposes a batch of commands.
type Propose struct{ Proposals []Proposal }

// Persisted reports that all Persist outputs up to the one numbered Seq are durable.
type Persisted struct{ Seq uint64 }

// SnapshotPersisted reports that a snapshot of the state machine is durable, so that the log can be
// compacted.
type SnapshotPersisted struct{ Meta SnapshotMeta }

// SnapshotChunkLoaded answers a LoadSnapshotChunk output with a chunk of the newest stored snapshot.
type SnapshotChunkLoaded struct {
	To    ID
	Chunk SnapshotChunk
}

// ReadIndex requests a read index: a state machine that has applied it can answer a linearizable
// read. A ReadConfirmed or Rejected output with the same ID answers it.
type ReadIndex struct{ ID uint64 }

// UpdatePeers replaces the list of instances that may run a replica, for groups whose instances are
// discovered at run time. The list must include this instance.
type UpdatePeers struct{ Peers []Peer }

// TransferLeadership makes the leader transfer leadership to another voter. Other replicas ignore it.
type TransferLeadership struct{}

func (Tick) input()                {}
func (Receive) input()             {}
func (Propose) input()             {}
func (Persisted) input()           {}
func (SnapshotPersisted) input()   {}
func (SnapshotChunkLoaded) input() {}
func (ReadIndex) input()           {}
func (TransferLeadership) input()  {}
func (UpdatePeers) input()         {}

// Output is an action that the caller of Step must perform. Outputs are performed in order.
type Output interface{ output() }

// Send sends a message to another replica. Messages may be lost.
type Send struct {
	To      model.Instance
	Message Message
}

// Persist makes state durable. The caller confirms it with a Persisted input.
//
// If Snapshot is set, it replaces the log and all older snapshots. If Entries is not empty, it
// replaces all entries of the log from the index of its first entry on.
type Persist struct {
	Seq       uint64
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// Apply applies committed entries to the state machine.
type Apply struct{ Entries []Entry }

// InstallSnapshot replaces the state of the state machine by a snapshot.
type InstallSnapshot struct{ Snapshot Snapshot }

// RoleChange reports a change of this replica's role, of the term or of the known leader.
type RoleChange struct {
	IsLeader bool
	Term     uint64
	LeaderID ID
}

// Accepted reports the index and term at which a proposal was appended. The proposal took effect
// if and only if the entry that is applied at Index has this Term.
type Accepted struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// Rejected reports that a proposal was not appended or, if IsRead is set, that a read was not
// confirmed.
type Rejected struct {
	ID     uint64
	IsRead bool
	Err    error
}

// ReadConfirmed answers a ReadIndex input: a read of the state machine is linearizable once Index
// is applied.
type ReadConfirmed struct {
	ID    uint64
	Index uint64
}

// LoadSnapshotChunk reads a chunk of the newest stored snapshot for a follower. The caller answers
// with a SnapshotChunkLoaded input.
type LoadSnapshotChunk struct {
	To     ID
	Offset uint64
	Limit  uint64
}

func (Send) output()              {}
func (Persist) output()           {}
func (Apply) output()             {}
func (InstallSnapshot) output()   {}
func (RoleChange) output()        {}
func (Accepted) output()          {}
func (Rejected) output()          {}
func (ReadConfirmed) output()     {}
func (LoadSnapshotChunk) output() {}
