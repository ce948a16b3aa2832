package plan

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// Event is an input of Step: one of Applied, Reported, Unreached, Answered, Advised, Callers and
// Tick.
type Event interface{ event() }

// Applied says that a command is committed and that the state shows it.
type Applied struct{ Command ledger.Command }

// Life names one life of a worker.
type Life struct {
	ID   model.WorkerID
	Born clock.Millis
}

// Reported is a worker's answer to a hold.
type Reported struct {
	Worker Life
	// Sent and Got are when the call was sent and answered, on the leader's clock.
	Sent, Got clock.Millis
	// Clock is the worker's clock when it answered.
	Clock    clock.Millis
	Running  []Running
	Finished []Finished
}

// Running is an attempt that a worker runs.
type Running struct {
	Task    flow.Task
	Attempt int
	Saved   string
	Percent int
	// Figure is the recent tail in milliseconds of a lasting task, or the processor that another uses.
	Figure int
}

// Finished is an end that a worker lists until it is acknowledged.
type Finished struct {
	Number  int64
	Task    flow.Task
	Attempt int
	End     ledger.End
	Saved   string
}

// Failure says why a worker could not be asked.
type Failure uint8

// Failures of a call to a worker.
const (
	// FailureSilent means no answer in time, or a connection that broke.
	FailureSilent Failure = iota + 1
	// FailureRefused means that nothing listens at the address.
	FailureRefused
	// FailureOther means that another life answered at the address.
	FailureOther
)

// Unreached says that a hold of a worker failed.
type Unreached struct {
	Worker Life
	Cause  Failure
}

// Verdict is what is known of an order.
type Verdict uint8

// Verdicts on an order.
const (
	// VerdictDone means that the worker carried the order out.
	VerdictDone Verdict = iota + 1
	// VerdictUnknown means that the order may be carried out, now or later.
	VerdictUnknown
	// VerdictFence means that another leader has given orders to the worker.
	VerdictFence
	// VerdictOld means that this attempt ended at the worker before.
	VerdictOld
	// VerdictLate means that the order arrived after it expired.
	VerdictLate
	// VerdictRoom means that the worker lacks room.
	VerdictRoom
	// VerdictTicket means that the ticket is missing, wrong or no longer valid.
	VerdictTicket
	// VerdictBusy means that the worker rejected the order because it isn't healthy.
	VerdictBusy
	// VerdictInvalid means that the worker can't read the order.
	VerdictInvalid
)

// Answered is the result of a Start or a Stop.
type Answered struct {
	Worker  Life
	Task    flow.Task
	Attempt int
	Stop    bool
	Verdict Verdict
	// Clock is the worker's clock in the answer, or 0.
	Clock clock.Millis
}

// Advised is the result of an Ask.
type Advised struct {
	Ask Ask
	OK  bool
	// Tickets holds the ticket of each worker that may run the step.
	Tickets map[model.WorkerID]string
	Valid   clock.Millis
}

// Callers names the instances that can make ticket calls.
type Callers struct{ List []model.Instance }

// Tick lets time pass.
type Tick struct{}

func (Applied) event()   {}
func (Reported) event()  {}
func (Unreached) event() {}
func (Answered) event()  {}
func (Advised) event()   {}
func (Callers) event()   {}
func (Tick) event()      {}
