package fleet

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
)

// Kind is what a caller wants.
type Kind string

// Kinds of requests.
const (
	KindSubmit  Kind = "submit"
	KindCancel  Kind = "cancel"
	KindState   Kind = "state"
	KindPending Kind = "pending"
)

// Request is a caller's request about a job or a queue.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// ID names the request in logs.
	ID   string
	Kind Kind
	Host string
	Path string
	Job  *flow.Job // of a submission
}

// Status says how a request ended.
type Status string

// Statuses of replies.
const (
	StatusDone     Status = "done"
	StatusNoConfig Status = "noconfig"
	StatusNoQueue  Status = "noqueue"
	StatusNoJob    Status = "nojob"
	StatusInvalid  Status = "invalid"
	// StatusRefused means that the leader doesn't accept the job now; it never runs.
	StatusRefused Status = "refused"
	// StatusUnavailable means that no leader was reached; the request had no effect.
	StatusUnavailable Status = "unavailable"
	// StatusUnknown means that the request may have had an effect.
	StatusUnknown Status = "unknown"
)

// Reply answers a Request.
type Reply struct {
	_      struct{} `cbor:",toarray"`
	Status Status
	Phase  ledger.Phase
	// Pending is the number of jobs of the queue of which no task has started.
	Pending int
	// Retry is when a refused request may succeed, as a duration.
	Retry clock.Millis
	// Version is the configuration that decided; Term the leader's term.
	Version uint64
	Term    uint64
	Reason  string
}

func replyTo(o ledger.Outcome) Status {
	switch o {
	case ledger.OutcomeDone:
		return StatusDone
	case ledger.OutcomeNoConfig:
		return StatusNoConfig
	case ledger.OutcomeNoQueue:
		return StatusNoQueue
	case ledger.OutcomeNoJob:
		return StatusNoJob
	}
	return StatusUnknown
}
