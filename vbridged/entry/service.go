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

// maxNeed bounds the credits that an instance asks of another zone for one service.
const maxNeed = 64

// service is the state of one service on this instance; Entry.mu guards it.
type service struct {
	name    string
	queue   *admit.Queue
	set     *route.Set
	spill   route.Spill
	budget  *retry.Budget
	waiters map[admit.ID]*waiter
	remote  int // index in Settings.Others of the zone that is asked for credits
	far     int // requests in progress in other zones
}

// waiter is a request in a queue.
type waiter struct {
	call   *call
	lease  *lease
	bad    *refusal
	wakeup chan struct{} // closed when lease or bad is set
}

// service returns the state of a service; e.mu is held.
func (e *Entry) service(name string) *service {
	s, ok := e.services[name]
	if !ok {
		s = &service{
			name: name, queue: admit.New(DefaultQueue), set: route.NewSet(route.LeastActive, e.set.Seed),
			budget: retry.NewBudget(e.set.Seed), waiters: map[admit.ID]*waiter{},
		}
		e.services[name] = s
	}
	return s
}

// permits tells route.Set which servers can take a request; e.mu is held.
type permits Entry

// Free implements route.Permits.
func (p *permits) Free(now clock.Millis, k member.Key) int {
	n := p.holder.Free(now, k) // mostly zero when the search is long, so it comes first
	if n == 0 || !p.members.Usable(now, k) {
		return 0
	}
	if len(p.idle[k]) == 0 && !p.holder.CanConnect(now, k) {
		return 0
	}
	return n
}

// free returns the free slots of the service in the own zone.
func (e *Entry) free(now clock.Millis, s *service) int {
	n := 0
	for k := range s.set.Keys {
		n += (*permits)(e).Free(now, k)
	}
	return n
}

// pump hands free permits to all services; e.mu is held.
func (e *Entry) pump(now clock.Millis) {
	for _, s := range e.services {
		e.pumpService(now, s)
	}
}

func (e *Entry) pumpService(now clock.Millis, s *service) {
	for s.queue.Waiting() > 0 {
		free := 1
		if s.queue.Contended(now) {
			free = max(1, e.free(now, s))
		}
		if !s.queue.Ready(now, free) {
			return
		}
		l := e.place(now, s)
		if l == nil {
			return
		}
		r, _ := s.queue.Next(now, free)
		w := s.waiters[r.ID]
		delete(s.waiters, r.ID)
		w.lease = l
		w.wake()
	}
}

func (w *waiter) wake() {
	if w.wakeup != nil {
		close(w.wakeup)
	}
}

// place takes a permit for a request of the service, in the own zone first.
func (e *Entry) place(now clock.Millis, s *service) *lease {
	// A pick can fail on a connection that turns out to be closed, so it is repeated.
	for range 3 {
		k, ok := s.set.Pick(now, (*permits)(e))
		if !ok {
			break
		}
		m, _ := e.members.Get(k)
		if l := e.take(now, k, m.Zone, m.Address); l != nil {
			s.set.Started(k)
			return l
		}
	}
	if !s.spill.On() {
		return nil
	}
	for _, zone := range e.set.Others {
		for _, c := range e.holder.Credits(now, zone) {
			if c.Service != s.name || e.holder.Free(now, c.Server) == 0 {
				continue
			}
			if l := e.take(now, c.Server, zone, c.Address); l != nil {
				s.far++
				return l
			}
		}
	}
	return nil
}

// noteEnd tells the pure parts that a permit was returned; e.mu is held.
func (e *Entry) noteEnd(now clock.Millis, c *call, l *lease, end ending) {
	s := e.service(c.service)
	s.queue.Ended(c.lane(), now-l.at)
	switch {
	case l.zone != e.set.Zone:
		s.far--
	case end.quit:
		s.set.Cancelled(l.key)
	default:
		s.set.Ended(now, l.key, now-l.at, !end.good)
	}
	e.pumpService(now, s)
}

// lane returns the flow among which permits are divided. Callers that are not configured
// share one, so that a made-up name gains nothing.
func (c *call) lane() admit.Flow {
	if c.share == 0 {
		return admit.Flow{Class: c.class}
	}
	return admit.Flow{Caller: c.caller, Class: c.class}
}

// tickServices expires waiting requests and updates the spill state; e.mu is held.
func (e *Entry) tickServices(now clock.Millis) {
	for _, s := range e.services {
		for _, bad := range s.queue.Expire(now) {
			e.dismiss(s, bad)
		}
		cost := DefaultCost
		if r, ok := e.ports.Config.Snapshot().Route(s.name); ok {
			cost = r.Cost
		}
		wait := s.queue.Wait(now)
		if len(e.set.Others) == 0 || !s.spill.Update(wait, cost) {
			continue
		}
		e.ports.Events.Record(Spilled{Service: s.name, On: s.spill.On(), Wait: wait})
		e.urge(e.zoneOf(s))
	}
}

// dismiss refuses a waiting request; e.mu is held.
func (e *Entry) dismiss(s *service, bad admit.Refusal) {
	w, ok := s.waiters[bad.ID]
	if !ok {
		return
	}
	delete(s.waiters, bad.ID)
	w.bad = refusalOf(bad)
	w.wake()
}

func (e *Entry) zoneOf(s *service) model.Zone { return e.set.Others[s.remote%len(e.set.Others)] }

// needs returns what is asked of the granter of another zone; e.mu is held.
func (e *Entry) needs(zone model.Zone) []permit.Need {
	var list []permit.Need
	for _, s := range e.services {
		if zone == e.set.Zone || !s.spill.On() || e.zoneOf(s) != zone {
			continue
		}
		if n := min(s.queue.Waiting()+s.far, maxNeed); n > 0 {
			list = append(list, permit.Need{Service: s.name, Want: n})
		}
	}
	return list
}

// wants tells the holder what would run on each server of the own zone; e.mu is held. One
// more than is in use keeps a credit in hand for the next request.
func (e *Entry) wants(now clock.Millis) {
	for _, s := range e.services {
		each := 1
		if n := s.set.Len(); n > 0 {
			each += (s.queue.Waiting() + n - 1) / n
		}
		for k := range s.set.Keys {
			e.holder.Want(k, e.holder.Used(now, k)+each)
		}
	}
}

// next asks another zone at the next renewal when this one granted nothing; e.mu is held.
func (e *Entry) next(zone model.Zone, asked []permit.Need, a permit.Answer) {
	for _, n := range asked {
		granted := false
		for _, g := range a.Grants {
			granted = granted || g.Service == n.Service
		}
		if s := e.service(n.Service); !granted && e.zoneOf(s) == zone {
			s.remote++
		}
	}
}
