package ledger

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
)

// Job is the record of an accepted job.
type Job struct {
	_          struct{} `cbor:",toarray"`
	Definition flow.Job
	// Queue is the configuration of the queue at the time when the job was accepted.
	Queue      flow.Queue
	AcceptedAt clock.Millis // since 1970
	// Assigned is set once any task was assigned.
	Assigned  bool
	Cancelled bool
	Failed    bool
	// EndedAt is when the job ended, since 1970, or 0 if it has not.
	EndedAt clock.Millis
	// StepsLeft is the number of steps, over all occurrences, that are not done.
	StepsLeft int
	// Steps holds the steps of each occurrence.
	Steps [][]StepState
	// Team is the team whose key submitted the job; empty if it needed none.
	Team string `cbor:"-"`
}

// StepState is the record of one step of one occurrence.
type StepState struct {
	_ struct{} `cbor:",toarray"`
	// TasksLeft is the number of tasks that are not done.
	TasksLeft int
	// HighestAttempt is the highest attempt of any task. FailedAttempts counts the attempts of a gang
	// that failed.
	HighestAttempt int
	FailedAttempts int
	// LastFailedAttempt is the last attempt of a gang that was counted in FailedAttempts.
	LastFailedAttempt int
	// Checkpoint is the last checkpoint of a gang.
	Checkpoint string
	Tasks      []TaskState
}

// TaskState is the record of one task.
type TaskState struct {
	_              struct{} `cbor:",toarray"`
	Attempt        int
	FailedAttempts int
	Done           bool
	// Assigned is set while Attempt is assigned to the incarnation of Worker that started at
	// WorkerStartedAt, and has not ended.
	Assigned        bool
	Worker          model.WorkerID
	WorkerStartedAt clock.Millis
	Checkpoint      string
}

// Incarnation returns the incarnation that Attempt is assigned to while Assigned is set.
func (ts *TaskState) Incarnation() flow.Incarnation {
	return flow.Incarnation{ID: ts.Worker, StartedAt: ts.WorkerStartedAt}
}

// Phase is the state of a job in the API.
type Phase string

// Phases of a job.
const (
	PhaseQueued    Phase = "queued"
	PhaseRunning   Phase = "running"
	PhaseCompleted Phase = "completed"
	PhaseFailed    Phase = "failed"
	PhaseCancelled Phase = "cancelled"
)

// Phase returns the phase of the job.
func (j *Job) Phase() Phase {
	switch {
	case j.Cancelled:
		return PhaseCancelled
	case j.Failed:
		return PhaseFailed
	case j.StepsLeft == 0:
		return PhaseCompleted
	case j.Assigned:
		return PhaseRunning
	}
	return PhaseQueued
}

// HasEnded reports whether the job has completed, failed or been cancelled. No task of it may be
// started from then on.
func (j *Job) HasEnded() bool { return j.Cancelled || j.Failed || j.StepsLeft == 0 }

// IsSettled reports whether the job has ended and none of its tasks can still run on a worker. The
// records of such a job's steps are dropped.
func (j *Job) IsSettled() bool { return j.HasEnded() && len(j.Steps) == 0 }

func (j *Job) isPending() bool { return j.Definition.Occurrences == 0 && !j.Assigned && !j.HasEnded() }

// dropDetails drops what is needed only until the job is settled. The record of a job stays long after
// its end, so that callers can query it, and with the details it would make up most of the memory of
// a leader and of its snapshots.
func (j *Job) dropDetails() {
	j.Definition.Spec, j.Definition.Steps, j.Steps = "", nil, nil
}

// hasAssignedTasks reports whether a task of the job may still run on a worker.
func (j *Job) hasAssignedTasks() bool {
	for _, steps := range j.Steps {
		for i := range steps {
			for k := range steps[i].Tasks {
				if steps[i].Tasks[k].Assigned {
					return true
				}
			}
		}
	}
	return false
}

func newJob(c Submit, q flow.Queue) *Job {
	j := &Job{Definition: c.Job, Queue: q, AcceptedAt: c.Now, StepsLeft: c.Job.OccurrenceCount() * len(c.Job.Steps)}
	for range c.Job.OccurrenceCount() {
		steps := make([]StepState, len(c.Job.Steps))
		for i, s := range c.Job.Steps {
			steps[i] = StepState{TasksLeft: s.Count, Tasks: make([]TaskState, s.Count)}
		}
		j.Steps = append(j.Steps, steps)
	}
	return j
}

// FindTask returns the records of a task's step and of the task, or nil if the job has no such task.
func (j *Job) FindTask(t flow.Task) (*StepState, *TaskState) {
	if t.Occurrence < 0 || t.Occurrence >= len(j.Steps) || t.Step < 0 || t.Step >= len(j.Steps[t.Occurrence]) {
		return nil, nil
	}
	st := &j.Steps[t.Occurrence][t.Step]
	if t.Index < 0 || t.Index >= len(st.Tasks) {
		return nil, nil
	}
	return st, &st.Tasks[t.Index]
}

func (j *Job) assign(p Placement) {
	st, ts := j.FindTask(p.Task)
	if ts == nil || ts.Done || p.Attempt <= ts.Attempt || j.HasEnded() {
		return
	}
	ts.Attempt, ts.Assigned, ts.Worker, ts.WorkerStartedAt = p.Attempt, true, p.Worker, p.WorkerStartedAt
	st.HighestAttempt = max(st.HighestAttempt, p.Attempt)
	j.Assigned = true
}

// settle records the end of an attempt, and reports whether the task still had to be done. It has no effect if
// the attempt is not the assigned one.
func (j *Job) settle(e AttemptEnd) bool {
	st, ts := j.FindTask(e.Task)
	if ts == nil || !ts.Assigned || ts.Attempt != e.Attempt {
		return false
	}
	spec := j.Definition.Steps[e.Task.Step]
	ts.Assigned = false
	if ts.Done {
		return false
	}
	if e.Checkpoint != "" {
		ts.Checkpoint = e.Checkpoint
		st.Checkpoint = e.Checkpoint
	}
	switch e.End {
	case EndDone:
		if !spec.LongRunning {
			j.markDone(st, ts, spec)
		}
	case EndFailed:
		ts.FailedAttempts++
		failed := ts.FailedAttempts
		if spec.Gang {
			if st.LastFailedAttempt < e.Attempt {
				st.LastFailedAttempt = e.Attempt
				st.FailedAttempts++
			}
			failed = max(failed, st.FailedAttempts)
		}
		if failed >= max(j.Queue.Attempts, 1) && !spec.LongRunning {
			j.Failed = true
		}
	}
	return true
}

// markDone marks a task as done. The success of one member of a gang completes the whole gang.
func (j *Job) markDone(st *StepState, ts *TaskState, spec flow.Step) {
	before := st.TasksLeft
	if spec.Gang {
		for i := range st.Tasks {
			st.Tasks[i].Done = true
		}
		st.TasksLeft = 0
	} else {
		ts.Done = true
		st.TasksLeft--
	}
	if before > 0 && st.TasksLeft == 0 {
		j.StepsLeft--
	}
}
