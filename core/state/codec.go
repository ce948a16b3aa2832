package state

import (
	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/fault"
)

// Decoding limits, which protect a replica from a corrupt or malicious snapshot.
const (
	maxElements = 16 << 20 // elements of an array, and pairs of a map
	maxNesting  = 16       // levels of nested arrays and maps
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder returns an encoder that sorts map keys, so that replicas with the same state
// encode identical snapshots.
func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Encode encodes a command, a result or a snapshot.
func Encode(v any) ([]byte, error) {
	data, err := encoder.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(err, "encode %T", v)
	}
	return data, nil
}

// Decode is the inverse of Encode.
func Decode(data []byte, v any) error {
	if err := decoder.Unmarshal(data, v); err != nil {
		return fault.Wrap(fault.ErrCorrupt, "decode %T: %v", v, err)
	}
	return nil
}
