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

// BenchmarkSync measures the time that the leader's goroutine takes for one sync, for several numbers
// of tasks per worker. The zone has 640 workers, as with 24,000 workers in 38 zones.
func BenchmarkSync(b *testing.B) {
	const workers = 640
	for _, tasks := range []int{5, 20, 80} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			tz := newBenchZone(b, workers, tasks)
			seq := uint64(1 << 20)
			syncAllWorkers(b, tz, workers)
			for i := 0; b.Loop(); i++ {
				if i%workers == 0 {
					seq++
				}
				// The request reports no held tasks, so that the leader replies at once.
				r := syncRequest(i%workers, seq)
				if _, err := tz.sched.Sync(b.Context(), r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func syncRequest(worker int, seq uint64) proto.SyncRequest {
	return proto.SyncRequest{
		Worker: model.WorkerID(fmt.Sprintf("w%d", worker)), Incarnation: 1, Zone: "z", Rack: model.Rack(fmt.Sprintf("r%d", worker/8)),
		Size: model.Size{CPU: 32000, Memory: 65536}, Epoch: 1, Seq: seq,
	}
}

func syncAllWorkers(b *testing.B, tz *testZone, workers int) {
	b.Helper()
	for w := range workers {
		if _, err := tz.sched.Sync(b.Context(), syncRequest(w, 1<<20)); err != nil {
			b.Fatal(err)
		}
	}
}

// newBenchZone starts the leader of a zone whose workers already hold tasks.
func newBenchZone(b *testing.B, workers, tasks int) *testZone {
	b.Helper()
	tz := &testZone{replica: zone.NewReplica(), source: clock.NewSystem(), epoch: 1}
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
			state.AddJob{Job: id, Work: model.EncodeWork(work), TaskCount: tasks},
			state.AssignTasks{Epoch: 1, Items: items},
			state.StartTasks{Items: starts},
		} {
			if _, err := tz.Propose(b.Context(), command); err != nil {
				b.Fatal(err)
			}
		}
	}
	tz.sched = sched.New(sched.Options{
		Zone: "z", Lease: 10 * clock.Second, Log: tz, State: tz.replica, Leadership: tz, Clock: tz.source,
		Events: trace.NewRecorder(trace.Options{Source: tz.source, Capacity: 100}), Metrics: sched.NewMetrics(prometheus.NewRegistry()),
	})
	ctx, cancel := context.WithCancel(b.Context())
	b.Cleanup(cancel)
	go tz.sched.Run(ctx)
	tz.sched.SetRole(1, true)
	for i := uint64(0); ; i++ {
		if _, err := tz.sched.Sync(b.Context(), syncRequest(0, i)); err == nil {
			return tz
		}
	}
}
