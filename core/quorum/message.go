package quorum

import (
	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
)

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	KindAppend Kind = iota + 1
	KindAppendReply
	KindPreVote
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindChunk
	KindChunkReply
	KindRead
	KindReadReply
	KindCampaign
	KindJoin
	KindJoinReply
	kindEnd
)

// Message is what replicas of one group send to each other.
type Message struct {
	Group string `cbor:"1,keyasint"`
	Kind  Kind   `cbor:"2,keyasint"`
	From  ID     `cbor:"3,keyasint"`
	// To has incarnation 0 when the sender knows only the name.
	To    ID     `cbor:"4,keyasint"`
	Found uint64 `cbor:"5,keyasint,omitempty"`
	Term  uint64 `cbor:"6,keyasint,omitempty"`
	// Index is the position before Entries, the last position of a candidate, or the
	// position that a reply confirms.
	Index   uint64  `cbor:"7,keyasint,omitempty"`
	LogTerm uint64  `cbor:"8,keyasint,omitempty"`
	Commit  uint64  `cbor:"9,keyasint,omitempty"`
	Entries []Entry `cbor:"10,keyasint,omitempty"`
	// Sent is the leader's clock when it sent the request; the reply echoes it.
	Sent   clock.Millis `cbor:"11,keyasint,omitempty"`
	Seq    uint64       `cbor:"12,keyasint,omitempty"`
	Reject bool         `cbor:"13,keyasint,omitempty"`
	// Hint is the last position at which the logs may agree, in a rejection.
	Hint uint64 `cbor:"14,keyasint,omitempty"`
	// Force marks the campaign of a handover, which the old leader's lease does not forbid.
	Force bool `cbor:"15,keyasint,omitempty"`
	// Lazy tells a witness that the next message may be a full lazy interval away.
	Lazy  bool   `cbor:"16,keyasint,omitempty"`
	Boot  bool   `cbor:"17,keyasint,omitempty"`
	Chunk *Chunk `cbor:"18,keyasint,omitempty"`
}

// Chunk is a part of a snapshot in transfer.
type Chunk struct {
	_      struct{} `cbor:",toarray"`
	Meta   Meta
	Offset uint64
	Size   uint64
	Sum    uint32
	Data   []byte
}

// MaxMessage is the largest encoded message that Decode accepts, in bytes.
const MaxMessage = 16 << 20

// decoder bounds nesting and counts, so that a short message cannot ask for much memory.
var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 20, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR form of the message.
func (m Message) Encode() ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "encode message: %v", err)
	}
	return b, nil
}

// Decode reads the form that Encode returns.
func Decode(b []byte) (Message, error) {
	var m Message
	if len(b) > MaxMessage {
		return m, fault.Wrap(fault.ErrTooLarge, "message of %d bytes", len(b))
	}
	if err := decoder.Unmarshal(b, &m); err != nil {
		return Message{}, fault.Wrap(fault.ErrCorrupt, "decode message: %v", err)
	}
	if err := m.check(); err != nil {
		return Message{}, err
	}
	return m, nil
}

func (m Message) check() error {
	if m.Kind == 0 || m.Kind >= kindEnd {
		return fault.Wrap(fault.ErrCorrupt, "message kind %d", m.Kind)
	}
	if (m.Kind == KindChunk) != (m.Chunk != nil) {
		return fault.Wrap(fault.ErrCorrupt, "message kind %d with chunk %t", m.Kind, m.Chunk != nil)
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term > m.Term {
			return fault.Wrap(fault.ErrCorrupt, "entry %d of term %d in place of index %d", e.Index, e.Term, m.Index+uint64(i)+1)
		}
	}
	return nil
}

// messageOverhead approximates the encoded size of the fixed fields of a message, in bytes.
const messageOverhead = 56

// Size approximates the encoded size of the message without encoding it, in bytes.
func (m Message) Size() int {
	size := messageOverhead + len(m.Group) + len(m.From.Name) + len(m.To.Name)
	for _, e := range m.Entries {
		size += e.size()
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Data) + messageOverhead*(1+len(m.Chunk.Meta.Members))
	}
	return size
}
