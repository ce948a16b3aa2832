package ledger

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
)

// Job is an accepted job and how far it is.
type Job struct {
	_    struct{} `cbor:",toarray"`
	Work flow.Job
	// Queue is the queue as it was when the job was accepted.
	Queue    flow.Queue
	Accepted clock.Millis // since 1970
	// Begun says that a task was assigned.
	Begun     bool
	Cancelled bool
	Failed    bool
	// Ended is when the job ended, since 1970; 0 before.
	Ended clock.Millis
	// Left is the number of steps, over all occurrences, that are not done.
	Left int
	// Steps holds the steps of each occurrence.
	Steps [][]Step
}

// Step is how far one step of one occurrence is.
type Step struct {
	_ struct{} `cbor:",toarray"`
	// Left is the number of tasks that are not done.
	Left int
	// Attempt is the highest attempt of a gang, and Fails counts the attempts that failed.
	Attempt int
	Fails   int
	// FailedAt is the last attempt of a gang that was counted in Fails.
	FailedAt int
	// Saved is the last checkpoint of a gang.
	Saved string
	Slots []Slot
}

// Slot is how far one task is.
type Slot struct {
	_       struct{} `cbor:",toarray"`
	Attempt int
	Fails   int
	Done    bool
	// Placed says that Attempt is assigned to Worker and has not ended.
	Placed bool
	Worker model.WorkerID
	Born   clock.Millis
	Saved  string
}

// Phase is the state of a job as callers see it.
type Phase string

// Phases of a job.
const (
	PhaseQueued    Phase = "queued"
	PhaseRunning   Phase = "running"
	PhaseCompleted Phase = "completed"
	PhaseFailed    Phase = "failed"
	PhaseCancelled Phase = "cancelled"
)

// Phase returns the state of the job.
func (j *Job) Phase() Phase {
	switch {
	case j.Cancelled:
		return PhaseCancelled
	case j.Failed:
		return PhaseFailed
	case j.Left == 0:
		return PhaseCompleted
	case j.Begun:
		return PhaseRunning
	}
	return PhaseQueued
}

// Over reports whether no task of the job may be started any more.
func (j *Job) Over() bool { return j.Cancelled || j.Failed || j.Left == 0 }

// IsSettled reports whether the job is over and no worker may still hold a task of it. Such a job
// has no steps any more.
func (j *Job) IsSettled() bool { return j.Over() && len(j.Steps) == 0 }

func (j *Job) isPending() bool { return j.Work.Times == 0 && !j.Begun && !j.Over() }

// strip drops what only a job that still runs needs: callers ask for the state of a job long after
// its end, and a leader of many jobs would hold and send most of its state for nothing.
func (j *Job) strip() {
	j.Work.Spec, j.Work.Steps, j.Steps = "", nil, nil
}

// placed reports whether a worker may still hold a task of the job.
func (j *Job) placed() bool {
	for _, run := range j.Steps {
		for i := range run {
			for k := range run[i].Slots {
				if run[i].Slots[k].Placed {
					return true
				}
			}
		}
	}
	return false
}

func newJob(c Submit, q flow.Queue) *Job {
	j := &Job{Work: c.Job, Queue: q, Accepted: c.Now, Left: c.Job.Runs() * len(c.Job.Steps)}
	for range c.Job.Runs() {
		steps := make([]Step, len(c.Job.Steps))
		for i, s := range c.Job.Steps {
			steps[i] = Step{Left: s.Count, Slots: make([]Slot, s.Count)}
		}
		j.Steps = append(j.Steps, steps)
	}
	return j
}

// Slot returns the record of a task and of its step, or nil if the job has none of this name.
func (j *Job) Slot(t flow.Task) (*Step, *Slot) {
	if t.Run < 0 || t.Run >= len(j.Steps) || t.Step < 0 || t.Step >= len(j.Steps[t.Run]) {
		return nil, nil
	}
	st := &j.Steps[t.Run][t.Step]
	if t.Index < 0 || t.Index >= len(st.Slots) {
		return nil, nil
	}
	return st, &st.Slots[t.Index]
}

func (j *Job) assign(p Placement) {
	st, sl := j.Slot(p.Task)
	if sl == nil || sl.Done || p.Attempt <= sl.Attempt || j.Over() {
		return
	}
	sl.Attempt, sl.Placed, sl.Worker, sl.Born = p.Attempt, true, p.Worker, p.Born
	st.Attempt = max(st.Attempt, p.Attempt)
	j.Begun = true
}

// settle ends an attempt, once.
func (j *Job) settle(e Ending) {
	st, sl := j.Slot(e.Task)
	if sl == nil || !sl.Placed || sl.Attempt != e.Attempt {
		return
	}
	shape := j.Work.Steps[e.Task.Step]
	sl.Placed = false
	if sl.Done {
		return
	}
	if e.Saved != "" {
		sl.Saved = e.Saved
		st.Saved = e.Saved
	}
	switch e.End {
	case EndDone:
		if shape.Lasting {
			return
		}
		j.done(st, sl, shape)
	case EndFailed:
		sl.Fails++
		fails := sl.Fails
		if shape.Gang {
			if st.FailedAt < e.Attempt {
				st.FailedAt = e.Attempt
				st.Fails++
			}
			fails = max(fails, st.Fails)
		}
		if fails >= max(j.Queue.Attempts, 1) && !shape.Lasting {
			j.Failed = true
		}
	}
}

// done marks a task as done; one done member stands for its whole gang.
func (j *Job) done(st *Step, sl *Slot, shape flow.Step) {
	before := st.Left
	if shape.Gang {
		for i := range st.Slots {
			st.Slots[i].Done = true
		}
		st.Left = 0
	} else {
		sl.Done = true
		st.Left--
	}
	if before > 0 && st.Left == 0 {
		j.Left--
	}
}
