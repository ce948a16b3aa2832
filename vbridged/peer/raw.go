package peer

import (
	"context"
	"encoding/binary"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// RawCallHandler handles calls whose payloads are not encoded as JSON.
type RawCallHandler func(ctx context.Context, from model.Instance, payload []byte) ([]byte, error)

// Types of raw frames: the first byte of the frame, which no JSON frame begins with.
//
// Raw frames share the connection with JSON frames. They carry the messages of the replicated log and
// the requests of callers, which are most of the traffic, because JSON encoding takes several passes
// over each message.
const (
	frameNotification = 1 // method, payload; no reply
	frameCall         = 2 // method, call ID, payload
	frameReply        = 3 // call ID, error index or 0, payload or error text
)

// rawFrame is a message that is not encoded as JSON.
type rawFrame struct {
	frameType  byte
	method     string
	callID     uint64
	errorIndex byte // index in sentinelCodes plus 1; 0 for no error
	payload    []byte
}

func (m rawFrame) encode() []byte {
	data := make([]byte, 0, 2+len(m.method)+9+len(m.payload))
	data = append(data, m.frameType)
	if m.frameType != frameReply {
		data = append(data, byte(len(m.method)))
		data = append(data, m.method...)
	}
	if m.frameType != frameNotification {
		data = binary.BigEndian.AppendUint64(data, m.callID)
	}
	if m.frameType == frameReply {
		data = append(data, m.errorIndex)
	}
	return append(data, m.payload...)
}

func isRawFrame(data []byte) bool {
	return len(data) > 0 && data[0] >= frameNotification && data[0] <= frameReply
}

func decodeRawFrame(data []byte) (rawFrame, error) {
	m := rawFrame{frameType: data[0]}
	rest := data[1:]
	next := func(n int) []byte {
		if n > len(rest) {
			rest = nil
			return nil
		}
		head := rest[:n]
		rest = rest[n:]
		return head
	}
	errMalformed := fault.Wrap(fault.ErrCorrupt, "malformed raw frame of %d bytes", len(data))
	if m.frameType != frameReply {
		n := next(1)
		if n == nil || int(n[0]) > len(rest) {
			return rawFrame{}, errMalformed
		}
		m.method = string(next(int(n[0])))
	}
	if m.frameType != frameNotification {
		n := next(8)
		if n == nil {
			return rawFrame{}, errMalformed
		}
		m.callID = binary.BigEndian.Uint64(n)
	}
	if m.frameType == frameReply {
		n := next(1)
		if n == nil {
			return rawFrame{}, errMalformed
		}
		m.errorIndex = n[0]
	}
	m.payload = rest
	return m, nil
}

// rawReply is the result of a raw call.
type rawReply struct {
	payload []byte
	err     error
}

// newReplyFrame returns the frame for the result of a call. An error keeps its sentinel.
func newReplyFrame(callID uint64, payload []byte, err error) rawFrame {
	if err == nil {
		return rawFrame{frameType: frameReply, callID: callID, payload: payload}
	}
	m := rawFrame{frameType: frameReply, callID: callID, payload: []byte(fault.Text(err))}
	for i, s := range sentinelCodes() {
		switch {
		case errors.Is(err, s.err):
			m.errorIndex = byte(i + 1)
			return m
		case s.code == codeUnknown:
			m.errorIndex = byte(i + 1) // the default if no sentinel matches
		}
	}
	return m
}

func (m rawFrame) toReply() rawReply {
	if m.errorIndex == 0 {
		return rawReply{payload: m.payload}
	}
	err := fault.ErrUnknown
	if list := sentinelCodes(); int(m.errorIndex) <= len(list) {
		err = list[m.errorIndex-1].err
	}
	return rawReply{err: fault.Wrap(err, "%s", m.payload)}
}

// HandleRawCall registers the handler of raw calls of a method. It must be called before Serve.
func (t *Transport) HandleRawCall(method string, h RawCallHandler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rawCallHandlers[method] = h
}

// CallRaw is like Call, for payloads that are not encoded as JSON.
func (t *Transport) CallRaw(ctx context.Context, to model.Instance, method string, payload []byte) ([]byte, error) {
	l, ok := t.link(to)
	if !ok {
		return nil, fault.Wrap(fault.ErrUnavailable, "call %s: unknown peer %q", method, to)
	}
	return l.callRaw(ctx, method, payload)
}

func (l *link) callRaw(ctx context.Context, method string, payload []byte) ([]byte, error) {
	l.mu.Lock()
	stream := l.stream
	if stream == nil {
		l.mu.Unlock()
		return nil, fault.Wrap(fault.ErrUnavailable, "call %s at %s: not connected", method, l.address.Instance)
	}
	l.lastCallID++
	callID, answer := l.lastCallID, make(chan rawReply, 1)
	l.pendingCalls[callID] = answer
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pendingCalls, callID)
		l.mu.Unlock()
	}()
	l.transport.traffic.addMessage(method, l.transport.isCrossRegion(l.address.Region), len(payload))
	m := rawFrame{frameType: frameCall, method: method, callID: callID, payload: payload}
	if err := stream.WriteObject(m); err != nil {
		return nil, fault.Wrap(fault.ErrUnknown, "call %s at %s: %v", method, l.address.Instance, err)
	}
	select {
	case r := <-answer:
		if r.err != nil {
			return nil, fault.Wrap(r.err, "call %s at %s", method, l.address.Instance)
		}
		return r.payload, nil
	case <-ctx.Done():
		return nil, fault.Wrap(fault.ErrUnknown, "call %s at %s: %v", method, l.address.Instance, ctx.Err())
	}
}

