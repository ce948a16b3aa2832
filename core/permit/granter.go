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
	// transitTime bounds the time from the making of an announcement to its receipt, and
	// from the sending of a request to its arrival.
	transitTime = 1 * clock.Second
	// activeTime is the age of a renewal up to which its wants count in the division.
	activeTime = 2 * RenewTime
)

type identity struct {
	name model.Instance
	life model.Incarnation
}

type issued struct {
	seq   uint64
	count int
	end   clock.Millis
}

// claim is what one holder may have in progress on one server beyond its floor.
type claim struct {
	over    int
	overEnd clock.Millis // until when the reported requests may run
	want    int
	grants  []issued
}

func (c *claim) bound(now clock.Millis) int {
	n := 0
	if now < c.overEnd {
		n = c.over
	}
	for _, g := range c.grants {
		if now < g.end+WithDrift(RequestTime) {
			n = max(n, g.count)
		}
	}
	return n
}

type account struct {
	id     identity
	local  bool
	seq    uint64
	heard  clock.Millis
	claims map[member.Key]*claim
}

// residue bounds the requests that grants of earlier epochs left on a server.
type residue struct{ count int }

// Granter divides the pools of the servers of its zone. It grants only while it leads.
type Granter struct {
	zone     model.Zone
	entries  int
	leading  bool
	epoch    model.Epoch
	start    clock.Millis
	until    clock.Millis
	accounts map[identity]*account
	residues map[member.Key]*residue
}

// NewGranter returns the granter of a zone with the given number of entry instances.
func NewGranter(zone model.Zone, entries int) *Granter {
	return &Granter{zone: zone, entries: entries}
}

// Lead starts the leadership of an epoch or extends it. The granter answers until the given
// end of the leader's lease; another leader must not start before it.
func (g *Granter) Lead(now clock.Millis, epoch model.Epoch, until clock.Millis) {
	if g.leading && g.epoch == epoch {
		g.until = max(g.until, until)
		return
	}
	*g = Granter{
		zone: g.zone, entries: g.entries, leading: true, epoch: epoch, start: now, until: until,
		accounts: map[identity]*account{}, residues: map[member.Key]*residue{},
	}
}

// Unlead ends the leadership. What was granted is forgotten: the next granter waits.
func (g *Granter) Unlead() { g.leading = false }

// Leading reports whether the granter answers at this moment.
func (g *Granter) Leading(now clock.Millis) bool { return g.leading && now < g.until }

// Renew answers a request of a holder. The list holds the servers that the leader knows.
func (g *Granter) Renew(now clock.Millis, r Request, servers []member.Server) (Answer, error) {
	if !g.Leading(now) {
		return Answer{}, fault.Wrap(fault.ErrNotLeader, "grant permits of %s", g.zone)
	}
	if r.Entries != 0 && r.Entries != g.entries {
		return Answer{}, fault.Wrap(fault.ErrInvalid, "%s counts %d entry instances in %s, the granter %d",
			r.Instance, r.Entries, g.zone, g.entries)
	}
	g.prune(now)
	g.noteResidues(now, servers)
	a, err := g.report(now, r)
	if err != nil {
		return Answer{}, err
	}
	ans := Answer{Epoch: g.epoch, Seq: r.Seq}
	if now < g.oldEnd() {
		return ans, nil
	}
	g.extend(now, a, r, servers, &ans)
	return ans, nil
}

// Held returns the slots of a server's pool that are granted or may be in use.
func (g *Granter) Held(now clock.Millis, s member.Server) int {
	n := g.residue(now, s)
	for _, a := range g.accounts {
		if c, ok := a.claims[s.Key]; ok {
			n += c.bound(now)
		}
	}
	return n
}

// oldEnd returns the instant from which no grant of an earlier epoch is in force.
func (g *Granter) oldEnd() clock.Millis { return g.start + WithDrift(GrantTime) }

func (g *Granter) prune(now clock.Millis) {
	for id, a := range g.accounts {
		for k, c := range a.claims {
			if c.bound(now) == 0 {
				delete(a.claims, k)
			}
		}
		if len(a.claims) == 0 && now-a.heard > WithDrift(GrantTime+RequestTime) {
			delete(g.accounts, id)
		}
	}
}

// noteResidues lowers the residue of a server to the smallest number of requests that it
// counted after the old grants had ended. The use that holders report isn't subtracted:
// report and count are of different instants, so the difference could be too small.
func (g *Granter) noteResidues(now clock.Millis, servers []member.Server) {
	if now >= g.oldEnd()+WithDrift(RequestTime) {
		clear(g.residues)
		return
	}
	for _, s := range servers {
		if s.Active == nil || s.Evidence < g.oldEnd()+2*transitTime {
			continue
		}
		r, ok := g.residues[s.Key]
		if !ok {
			r = &residue{count: *s.Active}
			g.residues[s.Key] = r
		}
		r.count = min(r.count, *s.Active)
	}
}

func (g *Granter) residue(now clock.Millis, s member.Server) int {
	if now >= g.oldEnd()+WithDrift(RequestTime) {
		return 0
	}
	if r, ok := g.residues[s.Key]; ok {
		return min(r.count, Pool(s.Slots, g.entries))
	}
	return Pool(s.Slots, g.entries)
}

