package server

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/vbridged/peer"
)

// newPeer returns a transport on loopback that does not serve yet.
func newPeer(t *testing.T) (*peer.Transport, net.Listener, peer.Address) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := peer.Address{Instance: model.Instance(l.Addr().String()), Peer: l.Addr().String()}
	n := peer.New(address, nil, nil, nil)
	t.Cleanup(n.Close)
	n.Handle("probe", func(context.Context, model.Instance, json.RawMessage) (any, error) { return true, nil })
	return n, l, address
}

// Guards against tombstones that a zone records while an instance of an earlier version is in its group: its replica would
// skip the command, and run what the others have cancelled.
func TestTombstonesWaitForInstancesThatCanReadThem(t *testing.T) {
	for _, canRead := range []bool{false, true} {
		other, l, address := newPeer(t)
		if canRead {
			other.Handle(methodForms, handlerFor(localForms))
		}
		other.Serve(l)
		self, l, _ := newPeer(t)
		self.Serve(l)
		self.AddPeer(address)
		s := &Server{transport: self}
		var connected bool
		for range 200 {
			if err := self.Call(t.Context(), address.Instance, "probe", struct{}{}, &connected); err == nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if err := s.checkFormsOf(t.Context(), address.Instance); !connected || errors.Is(err, fault.ErrUnavailable) == canRead || (err == nil) != canRead {
			t.Errorf("instance that can read tombstones, %t (connected: %t): error %v", canRead, connected, err)
		}
	}
}
