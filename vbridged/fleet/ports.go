package fleet

import (
	"context"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
)

// Call holds the conditions that all calls to workers share at a time.
type Call struct {
	// Fence is the term of the leader; workers reject calls of earlier terms.
	Fence uint64
	// CloseConn is set if the connection must not stay open after the call.
	CloseConn bool
	// way is the way of a hold, if it was chosen already.
	way *route
}

// Workers sends orders to workers.
//
// No call reaches another process than the one that the identifier and the start of its worker name: calls to a worker whose start
// is not known, or that doesn't tell it, fail. A later process would take the lease for a time on its own clock, and the acknowledged ends for its own.
type Workers interface {
	// Start returns what is known about the outcome of the order, and the time of the worker's clock
	// if the worker answered. VerdictNotSent means that not a byte of it was sent.
	Start(ctx context.Context, call Call, s plan.Start) (plan.Verdict, clock.Millis)
	Stop(ctx context.Context, call Call, s plan.Stop) (plan.Verdict, clock.Millis)
	// Hold renews the worker's lease by a long poll and returns the worker's report, or the kind of
	// failure. It leaves the report's Worker, SentAt and ReceivedAt unset.
	Hold(ctx context.Context, call Call, h plan.Hold) (plan.HoldAnswered, plan.Failure, error)
}

// Tickets calls the ticket service, which decides which workers may run a step.
type Tickets interface {
	Advise(ctx context.Context, step string, workers []model.WorkerID) (Advice, error)
}

// Advice is the answer of the ticket service: the ticket of each worker that may run the step, and
// how long the tickets are valid.
type Advice struct {
	_        struct{} `cbor:",toarray"`
	Tickets  map[model.WorkerID]string
	ValidFor clock.Millis
}
