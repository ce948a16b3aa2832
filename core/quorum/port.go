package quorum

import "vanillabridge/core/model"

// Input is what a Node reacts to.
type Input interface{ input() }

// Tick lets time pass.
type Tick struct{}

// Receive delivers a message of another replica.
type Receive struct{ Message Message }

// Proposal is one command to append, with an identifier that the caller chose.
type Proposal struct {
	ID   uint64
	Data []byte
}

// Propose appends commands as one batch.
type Propose struct{ Items []Proposal }

// Persisted reports that everything up to the Persist output with this number is durable.
type Persisted struct{ Seq uint64 }

// Snapshotted reports that a snapshot of the machine is durable, so that the log may shrink.
type Snapshotted struct{ Meta Meta }

// Loaded answers a Load output with a part of the newest stored snapshot.
type Loaded struct {
	To    ID
	Chunk Chunk
}

// Read asks for an index such that a state that has applied it is linearizable.
type Read struct{ ID uint64 }

// Peers replaces the list of instances that may serve in the group, for groups whose instances
// are found at run time. The list must hold this instance.
type Peers struct{ List []Peer }

// Handover asks the leader to pass leadership to another voter.
type Handover struct{}

func (Tick) input()        {}
func (Receive) input()     {}
func (Propose) input()     {}
func (Persisted) input()   {}
func (Snapshotted) input() {}
func (Loaded) input()      {}
func (Read) input()        {}
func (Handover) input()    {}
func (Peers) input()       {}

// Output is what a Node asks its runtime to do, in order.
type Output interface{ output() }

// Send asks for a message to be sent; it may be lost.
type Send struct {
	To      model.Instance
	Message Message
}

// Persist asks for state to be made durable, followed by a Persisted input.
//
// If Snapshot is set, it replaces the log and all older snapshots. If Entries are set, they
// replace all entries from the index of the first of them.
type Persist struct {
	Seq      uint64
	Hard     Hard
	Snapshot *Snapshot
	Entries  []Entry
}

// Apply hands committed entries to the machine.
type Apply struct{ Entries []Entry }

// Install replaces the state of the machine.
type Install struct{ Snapshot Snapshot }

// Role reports a change of role or of the known leader.
type Role struct {
	Leader bool
	Term   uint64
	Known  ID
}

// Accepted reports the position at which a proposal was appended. The proposal took effect
// if and only if the entry applied at Index has this Term.
type Accepted struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// Refuse reports that a proposal was not appended, or that a read was not confirmed.
type Refuse struct {
	ID   uint64
	Read bool
	Err  error
}

// Ready answers a Read: the state is linearizable once Index is applied.
type Ready struct {
	ID    uint64
	Index uint64
}

// Load asks for a part of the newest stored snapshot, followed by a Loaded input.
type Load struct {
	To     ID
	Offset uint64
	Limit  uint64
}

func (Send) output()     {}
func (Persist) output()  {}
func (Apply) output()    {}
func (Install) output()  {}
func (Role) output()     {}
func (Accepted) output() {}
func (Refuse) output()   {}
func (Ready) output()    {}
func (Load) output()     {}
