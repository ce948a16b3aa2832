package state

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
)

// RecordPhase is the state of the record of a non-idempotent request.
type RecordPhase string

// The phases of a record.
const (
	// RecordFresh means that no earlier request with the key is recorded: this one may be dispatched.
	RecordFresh RecordPhase = "fresh"
	// RecordRunning means that an earlier request with the key is in progress.
	RecordRunning RecordPhase = "running"
	// RecordDone means that the answer is stored.
	RecordDone RecordPhase = "done"
	// RecordUnknown means that an earlier request may or may not have run.
	RecordUnknown RecordPhase = "unknown"
	// RecordFull means that the table of records is full: the request must not be dispatched.
	RecordFull RecordPhase = "full"
)

// Result is the result of applying a command, returned to its proposer.
type Result struct {
	Changed      bool         `cbor:"1,keyasint"`           // whether the command changed the state
	Reason       string       `cbor:"2,keyasint,omitempty"` // why it did not
	Record       RecordPhase  `cbor:"3,keyasint,omitempty"`
	Answer       *once.Answer `cbor:"4,keyasint,omitempty"`
	ItemApplied  []bool       `cbor:"5,keyasint,omitempty"` // whether each item of AssignTasks, StartTasks or FinishTasks was applied
	BatchResults []Result     `cbor:"6,keyasint,omitempty"` // results of the commands of a Batch
}

// Change describes an effect of a command, for the code on each replica that acts on it.
type Change interface{ change() }

// ConfigChanged reports that a new version of the configuration is in force.
type ConfigChanged struct{ Version uint64 }

// JobAdded reports that a job was accepted or that a service was updated.
type JobAdded struct{ Job model.JobID }

// JobCancelled reports that a job was cancelled.
type JobCancelled struct{ Job model.JobID }

// TaskAssigned reports that an attempt was assigned to a worker.
type TaskAssigned struct{ Assignment Assignment }

// TaskStarted reports that an attempt started.
type TaskStarted struct {
	Start    TaskStart
	Worker   model.WorkerID
	WaitTime clock.Millis // time since the task was accepted or requeued
}

// TaskEnded reports that an attempt ended.
type TaskEnded struct {
	End    TaskEnd
	Worker model.WorkerID
}

func (ConfigChanged) change() {}
func (JobAdded) change()      {}
func (JobCancelled) change()  {}
func (TaskAssigned) change()  {}
func (TaskStarted) change()   {}
func (TaskEnded) change()     {}
