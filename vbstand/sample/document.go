package sample

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/spec"
)

// Service is the name of the service that the callers send requests to.
const Service = "web"

// Document returns a configuration with one service, one batch job, one gang job and a route to the
// service. Tasks of the batch and gang jobs run for taskTime. A non-empty mark adds a caller of that
// name, which identifies the document.
func Document(version uint64, zones []model.Zone, taskTime clock.Millis, mark string) spec.Document {
	base := func(name string, count int, size model.Size, class model.Urgency) model.Base {
		return model.Base{Name: name, Team: "alpha", Zones: zones, Count: count, Size: size, Urgency: class}
	}
	small := model.Size{CPU: 250, Memory: 256}
	document := spec.New(version).
		WithTeam(spec.Team{Name: "alpha", Quota: model.Size{CPU: 96_000, Memory: 192_000, Accel: 24}, Floor: 20}).
		WithService(model.Service{Base: base(Service, 6, model.Size{CPU: 500, Memory: 512}, model.Urgent)}).
		WithBatch(model.Batch{
			Base: base("report", 24, small, model.Normal), Run: "a", Time: taskTime, Checkpoint: true,
		}).
		WithGang(model.Gang{
			Base: base("train", 6, model.Size{CPU: 250, Memory: 256, Accel: 1}, model.Normal), Run: "a", Time: taskTime,
		}).
		WithRoute(spec.Route{Service: Service, Deadline: 5 * clock.Second, Queue: 1000, Attempts: 3, Budget: 10, Backoff: 50}).
		WithCaller(spec.Caller{Name: "portal", Share: 3, Class: model.Urgent}).
		WithCaller(spec.Caller{Name: "crowd", Share: 1, Class: model.Urgent})
	if mark != "" {
		document = document.WithCaller(spec.Caller{Name: model.Caller(mark), Share: 1, Class: model.Low})
	}
	return document
}
