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

// refusalPause is the Retry-After hint of a refusal that names no better one.
const refusalPause = 1 * clock.Second

func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	now := e.ports.Clock.Now()
	c, bad := e.parse(r, now)
	defer func() { e.ended(c) }()
	if bad != nil {
		e.refuse(w, c, bad)
		return
	}
	if !e.enter() {
		e.refuse(w, c, &refusal{status: http.StatusServiceUnavailable, text: "instance is draining", cause: "drain", after: refusalPause})
		return
	}
	defer e.leave()
	ctx, cancel := context.WithTimeout(r.Context(), (c.until - now).Std())
	defer cancel()
	e.count(c)
	body := newBody(w, r, e.set.BodySize)
	defer body.finish()
	e.run(ctx, w, r, c, body)
}

// run makes attempts until one ends the request.
func (e *Entry) run(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, body *body) {
	for {
		l, bad := e.acquire(ctx, c)
		if bad != nil {
			e.giveUp(w, c, bad)
			return
		}
		if done := e.begin(ctx, w, r, c, l); done {
			return
		}
		c.tries++
		c.server, c.zone = l.key, l.zone
		bad = e.attempt(ctx, w, r, c, l, body)
		if bad == nil {
			return
		}
		left := c.until - e.ports.Clock.Now()
		switch v := e.decide(c, body, left).(type) {
		case retry.Again:
			if !sleep(ctx, v.After.Std()) {
				e.giveUp(w, c, bad)
				return
			}
		default:
			e.giveUp(w, c, bad)
			return
		}
	}
}

// count adds a request to the retry budget of its service.
func (e *Entry) count(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.service(c.service).budget.Request(c.limits())
}

func (c *call) limits() retry.Limits {
	return retry.Limits{Percent: c.route.Retries, Attempts: c.route.Attempts}
}

func (e *Entry) decide(c *call, b *body, left clock.Millis) retry.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.service(c.service).budget.Decide(
		c.limits(),
		retry.Attempt{Number: c.tries, Sent: c.touched, Idempotent: c.idempotent, Intact: b.intact(), Left: left},
	)
}

// giveUp answers a request without an answer of a backend server. A record of which no byte
// was sent is removed first; only then is the request surely not run.
func (e *Entry) giveUp(w http.ResponseWriter, c *call, bad *refusal) {
	if c.flow != nil {
		if _, abort := c.flow.Step(e.ports.Clock.Now(), once.Failed{}).(once.Abort); abort {
			e.abort(c)
		}
	}
	e.refuse(w, c, bad)
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

// outgoing returns the request towards the backend server.
func (c *call) outgoing(r *http.Request, body *body, left clock.Millis) (*http.Request, error) {
	u, err := url.ParseRequestURI(c.path)
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "path %q", c.path)
	}
	u.RawQuery = r.URL.RawQuery
	h := forward(r.Header)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps the library from adding its own
	}
	h[proto.HeaderRequest] = []string{c.id}
	h[proto.HeaderZone] = []string{string(c.home)}
	h[proto.HeaderAttempt] = []string{strconv.Itoa(c.tries)}
	h[proto.HeaderDeadline] = []string{strconv.FormatInt(int64(left), 10)}
	if !c.idempotent {
		h[proto.HeaderKey] = []string{c.key.Key}
	}
	return &http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: h, Body: body.open(),
		ContentLength: r.ContentLength, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}, nil
}

func (e *Entry) ended(c *call) {
	now := e.ports.Clock.Now()
	e.metrics.requests.WithLabelValues(c.class.String(), string(c.outcome)).Inc()
	ev := Ended{
		Request: c.id, Service: c.service, Caller: c.caller, Class: c.class, Server: c.server, Zone: c.zone,
		Outcome: c.outcome, Status: c.status, Cause: c.cause, Took: now - c.start, Tries: c.tries,
	}
	if c.first > 0 {
		ev.Waited = c.first - c.start
		e.metrics.waited.WithLabelValues(c.class.String()).Observe(ev.Waited.Std().Seconds())
	}
	e.ports.Events.Record(ev)
}

// errAborted says that the answer must not look whole.
var errAborted = errors.New("answer aborted")
