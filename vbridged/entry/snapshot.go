package entry

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Snapshot is a configuration in force. It is immutable.
type Snapshot struct {
	Version uint64
	Zones   []model.Zone // all zones, which share the keys of non-idempotent requests
	Routes  map[string]Route
	Callers map[model.Caller]Caller
}

// Route is a service that callers reach through the entry instances. Zero fields select the
// defaults below.
type Route struct {
	Deadline clock.Millis // of a request that names none
	Queue    int          // requests that wait on this instance
	Retries  int          // retries per hundred requests
	Attempts int          // attempts of one request, the first one included
	Cost     clock.Millis // wait that a request may take rather than cross regions, for its bytes
}

// Caller is a configured caller. Other callers share one share.
type Caller struct {
	Share int
	Class model.Urgency
}

// Defaults of a route and a caller.
const (
	DefaultDeadline = 5 * clock.Second
	DefaultQueue    = 1000
	DefaultRetries  = 10
	DefaultAttempts = 3
	DefaultCost     = 20 * clock.Millisecond
	DefaultShare    = 1
)

// Route returns the route of a service with its defaults filled in.
func (s *Snapshot) Route(service string) (Route, bool) {
	r, ok := s.Routes[service]
	if !ok {
		return Route{}, false
	}
	r.Deadline = orDefault(r.Deadline, DefaultDeadline)
	r.Queue = orDefault(r.Queue, DefaultQueue)
	r.Retries = orDefault(r.Retries, DefaultRetries)
	r.Attempts = orDefault(r.Attempts, DefaultAttempts)
	r.Cost = orDefault(r.Cost, DefaultCost)
	return r, true
}

func orDefault[T ~int | ~int64](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}
