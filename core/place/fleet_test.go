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

// policy is a scheduler under test: the Scheduler or the fifo baseline.
type policy interface {
	Step(now clock.Millis, e place.Event) []place.Decision
}

const (
	stepInterval  = 100 * clock.Millisecond
	syncInterval  = 500 * clock.Millisecond
	taskStartTime = 200 * clock.Millisecond
)

// fleet simulates workers that sync every 500 ms and run tasks whose true use and run time differ
// from the declared ones.
type fleet struct {
	now           clock.Millis
	policy        policy
	seed          uint64
	workers       []*fakeWorker
	byID          map[model.WorkerID]*fakeWorker
	jobs          map[model.JobID]*fakeJob
	factors       map[string]kindFactors
	useNoise      float64 // relative deviation of a task from its kind, at most
	waitingTasks  int
	stats         stats
	checkDecision func(place.Decision) // called before a decision is applied
}

type fakeWorker struct {
	id              model.WorkerID
	rack            model.Rack
	size            model.Size
	incarnation     model.Incarnation
	tasks           []*fakeTask // assigned; the worker receives them in its next sync
	failsStarts     bool        // every task fails to start on it
	silent          bool
	leaving         bool
	reportedLeaving bool
	load            model.Size // use of its running tasks
}

// kindFactors holds the ratios of true to declared use and run time of a kind.
type kindFactors struct{ use, time float64 }

type fakeJob struct {
	id           model.JobID
	work         model.Work
	base         model.Base
	tasks        []*fakeTask
	declaredTime clock.Millis
	failsStarts  bool // its tasks fail to start on every worker
	// crashesWorkers is set if its first task ends the process of every worker that starts it; crashes counts
	// these workers.
	crashesWorkers bool
	crashes        int
	state          string
	startFailures  map[model.WorkerID]int
}

type fakeTask struct {
	job               *fakeJob
	index             int
	attempt           int
	worker            *fakeWorker
	incarnation       model.Incarnation // of the worker when the task was assigned
	acceptedAt        clock.Millis
	firstStart        clock.Millis // -1 if not started yet
	received          bool
	startAt           clock.Millis
	running           bool
	finished          bool
	command           proto.Command
	trueUse           model.Size
	runMillis         float64 // true run time
	doneMillis        float64
	preemptedAt       clock.Millis
	preemptedAttempt  int // last attempt that was preempted
	checkpointPercent int
	peak              model.Size
	outcome           *place.Ended
}

func newFleet(p policy, seed uint64, n int, size model.Size) *fleet {
	f := &fleet{
		now: 1_000_000, policy: p, seed: seed, useNoise: 0.05,
		byID: make(map[model.WorkerID]*fakeWorker), jobs: make(map[model.JobID]*fakeJob), factors: make(map[string]kindFactors),
	}
	for i := range n {
		w := &fakeWorker{
			id: model.WorkerID(fmt.Sprintf("w%03d", i)), rack: model.Rack(fmt.Sprintf("r%02d", i/8)), size: size, incarnation: 1,
		}
		f.workers = append(f.workers, w)
		f.byID[w.id] = w
	}
	for _, w := range f.workers {
		f.syncWorker(w)
	}
	return f
}

// randomFor returns a random source that depends only on the seed and the name, so that additional
// jobs do not change the others.
func (f *fleet) randomFor(name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(f.seed, h.Sum64()))
}

// randomFactor returns a log-uniform number between a quarter and four.
func randomFactor(rng *rand.Rand) float64 { return math.Exp2(4*rng.Float64() - 2) }

func scaleSize(s model.Size, x float64) model.Size {
	return model.Size{
		CPU:    model.Millicores(float64(s.CPU) * x),
		Memory: model.Mebibytes(float64(s.Memory) * x),
		Accel:  s.Accel,
	}
}

func gangAndTime(work model.Work) (gang bool, time clock.Millis) {
	switch w := work.(type) {
	case model.Batch:
		return false, w.Time
	case model.Gang:
		return true, w.Time
	default:
		return false, 0
	}
}

func (f *fleet) factorsOf(name string) kindFactors {
	factors, ok := f.factors[name]
	if !ok {
		rng := f.randomFor(name)
		factors = kindFactors{use: randomFactor(rng), time: randomFactor(rng)}
		f.factors[name] = factors
	}
	return factors
}

