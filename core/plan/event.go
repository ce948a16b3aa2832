package plan

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// Event is an input of Planner.Step: one of Applied, HoldAnswered, HoldFailed, OrderAnswered,
// TicketsAnswered, CallersChanged and Tick.
type Event interface{ event() }

// Applied reports that a command was committed and applied to the replicated state, with its outcome.
type Applied struct {
	Command ledger.Command
	Outcome ledger.Outcome
}

// HoldAnswered reports a worker's answer to a hold.
type HoldAnswered struct {
	Worker flow.Incarnation
	// SentAt and ReceivedAt are the times at which the hold was sent and its answer arrived, on the
	// leader's clock.
	SentAt, ReceivedAt clock.Millis
	// Clock is the worker's clock when it answered.
	Clock   clock.Millis
	Running []RunningAttempt
	// Finished lists the ended attempts whose ends are not acknowledged yet.
	Finished []EndedAttempt
}

// RunningAttempt is the progress of an attempt that a worker runs.
type RunningAttempt struct {
	Task flow.Task
	// Attempt is 0 if the worker runs an attempt of the task of which nothing else is known.
	Attempt    int
	Checkpoint string
	Percent    int
	// LatencyOrCPU is the recent tail latency of a long-running task in milliseconds, or the processor
	// usage of any other task.
	LatencyOrCPU int
}

// EndedAttempt is the end of an attempt, which a worker reports until it is acknowledged. Ends are
// numbered in ascending order within an incarnation.
type EndedAttempt struct {
	EndNumber  int64
	Task       flow.Task
	Attempt    int
	End        ledger.End
	Checkpoint string
}

// Failure is the reason why a call to a worker failed.
type Failure uint8

// Failures of a call to a worker.
const (
	// FailureNoAnswer means that no answer came in time or that the connection broke.
	FailureNoAnswer Failure = iota + 1
	// FailureRefused means that the connection was refused: nothing listens at the address.
	FailureRefused
	// FailureOtherIncarnation means that a worker with another identifier answered at the address.
	FailureOtherIncarnation
	// FailureRestarted means that a process with the worker's identifier answered that has started later.
	FailureRestarted
)

// HoldFailed reports that a hold failed.
type HoldFailed struct {
	Worker flow.Incarnation
	Cause  Failure
}

// Verdict is the outcome of an order as far as the leader knows it.
type Verdict uint8

// Verdicts on an order.
const (
	// VerdictDone means that the worker carried the order out.
	VerdictDone Verdict = iota + 1
	// VerdictUnknown means that the order may be carried out, now or later.
	VerdictUnknown
	// VerdictFenced means that the worker has already taken orders from a leader with a higher term.
	VerdictFenced
	// VerdictAttemptEnded means that this attempt has already ended on the worker.
	VerdictAttemptEnded
	// VerdictExpired means that the order had expired when it arrived.
	VerdictExpired
	// VerdictNoCapacity means that the worker lacks free capacity.
	VerdictNoCapacity
	// VerdictInvalidTicket means that the ticket is missing, wrong or expired.
	VerdictInvalidTicket
	// VerdictUnhealthy means that the worker rejected the order because it is unhealthy.
	VerdictUnhealthy
	// VerdictInvalid means that the worker could not parse the order.
	VerdictInvalid
	// VerdictNotSent means that the order was certainly not sent: it waited too long for its turn, was
	// withdrawn, or no connection could be opened.
	VerdictNotSent
)

// OrderAnswered reports the outcome of a Start or a Stop.
type OrderAnswered struct {
	Worker  flow.Incarnation
	Task    flow.Task
	Attempt int
	Stop    bool
	Verdict Verdict
	// Clock is the worker's clock in the answer, or 0 if there was none.
	Clock clock.Millis
}

// TicketsAnswered reports the answer to a TicketRequest; OK is false if the call failed.
type TicketsAnswered struct {
	Request TicketRequest
	OK      bool
	// Tickets holds the tickets of the processes of the request that may run the step. Validity is how long they are valid.
	Tickets  map[flow.Incarnation]string
	Validity clock.Millis
}

// CallersChanged sets the instances that can make ticket calls.
type CallersChanged struct{ List []model.Instance }

// Tick triggers the checks that depend on the time alone.
type Tick struct{}

func (Applied) event()         {}
func (HoldAnswered) event()    {}
func (HoldFailed) event()      {}
func (OrderAnswered) event()   {}
func (TicketsAnswered) event() {}
func (CallersChanged) event()  {}
func (Tick) event()            {}
