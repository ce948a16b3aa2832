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

// permitRetention is how long the permits of a server that is no longer announced are kept.
const permitRetention = 5 * clock.Minute

// Run runs the periodic work and renews the credits until ctx is done.
func (e *Entry) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, zone := range e.renewalZones() {
		wait.Go(func() { e.renewLoop(ctx, zone) })
	}
	tick := time.NewTicker(TickInterval.Duration())
	defer tick.Stop()
	var lastRelay clock.Millis
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := e.ports.Clock.Now()
		relayDue := now-lastRelay >= permit.RenewInterval
		if relayDue {
			lastRelay = now
		}
		e.tick(now, relayDue)
	}
}

// tick does the periodic work and relays the announcements received since the last tick. With
// relayDue it sends a relay even without announcements, which keeps the clock readings of the
// peers current.
func (e *Entry) tick(now clock.Millis, relayDue bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepServers(now, member.Tick{})
	e.holder.EvictUnused(now, permitRetention)
	e.closeExpiredConns(now)
	e.tickServices(now)
	e.dispatchAll(now)
	list := e.outbox.Take(now)
	if len(list) == 0 && !relayDue {
		return
	}
	for _, p := range e.settings.Peers {
		e.ports.Relay.Send(p, e.peerClocks.NewRelay(now, p, list))
	}
}

// renewLoop renews the credits of one zone periodically and on request.
func (e *Entry) renewLoop(ctx context.Context, zone model.Zone) {
	tick := time.NewTicker(permit.RenewInterval.Duration())
	defer tick.Stop()
	for {
		e.renewCredits(ctx, zone)
		if !sleep(ctx, minRenewalInterval.Duration()) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-e.earlyRenewals[zone]:
		}
	}
}

func (e *Entry) renewCredits(ctx context.Context, zone model.Zone) {
	ctx, cancel := context.WithTimeout(ctx, permit.RenewInterval.Duration())
	defer cancel()
	r, ok := e.prepareRenewal(zone)
	if !ok {
		return
	}
	result := "failed"
	if a, err := e.ports.Granter.Renew(ctx, zone, r); err == nil {
		result = e.applyRenewal(zone, r, a)
	}
	e.metrics.renewals.WithLabelValues(result).Inc()
}
