package plan

import (
	"maps"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/share"
)

// job is a job with the state that the leader keeps in memory only.
type job struct {
	*ledger.Job
	team        *team         // nil if it belongs to none
	arrival     share.Arrival // among its team's
	acceptedAt  clock.Millis  // on the leader's clock
	occurrences [][]*step
	closed      bool // its end has been logged
	// started is set once a worker has confirmed the start of a task.
	started bool
	// blamedWorkers holds the workers that failures of the job have counted against since its last success.
	blamedWorkers map[model.WorkerID]bool
}

// step is one step in one occurrence of a job.
type step struct {
	job  *job
	spec flow.Step
	name flow.Task // with index 0
	// tasks holds the attempts that are not settled, by index.
	tasks map[int]*task
	// criticalPath is the longest estimated work from the start of this step to the end of the job.
	criticalPath clock.Millis
	queued       bool         // listed in Planner.ready
	readyAt      clock.Millis // when its predecessors were done and it was due
	dueAt        clock.Millis // on the leader's clock, or 0 if it has no due time
	done         bool
	tickets      ticketState
	reservations []reservation
	// accumulates is set if the reservations of the last pass are those of a gang that accumulates
	// capacity until it can start.
	accumulates bool
	// ticketsArrived is set between the arrival of tickets for the reserved workers and the next pass.
	ticketsArrived bool
	// latestOnTime is the latest start with which the occurrence can meet its objective, and
	// latestUseful the latest one with which it can end within three times the objective.
	latestOnTime, latestUseful clock.Millis
	// suspects holds the tasks that may have crashed a worker, by index; nil if there are none.
	suspects map[int]bool
	// waitingCache holds the result of waitingTasks unless waitingStale is set.
	waitingCache []int
	waitingStale bool
	placed       []*task      // placed in this pass
	triedInPass  uint64       // the last pass that tried to place the step
	visit        uint64       // the last visit in turn that came to the step before others
	retryAt      clock.Millis // placement isn't tried again before
	// stoppedByCap is set if the last pass left tasks of the step waiting because of its team's cap.
	stoppedByCap bool
	// claimsSince is when a gang first had to wait for its team's cap, or 0.
	claimsSince clock.Millis
	runTimes    runTimes
	capPass     uint64 // the last pass in which tasks waited for the team's cap
	drain       *drain // the workers that are drained for a gang, or nil
	pace        stepPace
	// endsAt is when tasks that start in this pass are expected to have ended, if they may use drained capacity.
	endsAt clock.Millis
}

func (j *job) step(t flow.Task) *step { return j.occurrences[t.Occurrence][t.Step] }

func (st *step) record() *ledger.StepState { return &st.job.Steps[st.name.Occurrence][st.name.Step] }

// checkpoint returns the checkpoint from which a task resumes.
func (st *step) checkpoint(index int) string {
	if !st.spec.WritesCheckpoints {
		return ""
	}
	if st.spec.Gang {
		return st.record().Checkpoint
	}
	return st.record().Tasks[index].Checkpoint
}

// unsettledTasks returns the unsettled attempts in the order of their index.
func (st *step) unsettledTasks() []*task {
	list := make([]*task, 0, len(st.tasks))
	for i := range st.spec.Count {
		if t := st.tasks[i]; t != nil {
			list = append(list, t)
		}
	}
	return list
}

// waitingTasks returns the indexes of the tasks that may be placed now. A gang may be placed again
// only when all attempts of its members are settled.
func (st *step) waitingTasks() []int {
	if !st.waitingStale {
		return st.waitingCache
	}
	st.waitingStale = false
	st.waitingCache = st.waitingCache[:0]
	if st.spec.Gang && len(st.tasks) > 0 {
		return nil
	}
	records := st.record().Tasks
	for i := range records {
		if !records[i].Done && st.tasks[i] == nil {
			st.waitingCache = append(st.waitingCache, i)
		}
	}
	return st.waitingCache
}

// failedWork estimates the time that the longest sequence of failed runs of the step has taken. A run fails
// halfway on average.
func (st *step) failedWork() clock.Millis {
	record := st.record()
	failed := record.FailedAttempts
	for i := range record.Tasks {
		failed = max(failed, record.Tasks[i].FailedAttempts)
	}
	return clock.Millis(failed) * st.expectedRunTime() / 2
}

func (st *step) removeTask(t *task) {
	st.waitingStale = true
	t.uncountForTeam()
	if st.tasks[t.name.Index] == t {
		delete(st.tasks, t.name.Index)
	}
}

