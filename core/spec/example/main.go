// Command example prints the configuration of a small cell.
package main

import (
	"fmt"
	"os"

	"vanillabridge/core/spec"
)

// version is the version in force plus one; raise it with each change.
const version = 7

func main() {
	_, notes, err := cell().Check(nil)
	for _, n := range notes {
		fmt.Fprintln(os.Stderr, "note:", n)
	}
	if err == nil {
		err = cell().Print(os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func cell() spec.Document {
	zones := []spec.Zone{"east-a", "west-a", "north-a"}
	d := spec.New(version).WithTeam(spec.Team{
		Name:  "alpha",
		Quota: spec.Size{CPU: 64 * spec.Core, Memory: 128 * spec.GiB},
		Floor: 20,
	})
	d = d.WithService(spec.Service{Base: spec.Base{
		Name: "web", Team: "alpha", Zones: zones, Count: 6, Urgency: spec.Urgent,
		Size: spec.Size{CPU: 1 * spec.Core, Memory: 512 * spec.MiB},
	}})
	d = d.WithRoute(spec.Route{Service: "web", Deadline: 5 * spec.Second, Queue: 1000})
	for _, zone := range zones {
		d = d.WithBatch(spec.Batch{
			Base: spec.Base{
				Name: "report-" + string(zone), Team: "alpha", Zones: []spec.Zone{zone}, Count: 100,
				Size: spec.Size{CPU: spec.Core / 2, Memory: 256 * spec.MiB}, Urgency: spec.Normal,
			},
			Run: "2026-12-04", Time: 1 * spec.Minute, Checkpoint: true,
		})
	}
	return d.WithCaller(spec.Caller{Name: "portal", Share: 3, Class: spec.Urgent})
}
