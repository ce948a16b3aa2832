package store

import (
	"bytes"
	"testing"
)

// Guards against a log file that crashes the decoder, and against a decoded segment that does not
// match the bytes of the file.
func FuzzSegment(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := decodeSegment(b)
		if err != nil {
			return
		}
		if s.intactSize > int64(len(b)) || s.nextFrame-s.firstFrame != uint64(len(s.records)) || s.torn != (s.intactSize < int64(len(b))) {
			t.Fatalf("segment of %d bytes: intact size %d, frames %d to %d, records %d, torn %t", len(b), s.intactSize, s.firstFrame, s.nextFrame, len(s.records), s.torn)
		}
		whole, err := decodeSegment(b[:s.intactSize])
		if err != nil || whole.torn || len(whole.records) != len(s.records) {
			t.Fatalf("decode segment truncated to its intact size: %v, got %d records, want %d", err, len(whole.records), len(s.records))
		}
	})
}

// Guards against a snapshot file that crashes the decoder or yields other data than it holds.
func FuzzSnapshot(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := decodeSnapshot(b)
		if err != nil {
			return
		}
		if !bytes.HasSuffix(b, s.Data) {
			t.Fatalf("decoded data %q is not the end of the file", s.Data)
		}
	})
}
