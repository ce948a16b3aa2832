package state_test

import (
	"fmt"
	"runtime"
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/state"
)

// tasksPerJob approximates the size expected in two years: 250,000 jobs a day with 470,000
// tasks running.
const tasksPerJob = 20

// newFilledZone returns a zone with n assigned tasks.
func newFilledZone(b *testing.B, n int) *state.Zone {
	b.Helper()
	zone := state.NewZone()
	for i := 0; i < n/tasksPerJob; i++ {
		id := model.NewJobID(fmt.Sprintf("job-%d", i), "r")
		work := model.Batch{Base: model.Base{Name: string(id), Team: "team", Zones: []model.Zone{"zone-a"}, Count: tasksPerJob}, Run: "r"}
		zone.Apply(state.AddJob{Job: id, Work: model.EncodeWork(work), TaskCount: tasksPerJob})
		items := make([]state.Assignment, tasksPerJob)
		for k := range items {
			items[k] = state.Assignment{
				Task: model.TaskID{Job: id, Index: k}, Attempt: 1,
				Worker: model.WorkerID(fmt.Sprintf("worker-%d", (i*tasksPerJob+k)%640)), Incarnation: 1,
			}
		}
		zone.Apply(state.AssignTasks{Items: items})
	}
	return zone
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkZoneSnapshot measures the time to encode a zone with n tasks, and the heap and
// snapshot bytes per task.
func BenchmarkZoneSnapshot(b *testing.B) {
	for _, n := range []int{1_000, 12_400, 124_000} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			before := heapBytes()
			zone := newFilledZone(b, n)
			perTask := float64(heapBytes()-before) / float64(n)
			var size int
			for b.Loop() {
				data, err := zone.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(perTask, "heapB/task")
			b.ReportMetric(float64(size)/float64(n), "snapB/task")
		})
	}
}

// BenchmarkZoneRestore measures the time to restore a zone from a snapshot.
func BenchmarkZoneRestore(b *testing.B) {
	for _, n := range []int{1_000, 12_400, 124_000} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			data, err := newFilledZone(b, n).Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if err := state.NewZone().Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkZoneLife measures the time and log bytes that a task costs over its life: it is
// assigned, started and finished in batches of 32, with commands encoded and decoded as in
// the log.
func BenchmarkZoneLife(b *testing.B) {
	const batch = 32
	zone := state.NewZone()
	work := model.EncodeWork(model.Batch{Base: model.Base{Name: "job", Count: batch}, Run: "r"})
	bytes, tasks := 0, 0
	for i := 0; b.Loop(); i++ {
		id := model.NewJobID("job", fmt.Sprint(i))
		var assigns []state.Assignment
		var starts []state.TaskStart
		var ends []state.TaskEnd
		for k := range batch {
			task := model.TaskID{Job: id, Index: k}
			assigns = append(assigns, state.Assignment{Task: task, Attempt: 1, Worker: "worker-100", Incarnation: 1 << 60})
			starts = append(starts, state.TaskStart{Task: task, Attempt: 1})
			ends = append(ends, state.TaskEnd{Task: task, Attempt: 1, NextPhase: "done"})
		}
		for _, c := range []state.Command{
			state.AddJob{Job: id, Work: work, TaskCount: batch},
			state.AssignTasks{Items: assigns},
			state.StartTasks{Items: starts},
			state.FinishTasks{Items: ends},
			state.Expire{At: 48 * clock.Hour},
		} {
			bytes += applyThroughCodec(b, zone, c)
		}
		tasks += batch
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tasks), "ns/task")
	b.ReportMetric(float64(bytes)/float64(tasks), "logB/task")
}

func applyThroughCodec(b *testing.B, zone *state.Zone, c state.Command) int {
	data, err := state.EncodeCommand(c)
	if err != nil {
		b.Fatal(err)
	}
	decoded, err := state.DecodeCommand(data)
	if err != nil {
		b.Fatal(err)
	}
	zone.Apply(decoded)
	return len(data)
}

// BenchmarkRecords measures the heap bytes of a record of a non-idempotent request with an
// answer of 500 bytes.
func BenchmarkRecords(b *testing.B) {
	const n = 100_000
	for b.Loop() {
		before := heapBytes()
		zone := state.NewZone()
		for i := range n {
			key := once.Key{Caller: "caller", Key: fmt.Sprintf("zone-a:%032d", i)}
			token := once.Token{Instance: "entry1", Incarnation: 1, Number: uint64(i)}
			zone.Apply(state.OpenRecord{Key: key, Token: token, TimeLeft: clock.Second})
			zone.Apply(state.CloseRecord{Key: key, Token: token, Answer: once.Answer{Status: 200, Body: make([]byte, 500)}})
		}
		b.ReportMetric(float64(heapBytes()-before)/n, "heapB/record")
		runtime.KeepAlive(zone)
	}
}
