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
	perWorker = 20 // tasks on a worker, of which a fifth are services
	perJob    = 10
)

// big is a large fleet in a steady state: every ended task is replaced by a new one.
type big struct {
	now     clock.Millis
	s       *place.Scheduler
	rng     *rand.Rand
	reports []place.WorkerReport
	batch   []spot // running
	jobs    int
	starts  int
}

type spot struct {
	id model.TaskID
	at int // index of the worker
}

func newBig(workers int) *big {
	b := &big{now: 1_000_000, s: place.New(place.Config{Seed: 1}), rng: rand.New(rand.NewPCG(1, 1))}
	for i := range workers {
		r := place.WorkerReport{
			Worker: model.WorkerID(fmt.Sprintf("w%05d", i)), Incarnation: 1,
			Rack: model.Rack(fmt.Sprintf("r%04d", i/8)), Size: large,
		}
		b.reports = append(b.reports, r)
		b.s.Step(b.now, r)
	}
	return b
}

func (b *big) work(service bool) (model.JobID, model.Work) {
	b.jobs++
	kind := b.jobs % 500
	base := model.Base{
		Name: fmt.Sprintf("k%d", kind), Team: model.Team(fmt.Sprintf("t%d", kind%210)), Count: perJob,
		Urgency: model.Urgency(kind % 3), Size: model.Size{CPU: 1000, Memory: 2000},
	}
	id := model.JobID(fmt.Sprintf("%s/%d", base.Name, b.jobs))
	if service {
		base.Name = "s" + base.Name
		return id, model.Service{Base: base}
	}
	return id, model.Batch{Base: base, Run: "r", Time: 100 * clock.Second}
}

// fill restores running tasks on all workers and reports them until they are measured.
func (b *big) fill() {
	for n := 0; n < perWorker*len(b.reports); n += perJob {
		id, w := b.work(n%(5*perJob) == 0)
		e := place.Submit{Job: id, Work: w}
		for i := range perJob {
			at := (n + i) % len(b.reports)
			e.Tasks = append(e.Tasks, place.Task{
				Index: i, Accepted: b.now, Attempt: 1,
				Placed: &place.Placed{Worker: b.reports[at].Worker, Incarnation: 1, Started: b.now},
			})
			b.hold(model.TaskID{Job: id, Index: i}, 1, at, n%(5*perJob) != 0)
		}
		b.s.Step(b.now, e)
	}
	for range 6 {
		b.report()
	}
}

func (b *big) hold(id model.TaskID, attempt, at int, batch bool) {
	r := &b.reports[at]
	use := model.Size{CPU: 1100 + model.Millicores(b.rng.IntN(200)), Memory: 2100}
	r.Held = append(r.Held, proto.Held{Task: id, Attempt: attempt, Phase: proto.PhaseRunning, Usage: use})
	if batch {
		b.batch = append(b.batch, spot{id, at})
	}
}

// report plays one sync of every worker.
func (b *big) report() {
	b.now += 500
	for i := range b.reports {
		b.apply(b.s.Step(b.now, b.reports[i]))
	}
}

func (b *big) apply(out []place.Decision) {
	for _, d := range out {
		if a, ok := d.(place.Assign); ok {
			for _, p := range a.Placements {
				b.starts++
				at, _ := strconv.Atoi(string(p.Worker[1:]))
				b.hold(p.Task, p.Attempt, at, true)
			}
		}
	}
}

// turnover ends perJob random tasks and submits a job of as many.
func (b *big) turnover() {
	for range perJob {
		k := b.rng.IntN(len(b.batch))
		x := b.batch[k]
		b.batch[k] = b.batch[len(b.batch)-1]
		b.batch = b.batch[:len(b.batch)-1]
		r := &b.reports[x.at]
		i := slices.IndexFunc(r.Held, func(h proto.Held) bool { return h.Task == x.id })
		h := r.Held[i]
		r.Held = slices.Delete(r.Held, i, i+1)
		b.apply(b.s.Step(b.now, place.Ended{Task: x.id, Attempt: h.Attempt, End: proto.EndDone, Usage: h.Usage, Time: 100 * clock.Second}))
	}
	id, w := b.work(false)
	e := place.Submit{Job: id, Work: w}
	for i := range perJob {
		e.Tasks = append(e.Tasks, place.Task{Index: i, Accepted: b.now})
	}
	b.apply(b.s.Step(b.now, e))
}

var fleets = []int{50, 500, 4_000, 24_000}

// BenchmarkStart measures one start in a full fleet: the end of a task, a tenth of a job
// submitted, and its share of the ticks.
func BenchmarkStart(b *testing.B) {
	for _, n := range fleets {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			f := newBig(n)
			f.fill()
			f.starts = 0
			rounds := 0
			b.ResetTimer()
			for ; f.starts < b.N; rounds++ {
				f.turnover()
				if rounds%36 == 0 {
					f.now += 100
					f.apply(f.s.Step(f.now, place.Tick{}))
				}
			}
			b.ReportMetric(float64(rounds*perJob)/float64(f.starts), "ends/start")
		})
	}
}

// BenchmarkReport measures one report of a worker with 20 tasks; each worker sends two a second.
func BenchmarkReport(b *testing.B) {
	for _, n := range fleets {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			f := newBig(n)
			f.fill()
			b.ResetTimer()
			for i := range b.N {
				if i%n == 0 {
					f.now += 500
				}
				f.s.Step(f.now, f.reports[i%n])
			}
		})
	}
}

// BenchmarkCancel measures the cancellation of a job by the number of its waiting tasks.
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

// BenchmarkMemory measures the heap that a worker and a running task take.
func BenchmarkMemory(b *testing.B) {
	const workers = 24_000
	for range b.N {
		before := heap()
		f := newBig(workers)
		joined := heap()
		f.fill()
		b.ReportMetric(float64(joined-before)/workers, "B/worker")
		held := f.reports
		f.reports, f.batch = nil, nil
		full := heap()
		f.s = nil
		b.ReportMetric(float64(full-heap()-(joined-before))/(perWorker*workers), "B/task")
		runtime.KeepAlive(held)
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
