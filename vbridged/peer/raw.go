package peer

import (
	"context"
	"encoding/binary"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// RawServer answers calls whose payloads are not encoded as JSON.
type RawServer func(ctx context.Context, from model.Instance, payload []byte) ([]byte, error)

// Marks of frames that are not JSON; a JSON frame begins with another byte.
//
// Raw messages travel between the JSON ones: the messages of the replicated log and the requests of
// callers are most of the traffic, and JSON takes several passes over each of them.
const (
	rawMark      = 1 // method and payload; no answer
	rawCallMark  = 2 // method, number of the call, payload
	rawReplyMark = 3 // number of the call, code of the error or 0, payload or text of the error
)

// rawFrame is a message that is not encoded as JSON.
type rawFrame struct {
	mark    byte
	method  string
	number  uint64
	code    byte // position in sentinels, from 1
	payload []byte
}

func (m rawFrame) encode() []byte {
	data := make([]byte, 0, 2+len(m.method)+9+len(m.payload))
	data = append(data, m.mark)
	if m.mark != rawReplyMark {
		data = append(data, byte(len(m.method)))
		data = append(data, m.method...)
	}
	if m.mark != rawMark {
		data = binary.BigEndian.AppendUint64(data, m.number)
	}
	if m.mark == rawReplyMark {
		data = append(data, m.code)
	}
	return append(data, m.payload...)
}

func isRaw(data []byte) bool {
	return len(data) > 0 && data[0] >= rawMark && data[0] <= rawReplyMark
}

func decodeRaw(data []byte) (rawFrame, error) {
	m := rawFrame{mark: data[0]}
	rest := data[1:]
	take := func(n int) []byte {
		if n > len(rest) {
			rest = nil
			return nil
		}
		head := rest[:n]
		rest = rest[n:]
		return head
	}
	broken := fault.Wrap(fault.ErrCorrupt, "raw frame of %d bytes", len(data))
	if m.mark != rawReplyMark {
		n := take(1)
		if n == nil || int(n[0]) > len(rest) {
			return rawFrame{}, broken
		}
		m.method = string(take(int(n[0])))
	}
	if m.mark != rawMark {
		n := take(8)
		if n == nil {
			return rawFrame{}, broken
		}
		m.number = binary.BigEndian.Uint64(n)
	}
	if m.mark == rawReplyMark {
		n := take(1)
		if n == nil {
			return rawFrame{}, broken
		}
		m.code = n[0]
	}
	m.payload = rest
	return m, nil
}

// rawReply is the answer to a raw call.
type rawReply struct {
	payload []byte
	err     error
}

// replyFrame encodes the result of a call, so that an error keeps its sentinel.
func replyFrame(number uint64, payload []byte, err error) rawFrame {
	if err == nil {
		return rawFrame{mark: rawReplyMark, number: number, payload: payload}
	}
	m := rawFrame{mark: rawReplyMark, number: number, payload: []byte(fault.Text(err))}
	for i, s := range sentinels() {
		switch {
		case errors.Is(err, s.err):
			m.code = byte(i + 1)
			return m
		case s.code == codeUnknown:
			m.code = byte(i + 1) // unless another one fits
		}
	}
	return m
}

func (m rawFrame) reply() rawReply {
	if m.code == 0 {
		return rawReply{payload: m.payload}
	}
	err := fault.ErrUnknown
	if list := sentinels(); int(m.code) <= len(list) {
		err = list[m.code-1].err
	}
	return rawReply{err: fault.Wrap(err, "%s", m.payload)}
}

// ServeRaw registers the server of raw calls of a method, before Serve.
func (n *Net) ServeRaw(method string, h RawServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[method] = h
}

// CallRaw is Call for payloads that are not encoded as JSON.
func (n *Net) CallRaw(ctx context.Context, to model.Instance, method string, payload []byte) ([]byte, error) {
	p, ok := n.link(to)
	if !ok {
		return nil, fault.Wrap(fault.ErrUnavailable, "call %s: no peer %q is known", method, to)
	}
	return p.callRaw(ctx, method, payload)
}

func (l *link) callRaw(ctx context.Context, method string, payload []byte) ([]byte, error) {
	l.mu.Lock()
	stream := l.stream
	if stream == nil {
		l.mu.Unlock()
		return nil, fault.Wrap(fault.ErrUnavailable, "call %s at %s: not connected", method, l.to.Instance)
	}
	l.number++
	number, answer := l.number, make(chan rawReply, 1)
	l.calls[number] = answer
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.calls, number)
		l.mu.Unlock()
	}()
	l.net.bytes.purpose(method, l.net.crosses(l.to.Region), len(payload))
	m := rawFrame{mark: rawCallMark, method: method, number: number, payload: payload}
	if err := stream.WriteObject(m); err != nil {
		return nil, fault.Wrap(fault.ErrUnknown, "call %s at %s: %v", method, l.to.Instance, err)
	}
	select {
	case r := <-answer:
		if r.err != nil {
			return nil, fault.Wrap(r.err, "call %s at %s", method, l.to.Instance)
		}
		return r.payload, nil
	case <-ctx.Done():
		return nil, fault.Wrap(fault.ErrUnknown, "call %s at %s: %v", method, l.to.Instance, ctx.Err())
	}
}

// take hands the answer of a raw call to the one who waits for it.
func (l *link) take(m rawFrame) error {
	if m.mark != rawReplyMark {
		return fault.Wrap(fault.ErrInvalid, "raw message %q is not expected", m.method)
	}
	l.mu.Lock()
	answer := l.calls[m.number]
	l.mu.Unlock()
	if answer != nil {
		select {
		case answer <- m.reply():
		default: // a second answer to the same call
		}
	}
	return nil
}

// setStream makes the stream of a new connection the one for raw calls, or fails the calls in
// progress when the connection has ended.
func (l *link) setStream(s jsonrpc2.ObjectStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream = s
	if s != nil {
		return
	}
	for _, answer := range l.calls {
		select {
		case answer <- rawReply{err: fault.Wrap(fault.ErrUnknown, "the connection has ended")}:
		default: // already answered
		}
	}
}

// take handles a raw message of the peer, once it has named itself.
func (s *session) take(m rawFrame) error {
	from := s.from.Load()
	if from == nil {
		return fault.Wrap(fault.ErrInvalid, "%v", errNoHello)
	}
	switch m.mark {
	case rawMark:
		s.raw(from.Instance, m)
	case rawCallMark:
		go s.answerRaw(from.Instance, m)
	case rawReplyMark:
		return fault.Wrap(fault.ErrInvalid, "raw answer is not expected")
	}
	return nil
}

func (s *session) answerRaw(from model.Instance, m rawFrame) {
	var payload []byte
	h, ok := s.net.rawServer(m.method)
	err := fault.Wrap(fault.ErrUnavailable, "method %q is not served", m.method)
	if ok {
		payload, err = h(s.ctx, from, m.payload)
	}
	if len(payload) > maxFrame-frameReserve {
		payload, err = nil, fault.Wrap(fault.ErrTooLarge, "answer of %d bytes", len(payload))
	}
	// The caller learns from the end of the connection if this fails.
	_ = s.stream.WriteObject(replyFrame(m.number, payload, err))
}

func (n *Net) rawServer(method string) (RawServer, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.servers[method]
	return h, ok
}
