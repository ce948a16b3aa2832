package peer

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// Methods that this package handles itself.
const (
	methodHello = "hello"
	methodPing  = "ping"
)

// hello identifies the dialing side of a connection.
type hello struct {
	Instance model.Instance `json:"instance"`
	Region   model.Region   `json:"region"`
}

// session is the accepting side of the connection from one peer.
type session struct {
	transport *Transport
	ctx       context.Context // canceled when the connection closes
	stream    jsonrpc2.ObjectStream
	remote    atomic.Pointer[hello]
}

// Handle runs each request in its own goroutine. Notifications are handled in order, because the
// replicated log is less efficient when its messages are reordered.
func (s *session) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Notif || r.Method == methodHello {
		s.answerRequest(ctx, c, r)
		return
	}
	go s.answerRequest(ctx, c, r)
}

func (s *session) answerRequest(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	result, err := s.dispatch(ctx, r)
	if r.Notif {
		return
	}
	var data json.RawMessage
	if err == nil {
		data, err = encodeResult(result)
	}
	if err != nil {
		_ = c.ReplyWithError(ctx, r.ID, encodeError(err))
		return
	}
	_ = c.Reply(ctx, r.ID, data)
}

// handleRawNotification passes a raw message that has no reply to the handler of its method.
func (s *session) handleRawNotification(from model.Instance, m rawFrame) {
	h, ok := s.transport.rawHandler(m.method)
	if !ok {
		klog.V(1).InfoS("dropping raw message without a handler", "method", m.method, "from", from)
		return
	}
	h(from, m.payload)
}

// encodeResult encodes a result before the connection is locked for sending it, so that a large
// result does not delay the replies to pings.
func encodeResult(result any) (json.RawMessage, error) {
	data, err := json.Marshal(result)
	if err != nil {
		return nil, fault.Wrap(fault.ErrUnknown, "encode result: %v", err)
	}
	if len(data) > maxFrameBytes-envelopeReserveBytes {
		return nil, fault.Wrap(fault.ErrTooLarge, "encode result: %d bytes exceed the frame limit", len(data))
	}
	return data, nil
}

func (s *session) dispatch(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	if r.Method == methodHello {
		h := &hello{}
		if err := json.Unmarshal(params, h); err != nil {
			return nil, fault.Wrap(fault.ErrInvalid, "decode hello: %v", err)
		}
		s.remote.Store(h)
		return true, nil
	}
	from := s.remote.Load()
	if from == nil {
		return nil, fault.Wrap(fault.ErrInvalid, "%v", errMissingHello)
	}
	if r.Method == methodPing {
		return true, nil
	}
	h, ok := s.transport.handler(r.Method)
	if !ok {
		return nil, fault.Wrap(fault.ErrUnavailable, "no handler for method %q", r.Method)
	}
	return h(ctx, from.Instance, params)
}

// countBytes counts traffic once the region of the peer is known. The few bytes before the hello
// request are not counted.
func (s *session) countBytes(sent, received int) {
	if from := s.remote.Load(); from != nil {
		s.transport.traffic.addWireBytes(s.transport.isCrossRegion(from.Region), sent, received)
	}
}
