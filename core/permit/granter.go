package permit

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
)

const (
	// maxTransitTime bounds the time from the creation of an announcement to its receipt, and
	// from the sending of a request to its arrival.
	maxTransitTime = 1 * clock.Second
	// activeRenewalAge is the age of a holder's latest renewal beyond which its demand no longer
	// counts when a pool is divided.
	activeRenewalAge = 2 * RenewInterval
)

type holderID struct {
	instance    model.Instance
	incarnation model.Incarnation
}

type issuedGrant struct {
	seq       uint64
	credits   int
	expiresAt clock.Millis
}

// claim bounds the requests that one holder may have in progress on one server beyond its floor.
type claim struct {
	overFloor    int
	overFloorEnd clock.Millis // time until which the reported requests may run
	wanted       int
	grants       []issuedGrant
}

func (c *claim) maxInUse(now clock.Millis) int {
	n := 0
	if now < c.overFloorEnd {
		n = c.overFloor
	}
	for _, g := range c.grants {
		if now < g.expiresAt+WithDrift(MaxRequestTime) {
			n = max(n, g.credits)
		}
	}
	return n
}

type holderAccount struct {
	id        holderID
	local     bool
	lastSeq   uint64
	renewedAt clock.Millis
	claims    map[member.Key]*claim
}

// inheritedLoad bounds the requests on a server that run on grants of earlier epochs.
type inheritedLoad struct{ requests int }

// Granter divides the pools of the servers of its zone among the holders. It grants credits only
// while its instance leads the zone.
type Granter struct {
	zone         model.Zone
	entryCount   int
	leading      bool
	epoch        model.Epoch
	leadingSince clock.Millis
	leadsUntil   clock.Millis
	accounts     map[holderID]*holderAccount
	inherited    map[member.Key]*inheritedLoad
}

// NewGranter returns a granter for a zone with the given number of entry instances.
func NewGranter(zone model.Zone, entries int) *Granter {
	return &Granter{zone: zone, entryCount: entries}
}

// Lead starts the leadership of an epoch or extends it. The granter answers until the given end
// of the leader's lease. No other leader may start before that time.
func (g *Granter) Lead(now clock.Millis, epoch model.Epoch, until clock.Millis) {
	if g.leading && g.epoch == epoch {
		g.leadsUntil = max(g.leadsUntil, until)
		return
	}
	*g = Granter{
		zone: g.zone, entryCount: g.entryCount, leading: true, epoch: epoch, leadingSince: now, leadsUntil: until,
		accounts: map[holderID]*holderAccount{}, inherited: map[member.Key]*inheritedLoad{},
	}
}

// StepDown ends the leadership. The grants need not be handed over, because the next granter grants
// nothing until they have expired.
func (g *Granter) StepDown() { g.leading = false }

// Leading reports whether the granter leads and its lease has not ended.
func (g *Granter) Leading(now clock.Millis) bool { return g.leading && now < g.leadsUntil }

// Renew answers a holder's request. The list contains the servers known to the leader.
func (g *Granter) Renew(now clock.Millis, r Request, servers []member.Server) (Answer, error) {
	if !g.Leading(now) {
		return Answer{}, fault.Wrap(fault.ErrNotLeader, "grant permits of zone %s", g.zone)
	}
	if r.EntryCount != 0 && r.EntryCount != g.entryCount {
		return Answer{}, fault.Wrap(fault.ErrInvalid, "renew permits of %s: it counts %d entry instances in zone %s, the granter counts %d",
			r.Instance, r.EntryCount, g.zone, g.entryCount)
	}
	g.prune(now)
	g.updateInherited(now, servers)
	a, err := g.applyReport(now, r)
	if err != nil {
		return Answer{}, err
	}
	ans := Answer{Epoch: g.epoch, Seq: r.Seq}
	if now < g.priorGrantsEnd() {
		return ans, nil
	}
	g.addGrants(now, a, r, servers, &ans)
	return ans, nil
}

