package member

import (
	"maps"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// maxClockDriftPercent bounds the difference in rate between two clocks.
const maxClockDriftPercent = 5

// RelayedAnnouncement is an announcement with an upper bound on its age when the relay was sent.
type RelayedAnnouncement struct {
	Announce proto.ServerAnnouncement `json:"announce"`
	MaxAge   clock.Millis             `json:"age"`
}

// Relay carries announcements to one other instance of the zone.
//
// The clocks of two instances are not comparable and a message can be delayed. Therefore the
// sender echoes the newest SentAt that it got from the receiver, with the time since it got it.
// From these the receiver computes an upper bound on the transit time.
type Relay struct {
	From              model.Instance        `json:"from"`
	Incarnation       model.Incarnation     `json:"life"`             // of From
	SentAt            clock.Millis          `json:"sent"`             // by the clock of From
	EchoedSentAt      clock.Millis          `json:"echo,omitempty"`   // newest SentAt that From got from the receiver
	EchoedIncarnation model.Incarnation     `json:"tolife,omitempty"` // incarnation of the receiver that sent EchoedSentAt
	EchoDelay         clock.Millis          `json:"held,omitempty"`   // time since From received EchoedSentAt
	Announcements     []RelayedAnnouncement `json:"list"`
}

// Outbox collects the announcements that were received directly, until they are relayed.
type Outbox struct {
	pendingByKey map[Key]pending
}

// pending is an announcement with the earliest time at which it can have been made. The time in
// the server table may belong to another announcement with another state.
type pending struct {
	announce    proto.ServerAnnouncement
	announcedAt clock.Millis
}

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox { return &Outbox{pendingByKey: map[Key]pending{}} }

// Add adds an announcement that the table has just processed. An announcement that a server is
// leaving is not replaced by later ones.
func (o *Outbox) Add(now clock.Millis, t *Table, in AnnouncementReceived) {
	k := Key{Name: in.Announce.Name, Incarnation: in.Announce.Incarnation}
	if old, ok := o.pendingByKey[k]; ok && old.announce.State == proto.ServerLeaving {
		return
	}
	o.pendingByKey[k] = pending{announce: in.Announce, announcedAt: t.announcedAt(now, in)}
}

// Take removes all announcements and returns them, sorted by server key.
func (o *Outbox) Take(now clock.Millis) []RelayedAnnouncement {
	keys := slices.SortedFunc(maps.Keys(o.pendingByKey), CompareKeys)
	list := make([]RelayedAnnouncement, 0, len(keys))
	for _, k := range keys {
		p := o.pendingByKey[k]
		list = append(list, RelayedAnnouncement{Announce: p.announce, MaxAge: now - p.announcedAt})
	}
	clear(o.pendingByKey)
	return list
}

// clockReading is the newest SentAt that was received from an instance.
type clockReading struct {
	incarnation model.Incarnation
	sentAt      clock.Millis
	receivedAt  clock.Millis
}

// PeerClocks tracks the newest clock reading of each other instance, to bound the transit time of
// relays.
type PeerClocks struct {
	self        model.Instance
	incarnation model.Incarnation
	latest      map[model.Instance]clockReading
}

// NewPeerClocks returns a PeerClocks for the given instance, with no clock readings.
func NewPeerClocks(self model.Instance, incarnation model.Incarnation) *PeerClocks {
	return &PeerClocks{self: self, incarnation: incarnation, latest: map[model.Instance]clockReading{}}
}

// NewRelay returns the relay that carries a list of announcements to another instance.
func (c *PeerClocks) NewRelay(now clock.Millis, to model.Instance, list []RelayedAnnouncement) Relay {
	r := Relay{From: c.self, Incarnation: c.incarnation, SentAt: now, Announcements: list}
	if reading, ok := c.latest[to]; ok {
		r.EchoedSentAt, r.EchoedIncarnation, r.EchoDelay = reading.sentAt, reading.incarnation, now-reading.receivedAt
	}
	return r
}

// ReceiveRelay records the clock reading of a received relay and returns its announcements as
// inputs of the table. If their transit time cannot be bounded, they get an age of at least
// MaxAnnouncementAge: they can still mark a server as leaving, but not make it eligible.
func (c *PeerClocks) ReceiveRelay(now clock.Millis, r Relay) []AnnouncementReceived {
	if reading, ok := c.latest[r.From]; !ok || reading.incarnation != r.Incarnation || reading.sentAt < r.SentAt {
		c.latest[r.From] = clockReading{incarnation: r.Incarnation, sentAt: r.SentAt, receivedAt: now}
	}
	transit := MaxAnnouncementAge
	if r.EchoedIncarnation == c.incarnation && r.EchoedSentAt > 0 {
		// The sender's clock may be faster than the local one, so EchoDelay is reduced by the drift.
		transit = max(now-r.EchoedSentAt-r.EchoDelay+r.EchoDelay.Percent(maxClockDriftPercent), 0)
	}
	list := make([]AnnouncementReceived, 0, len(r.Announcements))
	for _, a := range r.Announcements {
		age := max(a.MaxAge, 0)
		list = append(list, AnnouncementReceived{Announce: a.Announce, MaxAge: age + age.Percent(maxClockDriftPercent) + transit})
	}
	return list
}
