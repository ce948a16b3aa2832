package peer

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"

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
	net  *Net
	from atomic.Pointer[hello]
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
	if err != nil {
		_ = c.ReplyWithError(ctx, r.ID, toWire(err))
		return
	}
	if err := c.Reply(ctx, r.ID, result); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		_ = c.ReplyWithError(ctx, r.ID, toWire(err)) // an answer over the frame limit was not sent
	}
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
