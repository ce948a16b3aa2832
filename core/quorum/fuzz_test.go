package quorum

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// Guards against input that crashes the decoder, and against a decoded message that cannot be
// encoded or that changes when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		again, err := m.Encode()
		if err != nil {
			t.Fatalf("encode decoded message %+v: %v", m, err)
		}
		back, err := Decode(again)
		if err != nil {
			t.Fatalf("decode message again %+v: %v", m, err)
		}
		same := cmp.Options{cmpopts.EquateEmpty(), cmpopts.IgnoreUnexported(ID{}, Entry{}, Member{}, SnapshotMeta{}, SnapshotChunk{})}
		if diff := cmp.Diff(m, back, same); diff != "" {
			t.Fatalf("message changed by encoding and decoding: %s", diff)
		}
	})
}

// Guards against a decodable message that crashes the replica that receives it.
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
		m.Group, m.To, m.BootstrapID = "g", firstID("a"), 9
		n.step(Receive{m})
		n.step(Tick{})
	})
}
