package flow

import (
	"strings"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
)

// Queue accepts jobs under a host name and a path prefix and runs them on the workers of a pool.
type Queue struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Host   string
	Prefix string
	Pool   string
	// Priority is the order of queues; 0 is the highest.
	Priority int
	// Attempts is the number of failed attempts of a task after which its job fails; 0 means 1.
	Attempts int
	// Timeout is the longest time that a request may take.
	Timeout clock.Millis
	// Target and Stretch define the objective for the duration of a job: Stretch times its critical
	// path, plus Target.
	Target  clock.Millis
	Stretch float64
	// TicketPolicy is set if the steps of the queue need tickets.
	TicketPolicy *TicketPolicy
}

// TicketPolicy describes the ticket service of a queue: BaseDuration is the fixed time that it takes
// for a call, and TicketValidity is how long a ticket is valid.
type TicketPolicy struct {
	_            struct{} `cbor:",toarray"`
	BaseDuration clock.Millis
	// PerWorkerMicros is the additional time for each worker that a call names, in microseconds.
	PerWorkerMicros int64
	TicketValidity  clock.Millis
}

// Pool is a set of workers that announce themselves under its name.
type Pool struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	HealthPath string // path of the HTTP health check
	// EnforcesCapacity is set if workers reject tasks that exceed their capacity.
	EnforcesCapacity bool
	// Standby is set if the workers are off until they are needed.
	Standby bool
}

// RequestLimits holds the limits on requests: sizes, the time to receive the header, and the time
// after which an idle connection is closed.
type RequestLimits struct {
	_              struct{} `cbor:",toarray"`
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Config is one version of a domain's configuration.
type Config struct {
	_             struct{} `cbor:",toarray"`
	Version       uint64
	Queues        []Queue
	Pools         []Pool
	RequestLimits RequestLimits
	// Document is the configuration document as the operator submitted it.
	Document []byte
	// Access is encoded apart, so that a configuration without teams has the same encoding as before there were teams.
	Access Access `cbor:"-"`
}

// Check returns an error that says why the configuration is invalid, or nil.
func (c Config) Check() error {
	pools := map[string]bool{}
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return fault.Wrap(fault.ErrInvalid, "pool name %q is empty or used twice", p.Name)
		}
		pools[p.Name] = true
	}
	type endpoint struct{ host, prefix string }
	queueNames := map[endpoint]string{}
	for _, q := range c.Queues {
		key := endpoint{q.Host, q.Prefix}
		switch other, taken := queueNames[key]; {
		case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
			return fault.Wrap(fault.ErrInvalid, "queue %q: host %q is empty or prefix %q doesn't start with a slash", q.Name, q.Host, q.Prefix)
		case taken:
			return fault.Wrap(fault.ErrInvalid, "queues %q and %q share host %q and prefix %q", other, q.Name, q.Host, q.Prefix)
		case !pools[q.Pool]:
			return fault.Wrap(fault.ErrInvalid, "queue %q refers to unknown pool %q", q.Name, q.Pool)
		case q.Timeout <= 0:
			return fault.Wrap(fault.ErrInvalid, "queue %q: timeout %s is not above 0", q.Name, q.Timeout)
		}
		if err := q.checkLimits(); err != nil {
			return err
		}
		queueNames[key] = q.Name
	}
	if err := c.checkEndpoints(); err != nil {
		return err
	}
	return c.Access.Check()
}

// Limits of a queue, beyond which sums of its values could overflow.
const (
	maxDuration = clock.Millis(10 * 365 * 24 * 60 * 60 * 1000)
	maxCount    = 1_000_000
)

// checkLimits returns an error that names the field and the limit if a number of the queue is negative or absurdly large.
func (q Queue) checkLimits() error {
	type field struct {
		name  string
		value float64
		limit float64
	}
	list := []field{
		{"timeout", float64(q.Timeout), float64(maxDuration)},
		{"target", float64(q.Target), float64(maxDuration)},
		{"stretch", q.Stretch, maxCount},
		{"attempts", float64(q.Attempts), maxCount},
		{"priority", float64(q.Priority), maxCount},
	}
	if t := q.TicketPolicy; t != nil {
		list = append(list, field{"ticket base duration", float64(t.BaseDuration), float64(maxDuration)},
			field{"ticket duration for each worker", float64(t.PerWorkerMicros), float64(maxDuration)},
			field{"ticket validity", float64(t.TicketValidity), float64(maxDuration)})
	}
	for _, f := range list {
		if !(f.value >= 0 && f.value <= f.limit) {
			return fault.Wrap(fault.ErrInvalid, "queue %q: %s %g is not from 0 to %g", q.Name, f.name, f.value, f.limit)
		}
	}
	return nil
}

// checkEndpoints returns an error if two queues can't be told apart by their endpoint, which says whether a queue is
// public: a host with a slash could make the queue of another host public.
func (c Config) checkEndpoints() error {
	if !c.Access.Enforced {
		return nil
	}
	names := map[string]string{}
	for _, q := range c.Queues {
		if other, taken := names[q.Endpoint()]; taken {
			return fault.Wrap(fault.ErrInvalid, "queues %q and %q have the same endpoint %q", other, q.Name, q.Endpoint())
		}
		names[q.Endpoint()] = q.Name
	}
	return nil
}

// LookupQueue returns the queue of a host with the longest matching path prefix, and the rest of the path.
func (c Config) LookupQueue(host, path string) (q Queue, rest string, ok bool) {
	for _, candidate := range c.Queues {
		if candidate.Host == host && strings.HasPrefix(path, candidate.Prefix) && (!ok || len(candidate.Prefix) > len(q.Prefix)) {
			q, rest, ok = candidate, path[len(candidate.Prefix):], true
		}
	}
	return q, rest, ok
}
