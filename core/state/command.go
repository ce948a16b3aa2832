package state

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/proto"
)

// Command is a change of the state of a zone, replicated through its log.
type Command interface{ command() }

// AdoptConfig puts a version of the configuration into force. A version that is not higher than
// the current one changes nothing.
type AdoptConfig struct {
	Version  uint64       `cbor:"1,keyasint"`
	Document string       `cbor:"2,keyasint"`
	At       clock.Millis `cbor:"3,keyasint"`
}

// AddJob accepts a job. If the job exists already, a service takes the new description and
// count; any other job is left unchanged.
type AddJob struct {
	Job       model.JobID       `cbor:"1,keyasint"`
	Work      model.EncodedWork `cbor:"2,keyasint"`
	TaskCount int               `cbor:"3,keyasint"` // tasks in this zone
	At        clock.Millis      `cbor:"4,keyasint"`
}

// CancelJob ends all tasks of a job: waiting tasks immediately, tasks on a worker once the
// worker has stopped them. The tasks end as failed if Failed is set, otherwise as cancelled. If there is no such job, one
// that is added later is cancelled; see RecordTombstones.
type CancelJob struct {
	Job    model.JobID  `cbor:"1,keyasint"`
	Reason string       `cbor:"2,keyasint"`
	At     clock.Millis `cbor:"3,keyasint"`
	Failed bool         `cbor:"4,keyasint,omitempty"` // the job failed permanently
}

// SetJobReason records the reason why a job cannot run at present. An empty reason clears it.
type SetJobReason struct {
	Job    model.JobID `cbor:"1,keyasint"`
	Reason string      `cbor:"2,keyasint"`
}

// Assignment assigns one attempt of a task to one incarnation of a worker.
type Assignment struct {
	Task        model.TaskID      `cbor:"1,keyasint"`
	Attempt     int               `cbor:"2,keyasint"`
	Worker      model.WorkerID    `cbor:"3,keyasint"`
	Incarnation model.Incarnation `cbor:"4,keyasint"`
}

// AssignTasks records assignments. A worker is sent an assignment only after it is committed.
type AssignTasks struct {
	Epoch model.Epoch  `cbor:"1,keyasint"`
	Items []Assignment `cbor:"2,keyasint"`
	At    clock.Millis `cbor:"3,keyasint"`
}

// TaskStart reports that a worker has started an attempt.
type TaskStart struct {
	Task    model.TaskID `cbor:"1,keyasint"`
	Attempt int          `cbor:"2,keyasint"`
}

// StartTasks records that attempts have started.
type StartTasks struct {
	Items []TaskStart  `cbor:"1,keyasint"`
	At    clock.Millis `cbor:"2,keyasint"`
}

// TaskEnd reports how an attempt ended and which phase the task enters next.
type TaskEnd struct {
	Task              model.TaskID    `cbor:"1,keyasint"`
	Attempt           int             `cbor:"2,keyasint"`
	NextPhase         proto.TaskPhase `cbor:"3,keyasint"` // waiting, done, failed or cancelled
	Reason            string          `cbor:"4,keyasint"`
	CheckpointPercent int             `cbor:"5,keyasint"` // progress in percent at the last checkpoint
}

// FinishTasks records that attempts have ended.
type FinishTasks struct {
	Items []TaskEnd    `cbor:"1,keyasint"`
	At    clock.Millis `cbor:"2,keyasint"`
}

// OpenRecord opens the record of a non-idempotent request. It is committed before the
// request is dispatched.
type OpenRecord struct {
	Key      once.Key     `cbor:"1,keyasint"`
	Token    once.Token   `cbor:"2,keyasint"`
	TimeLeft clock.Millis `cbor:"3,keyasint"` // time left until the deadline of the request
	At       clock.Millis `cbor:"4,keyasint"`
}

// CloseRecord stores the answer to a non-idempotent request in its record.
type CloseRecord struct {
	Key    once.Key     `cbor:"1,keyasint"`
	Token  once.Token   `cbor:"2,keyasint"`
	Answer once.Answer  `cbor:"3,keyasint"`
	At     clock.Millis `cbor:"4,keyasint"`
}

// DropRecord deletes the record of a request of which no byte was sent.
type DropRecord struct {
	Key   once.Key     `cbor:"1,keyasint"`
	Token once.Token   `cbor:"2,keyasint"`
	At    clock.Millis `cbor:"3,keyasint"`
}

// Expire deletes records and ended jobs that are older than their retention period.
type Expire struct {
	At       clock.Millis  `cbor:"1,keyasint"`
	KeepJobs []model.JobID `cbor:"2,keyasint,omitempty"` // ended jobs that the configuration would start again
}

