package store

import (
	"encoding/binary"
	"hash/crc32"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

const (
	identName  = "ident"
	identMagic = "vbident1"
	identSize  = 8 + 8 + 4
)

func encodeIdent(inc model.Incarnation) []byte {
	b := binary.LittleEndian.AppendUint64([]byte(identMagic), uint64(inc))
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeIdent(b []byte) (model.Incarnation, error) {
	if len(b) != identSize || string(b[:8]) != identMagic || binary.LittleEndian.Uint32(b[16:]) != crc32.Checksum(b[:16], castagnoli) {
		return 0, fault.Wrap(fault.ErrCorrupt, "identity file of %d bytes", len(b))
	}
	return model.Incarnation(binary.LittleEndian.Uint64(b[8:])), nil
}
