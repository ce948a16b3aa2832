package state

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/proto"
)

// jobAge is how long an ended job can be asked for.
const jobAge = 24 * clock.Hour

// Task is the record of one task.
type Task struct {
	Phase       proto.TaskPhase   `cbor:"1,keyasint"`
	Attempt     int               `cbor:"2,keyasint"` // of the last assignment, 0 before the first
	Worker      model.WorkerID    `cbor:"3,keyasint,omitempty"`
	Incarnation model.Incarnation `cbor:"4,keyasint,omitempty"`
	Epoch       model.Epoch       `cbor:"5,keyasint,omitempty"`
	Accepted    clock.Millis      `cbor:"6,keyasint"`
	Queued      clock.Millis      `cbor:"7,keyasint"` // when it last began to wait
	Started     clock.Millis      `cbor:"8,keyasint,omitempty"`
	Ended       clock.Millis      `cbor:"9,keyasint,omitempty"`
	Reason      string            `cbor:"10,keyasint,omitempty"`
	Saved       int               `cbor:"11,keyasint,omitempty"`
	Surplus     bool              `cbor:"12,keyasint,omitempty"` // beyond the count of its service
}

// IsHeld reports whether a worker may be running the task.
func (t *Task) IsHeld() bool {
	return t.Phase == proto.TaskAssigned || t.Phase == proto.TaskRunning
}

// IsEnded reports whether the task has reached a final phase.
func (t *Task) IsEnded() bool {
	return t.Phase == proto.TaskDone || t.Phase == proto.TaskFailed || t.Phase == proto.TaskCancelled
}

// Job is the record of one job.
type Job struct {
	ID        model.JobID  `cbor:"1,keyasint"`
	Work      model.Box    `cbor:"2,keyasint"`
	Accepted  clock.Millis `cbor:"3,keyasint"`
	Cancelled bool         `cbor:"4,keyasint,omitempty"`
	Reason    string       `cbor:"5,keyasint,omitempty"`
	Tasks     []Task       `cbor:"6,keyasint"`
	Open      int          `cbor:"7,keyasint"` // tasks that have not ended
	Ended     clock.Millis `cbor:"8,keyasint,omitempty"`
	Failed    bool         `cbor:"9,keyasint,omitempty"` // cancelled because it failed for good
}

// zoneData is what a snapshot of a zone holds.
type zoneData struct {
	Version  uint64               `cbor:"1,keyasint"`
	Document string               `cbor:"2,keyasint"`
	Jobs     map[model.JobID]*Job `cbor:"3,keyasint"`
	Records  []*entry             `cbor:"4,keyasint"` // in the order in which they began
	Adopted  clock.Millis         `cbor:"5,keyasint"`
}

// Zone is the replicated state of one availability zone. It is not safe for concurrent use.
type Zone struct {
	data    zoneData
	records map[once.Key]*entry
	held    map[model.WorkerID]map[model.TaskID]struct{}
}

// NewZone returns the empty state.
func NewZone() *Zone {
	z := &Zone{data: zoneData{Jobs: map[model.JobID]*Job{}}}
	z.index()
	return z
}

// Snapshot encodes the whole state.
func (z *Zone) Snapshot() ([]byte, error) {
	z.compactRecords()
	return Encode(z.data)
}

// Restore replaces the state with a snapshot.
func (z *Zone) Restore(snapshot []byte) error {
	data := zoneData{}
	if err := Decode(snapshot, &data); err != nil {
		return err
	}
	if data.Jobs == nil {
		data.Jobs = map[model.JobID]*Job{}
	}
	z.data = data
	z.index()
	return nil
}

// index rebuilds what is derived from the data.
func (z *Zone) index() {
	z.records = make(map[once.Key]*entry, len(z.data.Records))
	for _, e := range z.data.Records {
		z.records[e.Key] = e
	}
	z.held = map[model.WorkerID]map[model.TaskID]struct{}{}
	for id, job := range z.data.Jobs {
		for i := range job.Tasks {
			if t := &job.Tasks[i]; t.IsHeld() {
				z.hold(t.Worker, model.TaskID{Job: id, Index: i})
			}
		}
	}
}

// Apply applies a committed command.
func (z *Zone) Apply(c Command) (Result, []Change) {
	switch c := c.(type) {
	case Adopt:
		return z.adopt(c)
	case AddJob:
		return z.addJob(c)
	case CancelJob:
		return z.cancelJob(c)
	case NoteJob:
		return z.noteJob(c)
	case Assign:
		return z.assign(c)
	case Start:
		return z.start(c)
	case Finish:
		return z.finish(c)
	case OpenRecord:
		return z.openRecord(c), nil
	case CloseRecord:
		return z.closeRecord(c), nil
	case DropRecord:
		return z.dropRecord(c), nil
	case Expire:
		return z.expire(c), nil
	case Batch:
		return z.batch(c)
	default:
		return Result{Reason: "unknown command"}, nil
	}
}

func (z *Zone) batch(c Batch) (Result, []Change) {
	result := Result{Parts: make([]Result, 0, len(c.Commands))}
	var changes []Change
	for _, item := range c.Commands {
		part, more := z.Apply(item)
		result.Parts = append(result.Parts, part)
		result.Changed = result.Changed || part.Changed
		changes = append(changes, more...)
	}
	return result, changes
}

func (z *Zone) adopt(c Adopt) (Result, []Change) {
	if c.Version <= z.data.Version {
		return Result{Reason: "a version as high is in force"}, nil
	}
	z.data.Version = c.Version
	z.data.Document = c.Document
	z.data.Adopted = c.At
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

// Jobs calls f for each job, in no particular order.
func (z *Zone) Jobs(f func(*Job)) {
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

// Held calls f for each task that a worker may be running.
func (z *Zone) Held(w model.WorkerID, f func(model.TaskID, *Task)) {
	for id := range z.held[w] {
		if t, ok := z.Task(id); ok {
			f(id, t)
		}
	}
}

// HeldWorkers returns the number of held tasks of each worker that holds any.
func (z *Zone) HeldWorkers() map[model.WorkerID]int {
	counts := make(map[model.WorkerID]int, len(z.held))
	for w, tasks := range z.held {
		counts[w] = len(tasks)
	}
	return counts
}

func (z *Zone) hold(w model.WorkerID, id model.TaskID) {
	tasks, ok := z.held[w]
	if !ok {
		tasks = map[model.TaskID]struct{}{}
		z.held[w] = tasks
	}
	tasks[id] = struct{}{}
}

func (z *Zone) release(w model.WorkerID, id model.TaskID) {
	delete(z.held[w], id)
	if len(z.held[w]) == 0 {
		delete(z.held, w)
	}
}
