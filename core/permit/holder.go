package permit

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
)

// Limits are the fixed numbers of a holder.
type Limits struct {
	Instance    model.Instance
	Incarnation model.Incarnation
	Zone        model.Zone
	ZoneEntries int          // entry instances of the zone
	Entries     int          // entry instances of all zones
	FloorFrom   clock.Millis // instant before which floors and connections stay unused
}

// Credit is what a holder has been granted on a server of a zone.
type Credit struct {
	Server  member.Key
	Service string
	Address string
	Count   int
	Until   clock.Millis
}

type seat struct {
	zone   model.Zone
	slots  int
	conns  int
	active int            // requests in progress
	open   int            // open connections
	late   []clock.Millis // instants until which abandoned requests may still run
	closed []clock.Millis // instants until which closed connections may still count
	want   int
	credit Credit
	seen   clock.Millis
}

type lender struct {
	epoch   model.Epoch
	seq     uint64
	applied uint64
	sent    map[uint64]clock.Millis
}

// Holder keeps the permits of one entry instance.
type Holder struct {
	limits  Limits
	seats   map[member.Key]*seat
	lenders map[model.Zone]*lender
}

// NewHolder returns a holder without credits.
func NewHolder(l Limits) *Holder {
	return &Holder{limits: l, seats: map[member.Key]*seat{}, lenders: map[model.Zone]*lender{}}
}

// Offer tells the limits of a server that may get requests.
func (h *Holder) Offer(now clock.Millis, k member.Key, zone model.Zone, slots, conns int) {
	s, ok := h.seats[k]
	if !ok {
		s = &seat{zone: zone, slots: slots, conns: conns}
		h.seats[k] = s
	}
	s.slots = min(s.slots, slots)
	s.conns = min(s.conns, conns)
	s.seen = now
}

// Free returns how many further requests the holder may start on a server now.
func (h *Holder) Free(now clock.Millis, k member.Key) int {
	s, ok := h.seats[k]
	if !ok {
		return 0
	}
	return max(0, h.allowed(now, s)-h.used(now, s))
}

// Used returns how many requests of this holder may be running on a server.
func (h *Holder) Used(now clock.Millis, k member.Key) int {
	s, ok := h.seats[k]
	if !ok {
		return 0
	}
	return h.used(now, s)
}

// Acquire takes a permit and reports whether there was one.
func (h *Holder) Acquire(now clock.Millis, k member.Key) bool {
	if h.Free(now, k) == 0 {
		return false
	}
	h.seats[k].active++
	return true
}

// Covered reports whether the requests in progress on a server are within the permits that
// are in force. It is asked again just before the first byte is sent, because the process
// may have been paused since Acquire.
func (h *Holder) Covered(now clock.Millis, k member.Key) bool {
	s, ok := h.seats[k]
	return ok && h.used(now, s) <= h.allowed(now, s)
}

// Release returns a permit. A request that ended whole frees its slot at once; of an
// abandoned one the backend server may not know, so its slot stays taken until the given
// instant, which is that of LastRun.
func (h *Holder) Release(now clock.Millis, k member.Key, whole bool, until clock.Millis) {
	s, ok := h.seats[k]
	if !ok {
		return
	}
	s.active--
	if !whole && until > now {
		s.late = append(s.late, until)
	}
}

// CanConnect reports whether Connect would succeed.
func (h *Holder) CanConnect(now clock.Millis, k member.Key) bool {
	s, ok := h.seats[k]
	if !ok || now < h.limits.FloorFrom {
		return false
	}
	if len(s.closed) > 0 {
		s.closed = slices.DeleteFunc(s.closed, func(t clock.Millis) bool { return t <= now })
	}
	return s.open+len(s.closed) < s.conns/max(1, h.limits.Entries)
}

// Connect takes one of the connections of the static split.
func (h *Holder) Connect(now clock.Millis, k member.Key) bool {
	if !h.CanConnect(now, k) {
		return false
	}
	h.seats[k].open++
	return true
}

// Disconnect returns a connection, which counts until the given instant.
func (h *Holder) Disconnect(now clock.Millis, k member.Key, until clock.Millis) {
	s, ok := h.seats[k]
	if !ok {
		return
	}
	s.open--
	if until > now {
		s.closed = append(s.closed, until)
	}
}

// Want sets how many requests would run on a server if it were free.
func (h *Holder) Want(k member.Key, n int) {
	if s, ok := h.seats[k]; ok {
		s.want = n
	}
}

