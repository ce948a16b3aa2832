package state

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/proto"
)

// Command changes the state of a zone.
type Command interface{ command() }

// Adopt puts a version of the configuration in force; a version that is not higher than the
// one in force changes nothing.
type Adopt struct {
	Version  uint64       `cbor:"1,keyasint"`
	Document string       `cbor:"2,keyasint"`
	At       clock.Millis `cbor:"3,keyasint"`
}

// AddJob accepts a job. A job that exists already is left as it is, unless it is a service,
// which takes the new description and count.
type AddJob struct {
	Job   model.JobID  `cbor:"1,keyasint"`
	Work  model.Box    `cbor:"2,keyasint"`
	Count int          `cbor:"3,keyasint"` // tasks in this zone
	At    clock.Millis `cbor:"4,keyasint"`
}

// CancelJob ends all tasks of a job: those that wait at once, those on a worker when the
// worker has stopped them. The tasks end as cancelled, or as failed if the job failed for good.
type CancelJob struct {
	Job    model.JobID  `cbor:"1,keyasint"`
	Reason string       `cbor:"2,keyasint"`
	At     clock.Millis `cbor:"3,keyasint"`
	Failed bool         `cbor:"4,keyasint,omitempty"`
}

// NoteJob records why a job cannot run at present; an empty reason clears the note.
type NoteJob struct {
	Job    model.JobID `cbor:"1,keyasint"`
	Reason string      `cbor:"2,keyasint"`
}

// Assignment gives one attempt of a task to one life of a worker.
type Assignment struct {
	Task        model.TaskID      `cbor:"1,keyasint"`
	Attempt     int               `cbor:"2,keyasint"`
	Worker      model.WorkerID    `cbor:"3,keyasint"`
	Incarnation model.Incarnation `cbor:"4,keyasint"`
}

// Assign records assignments. A worker hears of one only after it is committed.
type Assign struct {
	Epoch model.Epoch  `cbor:"1,keyasint"`
	Items []Assignment `cbor:"2,keyasint"`
	At    clock.Millis `cbor:"3,keyasint"`
}

// TaskStart says that a worker has started an attempt.
type TaskStart struct {
	Task    model.TaskID `cbor:"1,keyasint"`
	Attempt int          `cbor:"2,keyasint"`
}

// Start records that attempts have started.
type Start struct {
	Items []TaskStart  `cbor:"1,keyasint"`
	At    clock.Millis `cbor:"2,keyasint"`
}

// TaskEnd says how an attempt ended and which phase the task takes next.
type TaskEnd struct {
	Task    model.TaskID    `cbor:"1,keyasint"`
	Attempt int             `cbor:"2,keyasint"`
	Next    proto.TaskPhase `cbor:"3,keyasint"` // waiting, done, failed or cancelled
	Reason  string          `cbor:"4,keyasint"`
	Saved   int             `cbor:"5,keyasint"`
}

// Finish records ends of attempts.
type Finish struct {
	Items []TaskEnd    `cbor:"1,keyasint"`
	At    clock.Millis `cbor:"2,keyasint"`
}

// OpenRecord is committed before a non-idempotent request is dispatched.
type OpenRecord struct {
	Key   once.Key     `cbor:"1,keyasint"`
	Token once.Token   `cbor:"2,keyasint"`
	Limit clock.Millis `cbor:"3,keyasint"` // time to the deadline of the request
	At    clock.Millis `cbor:"4,keyasint"`
}

// CloseRecord stores the answer of a non-idempotent request.
type CloseRecord struct {
	Key    once.Key     `cbor:"1,keyasint"`
	Token  once.Token   `cbor:"2,keyasint"`
	Answer once.Answer  `cbor:"3,keyasint"`
	At     clock.Millis `cbor:"4,keyasint"`
}

// DropRecord forgets a request of which no byte was sent.
type DropRecord struct {
	Key   once.Key     `cbor:"1,keyasint"`
	Token once.Token   `cbor:"2,keyasint"`
	At    clock.Millis `cbor:"3,keyasint"`
}

