package sched

import (
	"context"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/state"
	"vanillabridge/core/trace"
)

// Log proposes commands to the zone log.
type Log interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// State gives read access to this instance's replica of the zone state.
type State interface {
	View(f func(*state.Zone))
}

// Leadership tells whether this instance leads the zone's group.
type Leadership interface {
	// Leading returns the current term and whether this instance leads in it under a lease
	// that has not ended.
	Leading() (epoch model.Epoch, leading bool)
}

// Events records what happens for the timeline.
type Events interface {
	Record(e trace.Event) trace.Stamp
}

// Options configure a Scheduler.
type Options struct {
	Zone       model.Zone
	Zones      int          // availability zones of the cell
	Lease      clock.Millis // of a worker
	Address    string       // HTTP address of this instance, told to workers as the leader's
	Seed       uint64
	Log        Log
	State      State
	Leadership Leadership
	Events     Events
	Clock      clock.Source
	Metrics    *Metrics
}

// Times of the protocol with workers.
const (
	// tickEvery is the period of the scheduler's timers.
	tickEvery = 50 * clock.Millisecond
	// holdSync is how long a sync without news waits for some. It stays below the period of
	// the workers' syncs, so that a worker has one request open at a time.
	holdSync = 400 * clock.Millisecond
	// proposeTimeout bounds one proposal; its outcome is then open and the state is read anew.
	proposeTimeout = 5 * clock.Second
	// expireEvery is the period at which old records are forgotten.
	expireEvery = clock.Second
)