// Batch is a list of commands that are applied in order, in one log entry.
type Batch struct{ Commands []Command }

func (AdoptConfig) command()  {}
func (AddJob) command()       {}
func (CancelJob) command()    {}
func (SetJobReason) command() {}
func (AssignTasks) command()  {}
func (StartTasks) command()   {}
func (FinishTasks) command()  {}
func (OpenRecord) command()   {}
func (CloseRecord) command()  {}
func (DropRecord) command()   {}
func (Expire) command()       {}
func (Batch) command()        {}

// envelope is the encoded form of a command. CBOR has no sum types, so that there is a field
// for each type of command, and exactly one is set.
type envelope struct {
	AdoptConfig  *AdoptConfig  `cbor:"1,keyasint,omitempty"`
	AddJob       *AddJob       `cbor:"2,keyasint,omitempty"`
	CancelJob    *CancelJob    `cbor:"3,keyasint,omitempty"`
	SetJobReason *SetJobReason `cbor:"4,keyasint,omitempty"`
	AssignTasks  *AssignTasks  `cbor:"5,keyasint,omitempty"`
	StartTasks   *StartTasks   `cbor:"6,keyasint,omitempty"`
	FinishTasks  *FinishTasks  `cbor:"7,keyasint,omitempty"`
	OpenRecord   *OpenRecord   `cbor:"8,keyasint,omitempty"`
	CloseRecord  *CloseRecord  `cbor:"9,keyasint,omitempty"`
	DropRecord   *DropRecord   `cbor:"10,keyasint,omitempty"`
	Expire       *Expire       `cbor:"11,keyasint,omitempty"`
	Batch        []envelope    `cbor:"12,keyasint,omitempty"`

	RecordTombstones *RecordTombstones `cbor:"13,keyasint,omitempty"`
}

// EncodeCommand encodes c for the log.
func EncodeCommand(c Command) ([]byte, error) { return Encode(wrap(c)) }

// DecodeCommand is the inverse of EncodeCommand.
func DecodeCommand(data []byte) (Command, error) {
	var e envelope
	if err := Decode(data, &e); err != nil {
		return nil, err
	}
	return e.unwrap()
}

func wrap(c Command) envelope {
	var e envelope
	switch c := c.(type) {
	case AdoptConfig:
		e.AdoptConfig = &c
	case AddJob:
		e.AddJob = &c
	case CancelJob:
		e.CancelJob = &c
	case SetJobReason:
		e.SetJobReason = &c
	case AssignTasks:
		e.AssignTasks = &c
	case StartTasks:
		e.StartTasks = &c
	case FinishTasks:
		e.FinishTasks = &c
	case OpenRecord:
		e.OpenRecord = &c
	case CloseRecord:
		e.CloseRecord = &c
	case DropRecord:
		e.DropRecord = &c
	case Expire:
		e.Expire = &c
	case RecordTombstones:
		e.RecordTombstones = &c
	case Batch:
		for _, item := range c.Commands {
			e.Batch = append(e.Batch, wrap(item))
		}
	}
	return e
}

func (e envelope) unwrap() (Command, error) {
	switch {
	case e.AdoptConfig != nil:
		return *e.AdoptConfig, nil
	case e.AddJob != nil:
		return *e.AddJob, nil
	case e.CancelJob != nil:
		return *e.CancelJob, nil
	case e.SetJobReason != nil:
		return *e.SetJobReason, nil
	case e.AssignTasks != nil:
		return *e.AssignTasks, nil
	case e.StartTasks != nil:
		return *e.StartTasks, nil
	case e.FinishTasks != nil:
		return *e.FinishTasks, nil
	case e.OpenRecord != nil:
		return *e.OpenRecord, nil
	case e.CloseRecord != nil:
		return *e.CloseRecord, nil
	case e.DropRecord != nil:
		return *e.DropRecord, nil
	case e.Expire != nil:
		return *e.Expire, nil
	case e.RecordTombstones != nil:
		return *e.RecordTombstones, nil
	case e.Batch != nil:
		return e.unwrapBatch()
	default:
		return nil, fault.Wrap(fault.ErrCorrupt, "decode command: unknown type")
	}
}

func (e envelope) unwrapBatch() (Command, error) {
	batch := Batch{Commands: make([]Command, 0, len(e.Batch))}
	for _, item := range e.Batch {
		c, err := item.unwrap()
		if err != nil {
			return nil, err
		}
		batch.Commands = append(batch.Commands, c)
	}
	return batch, nil
}
