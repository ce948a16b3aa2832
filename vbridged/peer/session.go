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

// Methods that the package itself answers.
const (
	methodHello = "hello"
	methodPing  = "ping"
)

// hello introduces the dialling side.
type hello struct {
	Instance model.Instance `json:"instance"`
	Region   model.Region   `json:"region"`
}

// session is the accepting side of one connection.
type session struct {
	net    *Net
	ctx    context.Context // ends with the connection
	stream jsonrpc2.ObjectStream
	from   atomic.Pointer[hello]
}

// Handle answers one request in a goroutine of its own, but for notifications, which keep
// their order because the log protocol is cheaper without reordering.
func (s *session) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Notif || r.Method == methodHello {
		s.answer(ctx, c, r)
		return
	}
	go s.answer(ctx, c, r)
}

func (s *session) answer(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	result, err := s.dispatch(ctx, r)
	if r.Notif {
		return
	}
	var data json.RawMessage
	if err == nil {
		data, err = encodeResult(result)
	}
	if err != nil {
		_ = c.ReplyWithError(ctx, r.ID, toWire(err))
		return
	}
	_ = c.Reply(ctx, r.ID, data)
}

// raw hands a raw message that has no answer over.
func (s *session) raw(from model.Instance, m rawFrame) {
	h, ok := s.net.rawHandler(m.method)
	if !ok {
		klog.V(1).InfoS("raw message dropped", "method", m.method, "from", from)
		return
	}
	h(from, m.payload)
}

// encodeResult encodes an answer before the connection is locked for sending it, so that a
// large one does not hold up the answers to pings.
func encodeResult(result any) (json.RawMessage, error) {
	data, err := json.Marshal(result)
	if err != nil {
		return nil, fault.Wrap(fault.ErrUnknown, "encode answer: %v", err)
	}
	if len(data) > maxFrame-frameReserve {
		return nil, fault.Wrap(fault.ErrTooLarge, "answer of %d bytes", len(data))
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
			return nil, fault.Wrap(fault.ErrInvalid, "hello: %v", err)
		}
		s.from.Store(h)
		return true, nil
	}
	from := s.from.Load()
	if from == nil {
		return nil, fault.Wrap(fault.ErrInvalid, "%v", errNoHello)
	}
	if r.Method == methodPing {
		return true, nil
	}
	h, ok := s.net.handler(r.Method)
	if !ok {
		return nil, fault.Wrap(fault.ErrUnavailable, "method %q is not served", r.Method)
	}
	return h(ctx, from.Instance, params)
}

// count books bytes once the peer has named itself; the few before that are not booked.
func (s *session) count(sent, received int) {
	if from := s.from.Load(); from != nil {
		s.net.bytes.wire(s.net.crosses(from.Region), sent, received)
	}
}
