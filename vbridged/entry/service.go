package entry

import (
	"vanillabridge/core/admit"
	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/permit"
	"vanillabridge/core/retry"
	"vanillabridge/core/route"
)

// maxSpilloverCredits bounds the credits that an instance requests from another zone for one
// service.
const maxSpilloverCredits = 64

// service is the state of one service on this instance, guarded by Entry.mu.
type service struct {
	name           string
	queue          *admit.Queue
	servers        *route.ServerSet
	spillover      route.Spillover
	retryBudget    *retry.Budget
	waiters        map[admit.ID]*waiter
	spilloverIndex int // index into Settings.SpilloverZones of the zone to request credits from
	remoteRunning  int // requests in progress in other zones
}

// waiter is a request in the queue of its service.
type waiter struct {
	call    *call
	permit  *attemptPermit
	refusal *refusal
	wakeup  chan struct{} // closed when permit or refusal is set; nil if nothing waits
}

// getOrCreateService returns the state of a service; e.mu is held.
func (e *Entry) getOrCreateService(name string) *service {
	s, ok := e.services[name]
	if !ok {
		s = &service{
			name: name, queue: admit.New(DefaultMaxQueued), servers: route.NewServerSet(route.LeastActive, e.settings.Seed),
			retryBudget: retry.NewBudget(e.settings.Seed), waiters: map[admit.ID]*waiter{},
		}
		e.services[name] = s
	}
	return s
}

// permitView reports to route.ServerSet which servers can take a request; e.mu is held.
type permitView Entry

// Free implements route.Permits.
func (p *permitView) Free(now clock.Millis, k member.Key) int {
	n := p.holder.Free(now, k) // checked first: under load it is zero for most servers
	if n == 0 || !p.servers.Usable(now, k) {
		return 0
	}
	if len(p.idleConns[k]) == 0 && !p.holder.HasFreeConn(now, k) {
		return 0
	}
	return n
}

// freeSlots returns the number of free slots of a service in the own zone; e.mu is held.
func (e *Entry) freeSlots(now clock.Millis, s *service) int {
	n := 0
	for k := range s.servers.Keys {
		n += (*permitView)(e).Free(now, k)
	}
	return n
}

// dispatchAll gives free permits to the waiting requests of all services; e.mu is held.
func (e *Entry) dispatchAll(now clock.Millis) {
	for _, s := range e.services {
		e.dispatchService(now, s)
	}
}

func (e *Entry) dispatchService(now clock.Millis, s *service) {
	for s.queue.Waiting() > 0 {
		free := 1
		if s.queue.Contended(now) {
			free = max(1, e.freeSlots(now, s))
		}
		if !s.queue.Ready(now, free) {
			return
		}
		p := e.acquireForService(now, s)
		if p == nil {
			return
		}
		r, _ := s.queue.Next(now, free)
		w := s.waiters[r.ID]
		delete(s.waiters, r.ID)
		w.permit = p
		w.wake()
	}
}

func (w *waiter) wake() {
	if w.wakeup != nil {
		close(w.wakeup)
	}
}

// acquireForService acquires a permit on any server of a service, in the own zone first; e.mu is
// held.
func (e *Entry) acquireForService(now clock.Millis, s *service) *attemptPermit {
	// A picked server can be unusable because its idle connections turn out to be closed, so
	// the pick is repeated.
	for range 3 {
		k, ok := s.servers.Pick(now, (*permitView)(e))
		if !ok {
			break
		}
		m, _ := e.servers.Get(k)
		if p := e.acquireOnServer(now, k, m.Zone, m.Address); p != nil {
			s.servers.RecordStart(k)
			return p
		}
	}
	if !s.spillover.Active() {
		return nil
	}
	for _, zone := range e.settings.SpilloverZones {
		for _, c := range e.holder.Credits(now, zone) {
			if c.Service != s.name || e.holder.Free(now, c.Server) == 0 {
				continue
			}
			if p := e.acquireOnServer(now, c.Server, zone, c.Address); p != nil {
				s.remoteRunning++
				return p
			}
		}
	}
	return nil
}