// setLatestStarts computes by when the steps of an occurrence have to start. An occurrence that
// takes longer than three times its objective has no value left. Runs that failed lengthen the objective:
// it follows from the work that the job itself needs.
func (j *job) setLatestStarts(steps []*step) {
	var longest clock.Millis
	for _, st := range steps {
		longest = max(longest, st.criticalPath)
	}
	for _, st := range steps {
		longest += st.failedWork()
	}
	objective := j.Queue.Target + clock.Millis(j.Queue.Stretch*float64(longest))
	for _, st := range steps {
		start := j.acceptedAt
		if st.dueAt != 0 {
			start = st.dueAt
		}
		st.latestOnTime = start + objective - st.criticalPath
		st.latestUseful = start + 3*objective - st.criticalPath
	}
}

// addJob adds an accepted job, with the attempts that an earlier leader placed.
func (p *Planner) addJob(record *ledger.Job) {
	j := &job{Job: record, team: p.teamOf(record.Team), acceptedAt: min(record.AcceptedAt-p.cfg.UnixOffset, p.now)}
	for occurrence := range record.Steps {
		j.occurrences = append(j.occurrences, p.newOccurrence(j, occurrence))
	}
	p.jobs[record.Definition.ID] = j
	if record.Definition.Occurrences > 0 && !record.HasEnded() {
		p.recurringJobs[record.Definition.ID] = j
	}
	for occurrence := range j.occurrences {
		for _, st := range j.occurrences[occurrence] {
			p.adoptAttempts(st)
		}
	}
	if j.HasEnded() {
		p.closeJob(j, "job is over")
		return
	}
	for occurrence := range j.occurrences {
		for _, st := range j.occurrences[occurrence] {
			if st.record().TasksLeft == 0 {
				st.done = true
			}
		}
		for _, st := range j.occurrences[occurrence] {
			p.enqueue(st)
		}
	}
	p.passNeeded = true
}

func (p *Planner) newOccurrence(j *job, occurrence int) []*step {
	steps := j.Definition.Steps
	list := make([]*step, len(steps))
	for i, s := range steps {
		list[i] = &step{
			job: j, spec: s, tasks: map[int]*task{}, waitingStale: true,
			name: flow.Task{Job: j.Definition.ID, Occurrence: occurrence, Step: i},
		}
		if due := j.Definition.Due(occurrence); due != 0 {
			list[i].dueAt = due - p.cfg.UnixOffset
		}
	}
	for _, st := range list {
		p.setForecast(st)
	}
	j.setCriticalPaths(list)
	return list
}

// setCriticalPaths computes the critical paths of the steps of an occurrence, and by when they have to start.
func (j *job) setCriticalPaths(steps []*step) {
	for _, st := range steps {
		st.criticalPath = 0
	}
	for _, st := range slices.Backward(steps) {
		st.criticalPath += st.expectedRunTime()
		for _, predecessor := range st.spec.After {
			steps[predecessor].criticalPath = max(steps[predecessor].criticalPath, st.criticalPath)
		}
	}
	j.setLatestStarts(steps)
}

// adoptAttempts takes over the attempts that the replicated state records as placed.
func (p *Planner) adoptAttempts(st *step) {
	records := st.record().Tasks
	for i := range records {
		record := &records[i]
		p.updateSuspect(st, i)
		st.job.started = st.job.started || record.Done || record.FailedAttempts > 0 || record.Checkpoint != ""
		if !record.Assigned {
			continue
		}
		name := st.name
		name.Index = i
		t := &task{name: name, attempt: record.Attempt, step: st, stage: stageRunning, startSentAt: p.now, startedAt: p.now, progressedAt: p.now, partial: true}
		st.tasks[i] = t
		w := p.workers[record.Worker]
		if w == nil {
			t.worker = &worker{Worker: flow.Worker{ID: record.Worker, StartedAt: record.WorkerStartedAt}, tasks: map[attemptKey]*task{}, lost: true}
			t.countForTeam() // until its end is committed
			p.endTask(t, ledger.EndLost, "", "worker is gone")
			continue
		}
		t.worker = w
		if st.suspects[i] && !w.lost {
			p.adoptSuspect(st, t)
		}
		t.charge(w)
		t.startCallEndedAt = p.now + maxStartCallTime // the calls of an earlier leader have ended by then
		if w.Incarnation() != record.Incarnation() {
			t.endIfAbsent = ledger.EndWorkerCrash
			p.stopInNextProcess(t)
		}
	}
}

