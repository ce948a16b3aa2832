package flow

import (
	"strings"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// Queue accepts jobs under a host name and a path prefix and runs them on the workers of a pool.
type Queue struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Host   string
	Prefix string
	Pool   string
	// Priority 0 comes first.
	Priority int
	// Attempts is how many runs of a task may fail before its job fails; 0 means 1.
	Attempts int
	// Timeout bounds how long a request may take.
	Timeout clock.Millis
	// Target and Stretch make the objective of a job: Stretch times its longest chain, and Target.
	Target  clock.Millis
	Stretch float64
	// Policy is set for a queue whose steps need tickets.
	Policy *Policy
}

// Policy says how long the ticket service takes for a queue's steps, and how long a ticket holds.
type Policy struct {
	_      struct{} `cbor:",toarray"`
	Decide clock.Millis
	// Each is the further time for each worker that a call names, in microseconds.
	Each  int64
	Valid clock.Millis
}

// Pool is a set of workers that announce themselves under its name.
type Pool struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Health string // path of the health check
	// Guards says that workers reject what exceeds their capacity.
	Guards bool
	// Standby workers are off until they are needed.
	Standby bool
}

// Bounds are the limits on requests that the configuration sets.
type Bounds struct {
	_          struct{} `cbor:",toarray"`
	Header     int      // bytes
	Body       int      // bytes
	HeaderTime clock.Millis
	Idle       clock.Millis
}

// Config is one version of a domain's configuration.
type Config struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Queues  []Queue
	Pools   []Pool
	Bounds  Bounds
	// Document is the configuration as the operator sent it.
	Document []byte
}

// Check says why a configuration is invalid, or returns nil.
func (c Config) Check() error {
	pools := map[string]bool{}
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return fault.Wrap(fault.ErrInvalid, "pool %q is unnamed or listed twice", p.Name)
		}
		pools[p.Name] = true
	}
	type place struct{ host, prefix string }
	places := map[place]string{}
	for _, q := range c.Queues {
		at := place{q.Host, q.Prefix}
		switch other, taken := places[at]; {
		case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
			return fault.Wrap(fault.ErrInvalid, "queue %q has host %q and prefix %q", q.Name, q.Host, q.Prefix)
		case taken:
			return fault.Wrap(fault.ErrInvalid, "queues %q and %q share host %q and prefix %q", other, q.Name, q.Host, q.Prefix)
		case !pools[q.Pool]:
			return fault.Wrap(fault.ErrInvalid, "queue %q names the unknown pool %q", q.Name, q.Pool)
		case q.Timeout <= 0:
			return fault.Wrap(fault.ErrInvalid, "queue %q has a timeout of %s", q.Name, q.Timeout)
		}
		places[at] = q.Name
	}
	return nil
}

// Lookup returns the queue with the longest prefix of a path at a host, and the rest of the path.
func (c Config) Lookup(host, path string) (q Queue, rest string, ok bool) {
	for _, cand := range c.Queues {
		if cand.Host == host && strings.HasPrefix(path, cand.Prefix) && (!ok || len(cand.Prefix) > len(q.Prefix)) {
			q, rest, ok = cand, path[len(cand.Prefix):], true
		}
	}
	return q, rest, ok
}

// Worker is one life of a worker as it describes itself.
type Worker struct {
	_    struct{} `cbor:",toarray"`
	ID   model.WorkerID
	Born clock.Millis // start of this life, since 1970; 0 if it doesn't say
	Pool string
	// Address is where it takes orders.
	Address  string
	Zone     model.Zone
	Rack     model.Rack
	Capacity model.Size
	Labels   []string
	Leaving  bool
	// Seq is the number of the announcement within this life.
	Seq uint64
}

// HasLabel reports whether the worker carries a label; every worker carries the empty one.
func (w Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
