package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
)

// A segment file starts with a header: magic, salt, number of its first frame, checksum of these.
// Frames follow, each of which holds one record: magic, length of the payload, frame number,
// checksum of salt, length, number and payload, then the payload. Frames are numbered consecutively
// over all segments. Integers are little-endian.
const (
	segmentMagic      = "vblog001"
	segmentHeaderSize = 8 + 8 + 8 + 4
	frameMagic        = 0x7642fa3e
	frameHeaderSize   = 4 + 4 + 8 + 4
	// maxPayloadBytes bounds the payload of a frame, so that a damaged length is detected.
	maxPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is the payload of a frame: the state that one sync makes durable.
type record struct {
	_         struct{} `cbor:",toarray"`
	HardState quorum.HardState
	// ResetsLog is set if a snapshot replaced all entries before this record.
	ResetsLog bool
	Entries   []quorum.Entry
}

var decoder = mustNewDecoder()

func mustNewDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 24, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encodeSegmentHeader(salt, firstFrame uint64) []byte {
	b := []byte(segmentMagic)
	b = binary.LittleEndian.AppendUint64(b, salt)
	b = binary.LittleEndian.AppendUint64(b, firstFrame)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeSegmentHeader(b []byte) (salt, firstFrame uint64, ok bool) {
	if len(b) < segmentHeaderSize || string(b[:8]) != segmentMagic {
		return 0, 0, false
	}
	sum := binary.LittleEndian.Uint32(b[24:])
	return binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:]), sum == crc32.Checksum(b[:24], castagnoli)
}

func frameChecksum(salt, number uint64, payload []byte) uint32 {
	var b [20]byte
	binary.LittleEndian.PutUint64(b[0:], salt)
	binary.LittleEndian.PutUint32(b[8:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[12:], number)
	return crc32.Update(crc32.Checksum(b[:], castagnoli), castagnoli, payload)
}

func encodeFrame(salt, number uint64, r record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "encode log record: %v", err)
	}
	if len(payload) > maxPayloadBytes {
		return nil, fault.Wrap(fault.ErrTooLarge, "encode log record: %d bytes exceed the maximum size", len(payload))
	}
	b := make([]byte, 0, frameHeaderSize+len(payload))
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint32(b, frameChecksum(salt, number, payload))
	return append(b, payload...), nil
}

// decodeFrame returns the number and the payload of the frame at the start of b. It reports false
// if the frame is incomplete or damaged.
func decodeFrame(b []byte, salt uint64) (number uint64, payload []byte, ok bool) {
	if len(b) < frameHeaderSize || binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, nil, false
	}
	size := binary.LittleEndian.Uint32(b[4:])
	if size > maxPayloadBytes || int(size) > len(b)-frameHeaderSize {
		return 0, nil, false
	}
	number = binary.LittleEndian.Uint64(b[8:])
	payload = b[frameHeaderSize : frameHeaderSize+int(size)]
	return number, payload, binary.LittleEndian.Uint32(b[16:]) == frameChecksum(salt, number, payload)
}

// hasLaterFrame reports whether b holds an intact frame with a number above the given one. If so, a
// damaged frame before it is not a torn write, because each frame is synced before the next is
// written.
func hasLaterFrame(b []byte, salt, above uint64) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for {
		at := bytes.Index(b, magic)
		if at < 0 {
			return false
		}
		if number, _, ok := decodeFrame(b[at:], salt); ok && number > above {
			return true
		}
		b = b[at+1:]
	}
}

// segment is the decoded content of a segment file. torn is set if a torn frame follows the intact
// ones.
type segment struct {
	salt       uint64
	firstFrame uint64
	// nextFrame is the number after the last intact frame, and intactSize the offset at which that
	// frame ends.
	nextFrame  uint64
	intactSize int64
	records    []record
	torn       bool
}

// decodeSegment decodes a segment file up to its end or up to a torn last frame.
func decodeSegment(b []byte) (segment, error) {
	var s segment
	var ok bool
	s.salt, s.firstFrame, ok = decodeSegmentHeader(b)
	if !ok {
		return s, fault.Wrap(fault.ErrCorrupt, "segment header is damaged in a file of %d bytes", len(b))
	}
	s.nextFrame = s.firstFrame
	at := segmentHeaderSize
	for at < len(b) {
		number, payload, ok := decodeFrame(b[at:], s.salt)
		if !ok {
			if hasLaterFrame(b[at:], s.salt, s.nextFrame) {
				return s, fault.Wrap(fault.ErrCorrupt, "frame %d at byte %d is damaged", s.nextFrame, at)
			}
			s.torn = true
			break
		}
		if number != s.nextFrame {
			return s, fault.Wrap(fault.ErrCorrupt, "frame has number %d, want %d, at byte %d", number, s.nextFrame, at)
		}
		var r record
		if err := decoder.Unmarshal(payload, &r); err != nil {
			return s, fault.Wrap(fault.ErrCorrupt, "decode record of frame %d: %v", number, err)
		}
		s.records = append(s.records, r)
		s.nextFrame++
		at += frameHeaderSize + len(payload)
	}
	// The first frame is created together with the file, so it cannot be torn.
	if s.nextFrame == s.firstFrame {
		return s, fault.Wrap(fault.ErrCorrupt, "segment holds no intact frame")
	}
	s.intactSize = int64(at)
	return s, nil
}
