package admin

import (
	"context"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/core/trace"
)

// Service implements the operations of the HTTP interface. Its errors wrap a sentinel of core/fault.
type Service interface {
	Submit(ctx context.Context, r proto.SubmitRequest) (proto.SubmitReply, error)
	Config(ctx context.Context) (proto.ConfigReply, error)
	Run(ctx context.Context, r proto.RunRequest) (proto.JobReply, error)
	Job(ctx context.Context, id model.JobID) (proto.JobReply, error)
	Cancel(ctx context.Context, id model.JobID) (proto.JobReply, error)
	Status(ctx context.Context) proto.StatusReply
	// UnreadyReasons returns the reasons why the instance should not receive traffic. It uses local
	// state only and calls no other instance.
	UnreadyReasons() []string
	Sync(ctx context.Context, r proto.SyncRequest) (proto.SyncReply, error)
	Events(f trace.Filter) []trace.Entry
	Drain()
}
