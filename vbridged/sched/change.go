package sched

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/state"
	"vanillabridge/core/trace"
)

// changed tells the scheduler of a committed change.
func (l *lead) changed(now clock.Millis, c state.Change) {
	switch c := c.(type) {
	case state.ConfigChanged:
		l.adoptConfig(now)
	case state.JobAdded:
		l.jobAdded(now, c.Job)
	case state.JobCancelled:
		l.jobCancelled(now, c.Job)
	case state.TaskAssigned:
		l.taskAssigned(c.Assignment)
	case state.TaskStarted:
		l.taskStarted(now, c)
	case state.TaskEnded:
		l.taskEnded(now, c)
	}
}

// jobAdded hands a new job to the scheduler. A service with a new description may have tasks
// back that the scheduler has ended, so the scheduler is made anew.
func (l *lead) jobAdded(now clock.Millis, id model.JobID) {
	if l.known[id] {
		l.stale = true
		return
	}
	l.options.State.View(func(z *state.Zone) {
		if job, ok := z.Job(id); ok {
			l.submit(now, job)
			class := job.Work.Work().Common().Urgency
			l.options.Events.Record(trace.Accepted{Subject: trace.Subject{Job: id}, Class: class})
		}
	})
}

func (l *lead) jobCancelled(now clock.Millis, id model.JobID) {
	l.options.Events.Record(trace.Cancelled{Subject: trace.Subject{Job: id}})
	l.step(now, place.Cancel{Job: id})
	l.options.State.View(func(z *state.Zone) {
		job, ok := z.Job(id)
		if !ok {
			return
		}
		for i := range job.Tasks {
			l.tell(job.Tasks[i].Worker)
		}
	})
}

func (l *lead) taskAssigned(a state.Assignment) {
	if _, ok := l.placing[attempt{a.Task, a.Attempt}]; !ok {
		l.stale = true // left by a proposal that was given up as unknown
	}
	l.tell(a.Worker)
	subject := trace.Subject{Task: a.Task, Worker: a.Worker}
	l.options.Events.Record(trace.Placed{Subject: subject, Attempt: a.Attempt, Epoch: l.epoch})
}

func (l *lead) taskStarted(now clock.Millis, c state.TaskStarted) {
	l.step(now, place.Started{Task: c.Start.Task, Attempt: c.Start.Attempt})
	subject := trace.Subject{Task: c.Start.Task, Worker: c.Worker}
	l.options.Events.Record(trace.Started{Subject: subject, Attempt: c.Start.Attempt})
	l.options.State.View(func(z *state.Zone) {
		if job, ok := z.Job(c.Start.Task.Job); ok {
			l.options.Metrics.waited(job.Work.Work(), c.Waited)
		}
	})
}

func (l *lead) taskEnded(now clock.Millis, c state.TaskEnded) {
	l.tell(c.Worker)
	delete(l.orders, c.End.Task)
	key := attempt{c.End.Task, c.End.Attempt}
	end, ok := l.ends[key]
	if !ok {
		return // decided here: the worker was lost or restarted
	}
	delete(l.ends, key)
	l.options.Metrics.Ended.WithLabelValues(string(end.End)).Inc()
	subject := trace.Subject{Task: c.End.Task, Worker: c.Worker}
	l.options.Events.Record(trace.Ended{Subject: subject, Attempt: end.Attempt, Outcome: string(end.End), Reason: end.Reason})
	l.step(now, place.Ended{
		Task: end.Task, Attempt: end.Attempt, End: end.End, Reason: end.Reason,
		Usage: end.Usage, Time: end.Time, Saved: end.Saved,
	})
}

func (l *lead) tell(id model.WorkerID) {
	if w, ok := l.workers[id]; ok {
		l.note(w)
	}
}
