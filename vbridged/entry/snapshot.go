package entry

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// ConfigSnapshot is one version of the configuration. It is immutable.
type ConfigSnapshot struct {
	Version uint64
	Zones   []model.Zone // all zones; each owns a part of the keys of non-idempotent requests
	Routes  map[string]Route
	Callers map[model.Caller]Caller
}

// Route configures a service that callers reach through the entry instances. Zero fields select
// the defaults below.
type Route struct {
	Deadline     clock.Millis // deadline of a request that states none
	MaxQueued    int          // requests that may wait on this instance
	RetryPercent int          // retries per hundred requests
	MaxAttempts  int          // attempts of one request, including the first
	TransferCost clock.Millis // queueing time preferred over transferring a request to another region
}

// Caller configures a caller. All other callers together have one share.
type Caller struct {
	Share int
	Class model.Urgency
}

// Defaults of a route and a caller.
const (
	DefaultDeadline     = 5 * clock.Second
	DefaultMaxQueued    = 1000
	DefaultRetryPercent = 10
	DefaultMaxAttempts  = 3
	DefaultTransferCost = 20 * clock.Millisecond
	DefaultShare        = 1
)

// Route returns the route of a service with zero fields replaced by the defaults.
func (s *ConfigSnapshot) Route(service string) (Route, bool) {
	r, ok := s.Routes[service]
	if !ok {
		return Route{}, false
	}
	r.Deadline = orDefault(r.Deadline, DefaultDeadline)
	r.MaxQueued = orDefault(r.MaxQueued, DefaultMaxQueued)
	r.RetryPercent = orDefault(r.RetryPercent, DefaultRetryPercent)
	r.MaxAttempts = orDefault(r.MaxAttempts, DefaultMaxAttempts)
	r.TransferCost = orDefault(r.TransferCost, DefaultTransferCost)
	return r, true
}

func orDefault[T ~int | ~int64](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}
