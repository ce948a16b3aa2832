package place_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/proto"
)

const (
	tasksPerWorker = 20 // a fifth of them are services
	tasksPerJob    = 10
)

// steadyFleet is a large fleet in steady state: every task that ends is replaced by a new one.
type steadyFleet struct {
	now       clock.Millis
	scheduler *place.Scheduler
	rng       *rand.Rand
	reports   []place.WorkerReport
	running   []runningTask // without services
	jobs      int
	starts    int
}

type runningTask struct {
	id          model.TaskID
	workerIndex int // in steadyFleet.reports
}

func newSteadyFleet(workers int) *steadyFleet {
	b := &steadyFleet{now: 1_000_000, scheduler: place.New(place.Config{Seed: 1}), rng: rand.New(rand.NewPCG(1, 1))}
	for i := range workers {
		r := place.WorkerReport{
			Worker: model.WorkerID(fmt.Sprintf("w%05d", i)), Incarnation: 1,
			Rack: model.Rack(fmt.Sprintf("r%04d", i/8)), Size: largeWorker,
		}
		b.reports = append(b.reports, r)
		b.scheduler.Step(b.now, r)
	}
	return b
}

func (b *steadyFleet) newWork(service bool) (model.JobID, model.Work) {
	b.jobs++
	kind := b.jobs % 500
	base := model.Base{
		Name: fmt.Sprintf("k%d", kind), Team: model.Team(fmt.Sprintf("t%d", kind%210)), Count: tasksPerJob,
		Urgency: model.Urgency(kind % 3), Size: model.Size{CPU: 1000, Memory: 2000},
	}
	id := model.JobID(fmt.Sprintf("%s/%d", base.Name, b.jobs))
	if service {
		base.Name = "s" + base.Name
		return id, model.Service{Base: base}
	}
	return id, model.Batch{Base: base, Run: "r", Time: 100 * clock.Second}
}

// fillWorkers restores running tasks on all workers and reports them until their use is known.
func (b *steadyFleet) fillWorkers() {
	for n := 0; n < tasksPerWorker*len(b.reports); n += tasksPerJob {
		id, w := b.newWork(n%(5*tasksPerJob) == 0)
		e := place.Submit{Job: id, Work: w}
		for i := range tasksPerJob {
			at := (n + i) % len(b.reports)
			e.Tasks = append(e.Tasks, place.Task{
				Index: i, AcceptedAt: b.now, Attempt: 1,
				Assignment: &place.Assignment{Worker: b.reports[at].Worker, Incarnation: 1, StartedAt: b.now},
			})
			b.addHeld(model.TaskID{Job: id, Index: i}, 1, at, n%(5*tasksPerJob) != 0)
		}
		b.scheduler.Step(b.now, e)
	}
	for range 6 {
		b.syncAll()
	}
}

func (b *steadyFleet) addHeld(id model.TaskID, attempt, at int, batch bool) {
	r := &b.reports[at]
	use := model.Size{CPU: 1100 + model.Millicores(b.rng.IntN(200)), Memory: 2100}
	r.Held = append(r.Held, proto.HeldTask{Task: id, Attempt: attempt, Phase: proto.PhaseRunning, Usage: use})
	if batch {
		b.running = append(b.running, runningTask{id, at})
	}
}

// syncAll simulates one sync of every worker.
func (b *steadyFleet) syncAll() {
	b.now += 500
	for i := range b.reports {
		b.applyDecisions(b.scheduler.Step(b.now, b.reports[i]))
	}
}

func (b *steadyFleet) applyDecisions(out []place.Decision) {
	for _, d := range out {
		if a, ok := d.(place.Assign); ok {
			for _, p := range a.Placements {
				b.starts++
				at, _ := strconv.Atoi(string(p.Worker[1:]))
				b.addHeld(p.Task, p.Attempt, at, true)
			}
		}
	}
}

// replaceTasks ends tasksPerJob random tasks and submits a job of as many.
func (b *steadyFleet) replaceTasks() {
	for range tasksPerJob {
		k := b.rng.IntN(len(b.running))
		x := b.running[k]
		b.running[k] = b.running[len(b.running)-1]
		b.running = b.running[:len(b.running)-1]
		r := &b.reports[x.workerIndex]
		i := slices.IndexFunc(r.Held, func(h proto.HeldTask) bool { return h.Task == x.id })
		h := r.Held[i]
		r.Held = slices.Delete(r.Held, i, i+1)
		b.applyDecisions(b.scheduler.Step(b.now, place.Ended{Task: x.id, Attempt: h.Attempt, End: proto.EndDone, PeakUsage: h.Usage, RunTime: 100 * clock.Second}))
	}
	id, w := b.newWork(false)
	e := place.Submit{Job: id, Work: w}
	for i := range tasksPerJob {
		e.Tasks = append(e.Tasks, place.Task{Index: i, AcceptedAt: b.now})
	}
	b.applyDecisions(b.scheduler.Step(b.now, e))
}

var fleetSizes = []int{50, 500, 4_000, 24_000}

// BenchmarkStart measures one task start in a full fleet: the end of another task, a tenth of the
// submission of a job, and a share of the ticks.
func BenchmarkStart(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			f := newSteadyFleet(n)
			f.fillWorkers()
			f.starts = 0
			rounds := 0
			b.ResetTimer()
			for ; f.starts < b.N; rounds++ {
				f.replaceTasks()
				if rounds%36 == 0 {
					f.now += 100
					f.applyDecisions(f.scheduler.Step(f.now, place.Tick{}))
				}
			}
			b.ReportMetric(float64(rounds*tasksPerJob)/float64(f.starts), "ends/start")
		})
	}
}

// BenchmarkReport measures one report of a worker with 20 tasks; each worker sends two a second.
func BenchmarkReport(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			f := newSteadyFleet(n)
			f.fillWorkers()
			b.ResetTimer()
			for i := range b.N {
				if i%n == 0 {
					f.now += 500
				}
				f.scheduler.Step(f.now, f.reports[i%n])
			}
		})
	}
}

// BenchmarkCancel measures the cancellation of a job for several numbers of waiting tasks.
func BenchmarkCancel(b *testing.B) {
	for _, n := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			e := place.Submit{Job: "a/1", Work: model.Batch{Base: model.Base{Name: "a", Count: n}}}
			for i := range n {
				e.Tasks = append(e.Tasks, place.Task{Index: i})
			}
			const rounds = 20
			for range b.N {
				var took time.Duration
				for range rounds {
					s := place.New(place.Config{})
					s.Step(1, e)
					begin := time.Now()
					s.Step(2, place.Cancel{Job: "a/1"})
					took += time.Since(begin)
				}
				b.ReportMetric(float64(took.Nanoseconds())/rounds, "ns/cancel")
			}
		})
	}
}

// BenchmarkMemory measures the heap size of a worker and of a running task.
func BenchmarkMemory(b *testing.B) {
	const workers = 24_000
	for range b.N {
		before := heapBytes()
		f := newSteadyFleet(workers)
		joined := heapBytes()
		f.fillWorkers()
		b.ReportMetric(float64(joined-before)/workers, "B/worker")
		held := f.reports
		f.reports, f.running = nil, nil
		full := heapBytes()
		f.scheduler = nil
		b.ReportMetric(float64(full-heapBytes()-(joined-before))/(tasksPerWorker*workers), "B/task")
		runtime.KeepAlive(held)
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
