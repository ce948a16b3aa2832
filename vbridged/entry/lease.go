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
	"vanillabridge/core/permit"
)

// lease is a permit for one attempt, with a connection or the right to open one.
type lease struct {
	key     member.Key
	zone    model.Zone
	address string
	wire    *wire        // nil until the connection is open
	at      clock.Millis // instant of the permit
	sent    clock.Millis // instant of the first byte
}

// take acquires a permit and a connection of a server; e.mu is held.
func (e *Entry) take(now clock.Millis, k member.Key, zone model.Zone, address string) *lease {
	if !e.holder.Acquire(now, k) {
		return nil
	}
	l := &lease{key: k, zone: zone, address: address, at: now}
	if l.wire = e.popIdle(now, k); l.wire != nil || e.holder.Connect(now, k) {
		e.metrics.running.Inc()
		return l
	}
	e.holder.Release(now, k, true, now)
	return nil
}

// popIdle returns an open unused connection; e.mu is held.
func (e *Entry) popIdle(now clock.Millis, k member.Key) *wire {
	list := e.idle[k]
	for len(list) > 0 {
		w := list[len(list)-1]
		list = list[:len(list)-1]
		e.idle[k] = list
		if now-w.idle < IdleTime && w.quiet() {
			return w
		}
		e.shut(now, w, now+CloseTime)
	}
	return nil
}

// shut closes a connection, which counts until the given instant; e.mu is held.
func (e *Entry) shut(now clock.Millis, w *wire, until clock.Millis) {
	_ = w.Close()
	e.holder.Disconnect(now, w.server, until)
}

// closeIdle closes the unused connections of a server; e.mu is held.
func (e *Entry) closeIdle(now clock.Millis, k member.Key) {
	for _, w := range e.idle[k] {
		e.shut(now, w, now+CloseTime)
	}
	delete(e.idle, k)
}

// sweep closes connections that were not used for IdleTime; e.mu is held.
func (e *Entry) sweep(now clock.Millis) {
	for k, list := range e.idle {
		kept := list[:0]
		for _, w := range list {
			if now-w.idle < IdleTime {
				kept = append(kept, w)
				continue
			}
			e.shut(now, w, now+CloseTime)
		}
		if e.idle[k] = kept; len(kept) == 0 {
			delete(e.idle, k)
		}
	}
}

// open makes sure that the lease has a connection.
func (e *Entry) open(ctx context.Context, l *lease) error {
	if l.wire != nil {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, DialTime.Std())
	defer cancel()
	w, err := dial(limited, e.ports.Dialer, l.key, l.address)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	// A caller who left or came too late says nothing about the server.
	if err == nil || ctx.Err() == nil {
		e.step(now, member.DialEnded{Server: l.key, OK: err == nil})
	}
	l.wire = w
	return err
}

// allow is asked just before the first byte of an attempt: the process may have been paused
// since the permit was taken.
func (e *Entry) allow(c *call, l *lease) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	switch {
	case now >= c.until:
		return fault.Wrap(fault.ErrUnavailable, "send to %s after the deadline", l.key.Name)
	case !e.usable(now, l):
		return fault.Wrap(fault.ErrUnavailable, "send to %s, which is not eligible", l.key.Name)
	case !e.holder.Covered(now, l.key):
		return fault.Wrap(fault.ErrUnavailable, "send to %s without a permit", l.key.Name)
	}
	if c.flow != nil {
		if _, ok := c.flow.Step(now, once.Sending{}).(once.Send); !ok {
			return fault.Wrap(fault.ErrUnknown, "send to %s twice", l.key.Name)
		}
	}
	l.sent = now
	return nil
}

// usable reports whether a server may get a request; e.mu is held. Servers of other zones
// are known by their grants only, which Covered checks.
func (e *Entry) usable(now clock.Millis, l *lease) bool {
	return l.zone != e.set.Zone || e.members.Usable(now, l.key)
}

// ending says how an attempt ended.
type ending struct {
	sent  bool // a byte may have been sent
	whole bool // the whole answer was read
	reuse bool // the connection can carry another request
	good  bool // the answer isn't an error of the server
	quit  bool // it ended for no fault of the server
}

// release returns the permit and the connection of an attempt.
func (e *Entry) release(c *call, l *lease, end ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	e.metrics.running.Dec()
	lastRun := permit.LastRun(l.sent, c.until)
	e.holder.Release(now, l.key, end.whole || !end.sent, lastRun)
	switch {
	case l.wire == nil:
		e.holder.Disconnect(now, l.key, now)
	case end.reuse:
		_ = l.wire.SetDeadline(time.Time{})
		l.wire.idle = now
		e.idle[l.key] = append(e.idle[l.key], l.wire)
	case end.whole || !end.sent:
		e.shut(now, l.wire, now+CloseTime)
	default:
		e.shut(now, l.wire, lastRun)
	}
	e.noteEnd(now, c, l, end)
}

// problem describes a failed attempt.
func (c *call) problem(status int, text string, err error) *refusal {
	if err != nil {
		text += ": " + err.Error()
	}
	return &refusal{status: status, text: text, cause: http.StatusText(status), after: refusalPause}
}
