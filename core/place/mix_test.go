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

// mix generates random job arrivals whose work takes a given fraction of the fleet's cores on average.
type mix struct {
	fleet       *fleet
	rng         *rand.Rand
	jobsPerStep [3]float64 // by class
	mixJobs     int        // submitted so far, without floods
	floodJobs   int        // submitted so far for floods
	kindCount   int
	floodRate   [3]int // flood jobs per second by class
}

const (
	meanTasksPerJob = 10.5
	meanTaskTime    = 10 * clock.Second
)

func newMix(f *fleet, seed uint64, load float64) *mix {
	m := &mix{fleet: f, rng: rand.New(rand.NewPCG(seed, 3)), kindCount: 12}
	cores := 0.0
	for _, w := range f.workers {
		cores += float64(w.size.CPU) / 1000
	}
	for u, part := range [3]float64{0.25, 0.4, 0.35} {
		perJob := 0.0
		for k := range m.kindCount {
			w := m.newWork(model.Urgency(u), k, 1, false)
			factors := f.factorsOf(w.Common().Name)
			_, time := gangAndTime(w)
			perJob += meanTasksPerJob * scarcestCores(w.Common().Size) * factors.use * float64(time) * factors.time / float64(m.kindCount)
		}
		m.jobsPerStep[u] = load * part * cores * float64(stepInterval) / perJob
	}
	for i := range 3 {
		f.submit(model.JobID(fmt.Sprintf("svc%d", i)), model.Service{Base: model.Base{
			Name: fmt.Sprintf("svc%d", i), Team: "t0", Count: 6, Urgency: model.Urgent,
			Size: model.Size{CPU: 500, Memory: 1024},
		}})
	}
	return m
}

func (m *mix) submitArrivals() {
	for _, u := range model.Urgencies() {
		for n := m.drawPoisson(m.jobsPerStep[u]); n > 0; n-- {
			m.submitJob(u, 1+m.rng.IntN(20))
		}
		if m.fleet.now%clock.Second == 0 {
			for range m.floodRate[u] {
				m.floodJobs++
				m.fleet.submit(model.JobID(fmt.Sprintf("%sflood/%d", u, m.floodJobs)), m.newWork(u, m.floodJobs%m.kindCount, 50, true))
			}
		}
	}
}

func (m *mix) drawPoisson(mean float64) int {
	n, p := 0, m.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= m.rng.Float64()
	}
	return n
}

func (m *mix) submitJob(u model.Urgency, count int) {
	m.mixJobs++
	w := m.newWork(u, m.rng.IntN(m.kindCount), count, false)
	m.fleet.submit(model.JobID(fmt.Sprintf("%s/%d", w.Common().Name, m.mixJobs)), w)
}

// scarcestCores returns the cores that a size takes, or the cores that correspond to its memory on a
// worker if these are more.
func scarcestCores(s model.Size) float64 { return max(float64(s.CPU)/1000, float64(s.Memory)/2048) }

func (m *mix) newWork(u model.Urgency, k, count int, flood bool) model.Work {
	name := fmt.Sprintf("%s%d", u, k)
	team := model.Team(fmt.Sprintf("t%d", k%3))
	if flood {
		name, team = fmt.Sprintf("%sflood", u), "flood"
	}
	base := model.Base{
		Name: name, Team: team, Count: count, Urgency: u,
		Size: model.Size{CPU: model.Millicores(250 + 250*(k%5)), Memory: model.Mebibytes(512 * (1 + (k+2)%4))},
	}
	time := meanTaskTime/2 + meanTaskTime*clock.Millis(k)/clock.Millis(m.kindCount)
	if k == 0 && !flood {
		base.Count = 8
		base.Name = name + "gang"
		return model.Gang{Base: base, Run: "r", Time: time}
	}
	return model.Batch{Base: base, Run: "r", Time: time, Checkpoint: k%2 == 0}
}

// fifo is the baseline policy: first in, first out, with first fit by declared size.
type fifo struct {
	queue     []*fifoUnit
	workers   []*fifoWorker
	tasks     map[model.TaskID]*fifoTask
	decisions []place.Decision
}

type fifoWorker struct {
	id          model.WorkerID
	incarnation model.Incarnation
	free        model.Size
}

type fifoTask struct {
	id                model.TaskID
	size              model.Size
	attempt           int
	worker            *fifoWorker
	service           bool
	checkpointPercent int
}

type fifoUnit struct{ tasks []*fifoTask }

func (p *fifo) Step(_ clock.Millis, e place.Event) []place.Decision {
	p.decisions = nil
	switch e := e.(type) {
	case place.WorkerReport:
		p.handleReport(e)
	case place.Offer:
		return []place.Decision{place.Accept{Job: e.Job}}
	case place.Submit:
		p.handleSubmit(e)
	case place.Ended:
		p.handleEnded(e)
	}
	p.schedule()
	return p.decisions
}

func (p *fifo) handleReport(e place.WorkerReport) {
	for _, w := range p.workers {
		if w.id == e.Worker {
			return
		}
	}
	p.workers = append(p.workers, &fifoWorker{id: e.Worker, incarnation: e.Incarnation, free: e.Size})
}

func (p *fifo) handleSubmit(e place.Submit) {
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

func (p *fifo) handleEnded(e place.Ended) {
	t := p.tasks[e.Task]
	t.worker.free = t.worker.free.Plus(t.size)
	t.worker = nil
	if e.End == proto.EndDone && !t.service {
		delete(p.tasks, e.Task)
		return
	}
	t.checkpointPercent = e.CheckpointPercent
	p.queue = append([]*fifoUnit{{tasks: []*fifoTask{t}}}, p.queue...)
	p.decisions = append(p.decisions, place.Requeue{Task: e.Task, Attempt: e.Attempt, CheckpointPercent: e.CheckpointPercent})
}

func (p *fifo) schedule() {
	for len(p.queue) > 0 {
		if !p.startUnit(p.queue[0]) {
			return
		}
		p.queue = p.queue[1:]
	}
}

func (p *fifo) startUnit(u *fifoUnit) bool {
	for i, t := range u.tasks {
		for _, w := range p.workers {
			if t.size.FitsIn(w.free) {
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
			Task: t.id, Attempt: t.attempt, Worker: t.worker.id, Incarnation: t.worker.incarnation, CheckpointPercent: t.checkpointPercent,
		})
	}
	p.decisions = append(p.decisions, a)
	return true
}
