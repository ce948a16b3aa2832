package entry

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/once"
	"vanillabridge/core/proto"
	"vanillabridge/core/retry"
)

// defaultRetryAfter is the Retry-After value of refusals for which no wait was computed.
const defaultRetryAfter = 1 * clock.Second

func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	now := e.ports.Clock.Now()
	c, refused := e.parseCall(r, now)
	defer func() { e.recordEnd(c) }()
	if refused != nil {
		e.refuse(w, c, refused)
		return
	}
	if !e.beginRequest() {
		e.refuse(w, c, &refusal{status: http.StatusServiceUnavailable, text: "instance is draining", cause: "drain", retryAfter: defaultRetryAfter})
		return
	}
	defer e.endRequest()
	ctx, cancel := context.WithTimeout(r.Context(), (c.deadline - now).Duration())
	defer cancel()
	e.countForRetryBudget(c)
	body := newRequestBody(w, r, e.settings.MaxBodyBytes)
	defer body.drain()
	e.runAttempts(ctx, w, r, c, body)
}

// runAttempts makes attempts until the caller has a response or a refusal.
func (e *Entry) runAttempts(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, body *requestBody) {
	for {
		p, refused := e.waitForPermit(ctx, c)
		if refused != nil {
			e.failCall(w, c, refused)
			return
		}
		if done := e.beginRecord(ctx, w, r, c, p); done {
			return
		}
		c.attempts++
		c.server, c.serverZone = p.server, p.zone
		refused = e.runAttempt(ctx, w, r, c, p, body)
		if refused == nil {
			return
		}
		remaining := c.deadline - e.ports.Clock.Now()
		switch v := e.decideRetry(c, body, remaining).(type) {
		case retry.After:
			if !sleep(ctx, v.Delay.Duration()) {
				e.failCall(w, c, refused)
				return
			}
		default:
			e.failCall(w, c, refused)
			return
		}
	}
}

// countForRetryBudget adds a request to the retry budget of its service.
func (e *Entry) countForRetryBudget(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.getOrCreateService(c.service).retryBudget.AddRequest(c.retryLimits())
}

func (c *call) retryLimits() retry.Limits {
	return retry.Limits{BudgetPercent: c.route.RetryPercent, MaxAttempts: c.route.MaxAttempts}
}

func (e *Entry) decideRetry(c *call, b *requestBody, remaining clock.Millis) retry.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.getOrCreateService(c.service).retryBudget.Decide(
		c.retryLimits(),
		retry.Attempt{Number: c.attempts, Sent: c.maybeSent, Idempotent: c.idempotent, BodyReplayable: b.isReplayable(), TimeLeft: remaining},
	)
}

// failCall answers a request that got no response of a backend server. If no byte was sent, the
// record is removed before the caller is told that the request was not run.
func (e *Entry) failCall(w http.ResponseWriter, c *call, refused *refusal) {
	if c.onceFlow != nil {
		if _, abort := c.onceFlow.Step(e.ports.Clock.Now(), once.Failed{}).(once.Abort); abort {
			e.abortRecord(c)
		}
	}
	e.refuse(w, c, refused)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// newServerRequest returns the request to send to the backend server.
func (c *call) newServerRequest(r *http.Request, body *requestBody, remaining clock.Millis) (*http.Request, error) {
	u, err := url.ParseRequestURI(c.path)
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "parse path %q", c.path)
	}
	u.RawQuery = r.URL.RawQuery
	h := copyEndToEndHeader(r.Header)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	h[proto.HeaderRequest] = []string{c.id}
	h[proto.HeaderZone] = []string{string(c.entryZone)}
	h[proto.HeaderAttempt] = []string{strconv.Itoa(c.attempts)}
	h[proto.HeaderIncarnation] = []string{formatIncarnation(c.server)}
	h[proto.HeaderDeadline] = []string{strconv.FormatInt(int64(remaining), 10)}
	if !c.idempotent {
		h[proto.HeaderKey] = []string{c.key.Key}
	}
	return &http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: h, Body: body.open(),
		ContentLength: r.ContentLength, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}, nil
}

func (e *Entry) recordEnd(c *call) {
	now := e.ports.Clock.Now()
	e.metrics.requests.WithLabelValues(c.class.String(), string(c.outcome)).Inc()
	ev := RequestEnded{
		Request: c.id, Service: c.service, Caller: c.caller, Class: c.class, Server: c.server, Zone: c.serverZone,
		Outcome: c.outcome, Status: c.status, Cause: c.cause, Duration: now - c.acceptedAt, Attempts: c.attempts,
	}
	if c.firstPermitAt > 0 {
		ev.QueueWait = c.firstPermitAt - c.acceptedAt
		e.metrics.waitTime.WithLabelValues(c.class.String()).Observe(ev.QueueWait.Duration().Seconds())
	}
	e.ports.Events.Record(ev)
}

// errResponseAborted means that the response broke off after its header was sent to the caller,
// so the connection is aborted to keep the truncated response from looking complete.
var errResponseAborted = errors.New("response aborted")
