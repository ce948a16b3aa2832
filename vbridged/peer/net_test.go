package peer_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/trace"
	"vanillabridge/vbridged/peer"
)

// newConnectedPair starts two connected instances and returns the first one.
func newConnectedPair(t *testing.T, handlers map[string]peer.Handler) *peer.Transport {
	t.Helper()
	a, _ := newConnectedPairWithClocks(t, newRecorderAt(0), handlers)
	return a
}

// newConnectedPairWithClocks starts two connected instances in different regions. The second one uses
// the given clock; the clock of the first, which is returned, reads 1000 ms.
func newConnectedPairWithClocks(t *testing.T, second *trace.Recorder, handlers map[string]peer.Handler) (*peer.Transport, *trace.Recorder) {
	t.Helper()
	first := newRecorderAt(1000)
	listenerA, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listenerB, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addressA := peer.Address{Instance: "one", Region: "east", Peer: listenerA.Addr().String()}
	addressB := peer.Address{Instance: "two", Region: "west", Peer: listenerB.Addr().String()}
	a := peer.New(addressA, []peer.Address{addressB}, nil, first)
	b := peer.New(addressB, []peer.Address{addressA}, nil, second)
	for method, h := range handlers {
		b.Handle(method, h)
		b.HandleRawCall(method, func(ctx context.Context, from model.Instance, payload []byte) ([]byte, error) {
			result, err := h(ctx, from, payload)
			data, _ := json.Marshal(result)
			return data, err
		})
	}
	a.Serve(listenerA)
	b.Serve(listenerB)
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	for !a.IsConnected("two") {
		time.Sleep(time.Millisecond)
	}
	return a, first
}

// Guards against errors that lose their sentinel between instances: a caller would then be told that
// a request did not run although it did, or the reverse.
func TestCallPreservesErrorSentinel(t *testing.T) {
	a := newConnectedPair(t, map[string]peer.Handler{
		"echo": func(_ context.Context, from model.Instance, params json.RawMessage) (any, error) {
			return struct{ From, Text string }{string(from), string(params)}, nil
		},
		"conflict": func(context.Context, model.Instance, json.RawMessage) (any, error) {
			return nil, fault.Wrap(fault.ErrConflict, "version 3")
		},
		"plain": func(context.Context, model.Instance, json.RawMessage) (any, error) {
			return nil, errors.New("error without a sentinel")
		},
		"large": func(context.Context, model.Instance, json.RawMessage) (any, error) {
			return make([]byte, 20<<20), nil
		},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var got struct{ From, Text string }
	if err := a.Call(ctx, "two", "echo", "hi", &got); err != nil || got.From != "one" || got.Text != `"hi"` {
		t.Errorf("echo = %+v, %v", got, err)
	}
	wants := map[string]error{
		"conflict": fault.ErrConflict,
		"plain":    fault.ErrUnknown,
		"missing":  fault.ErrUnavailable,
		"large":    fault.ErrTooLarge,
	}
	for method, want := range wants {
		if err := a.Call(ctx, "two", method, nil, nil); !errors.Is(err, want) {
			t.Errorf("call %s: %v, want %v", method, err, want)
		}
	}
	if err := a.Call(ctx, "three", "echo", nil, nil); !errors.Is(err, fault.ErrUnavailable) {
		t.Errorf("call of an unknown peer: %v, want %v", err, fault.ErrUnavailable)
	}
	if data, err := a.CallRaw(ctx, "two", "echo", []byte("hi")); err != nil || string(data) != `{"From":"one","Text":"hi"}` {
		t.Errorf("raw echo = %s, %v", data, err)
	}
	for method, want := range wants {
		if _, err := a.CallRaw(ctx, "two", method, nil); !errors.Is(err, want) {
			t.Errorf("raw call %s: %v, want %v", method, err, want)
		}
	}
	if _, err := a.CallRaw(ctx, "three", "echo", nil); !errors.Is(err, fault.ErrUnavailable) {
		t.Errorf("raw call of an unknown peer: %v, want %v", err, fault.ErrUnavailable)
	}
	_, crossRegion := a.Traffic().WireTraffic()
	if crossRegion.Sent == 0 || crossRegion.Received == 0 {
		t.Errorf("cross-region traffic = %+v, want bytes in both directions", crossRegion)
	}
}

func newRecorderAt(now clock.Millis) *trace.Recorder {
	source := &clock.Fake{}
	source.Advance(now)
	return trace.NewRecorder(trace.Options{Source: source, Capacity: 10})
}

// Guards against a timeline that orders an effect before its cause in another process: the clock of
// the called instance is one second behind that of the caller.
func TestMessagesCarryHybridClock(t *testing.T) {
	var handled trace.Stamp
	behind := newRecorderAt(0)
	a, ahead := newConnectedPairWithClocks(t, behind, map[string]peer.Handler{
		"mark": func(context.Context, model.Instance, json.RawMessage) (any, error) {
			handled = behind.Record(trace.Ready{})
			return true, nil
		},
	})
	sent := ahead.Record(trace.Ready{})
	if err := a.Call(t.Context(), "two", "mark", nil, nil); err != nil {
		t.Fatal(err)
	}
	if handled.Compare(sent) <= 0 {
		t.Errorf("call sent at %s was handled at %s, want a later time", sent, handled)
	}
	if after := ahead.Record(trace.Ready{}); after.Compare(handled) <= 0 {
		t.Errorf("reply sent at %s was received at %s, want a later time", handled, after)
	}
}

// Guards against a call that reports that it took no effect when it ends without a reply after it was
// sent.
func TestCanceledCallReturnsErrUnknown(t *testing.T) {
	entered := make(chan struct{})
	a := newConnectedPair(t, map[string]peer.Handler{
		"block": func(ctx context.Context, _ model.Instance, _ json.RawMessage) (any, error) {
			close(entered)
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-entered
		cancel()
	}()
	if err := a.Call(ctx, "two", "block", nil, nil); !errors.Is(err, fault.ErrUnknown) {
		t.Errorf("canceled call: %v, want %v", err, fault.ErrUnknown)
	}
}

// Guards against a raw call that waits for its deadline, or reports that it took no effect, when the
// peer closes the connection after the call was sent.
func TestRawCallReturnsErrUnknownAfterDisconnect(t *testing.T) {
	entered := make(chan struct{})
	listenerB, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addressB := peer.Address{Instance: "two", Peer: listenerB.Addr().String()}
	a, b := peer.New(peer.Address{Instance: "one"}, []peer.Address{addressB}, nil, nil), peer.New(addressB, nil, nil, nil)
	b.HandleRawCall("block", func(ctx context.Context, _ model.Instance, _ []byte) ([]byte, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	listenerA, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.Serve(listenerA)
	b.Serve(listenerB)
	t.Cleanup(a.Close)
	for !a.IsConnected("two") {
		time.Sleep(time.Millisecond)
	}
	go func() {
		<-entered
		b.Close()
	}()
	start := time.Now()
	if _, err := a.CallRaw(t.Context(), "two", "block", nil); !errors.Is(err, fault.ErrUnknown) {
		t.Errorf("raw call after a lost connection: %v, want %v", err, fault.ErrUnknown)
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("lost connection was reported after %s, want at most 5s", elapsed)
	}
}
