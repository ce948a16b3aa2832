package admin

import (
	"context"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/core/trace"
)

// Service is what the interface gives access to. Its errors carry a sentinel of core/fault.
type Service interface {
	Submit(ctx context.Context, r proto.SubmitRequest) (proto.SubmitReply, error)
	Config(ctx context.Context) (proto.ConfigReply, error)
	Run(ctx context.Context, r proto.RunRequest) (proto.JobReply, error)
	Job(ctx context.Context, id model.JobID) (proto.JobReply, error)
	Cancel(ctx context.Context, id model.JobID) (proto.JobReply, error)
	Status(ctx context.Context) proto.StatusReply
	// Unready lists why the instance should get no traffic; it asks no other instance.
	Unready() []string
	Sync(ctx context.Context, r proto.SyncRequest) (proto.SyncReply, error)
	Events(f trace.Filter) []trace.Entry
	Drain()
}
