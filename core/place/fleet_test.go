package place_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/proto"
)

// policy is a scheduler that the fleet can be driven with.
type policy interface {
	Step(now clock.Millis, e place.Event) []place.Decision
}

const (
	step      = 100 * clock.Millisecond
	syncEvery = 500 * clock.Millisecond
	startTime = 200 * clock.Millisecond
)

// fleet is a fake of the worker port: workers that sync every 500 ms and run tasks whose true use
// and run time differ from the declared ones.
type fleet struct {
	now     clock.Millis
	policy  policy
	seed    uint64
	workers []*fakeWorker
	byID    map[model.WorkerID]*fakeWorker
	jobs    map[model.JobID]*fakeJob
	kinds   map[string]truth
	noise   float64 // of a single task around its kind
	waiting int
	stats   stats
	check   func(place.Decision) // called before a decision is applied
}

type fakeWorker struct {
	id       model.WorkerID
	rack     model.Rack
	size     model.Size
	inc      model.Incarnation
	tasks    []*fakeTask // assigned; heard of from the next sync on
	bad      bool        // fails every start
	silent   bool
	leaving  bool
	reported bool       // as leaving
	load     model.Size // true use of what runs
}

// truth holds the factors between declared and true values of a kind.
type truth struct{ use, time float64 }

type fakeJob struct {
	id    model.JobID
	work  model.Work
	base  model.Base
	tasks []*fakeTask
	time  clock.Millis
	bad   bool // fails wherever it runs
	state string
	on    map[model.WorkerID]int // failures by worker
}

type fakeTask struct {
	job       *fakeJob
	index     int
	attempt   int
	worker    *fakeWorker
	inc       model.Incarnation // of the worker, as assigned
	accepted  clock.Millis
	first     clock.Millis // first start; -1 before
	heard     bool
	begins    clock.Millis
	runs      bool
	over      bool
	command   proto.Command
	use       model.Size
	need      float64 // run time in ms
	progress  float64
	preempted clock.Millis
	victim    int // attempt that was preempted last
	saved     int
	peak      model.Size
	end       *place.Ended
}

func newFleet(p policy, seed uint64, n int, size model.Size) *fleet {
	f := &fleet{
		now: 1_000_000, policy: p, seed: seed, noise: 0.05,
		byID: make(map[model.WorkerID]*fakeWorker), jobs: make(map[model.JobID]*fakeJob), kinds: make(map[string]truth),
	}
	for i := range n {
		w := &fakeWorker{
			id: model.WorkerID(fmt.Sprintf("w%03d", i)), rack: model.Rack(fmt.Sprintf("r%02d", i/8)), size: size, inc: 1,
		}
		f.workers = append(f.workers, w)
		f.byID[w.id] = w
	}
	for _, w := range f.workers {
		f.sync(w)
	}
	return f
}

// random returns a source that depends on the seed and the name only, so that further jobs change
// nothing for the others.
func (f *fleet) random(name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(f.seed, h.Sum64()))
}

// factor is log-uniform between a quarter and four.
func factor(rng *rand.Rand) float64 { return math.Exp2(4*rng.Float64() - 2) }

func scale(s model.Size, x float64) model.Size {
	return model.Size{
		CPU:    model.Millicores(float64(s.CPU) * x),
		Memory: model.Mebibytes(float64(s.Memory) * x),
		Accel:  s.Accel,
	}
}

func timeOf(work model.Work) (gang bool, time clock.Millis) {
	switch w := work.(type) {
	case model.Batch:
		return false, w.Time
	case model.Gang:
		return true, w.Time
	default:
		return false, 0
	}
}

func (f *fleet) truth(name string) truth {
	tr, ok := f.kinds[name]
	if !ok {
		rng := f.random(name)
		tr = truth{use: factor(rng), time: factor(rng)}
		f.kinds[name] = tr
	}
	return tr
}

