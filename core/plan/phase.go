package plan

import (
	"maps"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// job is the volatile part of what the leader knows of a job.
type job struct {
	*ledger.Job
	accepted clock.Millis // on the leader's clock
	runs     [][]*phase
	closed   bool
	// begun says that a worker has shown that it began a task.
	begun bool
}

// phase is one step of one occurrence.
type phase struct {
	job   *job
	shape flow.Step
	name  flow.Task // index 0
	// tasks holds the attempts that are not settled, by index.
	tasks map[int]*task
	// chain is the longest estimated work from the start of this step to the end of the job.
	chain  clock.Millis
	queued bool
	since  clock.Millis // when its turn came
	due    clock.Millis // on the leader's clock, or 0
	done   bool
	advice advice
	holds  []hold
	// collects says that the room that was kept in the last pass was for a gang that gathers it.
	collects bool
	// granted says that the tickets have come for which room is kept.
	granted bool
	// latest is when the step has to start so that its occurrence ends on time, and late so that it
	// still earns something.
	latest, late clock.Millis
	// idle holds the indexes of waiting tasks unless stale.
	idle   []int
	stale  bool
	chosen []*task      // placed in this pass
	tried  uint64       // the last pass that tried to place it
	lookAt clock.Millis // when it is tried again
}

func (j *job) phase(t flow.Task) *phase { return j.runs[t.Run][t.Step] }

func (ph *phase) record() *ledger.Step { return &ph.job.Steps[ph.name.Run][ph.name.Step] }

// saved returns the checkpoint that a task resumes from.
func (ph *phase) saved(index int) string {
	if !ph.shape.Saves {
		return ""
	}
	if ph.shape.Gang {
		return ph.record().Saved
	}
	return ph.record().Slots[index].Saved
}

// live returns the unsettled attempts in the order of their index.
func (ph *phase) live() []*task {
	list := make([]*task, 0, len(ph.tasks))
	for i := range ph.shape.Count {
		if t := ph.tasks[i]; t != nil {
			list = append(list, t)
		}
	}
	return list
}

// waiting returns the indexes of tasks that may be placed now. A gang waits until its last
// attempt is settled as a whole.
func (ph *phase) waiting() []int {
	if !ph.stale {
		return ph.idle
	}
	ph.stale = false
	ph.idle = ph.idle[:0]
	if ph.shape.Gang && len(ph.tasks) > 0 {
		return nil
	}
	slots := ph.record().Slots
	for i := range slots {
		if !slots[i].Done && ph.tasks[i] == nil {
			ph.idle = append(ph.idle, i)
		}
	}
	return ph.idle
}

func (ph *phase) forgetTask(t *task) {
	ph.stale = true
	if ph.tasks[t.name.Index] == t {
		delete(ph.tasks, t.name.Index)
	}
}

// setTimes computes by when the steps of an occurrence have to start. An occurrence that takes
// three times its objective earns nothing.
func (j *job) setTimes(run []*phase) {
	var longest clock.Millis
	for _, ph := range run {
		longest = max(longest, ph.chain)
	}
	objective := j.Queue.Target + clock.Millis(j.Queue.Stretch*float64(longest))
	for _, ph := range run {
		from := j.accepted
		if ph.due != 0 {
			from = ph.due
		}
		ph.latest = from + objective - ph.chain
		ph.late = from + 3*objective - ph.chain
	}
}

// addJob takes an accepted job in, with the attempts that an earlier leader placed.
func (p *Planner) addJob(lj *ledger.Job) {
	j := &job{Job: lj, accepted: min(lj.Accepted-p.cfg.Offset, p.now)}
	for run := range lj.Steps {
		j.runs = append(j.runs, p.newRun(j, run))
	}
	p.jobs[lj.Work.ID] = j
	if lj.Work.Times > 0 && !lj.Over() {
		p.timed[lj.Work.ID] = j
	}
	for run := range j.runs {
		for _, ph := range j.runs[run] {
			p.inherit(ph)
		}
	}
	if j.Over() {
		p.closeJob(j, "job is over")
		return
	}
	for run := range j.runs {
		for _, ph := range j.runs[run] {
			if ph.record().Left == 0 {
				ph.done = true
			}
		}
		for _, ph := range j.runs[run] {
			p.enqueue(ph)
		}
	}
	p.moved = true
}

func (p *Planner) newRun(j *job, run int) []*phase {
	steps := j.Work.Steps
	list := make([]*phase, len(steps))
	for i, s := range steps {
		list[i] = &phase{
			job: j, shape: s, tasks: map[int]*task{}, stale: true,
			name: flow.Task{Job: j.Work.ID, Run: run, Step: i},
		}
		if due := j.Work.Due(run); due != 0 {
			list[i].due = due - p.cfg.Offset
		}
	}
	for i := len(steps) - 1; i >= 0; i-- {
		list[i].chain += steps[i].Estimate
		for _, before := range steps[i].After {
			list[before].chain = max(list[before].chain, list[i].chain)
		}
	}
	j.setTimes(list)
	return list
}

// inherit takes over the attempts that the state shows as placed.
func (p *Planner) inherit(ph *phase) {
	slots := ph.record().Slots
	for i := range slots {
		s := &slots[i]
		ph.job.begun = ph.job.begun || s.Done || s.Fails > 0 || s.Saved != ""
		if !s.Placed {
			continue
		}
		name := ph.name
		name.Index = i
		t := &task{name: name, number: s.Attempt, phase: ph, stage: running, sentAt: p.now, begunAt: p.now, movedAt: p.now}
		ph.tasks[i] = t
		w := p.workers[s.Worker]
		if w == nil || w.Born != s.Born {
			t.worker = &worker{Worker: flow.Worker{ID: s.Worker, Born: s.Born}, tasks: map[attempt]*task{}, lost: true}
			p.endTask(t, ledger.EndLost, "", "worker is gone")
			continue
		}
		t.worker = w
		t.attach(w)
	}
}

// enqueue puts a phase with waiting tasks into the queue when its turn has come.
func (p *Planner) enqueue(ph *phase) {
	if ph.queued || ph.done || ph.job.Over() || (ph.due != 0 && p.now < ph.due) {
		return
	}
	for _, a := range ph.shape.After {
		if !ph.job.runs[ph.name.Run][a].done {
			return
		}
	}
	if len(ph.waiting()) == 0 {
		return
	}
	ph.queued = true
	p.urgent = true
	if ph.since == 0 {
		ph.since = p.now
	}
	p.ready = append(p.ready, ph)
	p.moved = true
}

// finishPhase lets the steps start that wait for this one.
func (p *Planner) finishPhase(ph *phase) {
	if ph.done {
		return
	}
	ph.done = true
	p.releaseHolds(ph)
	p.note(Note{Event: "step done", Job: ph.name.Job, Task: ph.name.Phase(), Attempt: ph.record().Attempt, Age: p.now - ph.since})
	for _, next := range ph.job.runs[ph.name.Run] {
		p.enqueue(next)
	}
	if ph.job.Over() {
		p.note(Note{Event: "job completed", Job: ph.name.Job, Age: p.now - ph.job.accepted})
		ph.job.closed = true
	}
}

// closeJob stops all that a job runs.
func (p *Planner) closeJob(j *job, reason string) {
	for _, run := range j.runs {
		for _, ph := range run {
			p.releaseHolds(ph)
			for _, t := range ph.live() {
				p.stopTask(t, reason)
			}
		}
	}
	if !j.closed {
		j.closed = true
		p.note(Note{Event: "job closed", Job: j.Work.ID, Cause: string(j.Phase()) + ": " + reason, Age: p.now - j.accepted})
	}
	if j.IsSettled() && !j.hasTasks() {
		delete(p.jobs, j.Work.ID)
	}
}

// Unstarted returns the number of jobs of a queue of which tasks are assigned, but none is known to
// have started: the order is on its way, or was rejected.
func (p *Planner) Unstarted(q flow.Queue) int {
	n := 0
	for _, j := range p.jobs {
		if j.Queue.Host == q.Host && j.Queue.Prefix == q.Prefix && j.Work.Times == 0 && j.Begun && !j.begun && !j.Over() {
			n++
		}
	}
	return n
}

// hasTasks reports whether attempts of the job are not settled.
func (j *job) hasTasks() bool {
	for _, run := range j.runs {
		for _, ph := range run {
			if len(ph.tasks) > 0 {
				return true
			}
		}
	}
	return false
}

// tickDue starts occurrences whose time has come.
func (p *Planner) tickDue() {
	for _, id := range slices.Sorted(maps.Keys(p.timed)) {
		j := p.timed[id]
		if j.Over() {
			delete(p.timed, id)
			continue
		}
		for _, run := range j.runs {
			for _, ph := range run {
				p.enqueue(ph)
			}
		}
	}
}

// hold keeps room on a worker for a phase.
type hold struct {
	w      *worker
	amount model.Size
}

func (p *Planner) releaseHolds(ph *phase) {
	for _, h := range ph.holds {
		h.w.held = h.w.held.Minus(h.amount)
		p.grow(h.w)
	}
	ph.holds = nil
}