// Expire forgets old records and old ended jobs.
type Expire struct {
	At   clock.Millis  `cbor:"1,keyasint"`
	Keep []model.JobID `cbor:"2,keyasint,omitempty"` // jobs that the configuration names, and would start again
}

// Batch applies several commands in order in one log entry.
type Batch struct{ Commands []Command }

func (Adopt) command()       {}
func (AddJob) command()      {}
func (CancelJob) command()   {}
func (NoteJob) command()     {}
func (Assign) command()      {}
func (Start) command()       {}
func (Finish) command()      {}
func (OpenRecord) command()  {}
func (CloseRecord) command() {}
func (DropRecord) command()  {}
func (Expire) command()      {}
func (Batch) command()       {}

// envelope carries a command through the codec, which has no sum types; one field is set.
type envelope struct {
	Adopt       *Adopt       `cbor:"1,keyasint,omitempty"`
	AddJob      *AddJob      `cbor:"2,keyasint,omitempty"`
	CancelJob   *CancelJob   `cbor:"3,keyasint,omitempty"`
	NoteJob     *NoteJob     `cbor:"4,keyasint,omitempty"`
	Assign      *Assign      `cbor:"5,keyasint,omitempty"`
	Start       *Start       `cbor:"6,keyasint,omitempty"`
	Finish      *Finish      `cbor:"7,keyasint,omitempty"`
	OpenRecord  *OpenRecord  `cbor:"8,keyasint,omitempty"`
	CloseRecord *CloseRecord `cbor:"9,keyasint,omitempty"`
	DropRecord  *DropRecord  `cbor:"10,keyasint,omitempty"`
	Expire      *Expire      `cbor:"11,keyasint,omitempty"`
	Batch       []envelope   `cbor:"12,keyasint,omitempty"`
}

// EncodeCommand encodes c for the log.
func EncodeCommand(c Command) ([]byte, error) { return Encode(wrap(c)) }

// DecodeCommand is the inverse of EncodeCommand.
func DecodeCommand(data []byte) (Command, error) {
	var e envelope
	if err := Decode(data, &e); err != nil {
		return nil, err
	}
	return e.command()
}

func wrap(c Command) envelope {
	var e envelope
	switch c := c.(type) {
	case Adopt:
		e.Adopt = &c
	case AddJob:
		e.AddJob = &c
	case CancelJob:
		e.CancelJob = &c
	case NoteJob:
		e.NoteJob = &c
	case Assign:
		e.Assign = &c
	case Start:
		e.Start = &c
	case Finish:
		e.Finish = &c
	case OpenRecord:
		e.OpenRecord = &c
	case CloseRecord:
		e.CloseRecord = &c
	case DropRecord:
		e.DropRecord = &c
	case Expire:
		e.Expire = &c
	case Batch:
		for _, item := range c.Commands {
			e.Batch = append(e.Batch, wrap(item))
		}
	}
	return e
}

func (e envelope) command() (Command, error) {
	switch {
	case e.Adopt != nil:
		return *e.Adopt, nil
	case e.AddJob != nil:
		return *e.AddJob, nil
	case e.CancelJob != nil:
		return *e.CancelJob, nil
	case e.NoteJob != nil:
		return *e.NoteJob, nil
	case e.Assign != nil:
		return *e.Assign, nil
	case e.Start != nil:
		return *e.Start, nil
	case e.Finish != nil:
		return *e.Finish, nil
	case e.OpenRecord != nil:
		return *e.OpenRecord, nil
	case e.CloseRecord != nil:
		return *e.CloseRecord, nil
	case e.DropRecord != nil:
		return *e.DropRecord, nil
	case e.Expire != nil:
		return *e.Expire, nil
	case e.Batch != nil:
		return e.batch()
	default:
		return nil, fault.Wrap(fault.ErrCorrupt, "command of unknown kind")
	}
}

func (e envelope) batch() (Command, error) {
	batch := Batch{Commands: make([]Command, 0, len(e.Batch))}
	for _, item := range e.Batch {
		c, err := item.command()
		if err != nil {
			return nil, err
		}
		batch.Commands = append(batch.Commands, c)
	}
	return batch, nil
}
