package ledger

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
)

const (
	// maxStartCrashes is the number of workers that may crash while they start a task; its job then fails. Only
	// the first of these can have started tasks of other jobs at the same time; see IsSuspect.
	maxStartCrashes = 2
	// maxCrashes is the number of workers that may crash under a task at all, with its start confirmed or not,
	// and soon after it or not.
	maxCrashes = 5
	// suspectAfterCrashes is the number of crashes under a task, at whatever age, from which on it is a suspect.
	suspectAfterCrashes = 3
	// crashMemory is how long after the last crash under a task the earlier ones count: a long-running task
	// outlives many workers.
	crashMemory = 10 * 60 * clock.Second
)

// Crashes counts the worker processes that ended while a task was, or may have been, on them for a short time.
type Crashes struct {
	_    struct{} `cbor:",toarray"`
	Task flow.Task
	// AtStart counts the workers that ended while they started the task, Total all of them.
	AtStart, Total int
	LastAt         clock.Millis // since 1970
}

// IsSuspect reports whether the task may be the cause of the crashes. Until a worker has survived its start, such a
// task may share a worker with starting tasks of its own job only.
func (c Crashes) IsSuspect(now clock.Millis) bool {
	return (c.AtStart > 0 || c.Total >= suspectAfterCrashes) && now-c.LastAt < crashMemory
}

// with returns the record after another crash.
func (c Crashes) with(e AttemptEnd, now clock.Millis) Crashes {
	if now-c.LastAt >= crashMemory {
		c = Crashes{}
	}
	c.Task, c.LastAt = e.Task, now
	c.Total++
	if e.End == EndStartCrash {
		c.AtStart++
	}
	return c
}

// Crashes returns the record of the crashes under a task.
func (s *State) Crashes(t flow.Task) Crashes { return s.crashes[t.Job][t] }

// recordCrash counts the crash of a worker under a task, and fails the task's job after maxStartCrashes.
func (s *State) recordCrash(j *Job, e AttemptEnd, now clock.Millis) {
	if e.End != EndStartCrash && e.End != EndWorkerCrash {
		return
	}
	ofJob := s.crashes[e.Task.Job]
	if ofJob == nil {
		ofJob = map[flow.Task]Crashes{}
		s.crashes[e.Task.Job] = ofJob
	}
	record := ofJob[e.Task].with(e, now)
	ofJob[e.Task] = record
	if (record.AtStart >= maxStartCrashes || record.Total >= maxCrashes) && !j.HasEnded() {
		j.Failed = true
	}
}

// crashList returns all records in a fixed order.
func (s *State) crashList() []Crashes {
	var list []Crashes
	for _, ofJob := range s.crashes {
		for _, record := range ofJob {
			list = append(list, record)
		}
	}
	slices.SortFunc(list, func(a, b Crashes) int { return cmp.Compare(a.Task.String(), b.Task.String()) })
	return list
}

func (s *State) restoreCrashes(list []Crashes) {
	for _, record := range list {
		if s.crashes[record.Task.Job] == nil {
			s.crashes[record.Task.Job] = map[flow.Task]Crashes{}
		}
		s.crashes[record.Task.Job][record.Task] = record
	}
}

// newCrashes returns an empty set of records by job.
func newCrashes() map[model.JobID]map[flow.Task]Crashes {
	return map[model.JobID]map[flow.Task]Crashes{}
}
