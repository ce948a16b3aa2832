package quorum

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// Guards against a message that crashes the decoder, is accepted with impossible content, or
// changes when it is encoded again.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		again, err := m.Encode()
		if err != nil {
			t.Fatalf("encode %+v: %v", m, err)
		}
		back, err := Decode(again)
		if err != nil {
			t.Fatalf("decode again %+v: %v", m, err)
		}
		same := cmp.Options{cmpopts.EquateEmpty(), cmpopts.IgnoreUnexported(ID{}, Entry{}, Member{}, Meta{}, Chunk{})}
		if diff := cmp.Diff(m, back, same); diff != "" {
			t.Fatalf("changed: %s", diff)
		}
	})
}

// Guards against a peer that crashes a replica with a message of any content that decodes.
func FuzzReceive(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte, asLeader bool) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		n := restoredNode(t, 2, 2)
		if asLeader {
			n.elect()
		}
		m.Group, m.To, m.Found = "g", id("a"), 9
		n.step(Receive{m})
		n.step(Tick{})
	})
}
