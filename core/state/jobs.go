package state

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

func (z *Zone) addJob(c AddJob) (Result, []Change) {
	job, ok := z.data.Jobs[c.Job]
	if !ok {
		job = newJob(c)
		z.data.Jobs[c.Job] = job
		if late := z.cancelIfLate(job, c.At); late != nil {
			return Result{Changed: true}, late
		}
		return Result{Changed: true}, []Change{JobAdded{Job: c.Job}}
	}
	if c.Work.Service == nil || job.Work.Service == nil {
		return Result{Reason: "the job exists"}, nil
	}
	z.updateService(job, c)
	return Result{Changed: true}, []Change{JobAdded{Job: c.Job}}
}

func newJob(c AddJob) *Job {
	job := &Job{ID: c.Job, Work: c.Work, AcceptedAt: c.At, OpenTasks: c.TaskCount}
	job.Tasks = make([]Task, c.TaskCount)
	for i := range job.Tasks {
		job.Tasks[i] = newTask(c.At)
	}
	if c.TaskCount == 0 {
		job.EndedAt = c.At
	}
	return job
}

func newTask(at clock.Millis) Task {
	return Task{Phase: proto.TaskWaiting, AcceptedAt: at, QueuedAt: at}
}

// updateService applies a new description and task count to a service. Tasks beyond the new
// count end: waiting tasks immediately, tasks on a worker once the worker has stopped them.
// Ended tasks within the new count are queued again.
func (z *Zone) updateService(job *Job, c AddJob) {
	job.Work = c.Work
	job.Cancelled = false
	job.Failed = false
	job.Reason = ""
	job.EndedAt = 0
	for len(job.Tasks) < c.TaskCount {
		job.Tasks = append(job.Tasks, newTask(c.At))
		job.OpenTasks++
	}
	for i := range job.Tasks {
		t := &job.Tasks[i]
		t.Surplus = i >= c.TaskCount
		switch {
		case t.Surplus && t.Phase == proto.TaskWaiting:
			job.endTask(t, proto.TaskCancelled, c.At)
		case !t.Surplus && t.IsEnded():
			attempt := t.Attempt
			*t = newTask(c.At)
			t.Attempt = attempt // attempt numbers of a task are never reused
			job.OpenTasks++
		}
	}
}

func (z *Zone) cancelJob(c CancelJob) (Result, []Change) {
	job, ok := z.data.Jobs[c.Job]
	if !ok {
		return z.cancelUnknownJob(c)
	}
	if job.Cancelled || job.OpenTasks == 0 {
		return Result{Reason: "the job has ended"}, nil
	}
	job.Cancelled = true
	job.Failed = c.Failed
	job.Reason = c.Reason
	for i := range job.Tasks {
		if t := &job.Tasks[i]; t.Phase == proto.TaskWaiting {
			job.endTask(t, job.stoppedTaskPhase(), c.At)
		}
	}
	return Result{Changed: true}, []Change{JobCancelled{Job: c.Job}}
}

func (z *Zone) setJobReason(c SetJobReason) (Result, []Change) {
	job, ok := z.data.Jobs[c.Job]
	if !ok || job.Cancelled || job.OpenTasks == 0 || job.Reason == c.Reason {
		return Result{Reason: "the job does not exist, has ended or has this reason already"}, nil
	}
	job.Reason = c.Reason
	return Result{Changed: true}, nil
}

// endTask moves a task to a final phase.
func (j *Job) endTask(t *Task, phase proto.TaskPhase, at clock.Millis) {
	t.Phase = phase
	t.EndedAt = at
	j.OpenTasks--
	if j.OpenTasks == 0 {
		j.EndedAt = at
	}
}

// stoppedTaskPhase returns the final phase of tasks that are stopped before they complete.
func (j *Job) stoppedTaskPhase() proto.TaskPhase {
	if j.Failed {
		return proto.TaskFailed
	}
	return proto.TaskCancelled
}

