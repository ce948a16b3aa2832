package permit

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
)

// HolderConfig configures a holder.
type HolderConfig struct {
	Instance       model.Instance
	Incarnation    model.Incarnation
	Zone           model.Zone
	ZoneEntryCount int          // number of entry instances of the zone
	EntryCount     int          // number of entry instances of all zones
	UsableFrom     clock.Millis // time before which the holder uses no floor and no connection
}

// Credit is the current grant of a holder on a server.
type Credit struct {
	Server    member.Key
	Service   string
	Address   string
	Credits   int
	ExpiresAt clock.Millis
}

type serverState struct {
	zone           model.Zone
	slots          int
	conns          int
	activeRequests int
	openConns      int
	abandonedUntil []clock.Millis // for each abandoned request, the time until which it may still run
	closedUntil    []clock.Millis // for each closed connection, the time until which it counts as open
	wanted         int
	credit         Credit
	refreshedAt    clock.Millis
}

type granterState struct {
	epoch      model.Epoch
	lastSeq    uint64
	appliedSeq uint64
	sentAt     map[uint64]clock.Millis // by Seq of the requests whose answer may still be applied
}

// Holder tracks the permits of one entry instance and their use.
type Holder struct {
	config   HolderConfig
	servers  map[member.Key]*serverState
	granters map[model.Zone]*granterState
}

// NewHolder returns a holder without credits.
func NewHolder(c HolderConfig) *Holder {
	return &Holder{config: c, servers: map[member.Key]*serverState{}, granters: map[model.Zone]*granterState{}}
}

// AddServer adds a server to which requests may be sent. For a known server, it can only lower the
// limits.
func (h *Holder) AddServer(now clock.Millis, k member.Key, zone model.Zone, slots, conns int) {
	s, ok := h.servers[k]
	if !ok {
		s = &serverState{zone: zone, slots: slots, conns: conns}
		h.servers[k] = s
	}
	s.slots = min(s.slots, slots)
	s.conns = min(s.conns, conns)
	s.refreshedAt = now
}

// Free returns the number of further requests that the holder may start on a server now.
func (h *Holder) Free(now clock.Millis, k member.Key) int {
	s, ok := h.servers[k]
	if !ok {
		return 0
	}
	return max(0, h.allowedRequests(now, s)-h.usedSlots(now, s))
}

// Used returns the number of requests of this holder that may be running on a server.
func (h *Holder) Used(now clock.Millis, k member.Key) int {
	s, ok := h.servers[k]
	if !ok {
		return 0
	}
	return h.usedSlots(now, s)
}

// Acquire takes a permit for a request and reports whether one was free.
func (h *Holder) Acquire(now clock.Millis, k member.Key) bool {
	if h.Free(now, k) == 0 {
		return false
	}
	h.servers[k].activeRequests++
	return true
}

// WithinPermits reports whether the requests in progress on a server are within the valid permits.
// Callers check it again just before they send the first byte, because permits may have expired
// while the process was paused after Acquire.
func (h *Holder) WithinPermits(now clock.Millis, k member.Key) bool {
	s, ok := h.servers[k]
	return ok && h.usedSlots(now, s) <= h.allowedRequests(now, s)
}

// Release returns a permit. A completed request frees its slot at once. The backend server may
// not notice that a request was abandoned, so the slot of an abandoned one stays in use until the
// given time, for which the caller passes LatestRunEnd.
func (h *Holder) Release(now clock.Millis, k member.Key, completed bool, until clock.Millis) {
	s, ok := h.servers[k]
	if !ok {
		return
	}
	s.activeRequests--
	if !completed && until > now {
		s.abandonedUntil = append(s.abandonedUntil, until)
	}
}

// HasFreeConn reports whether AcquireConn would succeed.
func (h *Holder) HasFreeConn(now clock.Millis, k member.Key) bool {
	s, ok := h.servers[k]
	if !ok || now < h.config.UsableFrom {
		return false
	}
	if len(s.closedUntil) > 0 {
		s.closedUntil = slices.DeleteFunc(s.closedUntil, func(t clock.Millis) bool { return t <= now })
	}
	return s.openConns+len(s.closedUntil) < s.conns/max(1, h.config.EntryCount)
}

// AcquireConn reserves one of the holder's connections to a server and reports whether one was free.
// The connections of a server are divided equally among all entry instances.
func (h *Holder) AcquireConn(now clock.Millis, k member.Key) bool {
	if !h.HasFreeConn(now, k) {
		return false
	}
	h.servers[k].openConns++
	return true
}

// ReleaseConn returns a connection, which counts as open until the given time.
func (h *Holder) ReleaseConn(now clock.Millis, k member.Key, until clock.Millis) {
	s, ok := h.servers[k]
	if !ok {
		return
	}
	s.openConns--
	if until > now {
		s.closedUntil = append(s.closedUntil, until)
	}
}

// SetWanted sets the number of requests that the holder would run on a server if it had the permits.
func (h *Holder) SetWanted(k member.Key, n int) {
	if s, ok := h.servers[k]; ok {
		s.wanted = n
	}
}