// report takes over what a holder says of itself.
func (g *Granter) report(now clock.Millis, r Request) (*account, error) {
	id := identity{name: r.Instance, life: r.Incarnation}
	a, ok := g.accounts[id]
	if !ok {
		a = &account{id: id, claims: map[member.Key]*claim{}}
		g.accounts[id] = a
	}
	if ok && r.Seq <= a.seq {
		return nil, fault.Wrap(fault.ErrConflict, "renewal %d of %s was overtaken by %d", r.Seq, r.Instance, a.seq)
	}
	a.seq, a.heard, a.local = r.Seq, now, r.Entries != 0
	for _, c := range a.claims {
		c.over, c.want = 0, 0
		// A grant older than the applied one can start no further request.
		c.grants = slices.DeleteFunc(c.grants, func(i issued) bool { return i.seq < r.Applied })
	}
	for _, u := range r.Uses {
		c := a.claim(u.Server)
		c.over, c.overEnd = u.Over, now+WithDrift(RequestTime)
		c.want = max(u.Want, u.Over)
	}
	return a, nil
}

func (a *account) claim(k member.Key) *claim {
	c, ok := a.claims[k]
	if !ok {
		c = &claim{}
		a.claims[k] = c
	}
	return c
}

// extend adds the grants to an answer.
func (g *Granter) extend(now clock.Millis, a *account, r Request, servers []member.Server, ans *Answer) {
	for _, s := range servers {
		if c, ok := a.claims[s.Key]; ok && a.local && usable(now, s) {
			g.grant(now, a, s, min(g.fair(now, a, c, s), g.free(now, a, s)), ans)
		}
	}
	for _, n := range r.Needs {
		g.lend(now, a, n, servers, ans)
	}
}

func (g *Granter) grant(now clock.Millis, a *account, s member.Server, count int, ans *Answer) {
	if count <= 0 {
		return
	}
	life := GrantTime
	if !a.local {
		// A holder of another zone hears no announcement, so the grant ends with the evidence.
		life = min(life, s.Evidence+member.EvidenceTime-now)
	}
	c := a.claim(s.Key)
	c.grants = append(c.grants, issued{seq: ans.Seq, count: count, end: now + WithDrift(GrantTime)})
	ans.Grants = append(ans.Grants, Grant{
		Server: s.Key, Service: s.Service, Address: s.Address, Conns: s.Conns, Credits: count, Life: life,
	})
}

// free returns how much of a pool the other holders leave.
func (g *Granter) free(now clock.Millis, self *account, s member.Server) int {
	n := Pool(s.Slots, g.entries) - g.residue(now, s)
	for _, a := range g.accounts {
		if c, ok := a.claims[s.Key]; ok && a != self {
			n -= c.bound(now)
		}
	}
	return max(0, n)
}

// fair returns the max-min share of a local holder in the pool of a server.
func (g *Granter) fair(now clock.Millis, self *account, own *claim, s member.Server) int {
	type demand struct {
		id   identity
		want int
	}
	var list []demand
	for _, a := range g.accounts {
		c, ok := a.claims[s.Key]
		if ok && a != self && a.local && now-a.heard <= activeTime && c.want > 0 {
			list = append(list, demand{id: a.id, want: c.want})
		}
	}
	list = append(list, demand{id: self.id, want: own.want})
	slices.SortFunc(list, func(x, y demand) int {
		return cmp.Or(cmp.Compare(x.want, y.want), cmp.Compare(x.id.name, y.id.name), cmp.Compare(x.id.life, y.id.life))
	})
	left := Pool(s.Slots, g.entries)
	// The odd slots rotate among the holders, so that none is always the one without.
	turn := int(now / GrantTime)
	for i, d := range list {
		n := len(list) - i
		share := left / n
		if (i+turn)%len(list) < left%n {
			share++
		}
		share = min(share, d.want)
		if d.id == self.id {
			return share
		}
		left -= share
	}
	return 0
}

// lend grants credits to a holder of another zone from what local holders don't want.
func (g *Granter) lend(now clock.Millis, a *account, need Need, servers []member.Server, ans *Answer) {
	type offer struct {
		server member.Server
		free   int
	}
	var list []offer
	for _, s := range servers {
		if s.Service != need.Service || !usable(now, s) {
			continue
		}
		if n := g.free(now, a, s) - g.unmet(now, a, s); n > 0 {
			list = append(list, offer{server: s, free: n})
		}
	}
	if len(list) == 0 {
		return
	}
	slices.SortStableFunc(list, func(x, y offer) int { return cmp.Compare(y.free, x.free) })
	each := (need.Want + len(list) - 1) / len(list)
	left := need.Want
	for _, o := range list {
		n := min(each, o.free, left)
		g.grant(now, a, o.server, n, ans)
		left -= n
	}
}

// unmet returns the wants of local holders beyond what they hold.
func (g *Granter) unmet(now clock.Millis, self *account, s member.Server) int {
	n := 0
	for _, a := range g.accounts {
		if c, ok := a.claims[s.Key]; ok && a != self && a.local && now-a.heard <= activeTime {
			n += max(0, c.want-c.bound(now))
		}
	}
	return n
}

func usable(now clock.Millis, s member.Server) bool {
	return s.Eligible && !s.Leaving && now-s.Evidence < member.EvidenceTime
}
