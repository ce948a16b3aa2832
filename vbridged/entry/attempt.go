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

const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// runAttempt sends the request to one backend server. It returns nil if the caller got a
// response, and panics with http.ErrAbortHandler if the response broke off after its header
// was sent to the caller.
//
// An attempt continues after the caller has disconnected: reading the whole response frees the
// slot, while the slot of an abandoned request stays taken (see holdAbandonedPermit). The
// record of a non-idempotent request needs the response as well.
func (e *Entry) runAttempt(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, p *attemptPermit, b *requestBody) *refusal {
	e.metrics.attempts.Inc()
	var result attemptResult
	defer func() { e.endAttempt(c, p, result) }()
	if err := e.ensureConn(ctx, p); err != nil {
		result.cancelled = ctx.Err() != nil
		return c.newRefusal(http.StatusServiceUnavailable, "attempt failed", err)
	}
	remaining := c.deadline - e.ports.Clock.Now()
	out, err := c.newServerRequest(r, b, remaining)
	if err != nil {
		return c.newRefusal(http.StatusBadRequest, "invalid request", err)
	}
	_ = p.conn.SetDeadline(time.Now().Add(remaining.Duration()))
	x := newExchange(p.conn, out, func() error { return e.checkSend(c, p) })
	refused, err := e.performExchange(w, r, c, x, &result)
	sent := x.guard.maybeSent.Load()
	result.maybeSent = sent && !result.rejected
	result.cancelled = !result.maybeSent || (!result.responseComplete && r.Context().Err() != nil)
	c.maybeSent = c.maybeSent || result.maybeSent
	if x.writeDone != nil && !b.reachedEOF.Load() {
		b.abortReads()
		_ = p.conn.Close()
	}
	x.waitForWrite()
	connReusable := !sent || (result.responseComplete && x.requestWritten && result.connReusable && p.conn.reader.Buffered() == 0)
	result.connReusable = connReusable
	if errors.Is(err, errResponseAborted) {
		c.outcome, c.cause = proto.OutcomeUnknown, err.Error()
		panic(http.ErrAbortHandler)
	}
	return refused
}

// performExchange writes the request, reads the response and writes it to the caller.
func (e *Entry) performExchange(w http.ResponseWriter, r *http.Request, c *call, x *exchange, result *attemptResult) (*refusal, error) {
	if err := x.startWrite(); err != nil {
		return c.newRefusal(http.StatusServiceUnavailable, "send request", err), nil
	}
	resp, err := x.readHeader(e.settings.MaxHeaderBytes)
	if err != nil {
		return c.newGatewayRefusal(e, "read response header", err), nil
	}
	if isRejectedByOther(resp, x.conn.server) {
		e.noteRejected(c, x.conn.server)
		result.rejected = true
		return c.newRefusal(http.StatusServiceUnavailable, "backend server has started again", nil), nil
	}
	if err := e.validateResponse(c, resp); err != nil {
		return c.newRefusal(http.StatusBadGateway, "response rejected", err), nil
	}
	result.succeeded = resp.StatusCode < http.StatusInternalServerError
	result.connReusable = !resp.Close
	if c.onceFlow != nil {
		return e.deliverRecorded(w, r, c, resp, result)
	}
	e.writeResponseHeader(w, c, resp)
	return nil, e.streamBody(w, resp, nil, result)
}

// newGatewayRefusal describes a failure to read a response: 504 if the deadline has passed,
// 502 otherwise.
func (c *call) newGatewayRefusal(e *Entry, text string, err error) *refusal {
	if e.ports.Clock.Now() >= c.deadline {
		return c.newRefusal(http.StatusGatewayTimeout, text, err)
	}
	return c.newRefusal(http.StatusBadGateway, text, err)
}

