package entry

import (
	"context"
	"net/http"

	"vanillabridge/core/admit"
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/permit"
)

// acquire waits for a permit for an attempt.
func (e *Entry) acquire(ctx context.Context, c *call) (*lease, *refusal) {
	w, s, bad := e.line(c)
	if bad != nil {
		return nil, bad
	}
	if w.wakeup != nil {
		e.metrics.waiting.Inc()
		select {
		case <-w.wakeup:
		case <-ctx.Done():
			e.unline(c, s, w)
		}
		e.metrics.waiting.Dec()
	}
	if w.lease != nil && c.first == 0 {
		c.first = w.lease.at
	}
	return w.lease, w.bad
}

// line puts a request into its queue. The result has no wakeup when it needn't wait.
func (e *Entry) line(c *call) (*waiter, *service, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	s := e.service(c.service)
	s.queue.SetLimit(c.route.Queue)
	e.ids++
	c.place = e.ids
	w := &waiter{call: c}
	was := s.queue.Waiting()
	r := admit.Request{ID: c.place, Flow: c.lane(), Share: max(c.share, DefaultShare), Deadline: c.until}
	switch v := s.queue.Arrive(now, r).(type) {
	case admit.Refused:
		return nil, s, refusalOf(v.Refusal)
	case admit.Displaced:
		e.dismiss(s, v.Victim)
	}
	s.waiters[c.place] = w
	e.pumpService(now, s)
	if w.lease == nil {
		w.wakeup = make(chan struct{})
		if was == 0 {
			e.urge(e.set.Zone)
		}
	}
	return w, s, nil
}

// unline takes a request out of its queue whose time is over or whose caller has gone.
func (e *Entry) unline(c *call, s *service, w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.lease != nil || w.bad != nil {
		return
	}
	s.queue.Cancel(c.lane(), c.place)
	delete(s.waiters, c.place)
	w.bad = refusalOf(admit.Refusal{Cause: admit.CauseDeadline, After: refusalPause})
}

// refusalOf names the status of a refusal: 429 says that the caller sends too much, 503
// that the service is too slow.
func refusalOf(r admit.Refusal) *refusal {
	if r.Cause == admit.CauseQueue {
		return &refusal{status: http.StatusTooManyRequests, text: "queue is full", cause: string(r.Cause), after: r.After}
	}
	return &refusal{status: http.StatusServiceUnavailable, text: "deadline cannot be met", cause: string(r.Cause), after: r.After}
}

// urge renews the credits of a zone before the next period; e.mu is held.
func (e *Entry) urge(zone model.Zone) {
	select {
	case e.urges[zone] <- struct{}{}:
	default:
	}
}

// request prepares a renewal; it reports false when there is nothing to renew.
func (e *Entry) request(zone model.Zone) (permit.Request, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	needs := e.needs(zone)
	if zone == e.set.Zone {
		e.wants(now)
	} else if len(needs) == 0 && e.holder.Idle(now, zone) {
		return permit.Request{}, false
	}
	return e.holder.Renew(now, zone, needs), true
}

// apply takes the answer of a renewal.
func (e *Entry) apply(zone model.Zone, r permit.Request, a permit.Answer) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	if !e.holder.Apply(now, zone, a) {
		return "dropped"
	}
	e.next(zone, r.Needs, a)
	e.pump(now)
	return "applied"
}

// urgePause is the least time between two renewals.
const urgePause = 100 * clock.Millisecond
