package state

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/proto"
	"vanillabridge/core/tombs"
)

// endedJobRetention is how long the record of an ended job is kept for status queries.
const endedJobRetention = 24 * clock.Hour

// Task is the state of one task.
type Task struct {
	Phase             proto.TaskPhase   `cbor:"1,keyasint"`
	Attempt           int               `cbor:"2,keyasint"` // number of the last assignment, 0 before the first
	Worker            model.WorkerID    `cbor:"3,keyasint,omitempty"`
	Incarnation       model.Incarnation `cbor:"4,keyasint,omitempty"`
	Epoch             model.Epoch       `cbor:"5,keyasint,omitempty"`
	AcceptedAt        clock.Millis      `cbor:"6,keyasint"`
	QueuedAt          clock.Millis      `cbor:"7,keyasint"` // when it was last accepted or requeued
	StartedAt         clock.Millis      `cbor:"8,keyasint,omitempty"`
	EndedAt           clock.Millis      `cbor:"9,keyasint,omitempty"`
	Reason            string            `cbor:"10,keyasint,omitempty"`
	CheckpointPercent int               `cbor:"11,keyasint,omitempty"` // progress in percent at the last checkpoint
	Surplus           bool              `cbor:"12,keyasint,omitempty"` // beyond the task count of its service
}

// IsActive reports whether the task is assigned to a worker, which may be running it.
func (t *Task) IsActive() bool {
	return t.Phase == proto.TaskAssigned || t.Phase == proto.TaskRunning
}

// IsEnded reports whether the task has reached a final phase.
func (t *Task) IsEnded() bool {
	return t.Phase == proto.TaskDone || t.Phase == proto.TaskFailed || t.Phase == proto.TaskCancelled
}

// Job is the state of one job.
type Job struct {
	ID         model.JobID       `cbor:"1,keyasint"`
	Work       model.EncodedWork `cbor:"2,keyasint"`
	AcceptedAt clock.Millis      `cbor:"3,keyasint"`
	Cancelled  bool              `cbor:"4,keyasint,omitempty"`
	Reason     string            `cbor:"5,keyasint,omitempty"` // why the job was cancelled or cannot run at present
	Tasks      []Task            `cbor:"6,keyasint"`
	OpenTasks  int               `cbor:"7,keyasint"` // tasks that have not ended
	EndedAt    clock.Millis      `cbor:"8,keyasint,omitempty"`
	Failed     bool              `cbor:"9,keyasint,omitempty"` // cancelled because it failed permanently
}

// zoneData is the content of a snapshot of a Zone.
type zoneData struct {
	Version   uint64               `cbor:"1,keyasint"`
	Document  string               `cbor:"2,keyasint"`
	Jobs      map[model.JobID]*Job `cbor:"3,keyasint"`
	Records   []*recordEntry       `cbor:"4,keyasint"` // by start time, oldest first
	AdoptedAt clock.Millis         `cbor:"5,keyasint"`
}

// Zone is the replicated state of one availability zone. It is not safe for concurrent use.
type Zone struct {
	data         zoneData
	recordsByKey map[once.Key]*recordEntry
	activeTasks  map[model.WorkerID]map[model.TaskID]struct{}
	tombstones   *tombs.Set // of jobs, or nil while none are recorded
}

// NewZone returns an empty state.
func NewZone() *Zone {
	z := &Zone{data: zoneData{Jobs: map[model.JobID]*Job{}}}
	z.rebuildIndexes()
	return z
}

// Snapshot encodes the complete state.
func (z *Zone) Snapshot() ([]byte, error) {
	z.compactRecords()
	if z.RecordsTombstones() {
		return Encode(zoneDataWithTombstones{Zone: z.data, Tombstones: z.tombstones.Entries()})
	}
	return Encode(z.data)
}

// Restore replaces the state with that of a snapshot.
func (z *Zone) Restore(snapshot []byte) error {
	data, tombstones := zoneData{}, (*tombs.Set)(nil)
	if err := Decode(snapshot, &data); err != nil {
		var with zoneDataWithTombstones
		if Decode(snapshot, &with) != nil {
			return err
		}
		data, tombstones = with.Zone, tombs.New(with.Tombstones...)
	}
	if data.Jobs == nil {
		data.Jobs = map[model.JobID]*Job{}
	}
	z.data, z.tombstones = data, tombstones
	z.rebuildIndexes()
	return nil
}

