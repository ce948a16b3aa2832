package quorum

import (
	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
)

// MessageKind is the type of a message.
type MessageKind uint8

// Types of messages.
const (
	KindAppend MessageKind = iota + 1
	KindAppendReply
	KindPreVote
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindSnapshotChunk
	KindSnapshotChunkReply
	KindReadIndex
	KindReadIndexReply
	KindTimeoutNow
	KindJoin
	KindJoinReply
	kindEnd
)

// Message is a message between two replicas of a group.
type Message struct {
	Group string      `cbor:"1,keyasint"`
	Kind  MessageKind `cbor:"2,keyasint"`
	From  ID          `cbor:"3,keyasint"`
	// To has incarnation 0 if the sender knows only the instance name.
	To          ID     `cbor:"4,keyasint"`
	BootstrapID uint64 `cbor:"5,keyasint,omitempty"`
	Term        uint64 `cbor:"6,keyasint,omitempty"`
	// Index is the index of the entry before Entries, of a candidate's last entry, or of the entry
	// that a reply acknowledges or rejects. LogTerm is the term of the entry at Index in requests.
	Index   uint64  `cbor:"7,keyasint,omitempty"`
	LogTerm uint64  `cbor:"8,keyasint,omitempty"`
	Commit  uint64  `cbor:"9,keyasint,omitempty"`
	Entries []Entry `cbor:"10,keyasint,omitempty"`
	// SentAt is the time of sending by the clock of the process that leads Term; replies in that term repeat the value of the
	// request.
	SentAt    clock.Millis `cbor:"11,keyasint,omitempty"`
	RequestID uint64       `cbor:"12,keyasint,omitempty"`
	Reject    bool         `cbor:"13,keyasint,omitempty"`
	// Hint is the highest index at which the logs may agree in a rejected append, and the number
	// of snapshot bytes received so far in a reply to a chunk.
	Hint uint64 `cbor:"14,keyasint,omitempty"`
	// IgnoreLease marks a vote request of a leadership transfer, which voters answer although they
	// have granted the previous leader a lease.
	IgnoreLease bool `cbor:"15,keyasint,omitempty"`
	// LazyReplication informs a witness that the next message may come as late as
	// Timing.WitnessInterval from now.
	LazyReplication bool           `cbor:"16,keyasint,omitempty"`
	CanBootstrap    bool           `cbor:"17,keyasint,omitempty"`
	Chunk           *SnapshotChunk `cbor:"18,keyasint,omitempty"`
	// ReadsJoint tells the leader, in each reply, that the sender can read joint memberships. Earlier versions can't.
	ReadsJoint bool `cbor:"19,keyasint,omitempty"`
}

// SnapshotChunk is a part of a snapshot. TotalSize and Checksum are those of the whole snapshot
// data.
type SnapshotChunk struct {
	_         struct{} `cbor:",toarray"`
	Meta      SnapshotMeta
	Offset    uint64
	TotalSize uint64
	Checksum  uint32
	Data      []byte
}

// MaxMessageBytes is the size of the largest encoded message that Decode accepts.
const MaxMessageBytes = 16 << 20

// decoder limits nesting and element counts, so that a short message cannot cause a large
// allocation.
var decoder = mustNewDecoder()

func mustNewDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 20, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of the message.
func (m Message) Encode() ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "encode message: %v", err)
	}
	return b, nil
}

// Decode decodes and validates a message that Encode returned.
func Decode(b []byte) (Message, error) {
	var m Message
	if len(b) > MaxMessageBytes {
		return m, fault.Wrap(fault.ErrTooLarge, "decode message: %d bytes exceed the maximum size", len(b))
	}
	if err := decoder.Unmarshal(b, &m); err != nil {
		return Message{}, fault.Wrap(fault.ErrCorrupt, "decode message: %v", err)
	}
	if err := m.validate(); err != nil {
		return Message{}, err
	}
	return m, nil
}

func (m Message) validate() error {
	if m.Kind == 0 || m.Kind >= kindEnd {
		return fault.Wrap(fault.ErrCorrupt, "decode message: unknown kind %d", m.Kind)
	}
	if (m.Kind == KindSnapshotChunk) != (m.Chunk != nil) {
		return fault.Wrap(fault.ErrCorrupt, "decode message: kind %d with snapshot chunk present: %t", m.Kind, m.Chunk != nil)
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term > m.Term {
			return fault.Wrap(fault.ErrCorrupt, "decode message: entry has index %d and term %d, want index %d and a term of at most %d", e.Index, e.Term, m.Index+uint64(i)+1, m.Term)
		}
	}
	return nil
}

// messageOverhead approximates the encoded size of the fixed-size fields of a message, in bytes.
const messageOverhead = 56

// ApproxSize returns the approximate encoded size of the message in bytes, without encoding it.
func (m Message) ApproxSize() int {
	size := messageOverhead + len(m.Group) + len(m.From.Name) + len(m.To.Name)
	for _, e := range m.Entries {
		size += e.approxSize()
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Data) + messageOverhead*(1+len(m.Chunk.Meta.Members))
	}
	return size
}
