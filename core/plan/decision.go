package plan

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// Decision is an output of Planner.Step: one of Propose, Start, Stop, TicketRequest, WatchWorker,
// LogEvent and LogDone.
type Decision interface{ decision() }

// Propose requests that a command is committed to the replicated log.
type Propose struct{ Command ledger.Command }

// Start orders a worker to start an attempt.
type Start struct {
	Worker  flow.Worker
	Task    flow.Task
	Attempt int
	Spec    string
	// Expires is the time on the worker's clock from which on the worker must reject the order.
	Expires    clock.Millis
	Checkpoint string
	Ticket     string
}

// Stop orders a worker to stop an attempt.
type Stop struct {
	Worker  flow.Worker
	Task    flow.Task
	Attempt int
	Reason  string
}

// TicketRequest requests tickets from the ticket service for workers to run tasks of a step.
type TicketRequest struct {
	// Task names the step; its Index is unused.
	Task flow.Task
	// Workers holds the processes for which tickets are requested: a ticket is valid for one process.
	Workers []flow.Incarnation
	// Caller is the instance that makes the call.
	Caller model.Instance
	Number uint64 // identifies the call among those of the planner
	// Reason is the reason of the call in the log: "first", "further" or "kept".
	Reason string
}

// WatchWorker requests that holds are sent to a worker as NextHold determines, until its incarnation is gone.
type WatchWorker struct{ Worker flow.Incarnation }

// LogEvent is an entry for the log.
type LogEvent struct {
	Event   string
	Job     model.JobID
	Task    string
	Attempt int
	// Worker is the process that the event concerns, or zero: for an end, the one that the start was sent to.
	Worker flow.Incarnation
	// Found is the start of the process whose answer the event follows from, if that is another one.
	Found clock.Millis
	// Known is what the leader knew of the process that answered or, if none did, of Worker; or zero if it does not matter.
	Known ProcessState
	// Starts holds the starts of the processes that Cause lists, in its order.
	Starts []clock.Millis
	// EndNumber is the number that an end has in the list of its process, or 0 if it was not listed.
	EndNumber int64
	Cause     string
	// Age is the time since the logged activity began: for the end of a task, the time since its last
	// start order was sent. For a suspension it is the length of the suspension.
	Age clock.Millis
	// Forecast is the expected run time of a step that was placed or measured; zero if run times are not learned.
	Forecast Forecast
}

// ProcessState is what the leader knows of a process of a worker, for the log.
type ProcessState struct {
	// LeaseEnd is when the lease of the process ends at the latest, and Clock what its clock should show; both are on that clock.
	LeaseEnd, Clock clock.Millis
	// ListedEnd is the highest number of an end that the process has listed, and AckedEnd the highest one that a hold has
	// told it to forget.
	ListedEnd, AckedEnd int64
}

// DoneTask is an attempt that has ended as done, with the process that lists it and the number that the end has there.
type DoneTask struct {
	Task      flow.Task
	Attempt   int
	Worker    flow.Incarnation
	EndNumber int64
	// Age is the time since the last start order was sent.
	Age clock.Millis
}

// LogDone is an entry for the log: the attempts that the settlement which was just proposed ends as done.
type LogDone struct{ List []DoneTask }

func (Propose) decision()       {}
func (Start) decision()         {}
func (Stop) decision()          {}
func (TicketRequest) decision() {}
func (WatchWorker) decision()   {}
func (LogEvent) decision()      {}
func (LogDone) decision()       {}

// Hold is a long poll to a worker: it renews the lease of the worker's tasks, acknowledges ends, and
// is answered with a report of the running and ended attempts.
type Hold struct {
	Worker flow.Worker
	// Expires is the new end of the lease on the worker's clock, or 0 if the lease is not renewed.
	Expires clock.Millis
	// AckedThrough is the highest number of an end that is committed; the worker may discard ends up to it.
	AckedThrough int64
	// MaxWait is how long the worker may delay the answer if it has no end to report.
	MaxWait clock.Millis
}
