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

// pair starts two connected instances.
func pair(t *testing.T, handlers map[string]peer.Handler) *peer.Net {
	t.Helper()
	a, _ := pairWith(t, stampsOf(0), handlers)
	return a
}

// pairWith starts two instances, of which the second has the given clock and the first is a
// second ahead.
func pairWith(t *testing.T, second *trace.Recorder, handlers map[string]peer.Handler) (*peer.Net, *trace.Recorder) {
	t.Helper()
	first := stampsOf(1000)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	one := peer.Address{Instance: "one", Region: "east", Peer: l.Addr().String()}
	two := peer.Address{Instance: "two", Region: "west", Peer: k.Addr().String()}
	a := peer.New(one, []peer.Address{two}, nil, first)
	b := peer.New(two, []peer.Address{one}, nil, second)
	for method, h := range handlers {
		b.Handle(method, h)
		b.ServeRaw(method, func(ctx context.Context, from model.Instance, payload []byte) ([]byte, error) {
			result, err := h(ctx, from, payload)
			data, _ := json.Marshal(result)
			return data, err
		})
	}
	a.Serve(l)
	b.Serve(k)
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	for !a.IsReached("two") {
		time.Sleep(time.Millisecond)
	}
	return a, first
}

// Guards against errors that lose their sentinel between instances: a caller would then be
// told "not run" of a request that ran, or the other way round.
func TestCallKeepsSentinel(t *testing.T) {
	a := pair(t, map[string]peer.Handler{
		"echo": func(_ context.Context, from model.Instance, params json.RawMessage) (any, error) {
			return struct{ From, Text string }{string(from), string(params)}, nil
		},
		"conflict": func(context.Context, model.Instance, json.RawMessage) (any, error) {
			return nil, fault.Wrap(fault.ErrConflict, "version 3")
		},
		"plain": func(context.Context, model.Instance, json.RawMessage) (any, error) {
			return nil, errors.New("disk on fire")
		},
		"large": func(context.Context, model.Instance, json.RawMessage) (any, error) {
			return make([]byte, 20<<20), nil
		},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var got struct{ From, Text string }
	if err := a.Call(ctx, "two", "echo", "hi", &got); err != nil || got.From != "one" || got.Text != `"hi"` {
		t.Errorf("echo answered %+v, %v", got, err)
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
		t.Errorf("call of a peer that is not in the settings: %v, want %v", err, fault.ErrUnavailable)
	}
	if data, err := a.CallRaw(ctx, "two", "echo", []byte("hi")); err != nil || string(data) != `{"From":"one","Text":"hi"}` {
		t.Errorf("raw echo answered %s, %v", data, err)
	}
	for method, want := range wants {
		if _, err := a.CallRaw(ctx, "two", method, nil); !errors.Is(err, want) {
			t.Errorf("raw call %s: %v, want %v", method, err, want)
		}
	}
	if _, err := a.CallRaw(ctx, "three", "echo", nil); !errors.Is(err, fault.ErrUnavailable) {
		t.Errorf("raw call of a peer that is not in the settings: %v, want %v", err, fault.ErrUnavailable)
	}
	_, across := a.Bytes().Wire()
	if across.Sent == 0 || across.Received == 0 {
		t.Errorf("bytes across regions = %+v, want some in both directions", across)
	}
}

func stampsOf(now clock.Millis) *trace.Recorder {
	source := &clock.Fake{}
	source.Advance(now)
	return trace.NewRecorder(trace.Options{Source: source, Size: 10})
}

// Guards against a timeline in which an effect comes before its cause in another process: the
// clocks are a second apart, and the later process answers the earlier one.
func TestStampsFollowMessages(t *testing.T) {
	var seen trace.Stamp
	slow := stampsOf(0)
	a, fast := pairWith(t, slow, map[string]peer.Handler{
		"mark": func(context.Context, model.Instance, json.RawMessage) (any, error) {
			seen = slow.Record(trace.Ready{})
			return true, nil
		},
	})
	sent := fast.Record(trace.Ready{})
	if err := a.Call(t.Context(), "two", "mark", nil, nil); err != nil {
		t.Fatal(err)
	}
	if seen.Compare(sent) <= 0 {
		t.Errorf("the call of %s was handled at %s", sent, seen)
	}
	if after := fast.Record(trace.Ready{}); after.Compare(seen) <= 0 {
		t.Errorf("the answer given at %s was received at %s", seen, after)
	}
}

// Guards against a call that reports "no effect" when the peer went away after it was sent.
func TestLostAnswerIsUnknown(t *testing.T) {
	entered := make(chan struct{})
	a := pair(t, map[string]peer.Handler{
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
		t.Errorf("lost answer: %v, want %v", err, fault.ErrUnknown)
	}
}

// Guards against a raw call that waits for its deadline, or reports "no effect", when the peer goes
// away after it was sent.
func TestLostRawAnswerIsUnknown(t *testing.T) {
	entered := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	two := peer.Address{Instance: "two", Peer: l.Addr().String()}
	a, b := peer.New(peer.Address{Instance: "one"}, []peer.Address{two}, nil, nil), peer.New(two, nil, nil, nil)
	b.ServeRaw("block", func(ctx context.Context, _ model.Instance, _ []byte) ([]byte, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	k, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.Serve(k)
	b.Serve(l)
	t.Cleanup(a.Close)
	for !a.IsReached("two") {
		time.Sleep(time.Millisecond)
	}
	go func() {
		<-entered
		b.Close()
	}()
	began := time.Now()
	if _, err := a.CallRaw(t.Context(), "two", "block", nil); !errors.Is(err, fault.ErrUnknown) {
		t.Errorf("lost answer: %v, want %v", err, fault.ErrUnknown)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("a lost answer was noticed after %s", took)
	}
}