// HeldSlots returns the number of slots of a server's pool that are granted or may be in use.
func (g *Granter) HeldSlots(now clock.Millis, s member.Server) int {
	n := g.inheritedSlots(now, s)
	for _, a := range g.accounts {
		if c, ok := a.claims[s.Key]; ok {
			n += c.maxInUse(now)
		}
	}
	return n
}

// priorGrantsEnd returns the time at which the last grants of earlier epochs have expired.
func (g *Granter) priorGrantsEnd() clock.Millis { return g.leadingSince + WithDrift(CreditLifetime) }

func (g *Granter) prune(now clock.Millis) {
	for id, a := range g.accounts {
		for k, c := range a.claims {
			if c.maxInUse(now) == 0 {
				delete(a.claims, k)
			}
		}
		if len(a.claims) == 0 && now-a.renewedAt > WithDrift(CreditLifetime+MaxRequestTime) {
			delete(g.accounts, id)
		}
	}
}

// updateInherited lowers the inherited load of each server to the smallest number of requests that
// the server counted after the grants of earlier epochs had expired. The use that holders report
// is not subtracted: the report and the count are of different times, so the difference could be
// too small.
func (g *Granter) updateInherited(now clock.Millis, servers []member.Server) {
	if now >= g.priorGrantsEnd()+WithDrift(MaxRequestTime) {
		clear(g.inherited)
		return
	}
	for _, s := range servers {
		if s.ActiveRequests == nil || s.AnnouncedAt < g.priorGrantsEnd()+2*maxTransitTime {
			continue
		}
		r, ok := g.inherited[s.Key]
		if !ok {
			r = &inheritedLoad{requests: *s.ActiveRequests}
			g.inherited[s.Key] = r
		}
		r.requests = min(r.requests, *s.ActiveRequests)
	}
}

func (g *Granter) inheritedSlots(now clock.Millis, s member.Server) int {
	if now >= g.priorGrantsEnd()+WithDrift(MaxRequestTime) {
		return 0
	}
	if r, ok := g.inherited[s.Key]; ok {
		return min(r.requests, PoolSlots(s.Slots, g.entryCount))
	}
	return PoolSlots(s.Slots, g.entryCount)
}

// applyReport updates a holder's account with the use and the demand that it reports.
func (g *Granter) applyReport(now clock.Millis, r Request) (*holderAccount, error) {
	id := holderID{instance: r.Instance, incarnation: r.Incarnation}
	a, ok := g.accounts[id]
	if !ok {
		a = &holderAccount{id: id, claims: map[member.Key]*claim{}}
		g.accounts[id] = a
	}
	if ok && r.Seq <= a.lastSeq {
		return nil, fault.Wrap(fault.ErrConflict, "renew permits: renewal %d of %s arrived after its renewal %d", r.Seq, r.Instance, a.lastSeq)
	}
	a.lastSeq, a.renewedAt, a.local = r.Seq, now, r.EntryCount != 0
	for _, c := range a.claims {
		c.overFloor, c.wanted = 0, 0
		// No further request can start on a grant that is older than the applied answer.
		c.grants = slices.DeleteFunc(c.grants, func(i issuedGrant) bool { return i.seq < r.AppliedSeq })
	}
	for _, u := range r.Uses {
		c := a.claimFor(u.Server)
		c.overFloor, c.overFloorEnd = u.OverFloor, now+WithDrift(MaxRequestTime)
		c.wanted = max(u.Wanted, u.OverFloor)
	}
	return a, nil
}

func (a *holderAccount) claimFor(k member.Key) *claim {
	c, ok := a.claims[k]
	if !ok {
		c = &claim{}
		a.claims[k] = c
	}
	return c
}

// addGrants adds grants for the reported demand of a holder to an answer.
func (g *Granter) addGrants(now clock.Millis, a *holderAccount, r Request, servers []member.Server, ans *Answer) {
	for _, s := range servers {
		if c, ok := a.claims[s.Key]; ok && a.local && usable(now, s) {
			g.addGrant(now, a, s, min(g.fairShare(now, a, c, s), g.freeSlots(now, a, s)), ans)
		}
	}
	for _, n := range r.Needs {
		g.addRemoteGrants(now, a, n, servers, ans)
	}
}

