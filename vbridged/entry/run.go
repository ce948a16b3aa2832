package entry

import (
	"context"
	"sync"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/permit"
)

// forgetTime is how long the permits of a silent server are remembered.
const forgetTime = 5 * clock.Minute

// Run drives the timers until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, zone := range e.zones() {
		wait.Go(func() { e.renewals(ctx, zone) })
	}
	tick := time.NewTicker(TickTime.Std())
	defer tick.Stop()
	var beacon clock.Millis
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := e.ports.Clock.Now()
		due := now-beacon >= permit.RenewTime
		if due {
			beacon = now
		}
		e.tick(now, due)
	}
}

// tick lets time pass and sends what was heard since the last tick.
func (e *Entry) tick(now clock.Millis, beacon bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step(now, member.Tick{})
	e.holder.Forget(now, forgetTime)
	e.sweep(now)
	e.tickServices(now)
	e.pump(now)
	list := e.outbox.Take(now)
	if len(list) == 0 && !beacon {
		return
	}
	for _, p := range e.set.Peers {
		e.ports.Relay.Send(p, e.links.Wrap(now, p, list))
	}
}

// renewals keeps the credits of one zone.
func (e *Entry) renewals(ctx context.Context, zone model.Zone) {
	tick := time.NewTicker(permit.RenewTime.Std())
	defer tick.Stop()
	for {
		e.renew(ctx, zone)
		if !sleep(ctx, urgePause.Std()) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-e.urges[zone]:
		}
	}
}

func (e *Entry) renew(ctx context.Context, zone model.Zone) {
	ctx, cancel := context.WithTimeout(ctx, permit.RenewTime.Std())
	defer cancel()
	r, ok := e.request(zone)
	if !ok {
		return
	}
	result := "failed"
	if a, err := e.ports.Granter.Renew(ctx, zone, r); err == nil {
		result = e.apply(zone, r, a)
	}
	e.metrics.renewals.WithLabelValues(result).Inc()
}