// handleRawReply passes a reply to the raw call that waits for it. It ignores a reply to a call that
// has ended.
func (l *link) handleRawReply(m rawFrame) error {
	if m.frameType != frameReply {
		return fault.Wrap(fault.ErrInvalid, "unexpected raw message of method %q", m.method)
	}
	l.mu.Lock()
	answer := l.pendingCalls[m.callID]
	l.mu.Unlock()
	if answer != nil {
		select {
		case answer <- m.toReply():
		default: // duplicate reply
		}
	}
	return nil
}

// setStream sets the stream for raw calls. A nil stream means that the connection was lost; it fails
// the calls in progress with ErrUnknown.
func (l *link) setStream(s jsonrpc2.ObjectStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream = s
	if s != nil {
		return
	}
	for _, answer := range l.pendingCalls {
		select {
		case answer <- rawReply{err: fault.Wrap(fault.ErrUnknown, "connection lost before the reply")}:
		default: // the reply is already there
		}
	}
}

// handleRaw handles a raw frame of the peer. It rejects frames that arrive before the hello request.
func (s *session) handleRaw(m rawFrame) error {
	from := s.remote.Load()
	if from == nil {
		return fault.Wrap(fault.ErrInvalid, "%v", errMissingHello)
	}
	switch m.frameType {
	case frameNotification:
		s.handleRawNotification(from.Instance, m)
	case frameCall:
		go s.answerRawCall(from.Instance, m)
	case frameReply:
		return fault.Wrap(fault.ErrInvalid, "unexpected raw reply to call %d", m.callID)
	}
	return nil
}

func (s *session) answerRawCall(from model.Instance, m rawFrame) {
	var payload []byte
	h, ok := s.transport.rawCallHandler(m.method)
	err := fault.Wrap(fault.ErrUnavailable, "no handler for raw method %q", m.method)
	if ok {
		payload, err = h(s.ctx, from, m.payload)
	}
	if len(payload) > maxFrameBytes-envelopeReserveBytes {
		payload, err = nil, fault.Wrap(fault.ErrTooLarge, "encode raw reply: %d bytes exceed the frame limit", len(payload))
	}
	// If the write fails, the caller learns of it when the connection ends.
	_ = s.stream.WriteObject(newReplyFrame(m.callID, payload, err))
}

func (t *Transport) rawCallHandler(method string) (RawCallHandler, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.rawCallHandlers[method]
	return h, ok
}