func (g *Granter) addGrant(now clock.Millis, a *holderAccount, s member.Server, count int, ans *Answer) {
	if count <= 0 {
		return
	}
	lifetime := CreditLifetime
	if !a.local {
		// A holder of another zone receives no announcements of the server, so its grant must
		// not outlast the evidence that the server is alive.
		lifetime = min(lifetime, s.AnnouncedAt+member.MaxAnnouncementAge-now)
	}
	c := a.claimFor(s.Key)
	c.grants = append(c.grants, issuedGrant{seq: ans.Seq, credits: count, expiresAt: now + WithDrift(CreditLifetime)})
	ans.Grants = append(ans.Grants, Grant{
		Server: s.Key, Service: s.Service, Address: s.Address, Conns: s.MaxConns, Credits: count, Lifetime: lifetime,
	})
}

// freeSlots returns the number of slots of a server's pool that other holders do not occupy.
func (g *Granter) freeSlots(now clock.Millis, self *holderAccount, s member.Server) int {
	n := PoolSlots(s.Slots, g.entryCount) - g.inheritedSlots(now, s)
	for _, a := range g.accounts {
		if c, ok := a.claims[s.Key]; ok && a != self {
			n -= c.maxInUse(now)
		}
	}
	return max(0, n)
}

// fairShare returns the max-min fair share of a local holder in the pool of a server.
func (g *Granter) fairShare(now clock.Millis, self *holderAccount, own *claim, s member.Server) int {
	type demand struct {
		id     holderID
		wanted int
	}
	var list []demand
	for _, a := range g.accounts {
		c, ok := a.claims[s.Key]
		if ok && a != self && a.local && now-a.renewedAt <= activeRenewalAge && c.wanted > 0 {
			list = append(list, demand{id: a.id, wanted: c.wanted})
		}
	}
	list = append(list, demand{id: self.id, wanted: own.wanted})
	slices.SortFunc(list, func(x, y demand) int {
		return cmp.Or(cmp.Compare(x.wanted, y.wanted), cmp.Compare(x.id.instance, y.id.instance), cmp.Compare(x.id.incarnation, y.id.incarnation))
	})
	left := PoolSlots(s.Slots, g.entryCount)
	// The remainder of the division rotates among the holders, so that none is always short.
	rotation := int(now / CreditLifetime)
	for i, d := range list {
		n := len(list) - i
		share := left / n
		if (i+rotation)%len(list) < left%n {
			share++
		}
		share = min(share, d.wanted)
		if d.id == self.id {
			return share
		}
		left -= share
	}
	return 0
}

// addRemoteGrants grants a holder of another zone credits that no local holder wants.
func (g *Granter) addRemoteGrants(now clock.Millis, a *holderAccount, need ServiceNeed, servers []member.Server, ans *Answer) {
	type offer struct {
		server member.Server
		free   int
	}
	var list []offer
	for _, s := range servers {
		if s.Service != need.Service || !usable(now, s) {
			continue
		}
		if n := g.freeSlots(now, a, s) - g.unmetDemand(now, a, s); n > 0 {
			list = append(list, offer{server: s, free: n})
		}
	}
	if len(list) == 0 {
		return
	}
	slices.SortStableFunc(list, func(x, y offer) int { return cmp.Compare(y.free, x.free) })
	each := (need.Wanted + len(list) - 1) / len(list)
	left := need.Wanted
	for _, o := range list {
		n := min(each, o.free, left)
		g.addGrant(now, a, o.server, n, ans)
		left -= n
	}
}

// unmetDemand returns the number of slots that other local holders want beyond those they hold.
func (g *Granter) unmetDemand(now clock.Millis, self *holderAccount, s member.Server) int {
	n := 0
	for _, a := range g.accounts {
		if c, ok := a.claims[s.Key]; ok && a != self && a.local && now-a.renewedAt <= activeRenewalAge {
			n += max(0, c.wanted-c.maxInUse(now))
		}
	}
	return n
}

func usable(now clock.Millis, s member.Server) bool {
	return s.Eligible && !s.Leaving && now-s.AnnouncedAt < member.MaxAnnouncementAge
}
