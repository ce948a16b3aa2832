package fleet

import (
	"context"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
)

// Workers carries orders to workers. Each order holds the term of the leader as a fence.
type Workers interface {
	// Start returns what is known of the order and the worker's clock, if it answered.
	Start(ctx context.Context, fence uint64, s plan.Start) (plan.Verdict, clock.Millis)
	Stop(ctx context.Context, fence uint64, s plan.Stop) (plan.Verdict, clock.Millis)
	// Hold renews the lease and returns the worker's report without the times of the call, or why
	// there is none.
	Hold(ctx context.Context, fence uint64, h plan.Hold) (plan.Reported, plan.Failure, error)
}

// Tickets is the service that says which workers may run a step.
type Tickets interface {
	Advise(ctx context.Context, step string, workers []model.WorkerID) (Advice, error)
}

// Advice is the answer of the ticket service: the ticket of each worker that may run the step.
type Advice struct {
	_       struct{} `cbor:",toarray"`
	Tickets map[model.WorkerID]string
	Valid   clock.Millis
}
