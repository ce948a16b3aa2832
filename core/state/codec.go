package state

import (
	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/fault"
)

// Limits on decoding guard a replica against a damaged or hostile snapshot.
const (
	maxElements = 16 << 20
	maxNesting  = 16
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder sorts map keys, so that replicas in the same state write the same snapshot.
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
