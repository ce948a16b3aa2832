package quorum

import (
	"slices"

	"vanillabridge/core/model"
)

// EntryKind tells what an entry of the log holds.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryData carries a command of the state machine.
	EntryData EntryKind = iota
	// EntryEmpty is the first entry of a leader's term.
	EntryEmpty
	// EntryMembers carries a membership, in force from the moment it is appended.
	EntryMembers
)

// Entry is one position of the log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

func (e Entry) size() int { return len(e.Data) + entryOverhead }

// entryOverhead approximates the encoded size of the fields of an entry besides its data.
const entryOverhead = 16

// Member is one replica of a membership.
type Member struct {
	_       struct{} `cbor:",toarray"`
	ID      ID
	Zone    model.Zone
	Voter   bool
	Witness bool
}

// Membership is the set of replicas, sorted by identity.
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

// Learners returns the identities of the replicas without a vote.
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

// With returns a membership in which the member replaces the one of the same identity.
func (m Membership) With(x Member) Membership {
	out := append(m.Without(x.ID), x)
	slices.SortFunc(out, func(a, b Member) int { return compareID(a.ID, b.ID) })
	return out
}

// Without returns a membership that lacks the given identity.
func (m Membership) Without(id ID) Membership {
	out := make(Membership, 0, len(m)+1)
	for _, x := range m {
		if x.ID != id {
			out = append(out, x)
		}
	}
	return out
}

// Hard is the state besides the log that a replica must not forget.
type Hard struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Vote ID
	// Found identifies the founding of the group, so that two foundings never mix.
	Found uint64
}

// Meta describes the point of the log that a snapshot replaces.
type Meta struct {
	_       struct{} `cbor:",toarray"`
	Index   uint64
	Term    uint64
	Found   uint64
	Members Membership
}

// Snapshot is the state of the machine after the entry at Meta.Index.
type Snapshot struct {
	Meta Meta
	Data []byte
}
