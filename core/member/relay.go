package member

import (
	"maps"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// driftPercent bounds the difference in speed of two clocks.
const driftPercent = 5

// Relayed is an announcement with the age of the evidence when the relay was sent.
type Relayed struct {
	Announce proto.Announce `json:"announce"`
	Age      clock.Millis   `json:"age"`
}

// Relay carries announcements to one other instance of the zone.
//
// Clocks of two instances are not comparable and a message can be late, so the sender
// returns the receiver's own newest Sent as Echo, with the time it has kept it. The
// receiver gets from these an upper bound of the time in transit.
type Relay struct {
	From   model.Instance    `json:"from"`
	Life   model.Incarnation `json:"life"`             // incarnation of From
	Sent   clock.Millis      `json:"sent"`             // clock of From
	Echo   clock.Millis      `json:"echo,omitempty"`   // newest Sent that From has of the receiver
	ToLife model.Incarnation `json:"tolife,omitempty"` // incarnation of the receiver that Echo is from
	Held   clock.Millis      `json:"held,omitempty"`   // time From has kept Echo
	List   []Relayed         `json:"list"`
}

// Outbox collects the announcements that were heard directly, until they are relayed.
type Outbox struct {
	items map[Key]pending
}

// pending keeps the evidence of one announcement: that of the server can come from another
// announcement, with another state.
type pending struct {
	announce proto.Announce
	evidence clock.Millis
}

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox { return &Outbox{items: map[Key]pending{}} }

// Add takes an announcement that the table has just heard.
func (o *Outbox) Add(now clock.Millis, t *Table, h Heard) {
	k := Key{Name: h.Announce.Name, Incarnation: h.Announce.Incarnation}
	if old, ok := o.items[k]; ok && old.announce.State == proto.ServerLeaving {
		return
	}
	o.items[k] = pending{announce: h.Announce, evidence: t.evidence(now, h)}
}

// Take empties the outbox, in the order of the servers.
func (o *Outbox) Take(now clock.Millis) []Relayed {
	keys := slices.SortedFunc(maps.Keys(o.items), Compare)
	list := make([]Relayed, 0, len(keys))
	for _, k := range keys {
		p := o.items[k]
		list = append(list, Relayed{Announce: p.announce, Age: now - p.evidence})
	}
	clear(o.items)
	return list
}

type beacon struct {
	life model.Incarnation
	sent clock.Millis
	got  clock.Millis
}

// Links tracks the newest clock reading of each other instance.
type Links struct {
	self model.Instance
	life model.Incarnation
	seen map[model.Instance]beacon
}

// NewLinks returns the links of an instance.
func NewLinks(self model.Instance, life model.Incarnation) *Links {
	return &Links{self: self, life: life, seen: map[model.Instance]beacon{}}
}

// Wrap addresses a list of announcements to another instance.
func (l *Links) Wrap(now clock.Millis, to model.Instance, list []Relayed) Relay {
	r := Relay{From: l.self, Life: l.life, Sent: now, List: list}
	if b, ok := l.seen[to]; ok {
		r.Echo, r.ToLife, r.Held = b.sent, b.life, now-b.got
	}
	return r
}

// Unwrap returns the announcements of a relay as inputs of the table. An announcement
// whose age has no bound is passed on with an age beyond EvidenceTime: it still says
// that a server is leaving, but never that it is alive.
func (l *Links) Unwrap(now clock.Millis, r Relay) []Heard {
	if b, ok := l.seen[r.From]; !ok || b.life != r.Life || b.sent < r.Sent {
		l.seen[r.From] = beacon{life: r.Life, sent: r.Sent, got: now}
	}
	transit := EvidenceTime
	if r.ToLife == l.life && r.Echo > 0 {
		// The sender's clock may be the faster one, so its Held counts less.
		transit = max(now-r.Echo-r.Held+r.Held.Percent(driftPercent), 0)
	}
	list := make([]Heard, 0, len(r.List))
	for _, x := range r.List {
		age := max(x.Age, 0)
		list = append(list, Heard{Announce: x.Announce, Age: age + age.Percent(driftPercent) + transit})
	}
	return list
}
