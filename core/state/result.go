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
	// RecordFresh says that no earlier request with the key is known: it may be dispatched.
	RecordFresh RecordPhase = "fresh"
	// RecordRunning says that an earlier request with the key is in progress.
	RecordRunning RecordPhase = "running"
	// RecordDone says that the answer is stored.
	RecordDone RecordPhase = "done"
	// RecordUnknown says that an earlier request may or may not have run.
	RecordUnknown RecordPhase = "unknown"
	// RecordFull says that no new request can be recorded; it was not dispatched.
	RecordFull RecordPhase = "full"
)

// Result is what applying a command returns to its proposer.
type Result struct {
	Changed bool         `cbor:"1,keyasint"`           // the command changed the state
	Reason  string       `cbor:"2,keyasint,omitempty"` // why it did not
	Record  RecordPhase  `cbor:"3,keyasint,omitempty"`
	Answer  *once.Answer `cbor:"4,keyasint,omitempty"`
	Taken   []bool       `cbor:"5,keyasint,omitempty"` // of each item of Assign, Start and Finish
	Parts   []Result     `cbor:"6,keyasint,omitempty"` // of each command of a Batch
}

// Change tells the runtime on a replica what a command changed.
type Change interface{ change() }

// ConfigChanged says that another version of the configuration is in force.
type ConfigChanged struct{ Version uint64 }

// JobAdded says that a job was accepted, or that a service took a new description.
type JobAdded struct{ Job model.JobID }

// JobCancelled says that a job was cancelled.
type JobCancelled struct{ Job model.JobID }

// TaskAssigned says that an attempt was given to a worker.
type TaskAssigned struct{ Assignment Assignment }

// TaskStarted says that an attempt started.
type TaskStarted struct {
	Start  TaskStart
	Worker model.WorkerID
	Waited clock.Millis // since the task was accepted or went back to its queue
}

// TaskEnded says that an attempt ended.
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