// rebuildIndexes rebuilds the maps that are derived from the data.
func (z *Zone) rebuildIndexes() {
	z.recordsByKey = make(map[once.Key]*recordEntry, len(z.data.Records))
	for _, e := range z.data.Records {
		z.recordsByKey[e.Key] = e
	}
	z.activeTasks = map[model.WorkerID]map[model.TaskID]struct{}{}
	for id, job := range z.data.Jobs {
		for i := range job.Tasks {
			if t := &job.Tasks[i]; t.IsActive() {
				z.addActiveTask(t.Worker, model.TaskID{Job: id, Index: i})
			}
		}
	}
}

// Apply applies a committed command.
func (z *Zone) Apply(c Command) (Result, []Change) {
	switch c := c.(type) {
	case AdoptConfig:
		return z.adoptConfig(c)
	case AddJob:
		return z.addJob(c)
	case CancelJob:
		return z.cancelJob(c)
	case SetJobReason:
		return z.setJobReason(c)
	case AssignTasks:
		return z.assignTasks(c)
	case StartTasks:
		return z.startTasks(c)
	case FinishTasks:
		return z.finishTasks(c)
	case OpenRecord:
		return z.openRecord(c), nil
	case CloseRecord:
		return z.closeRecord(c), nil
	case DropRecord:
		return z.dropRecord(c), nil
	case Expire:
		return z.expire(c), nil
	case RecordTombstones:
		return z.recordTombstones()
	case Batch:
		return z.applyBatch(c)
	default:
		return Result{Reason: "unknown command"}, nil
	}
}

func (z *Zone) applyBatch(c Batch) (Result, []Change) {
	result := Result{BatchResults: make([]Result, 0, len(c.Commands))}
	var changes []Change
	for _, item := range c.Commands {
		part, more := z.Apply(item)
		result.BatchResults = append(result.BatchResults, part)
		result.Changed = result.Changed || part.Changed
		changes = append(changes, more...)
	}
	return result, changes
}

func (z *Zone) adoptConfig(c AdoptConfig) (Result, []Change) {
	if c.Version <= z.data.Version {
		return Result{Reason: "the version is not higher than the one in force"}, nil
	}
	z.data.Version = c.Version
	z.data.Document = c.Document
	z.data.AdoptedAt = c.At
	return Result{Changed: true}, []Change{ConfigChanged{Version: c.Version}}
}

// Config returns the configuration in force.
func (z *Zone) Config() (version uint64, document string) {
	return z.data.Version, z.data.Document
}

// Job returns the record of a job. The caller must not change it.
func (z *Zone) Job(id model.JobID) (*Job, bool) {
	j, ok := z.data.Jobs[id]
	return j, ok
}

// ForEachJob calls f for each job, in no particular order.
func (z *Zone) ForEachJob(f func(*Job)) {
	for _, j := range z.data.Jobs {
		f(j)
	}
}

// Task returns the record of a task. The caller must not change it.
func (z *Zone) Task(id model.TaskID) (*Task, bool) {
	j, ok := z.data.Jobs[id.Job]
	if !ok || id.Index < 0 || id.Index >= len(j.Tasks) {
		return nil, false
	}
	return &j.Tasks[id.Index], true
}

// ForEachActiveTask calls f for each task that is assigned to worker w, which may be running it.
func (z *Zone) ForEachActiveTask(w model.WorkerID, f func(model.TaskID, *Task)) {
	for id := range z.activeTasks[w] {
		if t, ok := z.Task(id); ok {
			f(id, t)
		}
	}
}

// ActiveTaskCounts returns the number of active tasks of each worker that has any.
func (z *Zone) ActiveTaskCounts() map[model.WorkerID]int {
	counts := make(map[model.WorkerID]int, len(z.activeTasks))
	for w, tasks := range z.activeTasks {
		counts[w] = len(tasks)
	}
	return counts
}

func (z *Zone) addActiveTask(w model.WorkerID, id model.TaskID) {
	tasks, ok := z.activeTasks[w]
	if !ok {
		tasks = map[model.TaskID]struct{}{}
		z.activeTasks[w] = tasks
	}
	tasks[id] = struct{}{}
}

func (z *Zone) removeActiveTask(w model.WorkerID, id model.TaskID) {
	delete(z.activeTasks[w], id)
	if len(z.activeTasks[w]) == 0 {
		delete(z.activeTasks, w)
	}
}