// validateResponse rejects a response that is too large, whose truncation could not be
// detected, or that belongs to another request or attempt.
func (e *Entry) validateResponse(c *call, resp *http.Response) error {
	if !hasDefiniteEnd(resp) {
		return fault.Wrap(fault.ErrInvalid, "response has neither Content-Length nor chunked encoding, so truncation cannot be detected")
	}
	if resp.ContentLength > e.settings.MaxBodyBytes {
		return fault.Wrap(fault.ErrTooLarge, "response body of %d bytes exceeds %d", resp.ContentLength, e.settings.MaxBodyBytes)
	}
	if id := resp.Header.Get(proto.HeaderRequest); id != "" && id != c.id {
		return fault.Wrap(fault.ErrInvalid, "response belongs to request %s, not %s", id, c.id)
	}
	if n := resp.Header.Get(proto.HeaderAttempt); n != "" && n != strconv.Itoa(c.attempts) {
		return fault.Wrap(fault.ErrInvalid, "response belongs to attempt %s, not %d", n, c.attempts)
	}
	return nil
}

// writeResponseHeader sends the header of a backend server's response to the caller.
func (e *Entry) writeResponseHeader(w http.ResponseWriter, c *call, resp *http.Response) {
	h := w.Header()
	for k, v := range copyEndToEndHeader(resp.Header) {
		h[k] = v
	}
	c.setResultHeaders(h, proto.OutcomeDone)
	c.status, c.outcome = resp.StatusCode, proto.OutcomeDone
	if resp.ContentLength >= 0 && resp.Request.Method != http.MethodHead {
		h["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	w.WriteHeader(resp.StatusCode)
}

func (c *call) setResultHeaders(h http.Header, o proto.Outcome) {
	h[proto.HeaderOutcome] = []string{string(o)}
	h[proto.HeaderRequest] = []string{c.id}
	if !c.idempotent {
		h[proto.HeaderKey] = []string{c.key.Key}
	}
}

// streamBody writes head and the rest of the response body to the caller. If the caller stops
// reading, the rest is still read from the backend server.
func (e *Entry) streamBody(w http.ResponseWriter, resp *http.Response, head []byte, result *attemptResult) error {
	defer func() { _ = resp.Body.Close() }()
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	control := http.NewResponseController(w)
	total := int64(len(head))
	var writeErr error // first failure of writing to the caller
	if len(head) > 0 {
		_, writeErr = w.Write(head)
	}
	for {
		n, err := resp.Body.Read(buf[:])
		total += int64(n)
		if total > e.settings.MaxBodyBytes {
			return fault.Wrap(errResponseAborted, "response body exceeds %d bytes", e.settings.MaxBodyBytes)
		}
		if n > 0 && writeErr == nil {
			_, writeErr = w.Write(buf[:n])
		}
		if errors.Is(err, io.EOF) {
			result.responseComplete = true
			break
		}
		if err != nil {
			return fault.Wrap(errResponseAborted, "read response body: %v", err)
		}
		if writeErr == nil {
			writeErr = control.Flush()
		}
	}
	if writeErr != nil {
		return fault.Wrap(errResponseAborted, "write response to caller: %v", writeErr)
	}
	return nil
}

// deliverRecorded records the response to a non-idempotent request and writes it to the
// caller. A body that fits into the record is recorded before the caller sees it, so that a
// resend cannot get a different response.
func (e *Entry) deliverRecorded(w http.ResponseWriter, r *http.Request, c *call, resp *http.Response, result *attemptResult) (*refusal, error) {
	head, err := io.ReadAll(io.LimitReader(resp.Body, once.MaxStoredBodyBytes+1))
	if err != nil {
		return c.newGatewayRefusal(e, "read response body", err), nil
	}
	a := once.Answer{Digest: c.digest(r), Status: resp.StatusCode, Header: copyEndToEndHeader(resp.Header), Body: head}
	if len(head) <= once.MaxStoredBodyBytes {
		result.responseComplete = true
		e.finishRecord(c, a)
		e.writeResponseHeader(w, c, resp)
		if _, err := io.Copy(w, bytes.NewReader(head)); err != nil {
			return nil, fault.Wrap(errResponseAborted, "write response to caller: %v", err)
		}
		return nil, nil
	}
	a.Body, a.BodyOmitted = nil, true
	e.writeResponseHeader(w, c, resp)
	err = e.streamBody(w, resp, head, result)
	if result.responseComplete {
		e.finishRecord(c, a)
	}
	return nil, err
}