// submit offers a job and submits it if it is accepted.
func (f *fleet) submit(id model.JobID, work model.Work) *fakeJob {
	base := work.Common()
	j := &fakeJob{id: id, work: work, base: base, on: make(map[model.WorkerID]int), state: "offered"}
	f.jobs[id] = j
	f.feed(place.Offer{Job: id, Work: work})
	if j.state != "accepted" {
		f.stats.refused[base.Urgency] += base.Count
		return j
	}
	_, j.time = timeOf(work)
	tr := f.truth(base.Name)
	list, rng := make([]place.Task, base.Count), f.random(string(id))
	for i := range list {
		x := math.Min(tr.use*(1+f.noise*(2*rng.Float64()-1)), 4)
		t := &fakeTask{job: j, index: i, accepted: f.now, first: -1, use: scale(base.Size, x)}
		t.need = math.Max(float64(j.time)*tr.time*(0.9+0.2*rng.Float64()), 1)
		j.tasks = append(j.tasks, t)
		list[i] = place.Task{Index: i, Accepted: f.now}
	}
	f.waiting += base.Count
	f.feed(place.Submit{Job: id, Work: work, Tasks: list})
	return j
}

func (f *fleet) feed(e place.Event) {
	for _, d := range f.policy.Step(f.now, e) {
		if f.check != nil {
			f.check(d)
		}
		f.apply(d)
	}
}

func (f *fleet) apply(d place.Decision) {
	switch d := d.(type) {
	case place.Assign:
		for _, p := range d.Placements {
			t := f.task(p.Task)
			t.attempt, t.worker, t.inc, t.command = p.Attempt, f.byID[p.Worker], p.Incarnation, proto.CommandRun
			t.heard, t.runs, t.end = false, false, nil
			t.worker.tasks = append(t.worker.tasks, t)
			f.stats.assigns++
			f.waiting--
		}
	case place.Order:
		if t := f.task(d.Task); t.attempt == d.Attempt && t.worker != nil {
			t.command = d.Command
			if d.Command == proto.CommandStop {
				f.stats.stopped++
			}
		}
	case place.Requeue:
		t := f.task(d.Task)
		t.worker.tasks = slices.DeleteFunc(t.worker.tasks, func(o *fakeTask) bool { return o == t })
		t.worker, t.runs, t.end = nil, false, nil
		f.waiting++
	case place.Accept:
		f.jobs[d.Job].state = "accepted"
	case place.JobFailed:
		f.stats.failed++
		f.drop(f.jobs[d.Job], "failed")
	}
}

// drop ends the tasks of a job that are on no worker.
func (f *fleet) drop(j *fakeJob, state string) {
	j.state = state
	for _, t := range j.tasks {
		if t.worker == nil && !t.over {
			t.over = true
			f.waiting--
		}
	}
}

func (f *fleet) task(id model.TaskID) *fakeTask { return f.jobs[id.Job].tasks[id.Index] }

// run plays the fleet for some time; arrive is called once a step.
func (f *fleet) run(d clock.Millis, arrive func()) {
	for until := f.now + d; f.now < until; {
		f.now += step
		if arrive != nil {
			arrive()
		}
		for i, w := range f.workers {
			f.advance(w)
			if (f.now/step+clock.Millis(i))%(syncEvery/step) == 0 && !w.silent {
				f.sync(w)
			}
		}
		f.feed(place.Tick{})
		if f.waiting > 0 && f.now%clock.Second == 0 {
			f.sample()
		}
	}
}

// advance runs the tasks of a worker for one step; overloaded processors slow all of them.
func (f *fleet) advance(w *fakeWorker) {
	w.load = model.Size{}
	for _, t := range w.tasks {
		if t.heard && !t.runs && t.end == nil && f.now >= t.begins {
			f.begin(w, t)
		}
		if t.runs {
			w.load = w.load.Plus(t.now(f.now))
		}
	}
	if !w.load.Fits(w.size) {
		f.stats.overloads++
	}
	// Memory has no slow path: the operating system kills the task that uses most of it.
	if w.load.Memory > w.size.Memory {
		slices.MaxFunc(w.tasks, func(a, b *fakeTask) int { return cmp.Compare(a.resident(), b.resident()) }).finish(f.now, proto.EndStopped)
	}
	speed := math.Min(1, float64(w.size.CPU)/math.Max(float64(w.load.CPU), 1))
	for _, t := range w.tasks {
		if !t.runs {
			continue
		}
		pace := speed * float64(step)
		if t.command == proto.CommandThrottle || t.command == proto.CommandCheckpoint {
			pace /= 2
		}
		t.progress += pace
		if t.command == proto.CommandCheckpoint || int64(f.now)%10_000 == 0 {
			t.save()
		}
		if t.job.time > 0 && t.progress >= t.need {
			t.finish(f.now, proto.EndDone)
		}
	}
}

