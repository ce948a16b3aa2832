// Command demo prints the configuration that demo/run.sh submits.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/spec"
)

func main() {
	version := flag.Uint64("version", 1, "version of the configuration")
	zones := flag.String("zones", "east-a,west-a,north-a", "availability zones, separated by commas")
	mark := flag.String("mark", "", "name of a further caller that marks this document")
	flag.Parse()
	var list []model.Zone
	for _, z := range strings.Split(*zones, ",") {
		list = append(list, model.Zone(z))
	}
	if err := document(*version, list, *mark).Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "print configuration:", err)
		os.Exit(1)
	}
}

// document has one piece of work of each kind and a route to the service.
func document(version uint64, zones []model.Zone, mark string) spec.Document {
	base := func(name string, count int, size model.Size, class model.Urgency) model.Base {
		return model.Base{Name: name, Team: "alpha", Zones: zones, Count: count, Size: size, Urgency: class}
	}
	small := model.Size{CPU: 250, Memory: 256}
	document := spec.New(version).
		WithTeam(spec.Team{Name: "alpha", Quota: model.Size{CPU: 96_000, Memory: 192_000, Accel: 24}, Floor: 20}).
		WithService(model.Service{Base: base("web", 6, model.Size{CPU: 500, Memory: 512}, model.Urgent)}).
		WithBatch(model.Batch{
			Base: base("report", 24, small, model.Normal), Run: "a", Time: 2 * clock.Second, Checkpoint: true,
		}).
		WithGang(model.Gang{
			Base: base("train", 6, model.Size{CPU: 250, Memory: 256, Accel: 1}, model.Normal), Run: "a", Time: 2 * clock.Second,
		}).
		WithRoute(spec.Route{Service: "web", Deadline: 5 * clock.Second, Queue: 1000, Attempts: 3, Budget: 10, Backoff: 50}).
		WithCaller(spec.Caller{Name: "portal", Share: 3, Class: model.Urgent}).
		WithCaller(spec.Caller{Name: "crowd", Share: 1, Class: model.Urgent})
	if mark != "" {
		document = document.WithCaller(spec.Caller{Name: model.Caller(mark), Share: 1, Class: model.Low})
	}
	return document
}
