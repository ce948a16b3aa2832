package quorum

import (
	"slices"

	"vanillabridge/core/model"
)

// EntryKind is the type of a log entry.
type EntryKind uint8

// Types of log entries.
const (
	// EntryData carries a command of the state machine.
	EntryData EntryKind = iota
	// EntryNoOp is the entry without data that a new leader appends first, because it can commit
	// entries of earlier terms only together with one of its own term.
	EntryNoOp
	// EntryMembership carries a membership, which is in force as soon as it is appended. It may be joint: then decisions
	// need a majority of the voters before the change and one of those after it.
	EntryMembership
)

// Entry is one entry of the log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

func (e Entry) approxSize() int { return len(e.Data) + entryOverhead }

// entryOverhead approximates the encoded size of an entry without its data, in bytes.
const entryOverhead = 16

// Member is one replica in a membership: a voter or a learner.
type Member struct {
	_       struct{} `cbor:",toarray"`
	ID      ID
	Zone    model.Zone
	Voter   bool
	Witness bool
}

// Membership is the set of replicas of a group, sorted by identity.
type Membership []Member

// Find returns the member with the given identity.
func (m Membership) Find(id ID) (Member, bool) {
	for _, x := range m {
		if x.ID == id {
			return x, true
		}
	}
	return Member{}, false
}

// Voters returns the identities of the voters.
func (m Membership) Voters() []ID { return m.ids(true) }

// Learners returns the identities of the members without a vote.
func (m Membership) Learners() []ID { return m.ids(false) }

func (m Membership) ids(voter bool) []ID {
	var out []ID
	for _, x := range m {
		if x.Voter == voter {
			out = append(out, x.ID)
		}
	}
	return out
}

// With returns a copy with the given member added, or replaced if its identity is present.
func (m Membership) With(x Member) Membership {
	out := append(m.Without(x.ID), x)
	slices.SortFunc(out, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return out
}

// Without returns a copy without the member of the given identity.
func (m Membership) Without(id ID) Membership {
	out := make(Membership, 0, len(m)+1)
	for _, x := range m {
		if x.ID != id {
			out = append(out, x)
		}
	}
	return out
}

// HardState is the state that must be durable besides the log.
type HardState struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Vote ID
	// BootstrapID is a random number drawn when the group was bootstrapped; 0 means none yet.
	// Replicas ignore messages with another BootstrapID, so that two groups of the same name that
	// were bootstrapped separately never exchange entries.
	BootstrapID uint64
}

// SnapshotMeta describes the last log entry that a snapshot covers, and the membership at that entry.
type SnapshotMeta struct {
	_           struct{} `cbor:",toarray"`
	Index       uint64
	Term        uint64
	BootstrapID uint64
	Members     Membership
}

// Snapshot is the state of the replicated state machine after the entry at Meta.Index.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}
