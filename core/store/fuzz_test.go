package store

import (
	"bytes"
	"testing"
)

// Guards against a log file that crashes its reader or yields more than it holds.
func FuzzSegment(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := decodeSegment(b)
		if err != nil {
			return
		}
		if s.size > int64(len(b)) || s.next-s.first != uint64(len(s.records)) || s.torn != (s.size < int64(len(b))) {
			t.Fatalf("%d bytes: size %d, frames %d to %d, records %d, torn %t", len(b), s.size, s.first, s.next, len(s.records), s.torn)
		}
		whole, err := decodeSegment(b[:s.size])
		if err != nil || whole.torn || len(whole.records) != len(s.records) {
			t.Fatalf("after the cut: %v, %d records of %d", err, len(whole.records), len(s.records))
		}
	})
}

// Guards against a snapshot file that crashes its reader or is accepted with other content.
func FuzzSnapshot(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := decodeSnap(b)
		if err != nil {
			return
		}
		if !bytes.HasSuffix(b, s.Data) {
			t.Fatalf("data %q is not the end of the file", s.Data)
		}
	})
}