// Credits returns the valid credits for servers of a zone, sorted by server.
func (h *Holder) Credits(now clock.Millis, zone model.Zone) []Credit {
	var list []Credit
	for _, k := range h.sortedKeys() {
		if s := h.servers[k]; s.zone == zone && s.credit.Credits > 0 && now < s.credit.ExpiresAt {
			list = append(list, s.credit)
		}
	}
	return list
}

// Idle reports whether the holder has neither valid credits nor requests in progress in a zone.
func (h *Holder) Idle(now clock.Millis, zone model.Zone) bool {
	for _, s := range h.servers {
		if s.zone == zone && (h.usedSlots(now, s) > 0 || now < s.credit.ExpiresAt) {
			return false
		}
	}
	return true
}

// Renew returns the next renewal request to the granter of a zone.
func (h *Holder) Renew(now clock.Millis, zone model.Zone, needs []ServiceNeed) Request {
	g := h.granterFor(zone)
	g.lastSeq++
	for seq, at := range g.sentAt {
		if now-at > CreditLifetime {
			delete(g.sentAt, seq) // grants in its answer would have expired
		}
	}
	g.sentAt[g.lastSeq] = now
	r := Request{
		Instance: h.config.Instance, Incarnation: h.config.Incarnation,
		Seq: g.lastSeq, AppliedSeq: g.appliedSeq, Needs: needs,
	}
	if zone == h.config.Zone {
		r.EntryCount = h.config.ZoneEntryCount
	}
	for _, k := range h.sortedKeys() {
		s := h.servers[k]
		if s.zone != zone {
			continue
		}
		over := max(0, h.usedSlots(now, s)-h.floorSlots(now, s))
		wanted := max(over, s.wanted-h.floorSlots(now, s))
		if over > 0 || wanted > 0 {
			r.Uses = append(r.Uses, ServerUse{Server: k, OverFloor: over, Wanted: wanted})
		}
	}
	return r
}

// Apply replaces the credits of a zone by those in a granter's answer and reports whether it did.
// It ignores an answer that is older than the last one applied, is from an earlier epoch, or has
// no known request.
func (h *Holder) Apply(now clock.Millis, zone model.Zone, a Answer) bool {
	g := h.granterFor(zone)
	sent, ok := g.sentAt[a.Seq]
	if !ok || a.Seq <= g.appliedSeq || a.Epoch < g.epoch {
		return false
	}
	for seq := range g.sentAt {
		if seq <= a.Seq {
			delete(g.sentAt, seq)
		}
	}
	g.appliedSeq, g.epoch = a.Seq, a.Epoch
	for _, s := range h.servers {
		if s.zone == zone {
			s.credit = Credit{}
		}
	}
	for _, grant := range a.Grants {
		if _, known := h.servers[grant.Server]; !known {
			if zone == h.config.Zone {
				continue // removed since the request; the next announcement adds it again
			}
			h.AddServer(now, grant.Server, zone, 0, grant.Conns)
		}
		s := h.servers[grant.Server]
		s.refreshedAt = now
		s.credit = Credit{Server: grant.Server, Service: grant.Service, Address: grant.Address, Credits: grant.Credits, ExpiresAt: sent + grant.Lifetime}
	}
	return true
}

// EvictUnused removes servers that were neither added nor granted for the given time and have no
// requests or connections in use.
func (h *Holder) EvictUnused(now, age clock.Millis) {
	for k, s := range h.servers {
		if now-s.refreshedAt > age && h.usedSlots(now, s) == 0 && s.openConns == 0 && len(s.closedUntil) == 0 {
			delete(h.servers, k)
		}
	}
}

func (h *Holder) granterFor(zone model.Zone) *granterState {
	g, ok := h.granters[zone]
	if !ok {
		g = &granterState{sentAt: map[uint64]clock.Millis{}}
		h.granters[zone] = g
	}
	return g
}

func (h *Holder) floorSlots(now clock.Millis, s *serverState) int {
	if s.zone != h.config.Zone || now < h.config.UsableFrom {
		return 0
	}
	return FloorSlots(s.slots, h.config.ZoneEntryCount)
}

func (h *Holder) allowedRequests(now clock.Millis, s *serverState) int {
	n := h.floorSlots(now, s)
	if now < s.credit.ExpiresAt {
		n += s.credit.Credits
	}
	return n
}

func (h *Holder) usedSlots(now clock.Millis, s *serverState) int {
	if len(s.abandonedUntil) > 0 {
		s.abandonedUntil = slices.DeleteFunc(s.abandonedUntil, func(t clock.Millis) bool { return t <= now })
	}
	return s.activeRequests + len(s.abandonedUntil)
}

func (h *Holder) sortedKeys() []member.Key {
	list := make([]member.Key, 0, len(h.servers))
	for k := range h.servers {
		list = append(list, k)
	}
	slices.SortFunc(list, member.CompareKeys)
	return list
}
