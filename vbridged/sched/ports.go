package sched

import (
	"context"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/state"
	"vanillabridge/core/trace"
)

// Log appends commands to the replicated log of the zone.
type Log interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// State gives read access to this instance's replica of the zone's state.
type State interface {
	View(f func(*state.Zone))
}

// Leadership reports whether this instance leads the zone's group.
type Leadership interface {
	// Leading returns the current term, and whether this instance leads in it and holds a valid
	// leader lease.
	Leading() (epoch model.Epoch, leading bool)
}

// Events records trace events for the timeline.
type Events interface {
	Record(e trace.Event) trace.Stamp
}

// Options configures a Scheduler.
type Options struct {
	Zone       model.Zone
	Zones      int          // number of availability zones of the cell
	Lease      clock.Millis // lease that each sync reply grants to a worker
	Address    string       // HTTP address of this instance, sent to workers as the leader's address
	Seed       uint64
	Log        Log
	State      State
	Leadership Leadership
	Events     Events
	Clock      clock.Source
	Metrics    *Metrics
}

// Timing of the scheduler and of its protocol with the workers.
const (
	// tickInterval is the period of the scheduler's timer.
	tickInterval = 50 * clock.Millisecond
	// maxParkedTime is how long a sync stays parked while there are no changes for the worker. It is
	// shorter than the period of the workers' syncs, so that a worker has one open request at a time.
	maxParkedTime = 400 * clock.Millisecond
	// proposeTimeout limits one proposal. After it the outcome is unknown and the state is reloaded.
	proposeTimeout = 5 * clock.Second
	// expiryInterval is the period at which old records and ended jobs are removed from the state.
	expiryInterval = clock.Second
)
