package sched

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/state"
	"vanillabridge/core/trace"
)

// applyChange passes a committed change to the placement scheduler.
func (l *leaderState) applyChange(now clock.Millis, c state.Change) {
	switch c := c.(type) {
	case state.ConfigChanged:
		l.applyConfig(now)
	case state.JobAdded:
		l.handleJobAdded(now, c.Job)
	case state.JobCancelled:
		l.handleJobCancelled(now, c.Job)
	case state.LateJobCancelled:
		l.handleJobCancelled(now, c.Job)
	case state.TaskAssigned:
		l.handleTaskAssigned(c.Assignment)
	case state.TaskStarted:
		l.handleTaskStarted(now, c)
	case state.TaskEnded:
		l.handleTaskEnded(now, c)
	}
}

// handleJobAdded submits a new job to the placement scheduler. A known service with a new description
// may have tasks again that the placement scheduler has ended, so the state is reloaded then.
func (l *leaderState) handleJobAdded(now clock.Millis, id model.JobID) {
	if l.knownServices[id] {
		l.needsReload = true
		return
	}
	l.options.State.View(func(z *state.Zone) {
		if job, ok := z.Job(id); ok {
			l.submitJob(now, job)
			class := job.Work.Decode().Common().Urgency
			l.options.Events.Record(trace.Accepted{Subject: trace.Subject{Job: id}, Class: class})
		}
	})
}

func (l *leaderState) handleJobCancelled(now clock.Millis, id model.JobID) {
	l.options.Events.Record(trace.Cancelled{Subject: trace.Subject{Job: id}})
	l.stepPlacement(now, place.Cancel{Job: id})
	l.options.State.View(func(z *state.Zone) {
		job, ok := z.Job(id)
		if !ok {
			return
		}
		for i := range job.Tasks {
			l.markChangedByID(job.Tasks[i].Worker)
		}
	})
}

func (l *leaderState) handleTaskAssigned(a state.Assignment) {
	if _, ok := l.assignmentsInFlight[attemptKey{a.Task, a.Attempt}]; !ok {
		l.needsReload = true // from an earlier proposal with unknown outcome
	}
	l.markChangedByID(a.Worker)
	subject := trace.Subject{Task: a.Task, Worker: a.Worker}
	l.options.Events.Record(trace.Placed{Subject: subject, Attempt: a.Attempt, Epoch: l.epoch})
}

func (l *leaderState) handleTaskStarted(now clock.Millis, c state.TaskStarted) {
	l.stepPlacement(now, place.Started{Task: c.Start.Task, Attempt: c.Start.Attempt})
	subject := trace.Subject{Task: c.Start.Task, Worker: c.Worker}
	l.options.Events.Record(trace.Started{Subject: subject, Attempt: c.Start.Attempt})
	l.options.State.View(func(z *state.Zone) {
		if job, ok := z.Job(c.Start.Task.Job); ok {
			l.options.Metrics.observeWaiting(job.Work.Decode(), c.WaitTime)
		}
	})
}

func (l *leaderState) handleTaskEnded(now clock.Millis, c state.TaskEnded) {
	l.markChangedByID(c.Worker)
	delete(l.orders, c.End.Task)
	key := attemptKey{c.End.Task, c.End.Attempt}
	end, ok := l.reportedEnds[key]
	if !ok {
		return // not reported by the worker: the leader ended the attempt of a lost or restarted worker
	}
	delete(l.reportedEnds, key)
	l.options.Metrics.TaskEnds.WithLabelValues(string(end.End)).Inc()
	subject := trace.Subject{Task: c.End.Task, Worker: c.Worker}
	l.options.Events.Record(trace.Ended{Subject: subject, Attempt: end.Attempt, Outcome: string(end.End), Reason: end.Reason})
	l.stepPlacement(now, place.Ended{
		Task: end.Task, Attempt: end.Attempt, End: end.End, Reason: end.Reason,
		PeakUsage: end.PeakUsage, RunTime: end.RunTime, CheckpointPercent: end.CheckpointPercent,
	})
}

func (l *leaderState) markChangedByID(id model.WorkerID) {
	if w, ok := l.workers[id]; ok {
		l.markChanged(w)
	}
}