// Credits returns the credits in force for servers of a zone, sorted by server.
func (h *Holder) Credits(now clock.Millis, zone model.Zone) []Credit {
	var list []Credit
	for _, k := range h.keys() {
		if s := h.seats[k]; s.zone == zone && s.credit.Count > 0 && now < s.credit.Until {
			list = append(list, s.credit)
		}
	}
	return list
}

// Idle reports whether nothing is granted by or in progress in a zone.
func (h *Holder) Idle(now clock.Millis, zone model.Zone) bool {
	for _, s := range h.seats {
		if s.zone == zone && (h.used(now, s) > 0 || now < s.credit.Until) {
			return false
		}
	}
	return true
}

// Renew returns the next request to the granter of a zone.
func (h *Holder) Renew(now clock.Millis, zone model.Zone, needs []Need) Request {
	l := h.lender(zone)
	l.seq++
	for seq, at := range l.sent {
		if now-at > GrantTime {
			delete(l.sent, seq) // its grants would be over
		}
	}
	l.sent[l.seq] = now
	r := Request{
		Instance: h.limits.Instance, Incarnation: h.limits.Incarnation,
		Seq: l.seq, Applied: l.applied, Needs: needs,
	}
	if zone == h.limits.Zone {
		r.Entries = h.limits.ZoneEntries
	}
	for _, k := range h.keys() {
		s := h.seats[k]
		if s.zone != zone {
			continue
		}
		over := max(0, h.used(now, s)-h.floor(now, s))
		want := max(over, s.want-h.floor(now, s))
		if over > 0 || want > 0 {
			r.Uses = append(r.Uses, Use{Server: k, Over: over, Want: want})
		}
	}
	return r
}

// Apply takes the answer of a granter. It drops an answer that was overtaken, that comes
// from an older epoch, or whose request it does not know.
func (h *Holder) Apply(now clock.Millis, zone model.Zone, a Answer) bool {
	l := h.lender(zone)
	sent, ok := l.sent[a.Seq]
	if !ok || a.Seq <= l.applied || a.Epoch < l.epoch {
		return false
	}
	for seq := range l.sent {
		if seq <= a.Seq {
			delete(l.sent, seq)
		}
	}
	l.applied, l.epoch = a.Seq, a.Epoch
	for _, s := range h.seats {
		if s.zone == zone {
			s.credit = Credit{}
		}
	}
	for _, g := range a.Grants {
		if _, known := h.seats[g.Server]; !known {
			if zone == h.limits.Zone {
				continue // forgotten meanwhile; the announcements offer it again
			}
			h.Offer(now, g.Server, zone, 0, g.Conns)
		}
		s := h.seats[g.Server]
		s.seen = now
		s.credit = Credit{Server: g.Server, Service: g.Service, Address: g.Address, Count: g.Credits, Until: sent + g.Life}
	}
	return true
}

// Forget drops servers that were not offered or granted for the given time and have nothing
// in progress.
func (h *Holder) Forget(now, age clock.Millis) {
	for k, s := range h.seats {
		if now-s.seen > age && h.used(now, s) == 0 && s.open == 0 && len(s.closed) == 0 {
			delete(h.seats, k)
		}
	}
}

func (h *Holder) lender(zone model.Zone) *lender {
	l, ok := h.lenders[zone]
	if !ok {
		l = &lender{sent: map[uint64]clock.Millis{}}
		h.lenders[zone] = l
	}
	return l
}

func (h *Holder) floor(now clock.Millis, s *seat) int {
	if s.zone != h.limits.Zone || now < h.limits.FloorFrom {
		return 0
	}
	return Floor(s.slots, h.limits.ZoneEntries)
}

func (h *Holder) allowed(now clock.Millis, s *seat) int {
	n := h.floor(now, s)
	if now < s.credit.Until {
		n += s.credit.Count
	}
	return n
}

func (h *Holder) used(now clock.Millis, s *seat) int {
	if len(s.late) > 0 {
		s.late = slices.DeleteFunc(s.late, func(t clock.Millis) bool { return t <= now })
	}
	return s.active + len(s.late)
}

func (h *Holder) keys() []member.Key {
	list := make([]member.Key, 0, len(h.seats))
	for k := range h.seats {
		list = append(list, k)
	}
	slices.SortFunc(list, member.Compare)
	return list
}
