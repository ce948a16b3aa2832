package entry

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/permit"
)

// Settings are the fixed numbers of an Entry. Zero limits select the defaults below.
type Settings struct {
	Instance    model.Instance
	Incarnation model.Incarnation // differs at each start of the process
	Zone        model.Zone
	Peers       []model.Instance // the other entry instances of the zone
	Entries     int              // entry instances of all zones, this one included
	Others      []model.Zone     // zones to which requests may spill
	// First says that no earlier process under this name can have requests in progress.
	// Without it the permits stay unused for the longest time of a request after a start.
	First      bool
	HeaderSize int   // bytes of a header of a request or an answer
	BodySize   int64 // bytes of a body of a request or an answer
	Seed       uint64
}

// Defaults and fixed times of an Entry.
const (
	DefaultHeaderSize = 64 << 10
	DefaultBodySize   = 64 << 20
	// TickTime is the period of the timers.
	TickTime = 50 * clock.Millisecond
	// DialTime bounds the opening of a connection to a backend server.
	DialTime = 500 * clock.Millisecond
	// IdleTime is how long an unused connection to a backend server is kept. It is short so
	// that the entry instance rather than the backend server closes idle connections.
	IdleTime = 3 * clock.Second
	// CloseTime is how long a connection counts after this side has closed it.
	CloseTime = 250 * clock.Millisecond
	// RecordTime bounds a Finish or an Abort after the request has ended.
	RecordTime = 2 * clock.Second
)

func (s Settings) check() (Settings, error) {
	if s.Instance == "" || s.Zone == "" || s.Incarnation == 0 {
		return s, fault.Wrap(fault.ErrInvalid, "entry settings need instance, zone and incarnation")
	}
	if s.Entries < len(s.Peers)+1 {
		return s, fault.Wrap(fault.ErrInvalid, "entry settings count %d instances but name %d in the zone", s.Entries, len(s.Peers)+1)
	}
	s.HeaderSize = orDefault(s.HeaderSize, DefaultHeaderSize)
	if s.BodySize <= 0 {
		s.BodySize = DefaultBodySize
	}
	return s, nil
}

func (s Settings) limits(now clock.Millis) permit.Limits {
	l := permit.Limits{
		Instance: s.Instance, Incarnation: s.Incarnation, Zone: s.Zone,
		ZoneEntries: len(s.Peers) + 1, Entries: s.Entries, FloorFrom: now,
	}
	if !s.First {
		l.FloorFrom += permit.WithDrift(permit.RequestTime)
	}
	return l
}
