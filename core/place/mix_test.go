package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/proto"
)

// mix is a seeded arrival of jobs that asks for a given part of the fleet's processors on average.
type mix struct {
	f     *fleet
	rng   *rand.Rand
	rate  [3]float64 // jobs per step by class
	next  int
	kinds int
	flood [3]int // further jobs per second by class
}

const (
	jobTasks = 10.5 // mean number of tasks
	taskTime = 10 * clock.Second
)

func newMix(f *fleet, seed uint64, load float64) *mix {
	m := &mix{f: f, rng: rand.New(rand.NewPCG(seed, 3)), kinds: 12}
	cores := 0.0
	for _, w := range f.workers {
		cores += float64(w.size.CPU) / 1000
	}
	for u, part := range [3]float64{0.25, 0.4, 0.35} {
		perJob := 0.0
		for k := range m.kinds {
			w := m.work(model.Urgency(u), k, 1, false)
			tr := f.truth(w.Common().Name)
			_, time := timeOf(w)
			perJob += jobTasks * scarce(w.Common().Size) * tr.use * float64(time) * tr.time / float64(m.kinds)
		}
		m.rate[u] = load * part * cores * float64(step) / perJob
	}
	for i := range 3 {
		f.submit(model.JobID(fmt.Sprintf("svc%d", i)), model.Service{Base: model.Base{
			Name: fmt.Sprintf("svc%d", i), Team: "t0", Count: 6, Urgency: model.Urgent,
			Size: model.Size{CPU: 500, Memory: 1024},
		}})
	}
	return m
}

func (m *mix) arrive() {
	for _, u := range model.Urgencies() {
		for n := m.poisson(m.rate[u]); n > 0; n-- {
			m.submit(u, 1+m.rng.IntN(20), false)
		}
		if m.f.now%clock.Second == 0 {
			for range m.flood[u] {
				m.submit(u, 50, true)
			}
		}
	}
}

func (m *mix) poisson(mean float64) int {
	n, p := 0, m.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= m.rng.Float64()
	}
	return n
}

func (m *mix) submit(u model.Urgency, count int, flood bool) {
	m.next++
	w := m.work(u, m.rng.IntN(m.kinds), count, flood)
	m.f.submit(model.JobID(fmt.Sprintf("%s/%d", w.Common().Name, m.next)), w)
}

// scarce is the processor that a size takes, counting memory at its ratio on the workers.
func scarce(s model.Size) float64 { return max(float64(s.CPU)/1000, float64(s.Memory)/2048) }

func (m *mix) work(u model.Urgency, k, count int, flood bool) model.Work {
	name := fmt.Sprintf("%s%d", u, k)
	team := model.Team(fmt.Sprintf("t%d", k%3))
	if flood {
		name, team = fmt.Sprintf("%sflood", u), "flood"
	}
	base := model.Base{
		Name: name, Team: team, Count: count, Urgency: u,
		Size: model.Size{CPU: model.Millicores(250 + 250*(k%5)), Memory: model.Mebibytes(512 * (1 + (k+2)%4))},
	}
	time := taskTime/2 + taskTime*clock.Millis(k)/clock.Millis(m.kinds)
	if k == 0 && !flood {
		base.Count = 8
		base.Name = name + "gang"
		return model.Gang{Base: base, Run: "r", Time: time}
	}
	return model.Batch{Base: base, Run: "r", Time: time, Checkpoint: k%2 == 0}
}

// fifo is the baseline: first-in first-out with first fit on declared sizes.
type fifo struct {
	queue   []*fifoUnit
	workers []*fifoWorker
	tasks   map[model.TaskID]*fifoTask
	out     []place.Decision
}

type fifoWorker struct {
	id   model.WorkerID
	inc  model.Incarnation
	free model.Size
}

type fifoTask struct {
	id      model.TaskID
	size    model.Size
	attempt int
	worker  *fifoWorker
	service bool
	saved   int
}

type fifoUnit struct{ tasks []*fifoTask }

func (p *fifo) Step(_ clock.Millis, e place.Event) []place.Decision {
	p.out = nil
	switch e := e.(type) {
	case place.WorkerReport:
		p.report(e)
	case place.Offer:
		return []place.Decision{place.Accept{Job: e.Job}}
	case place.Submit:
		p.submit(e)
	case place.Ended:
		p.ended(e)
	}
	p.schedule()
	return p.out
}

func (p *fifo) report(e place.WorkerReport) {
	for _, w := range p.workers {
		if w.id == e.Worker {
			return
		}
	}
	p.workers = append(p.workers, &fifoWorker{id: e.Worker, inc: e.Incarnation, free: e.Size})
}

func (p *fifo) submit(e place.Submit) {
	if p.tasks == nil {
		p.tasks = make(map[model.TaskID]*fifoTask)
	}
	_, gang := e.Work.(model.Gang)
	_, service := e.Work.(model.Service)
	var list []*fifoTask
	for _, in := range e.Tasks {
		t := &fifoTask{id: model.TaskID{Job: e.Job, Index: in.Index}, size: e.Work.Common().Size, service: service}
		p.tasks[t.id] = t
		list = append(list, t)
	}
	if gang {
		p.queue = append(p.queue, &fifoUnit{tasks: list})
		return
	}
	for _, t := range list {
		p.queue = append(p.queue, &fifoUnit{tasks: []*fifoTask{t}})
	}
}

func (p *fifo) ended(e place.Ended) {
	t := p.tasks[e.Task]
	t.worker.free = t.worker.free.Plus(t.size)
	t.worker = nil
	if e.End == proto.EndDone && !t.service {
		delete(p.tasks, e.Task)
		return
	}
	t.saved = e.Saved
	p.queue = append([]*fifoUnit{{tasks: []*fifoTask{t}}}, p.queue...)
	p.out = append(p.out, place.Requeue{Task: e.Task, Attempt: e.Attempt, Saved: e.Saved})
}

func (p *fifo) schedule() {
	for len(p.queue) > 0 {
		if !p.start(p.queue[0]) {
			return
		}
		p.queue = p.queue[1:]
	}
}

func (p *fifo) start(u *fifoUnit) bool {
	for i, t := range u.tasks {
		for _, w := range p.workers {
			if t.size.Fits(w.free) {
				t.worker, w.free = w, w.free.Minus(t.size)
				break
			}
		}
		if t.worker == nil {
			for _, o := range u.tasks[:i] {
				o.worker.free = o.worker.free.Plus(o.size)
				o.worker = nil
			}
			return false
		}
	}
	a := place.Assign{}
	for _, t := range u.tasks {
		t.attempt++
		a.Placements = append(a.Placements, place.Placement{
			Task: t.id, Attempt: t.attempt, Worker: t.worker.id, Incarnation: t.worker.inc, Saved: t.saved,
		})
	}
	p.out = append(p.out, a)
	return true
}
