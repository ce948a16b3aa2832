package plan

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// Decision is an output of Step: one of Propose, Start, Stop, Ask, Watch and Note.
type Decision interface{ decision() }

// Propose asks for a command to be committed.
type Propose struct{ Command ledger.Command }

// Start orders a worker to start an attempt.
type Start struct {
	Worker  flow.Worker
	Task    flow.Task
	Attempt int
	Spec    string
	// Expires is when the order is void, on the worker's clock.
	Expires clock.Millis
	Saved   string
	Ticket  string
}

// Stop orders a worker to stop an attempt.
type Stop struct {
	Worker  flow.Worker
	Task    flow.Task
	Attempt int
	Reason  string
}

// Ask asks the ticket service which workers may run a step.
type Ask struct {
	// Task names the step; its index has no meaning.
	Task    flow.Task
	Workers []model.WorkerID
	// Caller is the instance that makes the call.
	Caller model.Instance
	Number uint64
	// Reason says what the plan wants to know.
	Reason string
}

// Watch asks for holds of a worker, as NextHold says, until its life is over.
type Watch struct{ Worker Life }

// Note is a decision for the log.
type Note struct {
	Event   string
	Job     model.JobID
	Task    string
	Attempt int
	Worker  model.WorkerID
	Cause   string
	// Age is how old the deciding input is.
	Age clock.Millis
}

func (Propose) decision() {}
func (Start) decision()   {}
func (Stop) decision()    {}
func (Ask) decision()     {}
func (Watch) decision()   {}
func (Note) decision()    {}

// Hold is the next call that keeps a worker's lease and asks for its report.
type Hold struct {
	Worker flow.Worker
	// Expires is the new end of the lease on the worker's clock, or 0 while that clock isn't known.
	Expires clock.Millis
	// Seen is the highest number of an end that is committed.
	Seen int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait clock.Millis
}
