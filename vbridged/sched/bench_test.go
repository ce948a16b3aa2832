package sched_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/core/state"
	"vanillabridge/core/trace"
	"vanillabridge/vbridged/sched"
	"vanillabridge/vbridged/zone"
)

// BenchmarkSync measures how long the goroutine of the leader takes for one sync, by the number
// of tasks of the worker, with 640 workers in the zone (24,000 in 38 zones).
func BenchmarkSync(b *testing.B) {
	const workers = 640
	for _, tasks := range []int{5, 20, 80} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c := benchCell(b, workers, tasks)
			seq := uint64(1 << 20)
			greet(b, c, workers)
			for i := 0; b.Loop(); i++ {
				if i%workers == 0 {
					seq++
				}
				// The report lacks the worker's tasks, so that the answer comes at once.
				r := request(i%workers, seq)
				if _, err := c.sched.Sync(b.Context(), r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func request(worker int, seq uint64) proto.SyncRequest {
	return proto.SyncRequest{
		Worker: model.WorkerID(fmt.Sprintf("w%d", worker)), Incarnation: 1, Zone: "z", Rack: model.Rack(fmt.Sprintf("r%d", worker/8)),
		Size: model.Size{CPU: 32000, Memory: 65536}, Epoch: 1, Seq: seq,
	}
}

func greet(b *testing.B, c *cell, workers int) {
	b.Helper()
	for w := range workers {
		if _, err := c.sched.Sync(b.Context(), request(w, 1<<20)); err != nil {
			b.Fatal(err)
		}
	}
}

// benchCell starts a leader of a zone whose workers hold tasks already.
func benchCell(b *testing.B, workers, tasks int) *cell {
	b.Helper()
	c := &cell{zone: zone.NewReplica(), source: clock.NewSystem(), epoch: 1}
	for w := range workers {
		id := model.NewJobID(fmt.Sprintf("job%d", w), "r")
		work := model.Batch{Base: model.Base{Name: fmt.Sprintf("job%d", w), Zones: []model.Zone{"z"}, Count: tasks, Size: model.Size{CPU: 100, Memory: 100}}, Run: "r"}
		var items []state.Assignment
		var starts []state.TaskStart
		for i := range tasks {
			task := model.TaskID{Job: id, Index: i}
			items = append(items, state.Assignment{Task: task, Attempt: 1, Worker: model.WorkerID(fmt.Sprintf("w%d", w)), Incarnation: 1})
			starts = append(starts, state.TaskStart{Task: task, Attempt: 1})
		}
		for _, command := range []state.Command{
			state.AddJob{Job: id, Work: model.NewBox(work), Count: tasks},
			state.Assign{Epoch: 1, Items: items},
			state.Start{Items: starts},
		} {
			if _, err := c.Propose(b.Context(), command); err != nil {
				b.Fatal(err)
			}
		}
	}
	c.sched = sched.New(sched.Options{
		Zone: "z", Lease: 10 * clock.Second, Log: c, State: c.zone, Leadership: c, Clock: c.source,
		Events: trace.NewRecorder(trace.Options{Source: c.source, Size: 100}), Metrics: sched.NewMetrics(prometheus.NewRegistry()),
	})
	ctx, cancel := context.WithCancel(b.Context())
	b.Cleanup(cancel)
	go c.sched.Run(ctx)
	c.sched.Lead(1, true)
	for i := uint64(0); ; i++ {
		if _, err := c.sched.Sync(b.Context(), request(0, i)); err == nil {
			return c
		}
	}
}
