package entry

import (
	"context"
	"net/http"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
)

// attemptPermit is the permit for one attempt, with an open connection or the right to open
// one.
type attemptPermit struct {
	server     member.Key
	zone       model.Zone
	address    string
	conn       *backendConn // nil until the connection is open
	acquiredAt clock.Millis // time at which the permit was acquired
	sentAt     clock.Millis // time at which the first byte was allowed to be sent
}

// acquireOnServer acquires a permit and a connection, or the right to open one, on a server. It
// returns nil if either is missing; e.mu is held.
func (e *Entry) acquireOnServer(now clock.Millis, k member.Key, zone model.Zone, address string) *attemptPermit {
	if !e.holder.Acquire(now, k) {
		return nil
	}
	p := &attemptPermit{server: k, zone: zone, address: address, acquiredAt: now}
	if p.conn = e.popIdleConn(now, k); p.conn != nil || e.holder.AcquireConn(now, k) {
		e.metrics.running.Inc()
		return p
	}
	e.holder.Release(now, k, true, now)
	return nil
}

// popIdleConn returns an idle connection that is still open, or nil; e.mu is held.
func (e *Entry) popIdleConn(now clock.Millis, k member.Key) *backendConn {
	conns := e.idleConns[k]
	for len(conns) > 0 {
		conn := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		e.idleConns[k] = conns
		if now-conn.idleSince < ConnIdleTimeout && conn.isReusable() {
			return conn
		}
		e.closeConn(now, conn, now+ClosedConnHoldTime)
	}
	return nil
}

// closeConn closes a connection, which counts as open until the given time; e.mu is held.
func (e *Entry) closeConn(now clock.Millis, conn *backendConn, until clock.Millis) {
	_ = conn.Close()
	e.holder.ReleaseConn(now, conn.server, until)
}

// closeIdleConns closes the idle connections of a server; e.mu is held.
func (e *Entry) closeIdleConns(now clock.Millis, k member.Key) {
	for _, conn := range e.idleConns[k] {
		e.closeConn(now, conn, now+ClosedConnHoldTime)
	}
	delete(e.idleConns, k)
}

// closeExpiredConns closes connections that were idle for ConnIdleTimeout; e.mu is held.
func (e *Entry) closeExpiredConns(now clock.Millis) {
	for k, conns := range e.idleConns {
		kept := conns[:0]
		for _, conn := range conns {
			if now-conn.idleSince < ConnIdleTimeout {
				kept = append(kept, conn)
				continue
			}
			e.closeConn(now, conn, now+ClosedConnHoldTime)
		}
		if e.idleConns[k] = kept; len(kept) == 0 {
			delete(e.idleConns, k)
		}
	}
}

// ensureConn opens the connection of a permit if it has none.
func (e *Entry) ensureConn(ctx context.Context, p *attemptPermit) error {
	if p.conn != nil {
		return nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, DialTimeout.Duration())
	defer cancel()
	conn, err := dial(dialCtx, e.ports.Dialer, p.server, p.address)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	// A dial that was cut short by the caller or the deadline says nothing about the server.
	if err == nil || ctx.Err() == nil {
		e.stepServers(now, member.DialEnded{Server: p.server, OK: err == nil})
	}
	p.conn = conn
	return err
}

// checkSend checks just before the first byte of an attempt that it may still be sent, because
// the process may have been paused since the permit was acquired.
func (e *Entry) checkSend(c *call, p *attemptPermit) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	switch {
	case now >= c.deadline:
		return fault.Wrap(fault.ErrUnavailable, "send to %s after the deadline", p.server.Name)
	case !e.isEligible(now, p):
		return fault.Wrap(fault.ErrUnavailable, "send to %s, which is not eligible", p.server.Name)
	case !e.holder.WithinPermits(now, p.server):
		return fault.Wrap(fault.ErrUnavailable, "send to %s without a permit", p.server.Name)
	}
	if c.onceFlow != nil {
		if _, ok := c.onceFlow.Step(now, once.Sending{}).(once.Send); !ok {
			return fault.Wrap(fault.ErrUnknown, "send to %s twice", p.server.Name)
		}
	}
	p.sentAt = now
	return nil
}

// isEligible reports whether the server of a permit may get a request; e.mu is held. Servers of
// other zones are known by their grants only, which WithinPermits checks.
func (e *Entry) isEligible(now clock.Millis, p *attemptPermit) bool {
	return p.zone != e.settings.Zone || e.servers.Usable(now, p.server)
}

// noteRejected records that a request that was sent has not run, because another process runs at the server's address.
func (e *Entry) noteRejected(c *call, k member.Key) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	e.stepServers(now, member.Replaced{Server: k})
	if c.onceFlow != nil {
		c.onceFlow.Step(now, once.Rejected{})
	}
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	maybeSent        bool // a byte may have reached a server that may run the request
	rejected         bool // another process than the server that was meant refused to run it
	responseComplete bool // the whole response was read
	connReusable     bool // the connection can carry another request
	succeeded        bool // the response has no status of a server error
	cancelled        bool // it ended without a fault of the server
}

// endAttempt releases the permit and the connection of an attempt, or holds them if the backend
// server may still run the request.
func (e *Entry) endAttempt(c *call, p *attemptPermit, result attemptResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	e.metrics.running.Dec()
	if result.maybeSent && !result.responseComplete {
		e.holdAbandonedPermit(now, p)
	} else {
		e.releasePermit(now, p, result.connReusable)
	}
	e.releaseFromService(now, c, p, result)
}

// releasePermit releases the permit and the connection of an attempt that the backend server
// cannot be running any more; e.mu is held.
func (e *Entry) releasePermit(now clock.Millis, p *attemptPermit, reuse bool) {
	e.holder.Release(now, p.server, true, now)
	switch {
	case p.conn == nil:
		e.holder.ReleaseConn(now, p.server, now)
	case reuse:
		_ = p.conn.SetDeadline(time.Time{})
		p.conn.idleSince = now
		e.idleConns[p.server] = append(e.idleConns[p.server], p.conn)
	default:
		e.closeConn(now, p.conn, now+ClosedConnHoldTime)
	}
}

// newRefusal returns the refusal for a failed attempt.
func (c *call) newRefusal(status int, text string, err error) *refusal {
	if err != nil {
		text += ": " + err.Error()
	}
	return &refusal{status: status, text: text, cause: http.StatusText(status), retryAfter: defaultRetryAfter}
}