// enqueue adds a step with waiting tasks to the ready queue if its predecessors are done and it is due.
func (p *Planner) enqueue(st *step) {
	if st.queued || st.done || st.job.HasEnded() || (st.dueAt != 0 && p.now < st.dueAt) {
		return
	}
	for _, a := range st.spec.After {
		if !st.job.occurrences[st.name.Occurrence][a].done {
			return
		}
	}
	if len(st.waitingTasks()) == 0 {
		return
	}
	st.queued = true
	p.updateForecast(st)
	p.passUrgent = true
	if st.readyAt == 0 {
		st.readyAt = p.now
	}
	p.ready = append(p.ready, st)
	p.passNeeded = true
}

// finishStep marks a step as done and enqueues the steps that depend on it.
func (p *Planner) finishStep(st *step) {
	if st.done {
		return
	}
	st.done = true
	p.releaseReservations(st)
	p.logEvent(LogEvent{Event: "step done", Job: st.name.Job, Task: st.name.StepName(), Attempt: st.record().HighestAttempt, Age: p.now - st.readyAt})
	for _, next := range st.job.occurrences[st.name.Occurrence] {
		p.enqueue(next)
	}
	if st.job.HasEnded() {
		p.logEvent(LogEvent{Event: "job completed", Job: st.name.Job, Age: p.now - st.job.acceptedAt})
		st.job.closed = true
	}
}

// closeJob stops all attempts of a job that has ended.
func (p *Planner) closeJob(j *job, reason string) {
	for _, steps := range j.occurrences {
		for _, st := range steps {
			p.releaseReservations(st)
			for _, t := range st.unsettledTasks() {
				p.stopTask(t, reason)
			}
		}
	}
	if !j.closed {
		j.closed = true
		p.logEvent(LogEvent{Event: "job closed", Job: j.Definition.ID, Cause: string(j.Phase()) + ": " + reason, Age: p.now - j.acceptedAt})
	}
	if j.IsSettled() && !j.hasTasks() {
		delete(p.jobs, j.Definition.ID)
	}
}

// UnstartedJobs returns the number of jobs of a queue that have assigned tasks but no task that is known
// to have started: the start orders are in transit or were rejected.
func (p *Planner) UnstartedJobs(q flow.Queue) int {
	n := 0
	for _, j := range p.jobs {
		if j.Queue.Host == q.Host && j.Queue.Prefix == q.Prefix && j.Definition.Occurrences == 0 && j.Assigned && !j.started && !j.HasEnded() {
			n++
		}
	}
	return n
}

// hasTasks reports whether the job has unsettled attempts.
func (j *job) hasTasks() bool {
	for _, steps := range j.occurrences {
		for _, st := range steps {
			if len(st.tasks) > 0 {
				return true
			}
		}
	}
	return false
}

// enqueueDueSteps enqueues the steps of occurrences that have become due.
func (p *Planner) enqueueDueSteps() {
	for _, id := range slices.Sorted(maps.Keys(p.recurringJobs)) {
		j := p.recurringJobs[id]
		if j.HasEnded() {
			delete(p.recurringJobs, id)
			continue
		}
		for _, steps := range j.occurrences {
			for _, st := range steps {
				p.enqueue(st)
			}
		}
	}
}

// reservation is capacity of a worker that is set aside for a task of a step.
type reservation struct {
	worker *worker
	amount model.Size
	// drains is set if tasks may use the capacity that end before the gang can start.
	drains bool
	// counted is the declared size of the task for which it is set aside, as counted for its team.
	counted model.Size
}

// addReservation records capacity that was set aside for a step, and counts it for the step's team.
func (st *step) addReservation(r reservation) {
	if owner := st.job.team; owner != nil {
		owner.reserved = owner.reserved.Plus(r.counted)
	}
	st.reservations = append(st.reservations, r)
}

func (p *Planner) releaseReservations(st *step) {
	for _, r := range st.reservations {
		r.worker.reserved = r.worker.reserved.Minus(r.amount)
		p.reserved[r.worker.Pool] -= r.amount.CPU
		if r.drains {
			r.worker.drained = r.worker.drained.Minus(r.amount)
		}
		if owner := st.job.team; owner != nil {
			owner.reserved = owner.reserved.Minus(r.counted)
		}
		p.noteCapacityGain(r.worker)
	}
	st.reservations = nil
}