// submit offers a job and submits it if it is accepted.
func (f *fleet) submit(id model.JobID, work model.Work) *fakeJob {
	base := work.Common()
	j := &fakeJob{id: id, work: work, base: base, startFailures: make(map[model.WorkerID]int), state: "offered"}
	f.jobs[id] = j
	f.sendEvent(place.Offer{Job: id, Work: work})
	if j.state != "accepted" {
		f.stats.refusedTasks[base.Urgency] += base.Count
		return j
	}
	_, j.declaredTime = gangAndTime(work)
	factors := f.factorsOf(base.Name)
	list, rng := make([]place.Task, base.Count), f.randomFor(string(id))
	for i := range list {
		x := math.Min(factors.use*(1+f.useNoise*(2*rng.Float64()-1)), 4)
		t := &fakeTask{job: j, index: i, acceptedAt: f.now, firstStart: -1, trueUse: scaleSize(base.Size, x)}
		t.runMillis = math.Max(float64(j.declaredTime)*factors.time*(0.9+0.2*rng.Float64()), 1)
		j.tasks = append(j.tasks, t)
		list[i] = place.Task{Index: i, AcceptedAt: f.now}
	}
	f.waitingTasks += base.Count
	f.sendEvent(place.Submit{Job: id, Work: work, Tasks: list})
	return j
}

func (f *fleet) sendEvent(e place.Event) {
	for _, d := range f.policy.Step(f.now, e) {
		if f.checkDecision != nil {
			f.checkDecision(d)
		}
		f.applyDecision(d)
	}
}

func (f *fleet) applyDecision(d place.Decision) {
	switch d := d.(type) {
	case place.Assign:
		for _, p := range d.Placements {
			t := f.taskByID(p.Task)
			t.attempt, t.worker, t.incarnation, t.command = p.Attempt, f.byID[p.Worker], p.Incarnation, proto.CommandRun
			t.received, t.running, t.outcome = false, false, nil
			t.worker.tasks = append(t.worker.tasks, t)
			f.stats.assigns++
			f.waitingTasks--
		}
	case place.Order:
		if t := f.taskByID(d.Task); t.attempt == d.Attempt && t.worker != nil {
			t.command = d.Command
			if d.Command == proto.CommandStop {
				f.stats.stopOrders++
			}
		}
	case place.Requeue:
		t := f.taskByID(d.Task)
		t.worker.tasks = slices.DeleteFunc(t.worker.tasks, func(o *fakeTask) bool { return o == t })
		t.worker, t.running, t.outcome = nil, false, nil
		f.waitingTasks++
	case place.Accept:
		f.jobs[d.Job].state = "accepted"
	case place.JobFailed:
		f.stats.failedJobs++
		f.endUnplacedTasks(f.jobs[d.Job], "failed")
	}
}

// endUnplacedTasks sets the state of a job and ends its tasks that are on no worker.
func (f *fleet) endUnplacedTasks(j *fakeJob, state string) {
	j.state = state
	for _, t := range j.tasks {
		if t.worker == nil && !t.finished {
			t.finished = true
			f.waitingTasks--
		}
	}
}

func (f *fleet) taskByID(id model.TaskID) *fakeTask { return f.jobs[id.Job].tasks[id.Index] }

// run simulates the fleet for d. It calls arrive, unless nil, once per step.
func (f *fleet) run(d clock.Millis, arrive func()) {
	for until := f.now + d; f.now < until; {
		f.now += stepInterval
		if arrive != nil {
			arrive()
		}
		for i, w := range f.workers {
			f.advanceWorker(w)
			if (f.now/stepInterval+clock.Millis(i))%(syncInterval/stepInterval) == 0 && !w.silent {
				f.syncWorker(w)
			}
		}
		f.sendEvent(place.Tick{})
		if f.waitingTasks > 0 && f.now%clock.Second == 0 {
			f.sampleUse()
		}
	}
}

// advanceWorker runs the tasks of a worker for one step. If the CPU is overloaded, all slow down.
func (f *fleet) advanceWorker(w *fakeWorker) {
	w.load = model.Size{}
	for _, t := range w.tasks {
		if t.received && !t.running && t.outcome == nil && f.now >= t.startAt {
			f.startTask(w, t)
		}
		if t.running {
			w.load = w.load.Plus(t.currentUse(f.now))
		}
	}
	if !w.load.FitsIn(w.size) {
		f.stats.overloadedSteps++
	}
	// Tasks do not slow down when memory is short: the task that uses most of it is killed, as by the
	// operating system.
	if w.load.Memory > w.size.Memory {
		slices.MaxFunc(w.tasks, func(a, b *fakeTask) int { return cmp.Compare(a.residentMemory(), b.residentMemory()) }).endAttempt(f.now, proto.EndStopped)
	}
	speed := math.Min(1, float64(w.size.CPU)/math.Max(float64(w.load.CPU), 1))
	for _, t := range w.tasks {
		if !t.running {
			continue
		}
		pace := speed * float64(stepInterval)
		if t.command == proto.CommandThrottle || t.command == proto.CommandCheckpoint {
			pace /= 2
		}
		t.doneMillis += pace
		if t.command == proto.CommandCheckpoint || int64(f.now)%10_000 == 0 {
			t.saveCheckpoint()
		}
		if t.job.declaredTime > 0 && t.doneMillis >= t.runMillis {
			t.endAttempt(f.now, proto.EndDone)
		}
	}
}

