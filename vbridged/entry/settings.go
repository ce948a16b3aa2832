package entry

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/permit"
)

// Settings configure an Entry. Zero limits select the defaults below.
type Settings struct {
	Instance       model.Instance
	Incarnation    model.Incarnation // different at each start of the process
	Zone           model.Zone
	Peers          []model.Instance // the other entry instances of the zone
	EntryCount     int              // entry instances of all zones, this one included
	SpilloverZones []model.Zone     // zones to which requests may spill
	// FirstStart says that no earlier process of this instance can have requests in progress.
	// Without it no permit is used after a start for the maximum request time.
	FirstStart bool
	// MaxRequestTime bounds the time of a request, besides permit.MaxRequestTime.
	MaxRequestTime clock.Millis
	// MaxQueuedRequests is the number of requests that may wait at this instance, over all services.
	MaxQueuedRequests int
	MaxHeaderBytes    int   // largest header of a request or a response, in bytes
	MaxBodyBytes      int64 // largest body of a request or a response, in bytes
	Seed              uint64
}

// Defaults and fixed timeouts of an Entry.
const (
	DefaultMaxQueuedRequests = 10_000
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultMaxBodyBytes      = 64 << 20
	// TickInterval is the period of the periodic work.
	TickInterval = 50 * clock.Millisecond
	// DialTimeout bounds the time to open a connection to a backend server.
	DialTimeout = 500 * clock.Millisecond
	// ConnIdleTimeout is how long an idle connection to a backend server is kept. It is short
	// so that the entry instance rather than the backend server closes idle connections.
	ConnIdleTimeout = 3 * clock.Second
	// ClosedConnHoldTime is how long a connection still counts towards the connection limit of a
	// backend server after this side has closed it.
	ClosedConnHoldTime = 250 * clock.Millisecond
	// RecordTimeout bounds the Finish or Abort of a record, which may outlast the request.
	RecordTimeout = 2 * clock.Second
)

func (s Settings) check() (Settings, error) {
	if s.Instance == "" || s.Zone == "" || s.Incarnation == 0 {
		return s, fault.Wrap(fault.ErrInvalid, "entry settings: instance %q, zone %q and incarnation %d must be set", s.Instance, s.Zone, s.Incarnation)
	}
	if s.EntryCount < len(s.Peers)+1 {
		return s, fault.Wrap(fault.ErrInvalid, "entry settings: EntryCount is %d, but the own zone has %d entry instances", s.EntryCount, len(s.Peers)+1)
	}
	s.MaxRequestTime = min(orDefault(s.MaxRequestTime, permit.MaxRequestTime), permit.MaxRequestTime)
	s.MaxQueuedRequests = orDefault(s.MaxQueuedRequests, DefaultMaxQueuedRequests)
	s.MaxHeaderBytes = orDefault(s.MaxHeaderBytes, DefaultMaxHeaderBytes)
	if s.MaxBodyBytes <= 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return s, nil
}

func (s Settings) holderConfig(now clock.Millis) permit.HolderConfig {
	c := permit.HolderConfig{
		Instance: s.Instance, Incarnation: s.Incarnation, Zone: s.Zone,
		ZoneEntryCount: len(s.Peers) + 1, EntryCount: s.EntryCount, UsableFrom: now,
	}
	if !s.FirstStart {
		c.UsableFrom += permit.WithDrift(permit.MaxRequestTime)
	}
	return c
}
