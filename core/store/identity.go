package store

import (
	"encoding/binary"
	"hash/crc32"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

const (
	identityName  = "ident"
	identityMagic = "vbident1"
	identitySize  = 8 + 8 + 4
)

func encodeIdentity(inc model.Incarnation) []byte {
	b := binary.LittleEndian.AppendUint64([]byte(identityMagic), uint64(inc))
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeIdentity(b []byte) (model.Incarnation, error) {
	if len(b) != identitySize || string(b[:8]) != identityMagic || binary.LittleEndian.Uint32(b[16:]) != crc32.Checksum(b[:16], castagnoli) {
		return 0, fault.Wrap(fault.ErrCorrupt, "decode identity file: %d bytes have a wrong length, magic or checksum", len(b))
	}
	return model.Incarnation(binary.LittleEndian.Uint64(b[8:])), nil
}