// PhaseCounts returns the number of tasks in each phase. The waiting tasks of a job that cannot
// run at present are counted as impossible.
func (j *Job) PhaseCounts() proto.Counts {
	var c proto.Counts
	for i := range j.Tasks {
		switch j.Tasks[i].Phase {
		case proto.TaskWaiting:
			c.Waiting++
		case proto.TaskAssigned:
			c.Assigned++
		case proto.TaskRunning:
			c.Running++
		case proto.TaskDone:
			c.Done++
		case proto.TaskFailed:
			c.Failed++
		case proto.TaskCancelled:
			c.Cancelled++
		}
	}
	if j.Reason != "" && !j.Cancelled {
		c.Impossible, c.Waiting = c.Waiting, 0
	}
	return c
}

func (z *Zone) assignTasks(c AssignTasks) (Result, []Change) {
	result := Result{ItemApplied: make([]bool, len(c.Items))}
	var changes []Change
	for i, a := range c.Items {
		if !z.assignTask(c, a) {
			continue
		}
		result.ItemApplied[i] = true
		result.Changed = true
		changes = append(changes, TaskAssigned{Assignment: a})
	}
	return result, changes
}

// assignTask applies an assignment, and rejects one that is based on outdated state: the task
// must be waiting, and the attempt number must be higher than that of the last attempt.
func (z *Zone) assignTask(c AssignTasks, a Assignment) bool {
	t, ok := z.Task(a.Task)
	if !ok || t.Phase != proto.TaskWaiting || a.Attempt <= t.Attempt {
		return false
	}
	t.Phase = proto.TaskAssigned
	t.Attempt = a.Attempt
	t.Worker = a.Worker
	t.Incarnation = a.Incarnation
	t.Epoch = c.Epoch
	z.addActiveTask(a.Worker, a.Task)
	return true
}

func (z *Zone) startTasks(c StartTasks) (Result, []Change) {
	result := Result{ItemApplied: make([]bool, len(c.Items))}
	var changes []Change
	for i, s := range c.Items {
		t, ok := z.Task(s.Task)
		if !ok || t.Phase != proto.TaskAssigned || t.Attempt != s.Attempt {
			continue
		}
		t.Phase = proto.TaskRunning
		t.StartedAt = c.At
		result.ItemApplied[i] = true
		result.Changed = true
		changes = append(changes, TaskStarted{Start: s, Worker: t.Worker, WaitTime: c.At - t.QueuedAt})
	}
	return result, changes
}

func (z *Zone) finishTasks(c FinishTasks) (Result, []Change) {
	result := Result{ItemApplied: make([]bool, len(c.Items))}
	var changes []Change
	for i, e := range c.Items {
		t, ok := z.Task(e.Task)
		if !ok || !t.IsActive() || t.Attempt != e.Attempt {
			continue
		}
		worker := t.Worker
		z.endAttempt(z.data.Jobs[e.Task.Job], t, e, c.At)
		result.ItemApplied[i] = true
		result.Changed = true
		changes = append(changes, TaskEnded{End: e, Worker: worker})
	}
	return result, changes
}

func (z *Zone) endAttempt(job *Job, t *Task, e TaskEnd, at clock.Millis) {
	z.removeActiveTask(t.Worker, e.Task)
	t.Reason = e.Reason
	t.CheckpointPercent = max(t.CheckpointPercent, e.CheckpointPercent)
	next := e.NextPhase
	if next == proto.TaskWaiting && (job.Cancelled || t.Surplus) {
		next = job.stoppedTaskPhase()
	}
	if next == proto.TaskWaiting {
		t.Phase = proto.TaskWaiting
		t.QueuedAt = at
		t.Worker = ""
		return
	}
	job.endTask(t, next, at)
}

// ServiceJobID returns the job identifier under which a zone records its tasks of a service. It
// includes the zone, so that task identifiers are unique across zones.
func ServiceJobID(name string, zone model.Zone) model.JobID {
	return model.NewJobID(name, string(zone))
}

// DesiredTasks returns the number of tasks that the job should have, without surplus ones.
func (j *Job) DesiredTasks() int {
	n := 0
	for i := range j.Tasks {
		if !j.Tasks[i].Surplus {
			n++
		}
	}
	return n
}