func (f *fleet) begin(w *fakeWorker, t *fakeTask) {
	if w.bad || t.job.bad {
		t.finish(f.now, proto.EndNoStart)
		t.job.on[w.id]++
		return
	}
	t.runs = true
	t.peak = model.Size{}
	t.progress = t.need * float64(t.saved) / 100
	if t.first < 0 {
		t.first = f.now
		u := t.job.base.Urgency
		f.stats.waits[u] = append(f.stats.waits[u], float64(f.now-t.accepted))
	}
}

// now returns the momentary use: it swings by a tenth below the peak.
func (t *fakeTask) now(now clock.Millis) model.Size {
	use := scale(t.use, 0.95+0.05*math.Sin(float64(now)/3000+float64(t.index)))
	if t.command == proto.CommandThrottle || t.command == proto.CommandCheckpoint {
		use.CPU /= 2
	}
	t.peak = t.peak.Max(use)
	return use
}

func (t *fakeTask) resident() model.Mebibytes {
	if !t.runs {
		return 0
	}
	return t.use.Memory
}

func (t *fakeTask) save() {
	if b, ok := t.job.work.(model.Batch); ok && b.Checkpoint {
		t.saved = int(100 * t.progress / t.need)
	}
}

func (t *fakeTask) finish(now clock.Millis, end proto.End) {
	t.runs = false
	t.end = &place.Ended{
		Task: model.TaskID{Job: t.job.id, Index: t.index}, Attempt: t.attempt, End: end,
		Usage: t.peak, Time: now - t.begins, Saved: t.saved,
	}
}

// sync plays one sync of a worker: outcomes and usage first, then the answer.
func (f *fleet) sync(w *fakeWorker) {
	kept := w.tasks[:0:0]
	var ended []*fakeTask
	held := make([]proto.Held, 0, len(w.tasks))
	for _, t := range w.tasks {
		if t.end != nil {
			ended = append(ended, t)
			continue
		}
		kept = append(kept, t)
		if t.heard {
			h := proto.Held{Task: model.TaskID{Job: t.job.id, Index: t.index}, Attempt: t.attempt, Phase: proto.PhaseStarting, Saved: t.saved}
			if t.runs {
				h.Phase, h.Usage = proto.PhaseRunning, t.now(f.now)
			}
			held = append(held, h)
		}
	}
	w.tasks = kept
	for _, t := range ended {
		f.over(t)
	}
	w.reported = w.leaving
	f.feed(place.WorkerReport{
		Worker: w.id, Incarnation: w.inc, Rack: w.rack, Size: w.size, Held: held, Leaving: w.leaving,
	})
	for _, t := range w.tasks {
		switch {
		case t.command == proto.CommandStop && t.end == nil:
			t.finish(f.now, proto.EndStopped)
		case !t.heard:
			t.heard, t.begins = true, f.now+startTime
		}
	}
}

func (f *fleet) over(t *fakeTask) {
	u := t.job.base.Urgency
	end := *t.end
	if end.End == proto.EndDone {
		f.stats.done[u]++
		f.stats.turns = append(f.stats.turns, float64(f.now-t.accepted))
		f.stats.goodput[u] += t.need * float64(t.use.CPU) / 1000
		t.over = true
	} else {
		f.stats.thrown += (t.progress - t.need*float64(t.saved)/100) * float64(t.use.CPU) / 1000
	}
	t.progress = 0
	if t.job.state != "accepted" {
		t.over = true
	}
	f.feed(end)
	if t.over {
		t.worker, t.end = nil, nil
	}
}

func (f *fleet) sortedJobs() []model.JobID { return slices.Sorted(maps.Keys(f.jobs)) }
