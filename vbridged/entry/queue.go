package entry

import (
	"context"
	"net/http"

	"vanillabridge/core/admit"
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/permit"
)

// waitForPermit waits in the queue of the service until there is a permit for an attempt.
func (e *Entry) waitForPermit(ctx context.Context, c *call) (*attemptPermit, *refusal) {
	w, s, refused := e.enqueue(c)
	if refused != nil {
		return nil, refused
	}
	if w.wakeup != nil {
		e.metrics.waiting.Inc()
		select {
		case <-w.wakeup:
		case <-ctx.Done():
			e.cancelWait(c, s, w)
		}
		e.metrics.waiting.Dec()
	}
	if w.permit != nil && c.firstPermitAt == 0 {
		c.firstPermitAt = w.permit.acquiredAt
	}
	return w.permit, w.refusal
}

// enqueue adds a request to its queue. The waiter has no wakeup if it got a permit at once.
func (e *Entry) enqueue(c *call) (*waiter, *service, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	s := e.getOrCreateService(c.service)
	s.queue.SetLimit(c.route.MaxQueued)
	e.lastQueueID++
	c.queueID = e.lastQueueID
	w := &waiter{call: c}
	waitingBefore := s.queue.Waiting()
	r := admit.Request{ID: c.queueID, Flow: c.queueFlow(), Share: max(c.share, DefaultShare), Deadline: c.deadline}
	switch v := s.queue.Enqueue(now, r).(type) {
	case admit.Refused:
		return nil, s, newQueueRefusal(v.Refusal)
	case admit.Displaced:
		e.refuseWaiter(s, v.Victim)
	}
	s.waiters[c.queueID] = w
	e.dispatchService(now, s)
	if w.permit == nil && w.refusal == nil && e.waitingRequests() > e.settings.MaxQueuedRequests {
		s.queue.Cancel(c.queueFlow(), c.queueID)
		delete(s.waiters, c.queueID)
		return nil, s, newQueueRefusal(admit.Refusal{Cause: admit.CauseQueueFull, RetryAfter: defaultRetryAfter})
	}
	if w.permit == nil {
		w.wakeup = make(chan struct{})
		if waitingBefore == 0 {
			e.requestEarlyRenewal(e.settings.Zone)
		}
	}
	return w, s, nil
}

// waitingRequests returns the number of requests that wait, over all services. The caller holds mu.
func (e *Entry) waitingRequests() int {
	n := 0
	for _, s := range e.services {
		n += s.queue.Waiting()
	}
	return n
}

// cancelWait removes a request from its queue after its deadline has passed or its caller has
// disconnected.
func (e *Entry) cancelWait(c *call, s *service, w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.permit != nil || w.refusal != nil {
		return
	}
	s.queue.Cancel(c.queueFlow(), c.queueID)
	delete(s.waiters, c.queueID)
	w.refusal = newQueueRefusal(admit.Refusal{Cause: admit.CauseDeadline, RetryAfter: defaultRetryAfter})
}

// newQueueRefusal converts a refusal of the queue. Status 429 says that the caller sends too
// much, 503 that the service is too slow.
func newQueueRefusal(r admit.Refusal) *refusal {
	if r.Cause == admit.CauseQueueFull {
		return &refusal{status: http.StatusTooManyRequests, text: "queue is full", cause: string(r.Cause), retryAfter: r.RetryAfter}
	}
	return &refusal{status: http.StatusServiceUnavailable, text: "deadline cannot be met", cause: string(r.Cause), retryAfter: r.RetryAfter}
}

// requestEarlyRenewal makes renewLoop renew the credits of a zone before the next period; e.mu
// is held.
func (e *Entry) requestEarlyRenewal(zone model.Zone) {
	select {
	case e.earlyRenewals[zone] <- struct{}{}:
	default:
	}
}

// prepareRenewal builds the request of a renewal, or reports false if there is nothing to renew.
func (e *Entry) prepareRenewal(zone model.Zone) (permit.Request, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	needs := e.spilloverNeeds(zone)
	if zone == e.settings.Zone {
		e.updateWanted(now)
	} else if len(needs) == 0 && e.holder.Idle(now, zone) {
		return permit.Request{}, false
	}
	return e.holder.Renew(now, zone, needs), true
}

// applyRenewal applies the answer of a renewal and returns its result for the metric.
func (e *Entry) applyRenewal(zone model.Zone, r permit.Request, a permit.Answer) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	if !e.holder.Apply(now, zone, a) {
		return "dropped"
	}
	e.rotateSpilloverZones(zone, r.Needs, a)
	e.dispatchAll(now)
	return "applied"
}

// minRenewalInterval is the shortest time between two renewals of a zone.
const minRenewalInterval = 100 * clock.Millisecond
