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
	for method, want := range map[string]error{
		"conflict": fault.ErrConflict,
		"plain":    fault.ErrUnknown,
		"missing":  fault.ErrUnavailable,
		"large":    fault.ErrTooLarge,
	} {
		if err := a.Call(ctx, "two", method, nil, nil); !errors.Is(err, want) {
			t.Errorf("call %s: %v, want %v", method, err, want)
		}
	}
	if err := a.Call(ctx, "three", "echo", nil, nil); !errors.Is(err, fault.ErrUnavailable) {
		t.Errorf("call of a peer that is not in the settings: %v, want %v", err, fault.ErrUnavailable)
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
