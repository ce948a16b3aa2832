package audit

import (
	"cmp"
	"slices"

	"vanillabridge/core/model"
	"vanillabridge/vbstand/record"
)

// journals holds the journal lines by type, each type sorted by time.
type journals struct {
	tasks        []record.Task
	runs         []record.Run
	servers      []record.Server
	sends        []record.Send
	submissions  []record.Submission
	observations []record.Observation
	jobs         []record.Job
	events       []record.Event
}

func groupByType(lines []record.Line) *journals {
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
		case line.Submission != nil:
			l.submissions = append(l.submissions, *line.Submission)
		case line.Observation != nil:
			l.observations = append(l.observations, *line.Observation)
		case line.Job != nil:
			l.jobs = append(l.jobs, *line.Job)
		case line.Event != nil:
			l.events = append(l.events, *line.Event)
		}
	}
	sortByTime(l.tasks, func(x record.Task) record.Micros { return x.Time })
	sortByTime(l.runs, func(x record.Run) record.Micros { return x.Time })
	sortByTime(l.servers, func(x record.Server) record.Micros { return x.Time })
	sortByTime(l.sends, func(x record.Send) record.Micros { return x.Start })
	sortByTime(l.submissions, func(x record.Submission) record.Micros { return x.End })
	sortByTime(l.observations, func(x record.Observation) record.Micros { return x.Time })
	sortByTime(l.jobs, func(x record.Job) record.Micros { return x.Time })
	sortByTime(l.events, func(x record.Event) record.Micros { return x.Time })
	return l
}

// sortByTime sorts stably, so that lines of one journal with equal times keep their order.
func sortByTime[T any](list []T, at func(T) record.Micros) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(at(a), at(b)) })
}

// startsByToken returns the starts of runs by request token, sorted by time.
func (l *journals) startsByToken() map[string][]record.Run {
	out := map[string][]record.Run{}
	for _, run := range l.runs {
		if run.Step == record.RunStart {
			out[run.Token] = append(out[run.Token], run)
		}
	}
	return out
}

// answeredTokens returns the tokens of the requests for which a backend server sent a complete
// answer.
func (l *journals) answeredTokens() map[string]bool {
	out := map[string]bool{}
	for _, run := range l.runs {
		if run.Step == record.RunEnd && run.Error == "" {
			out[run.Token] = true
		}
	}
	return out
}

// span is the time from the start of a task on a worker to its actual end.
type span struct {
	start record.Task
	end   record.Micros // 0 if no end is recorded
}

// spansByTask returns the spans of each task, sorted by start.
func (l *journals) spansByTask() map[model.TaskID][]span {
	out := map[model.TaskID][]span{}
	for _, t := range l.tasks {
		list := out[t.Task]
		switch t.Step {
		case record.TaskStart:
			out[t.Task] = append(list, span{start: t, end: l.killTime(t)})
		case record.TaskEnd:
			for i := len(list) - 1; i >= 0; i-- {
				if s := &list[i]; s.start.Incarnation == t.Incarnation && s.start.Attempt == t.Attempt {
					s.end = t.Time
					break
				}
			}
		case record.TaskThrottle, record.TaskCheckpoint:
		}
	}
	return out
}

// killTime returns when the worker of a task was first killed after the task started, or 0. A
// killed worker cannot record the end of its tasks, which end with it.
func (l *journals) killTime(t record.Task) record.Micros {
	for _, e := range l.events {
		if e.Event == record.EventKill && e.Name == string(t.Worker) && e.Time >= t.Time {
			return e.Time
		}
	}
	return 0
}
