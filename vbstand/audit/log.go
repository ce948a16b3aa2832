package audit

import (
	"cmp"
	"slices"

	"vanillabridge/core/model"
	"vanillabridge/vbstand/record"
)

// journals holds the lines by type, each in order of time.
type journals struct {
	tasks   []record.Task
	runs    []record.Run
	servers []record.Server
	sends   []record.Send
	submits []record.Submit
	seen    []record.Seen
	jobs    []record.Job
	events  []record.Event
}

func split(lines []record.Line) *journals {
	l := &journals{}
	for _, line := range lines {
		switch {
		case line.Task != nil:
			l.tasks = append(l.tasks, *line.Task)
		case line.Run != nil:
			l.runs = append(l.runs, *line.Run)
		case line.Server != nil:
			l.servers = append(l.servers, *line.Server)
		case line.Send != nil:
			l.sends = append(l.sends, *line.Send)
		case line.Submit != nil:
			l.submits = append(l.submits, *line.Submit)
		case line.Seen != nil:
			l.seen = append(l.seen, *line.Seen)
		case line.Job != nil:
			l.jobs = append(l.jobs, *line.Job)
		case line.Event != nil:
			l.events = append(l.events, *line.Event)
		}
	}
	byTime(l.tasks, func(x record.Task) record.Micros { return x.Time })
	byTime(l.runs, func(x record.Run) record.Micros { return x.Time })
	byTime(l.servers, func(x record.Server) record.Micros { return x.Time })
	byTime(l.sends, func(x record.Send) record.Micros { return x.Start })
	byTime(l.submits, func(x record.Submit) record.Micros { return x.End })
	byTime(l.seen, func(x record.Seen) record.Micros { return x.Time })
	byTime(l.jobs, func(x record.Job) record.Micros { return x.Time })
	byTime(l.events, func(x record.Event) record.Micros { return x.Time })
	return l
}

// byTime sorts stably: lines of one journal with equal times keep their order.
func byTime[T any](list []T, at func(T) record.Micros) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(at(a), at(b)) })
}

// starts returns the starts of runs by token.
func (l *journals) starts() map[string][]record.Run {
	out := map[string][]record.Run{}
	for _, run := range l.runs {
		if run.Step == record.RunStart {
			out[run.Token] = append(out[run.Token], run)
		}
	}
	return out
}

// answered returns the tokens of requests of which a backend server sent a whole answer.
func (l *journals) answered() map[string]bool {
	out := map[string]bool{}
	for _, run := range l.runs {
		if run.Step == record.RunEnd && run.Error == "" {
			out[run.Token] = true
		}
	}
	return out
}

// span is the time from the start to the true end of a task on a worker.
type span struct {
	start record.Task
	end   record.Micros // 0 for a task that did not end
}

// spans returns the spans of each task in order of their starts.
func (l *journals) spans() map[model.TaskID][]span {
	out := map[model.TaskID][]span{}
	for _, t := range l.tasks {
		list := out[t.Task]
		switch t.Step {
		case record.TaskStart:
			out[t.Task] = append(list, span{start: t, end: l.killed(t)})
		case record.TaskEnd:
			for i := len(list) - 1; i >= 0; i-- {
				if s := &list[i]; s.start.Incarnation == t.Incarnation && s.start.Attempt == t.Attempt {
					s.end = t.Time
					break
				}
			}
		case record.TaskThrottle, record.TaskSave:
		}
	}
	return out
}

// killed returns when the worker of a task was killed after the start, or 0. Its tasks
// died with it and could not be recorded.
func (l *journals) killed(t record.Task) record.Micros {
	for _, e := range l.events {
		if e.Event == record.EventKill && e.Name == string(t.Worker) && e.Time >= t.Time {
			return e.Time
		}
	}
	return 0
}
