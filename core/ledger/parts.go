package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/expect"
	"vanillabridge/core/fault"
)

// learned is the part of a snapshot that follows the first: what was learned from finished runs. A state that has learned
// nothing and records no tombstones has no such part, so that its snapshots are as those of versions that learn nothing.
type learned struct {
	_        struct{} `cbor:",toarray"`
	RunTimes []expect.Entry
}

// appendParts appends what was learned and the tombstones to the first part of a snapshot. Versions that know no
// tombstones refuse a snapshot with them.
func (s *State) appendParts(data []byte) ([]byte, error) {
	if s.runTimes.IsEmpty() && !s.tombstones.enabled {
		return data, nil
	}
	part, err := encoder.Marshal(learned{RunTimes: s.runTimes.Entries()})
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "encode run times: %v", err)
	}
	data = append(data, part...)
	if !s.tombstones.enabled {
		return data, nil
	}
	part, err = s.tombstones.encode()
	return append(data, part...), err
}

// cutParts splits a snapshot into its first part, what was learned, and the tombstones.
func cutParts(data []byte) ([]byte, *expect.Book, tombstones, error) {
	var first cbor.RawMessage
	rest, err := decoder.UnmarshalFirst(data, &first)
	if err != nil {
		return nil, nil, tombstones{}, fault.Wrap(fault.ErrCorrupt, "decode snapshot: %v", err)
	}
	if len(rest) == 0 {
		return data, expect.New(), newTombstones(), nil
	}
	var part learned
	if rest, err = decoder.UnmarshalFirst(rest, &part); err != nil {
		return nil, nil, tombstones{}, fault.Wrap(fault.ErrCorrupt, "decode run times: %v", err)
	}
	kept, err := decodeTombstones(rest)
	return first, expect.Restore(part.RunTimes), kept, err
}
