package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
)

// A segment starts with a head: magic, salt, number of its first frame, checksum of these.
// Frames follow: magic, length, number, checksum of salt, length, number and payload, payload.
// Integers are little-endian.
const (
	segmentMagic = "vblog001"
	segmentHead  = 8 + 8 + 8 + 4
	frameMagic   = 0x7642fa3e
	frameHead    = 4 + 4 + 8 + 4
	// maxFrame bounds what a damaged length can ask for, in bytes.
	maxFrame = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is the payload of a frame: what one sync made durable.
type record struct {
	_    struct{} `cbor:",toarray"`
	Hard quorum.HardState
	// Reset says that a snapshot replaced all entries before this record.
	Reset   bool
	Entries []quorum.Entry
}

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 24, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encodeHead(salt, first uint64) []byte {
	b := []byte(segmentMagic)
	b = binary.LittleEndian.AppendUint64(b, salt)
	b = binary.LittleEndian.AppendUint64(b, first)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeHead(b []byte) (salt, first uint64, ok bool) {
	if len(b) < segmentHead || string(b[:8]) != segmentMagic {
		return 0, 0, false
	}
	sum := binary.LittleEndian.Uint32(b[24:])
	return binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:]), sum == crc32.Checksum(b[:24], castagnoli)
}

func frameSum(salt, number uint64, payload []byte) uint32 {
	var b [20]byte
	binary.LittleEndian.PutUint64(b[0:], salt)
	binary.LittleEndian.PutUint32(b[8:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[12:], number)
	return crc32.Update(crc32.Checksum(b[:], castagnoli), castagnoli, payload)
}

func encodeFrame(salt, number uint64, r record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "encode record: %v", err)
	}
	if len(payload) > maxFrame {
		return nil, fault.Wrap(fault.ErrTooLarge, "record of %d bytes", len(payload))
	}
	b := make([]byte, 0, frameHead+len(payload))
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint32(b, frameSum(salt, number, payload))
	return append(b, payload...), nil
}

// decodeFrame returns the payload of the frame at the start of b.
func decodeFrame(b []byte, salt uint64) (number uint64, payload []byte, ok bool) {
	if len(b) < frameHead || binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, nil, false
	}
	size := binary.LittleEndian.Uint32(b[4:])
	if size > maxFrame || int(size) > len(b)-frameHead {
		return 0, nil, false
	}
	number = binary.LittleEndian.Uint64(b[8:])
	payload = b[frameHead : frameHead+int(size)]
	return number, payload, binary.LittleEndian.Uint32(b[16:]) == frameSum(salt, number, payload)
}

// laterFrame reports whether b holds a whole frame with a number above the given one. Only the
// last frame can be torn, because each is synced before the next is written.
func laterFrame(b []byte, salt, above uint64) bool {
	mark := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for {
		at := bytes.Index(b, mark)
		if at < 0 {
			return false
		}
		if number, _, ok := decodeFrame(b[at:], salt); ok && number > above {
			return true
		}
		b = b[at+1:]
	}
}

// segment is the content of one segment file.
type segment struct {
	salt  uint64
	first uint64
	// next is the number of the frame after the last whole one, which ends at size.
	next    uint64
	size    int64
	records []record
	torn    bool
}

// decodeSegment reads a segment up to its end or up to a torn last frame.
func decodeSegment(b []byte) (segment, error) {
	var s segment
	var ok bool
	s.salt, s.first, ok = decodeHead(b)
	if !ok {
		return s, fault.Wrap(fault.ErrCorrupt, "segment head of %d bytes", len(b))
	}
	s.next = s.first
	at := segmentHead
	for at < len(b) {
		number, payload, ok := decodeFrame(b[at:], s.salt)
		if !ok {
			if laterFrame(b[at:], s.salt, s.next) {
				return s, fault.Wrap(fault.ErrCorrupt, "frame %d at byte %d", s.next, at)
			}
			s.torn = true
			break
		}
		if number != s.next {
			return s, fault.Wrap(fault.ErrCorrupt, "frame %d in place of %d at byte %d", number, s.next, at)
		}
		var r record
		if err := decoder.Unmarshal(payload, &r); err != nil {
			return s, fault.Wrap(fault.ErrCorrupt, "record of frame %d: %v", number, err)
		}
		s.records = append(s.records, r)
		s.next++
		at += frameHead + len(payload)
	}
	// The first frame came with the file, so it cannot be torn.
	if s.next == s.first {
		return s, fault.Wrap(fault.ErrCorrupt, "segment without a frame")
	}
	s.size = int64(at)
	return s, nil
}
