package fleet

import (
	"context"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
)

// Workers sends orders to workers. Each order carries the term of the leader as a fencing token.
type Workers interface {
	// Start returns what is known about the outcome of the order, and the time of the worker's clock
	// if the worker answered.
	Start(ctx context.Context, fence uint64, s plan.Start) (plan.Verdict, clock.Millis)
	Stop(ctx context.Context, fence uint64, s plan.Stop) (plan.Verdict, clock.Millis)
	// Hold renews the worker's lease by a long poll and returns the worker's report, or the kind of
	// failure. It leaves the report's Worker, SentAt and ReceivedAt unset.
	Hold(ctx context.Context, fence uint64, h plan.Hold) (plan.HoldAnswered, plan.Failure, error)
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