// releaseFromService updates the queue and the server statistics after an attempt and dispatches
// the next requests; e.mu is held.
func (e *Entry) releaseFromService(now clock.Millis, c *call, p *attemptPermit, result attemptResult) {
	s := e.getOrCreateService(c.service)
	s.queue.Release(c.queueFlow(), now-p.acquiredAt)
	switch {
	case p.zone != e.settings.Zone:
		s.remoteRunning--
	case result.cancelled:
		s.servers.CancelStart(p.server)
	default:
		s.servers.RecordEnd(now, p.server, now-p.acquiredAt, !result.succeeded)
	}
	e.dispatchService(now, s)
}

// queueFlow returns the flow of a request for fair queueing. All callers without configuration
// share one flow per class, so that inventing caller names gains nothing.
func (c *call) queueFlow() admit.Flow {
	if c.share == 0 {
		return admit.Flow{Class: c.class}
	}
	return admit.Flow{Caller: c.caller, Class: c.class}
}

// tickServices expires waiting requests and updates the spillover state; e.mu is held.
func (e *Entry) tickServices(now clock.Millis) {
	for _, s := range e.services {
		for _, refused := range s.queue.Expire(now) {
			e.refuseWaiter(s, refused)
		}
		cost := DefaultTransferCost
		if r, ok := e.ports.Config.Snapshot().Route(s.name); ok {
			cost = r.TransferCost
		}
		wait := s.queue.ExpectedWait(now)
		if len(e.settings.SpilloverZones) == 0 || !s.spillover.Update(wait, cost) {
			continue
		}
		e.ports.Events.Record(SpilloverChanged{Service: s.name, Active: s.spillover.Active(), ExpectedWait: wait})
		e.requestEarlyRenewal(e.spilloverZone(s))
	}
}

// refuseWaiter ends the wait of a request that the queue refused; e.mu is held.
func (e *Entry) refuseWaiter(s *service, refused admit.Refusal) {
	w, ok := s.waiters[refused.ID]
	if !ok {
		return
	}
	delete(s.waiters, refused.ID)
	w.refusal = newQueueRefusal(refused)
	w.wake()
}

func (e *Entry) spilloverZone(s *service) model.Zone {
	return e.settings.SpilloverZones[s.spilloverIndex%len(e.settings.SpilloverZones)]
}

// spilloverNeeds returns the credits to request from the granter of another zone; e.mu is held.
func (e *Entry) spilloverNeeds(zone model.Zone) []permit.ServiceNeed {
	var list []permit.ServiceNeed
	for _, s := range e.services {
		if zone == e.settings.Zone || !s.spillover.Active() || e.spilloverZone(s) != zone {
			continue
		}
		if n := min(s.queue.Waiting()+s.remoteRunning, maxSpilloverCredits); n > 0 {
			list = append(list, permit.ServiceNeed{Service: s.name, Wanted: n})
		}
	}
	return list
}

// updateWanted sets how many permits are wanted on each server of the own zone: those in use, a
// share of the waiting requests, and one spare for the next request; e.mu is held.
func (e *Entry) updateWanted(now clock.Millis) {
	for _, s := range e.services {
		perServer := 1
		if n := s.servers.Len(); n > 0 {
			perServer += (s.queue.Waiting() + n - 1) / n
		}
		for k := range s.servers.Keys {
			e.holder.SetWanted(k, e.holder.Used(now, k)+perServer)
		}
	}
}

// rotateSpilloverZones makes the next renewal ask another zone for each service that got nothing
// from this one; e.mu is held.
func (e *Entry) rotateSpilloverZones(zone model.Zone, needs []permit.ServiceNeed, a permit.Answer) {
	for _, n := range needs {
		granted := false
		for _, g := range a.Grants {
			granted = granted || g.Service == n.Service
		}
		if s := e.getOrCreateService(n.Service); !granted && e.spilloverZone(s) == zone {
			s.spilloverIndex++
		}
	}
}