func (f *fleet) startTask(w *fakeWorker, t *fakeTask) {
	if t.job.crashesWorkers && t.index == 0 {
		t.job.crashes++
		w.killTasks()
		w.incarnation++
		return
	}
	if w.failsStarts || t.job.failsStarts {
		t.endAttempt(f.now, proto.EndNoStart)
		t.job.startFailures[w.id]++
		return
	}
	t.running = true
	t.peak = model.Size{}
	t.doneMillis = t.runMillis * float64(t.checkpointPercent) / 100
	if t.firstStart < 0 {
		t.firstStart = f.now
		u := t.job.base.Urgency
		f.stats.waitMillis[u] = append(f.stats.waitMillis[u], float64(f.now-t.acceptedAt))
	}
}

// currentUse returns the use at a time, which varies between the true use and a tenth below it.
func (t *fakeTask) currentUse(now clock.Millis) model.Size {
	use := scaleSize(t.trueUse, 0.95+0.05*math.Sin(float64(now)/3000+float64(t.index)))
	if t.command == proto.CommandThrottle || t.command == proto.CommandCheckpoint {
		use.CPU /= 2
	}
	t.peak = t.peak.Max(use)
	return use
}

func (t *fakeTask) residentMemory() model.Mebibytes {
	if !t.running {
		return 0
	}
	return t.trueUse.Memory
}

func (t *fakeTask) saveCheckpoint() {
	if b, ok := t.job.work.(model.Batch); ok && b.Checkpoint {
		t.checkpointPercent = int(100 * t.doneMillis / t.runMillis)
	}
}

func (t *fakeTask) endAttempt(now clock.Millis, end proto.TaskEndKind) {
	t.running = false
	t.outcome = &place.Ended{
		Task: model.TaskID{Job: t.job.id, Index: t.index}, Attempt: t.attempt, End: end,
		PeakUsage: t.peak, RunTime: now - t.startAt, CheckpointPercent: t.checkpointPercent,
	}
}

// syncWorker simulates one sync of a worker: it sends outcomes and usage, then the worker applies the
// decisions it receives.
func (f *fleet) syncWorker(w *fakeWorker) {
	kept := w.tasks[:0:0]
	var ended []*fakeTask
	held := make([]proto.HeldTask, 0, len(w.tasks))
	for _, t := range w.tasks {
		if t.outcome != nil {
			ended = append(ended, t)
			continue
		}
		kept = append(kept, t)
		if t.received {
			h := proto.HeldTask{Task: model.TaskID{Job: t.job.id, Index: t.index}, Attempt: t.attempt, Phase: proto.PhaseStarting, CheckpointPercent: t.checkpointPercent}
			if t.running {
				h.Phase, h.Usage = proto.PhaseRunning, t.currentUse(f.now)
			}
			held = append(held, h)
		}
	}
	w.tasks = kept
	for _, t := range ended {
		f.reportEnd(t)
	}
	w.reportedLeaving = w.leaving
	f.sendEvent(place.WorkerReport{
		Worker: w.id, Incarnation: w.incarnation, Rack: w.rack, Size: w.size, Held: held, Leaving: w.leaving,
	})
	for _, t := range w.tasks {
		switch {
		case t.command == proto.CommandStop && t.outcome == nil:
			t.endAttempt(f.now, proto.EndStopped)
		case !t.received:
			t.received, t.startAt = true, f.now+taskStartTime
		}
	}
}

func (f *fleet) reportEnd(t *fakeTask) {
	u := t.job.base.Urgency
	end := *t.outcome
	if end.End == proto.EndDone {
		f.stats.doneTasks[u]++
		f.stats.turnaroundMillis = append(f.stats.turnaroundMillis, float64(f.now-t.acceptedAt))
		f.stats.goodputCoreMillis[u] += t.runMillis * float64(t.trueUse.CPU) / 1000
		t.finished = true
	} else {
		f.stats.lostCoreMillis += (t.doneMillis - t.runMillis*float64(t.checkpointPercent)/100) * float64(t.trueUse.CPU) / 1000
	}
	t.doneMillis = 0
	if t.job.state != "accepted" {
		t.finished = true
	}
	f.sendEvent(end)
	if t.finished {
		t.worker, t.outcome = nil, nil
	}
}

func (f *fleet) sortedJobIDs() []model.JobID { return slices.Sorted(maps.Keys(f.jobs)) }
