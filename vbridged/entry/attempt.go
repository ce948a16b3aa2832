package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"vanillabridge/core/fault"
	"vanillabridge/core/once"
	"vanillabridge/core/proto"
)

const copySize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// attempt sends the request once. It returns nil when the caller got an answer, and panics
// with http.ErrAbortHandler when the answer broke off after its start.
//
// An attempt goes on when the caller has gone: the whole answer frees the slot, while an
// abandoned request holds it until its deadline. A record needs the answer as well.
func (e *Entry) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, l *lease, b *body) *refusal {
	e.metrics.tries.Inc()
	var end ending
	defer func() { e.release(c, l, end) }()
	if err := e.open(ctx, l); err != nil {
		end.quit = ctx.Err() != nil
		return c.problem(http.StatusServiceUnavailable, "no connection", err)
	}
	left := c.until - e.ports.Clock.Now()
	out, err := c.outgoing(r, b, left)
	if err != nil {
		return c.problem(http.StatusBadRequest, "bad request", err)
	}
	_ = l.wire.SetDeadline(time.Now().Add(left.Std()))
	x := newExchange(l.wire, out, func() error { return e.allow(c, l) })
	bad, err := e.converse(w, r, c, x, &end)
	end.sent = x.gate.open.Load()
	end.quit = !end.sent || (!end.whole && r.Context().Err() != nil)
	c.touched = c.touched || end.sent
	if x.written != nil && !b.ended.Load() {
		b.abandon()
		_ = l.wire.Close()
	}
	x.settle()
	unused := !end.sent || (end.whole && x.wrote && end.reuse && l.wire.reader.Buffered() == 0)
	end.reuse = unused
	if errors.Is(err, errAborted) {
		c.outcome, c.cause = proto.OutcomeUnknown, err.Error()
		panic(http.ErrAbortHandler)
	}
	return bad
}

// converse writes the request and delivers the answer.
func (e *Entry) converse(w http.ResponseWriter, r *http.Request, c *call, x *exchange, end *ending) (*refusal, error) {
	if err := x.start(); err != nil {
		return c.problem(http.StatusServiceUnavailable, "send request", err), nil
	}
	resp, err := x.header(e.set.HeaderSize)
	if err != nil {
		return c.late(e, "no answer", err), nil
	}
	if err := e.checkAnswer(c, resp); err != nil {
		return c.problem(http.StatusBadGateway, "answer refused", err), nil
	}
	end.good = resp.StatusCode < http.StatusInternalServerError
	end.reuse = !resp.Close
	if c.flow != nil {
		return e.deliverKept(w, r, c, resp, end)
	}
	e.answerHeader(w, c, resp)
	return nil, e.stream(w, resp, nil, end)
}

// late tells a missed deadline from other failures.
func (c *call) late(e *Entry, text string, err error) *refusal {
	if e.ports.Clock.Now() >= c.until {
		return c.problem(http.StatusGatewayTimeout, text, err)
	}
	return c.problem(http.StatusBadGateway, text, err)
}

// checkAnswer refuses an answer that is not surely whole and of this attempt.
func (e *Entry) checkAnswer(c *call, resp *http.Response) error {
	if !framed(resp) {
		return fault.Wrap(fault.ErrInvalid, "answer has neither a length nor chunks, so its end is not certain")
	}
	if resp.ContentLength > e.set.BodySize {
		return fault.Wrap(fault.ErrTooLarge, "answer of %d bytes", resp.ContentLength)
	}
	if id := resp.Header.Get(proto.HeaderRequest); id != "" && id != c.id {
		return fault.Wrap(fault.ErrInvalid, "answer belongs to request %s", id)
	}
	if n := resp.Header.Get(proto.HeaderAttempt); n != "" && n != strconv.Itoa(c.tries) {
		return fault.Wrap(fault.ErrInvalid, "answer belongs to attempt %s", n)
	}
	return nil
}

// answerHeader sends the header of an answer to the caller.
func (e *Entry) answerHeader(w http.ResponseWriter, c *call, resp *http.Response) {
	h := w.Header()
	for k, v := range forward(resp.Header) {
		h[k] = v
	}
	c.mark(h, proto.OutcomeDone)
	c.status, c.outcome = resp.StatusCode, proto.OutcomeDone
	if resp.ContentLength >= 0 && resp.Request.Method != http.MethodHead {
		h["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	w.WriteHeader(resp.StatusCode)
}

func (c *call) mark(h http.Header, o proto.Outcome) {
	h[proto.HeaderOutcome] = []string{string(o)}
	h[proto.HeaderRequest] = []string{c.id}
	if !c.idempotent {
		h[proto.HeaderKey] = []string{c.key.Key}
	}
}

// stream copies the rest of an answer to the caller.
func (e *Entry) stream(w http.ResponseWriter, resp *http.Response, head []byte, end *ending) error {
	defer func() { _ = resp.Body.Close() }()
	buf := copyBuffers.Get().(*[copySize]byte)
	defer copyBuffers.Put(buf)
	control := http.NewResponseController(w)
	total := int64(len(head))
	var gone error // of writing to the caller
	if len(head) > 0 {
		_, gone = w.Write(head)
	}
	for {
		n, err := resp.Body.Read(buf[:])
		total += int64(n)
		if total > e.set.BodySize {
			return fault.Wrap(errAborted, "answer exceeds %d bytes", e.set.BodySize)
		}
		if n > 0 && gone == nil {
			_, gone = w.Write(buf[:n])
		}
		if errors.Is(err, io.EOF) {
			end.whole = true
			break
		}
		if err != nil {
			return fault.Wrap(errAborted, "read answer: %v", err)
		}
		if gone == nil {
			gone = control.Flush()
		}
	}
	if gone != nil {
		return fault.Wrap(errAborted, "write answer to caller: %v", gone)
	}
	return nil
}

// deliverKept records the answer of a non-idempotent request. An answer that fits is
// recorded before the caller sees it, so that a resend can't get another one.
func (e *Entry) deliverKept(w http.ResponseWriter, r *http.Request, c *call, resp *http.Response, end *ending) (*refusal, error) {
	head, err := io.ReadAll(io.LimitReader(resp.Body, once.KeepBody+1))
	if err != nil {
		return c.late(e, "read answer", err), nil
	}
	a := once.Answer{Digest: c.digest(r), Status: resp.StatusCode, Header: forward(resp.Header), Body: head}
	if len(head) <= once.KeepBody {
		end.whole = true
		e.finish(c, a)
		e.answerHeader(w, c, resp)
		if _, err := io.Copy(w, bytes.NewReader(head)); err != nil {
			return nil, fault.Wrap(errAborted, "write answer to caller: %v", err)
		}
		return nil, nil
	}
	a.Body, a.Cut = nil, true
	e.answerHeader(w, c, resp)
	err = e.stream(w, resp, head, end)
	if end.whole {
		e.finish(c, a)
	}
	return nil, err
}
