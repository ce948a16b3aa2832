package fleet

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
)

// Kind is the operation that a caller requests.
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
	// ID identifies the request in logs.
	ID   string
	Kind Kind
	Host string
	Path string
	Job  *flow.Job // set only for KindSubmit
	// Key identifies the caller's team.
	Key flow.KeyHash
}

// plainRequest is a Request without a key, in the form that instances that know no keys read and write.
type plainRequest struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Kind Kind
	Host string
	Path string
	Job  *flow.Job
}

func (r Request) plain() plainRequest {
	return plainRequest{ID: r.ID, Kind: r.Kind, Host: r.Host, Path: r.Path, Job: r.Job}
}

func (r plainRequest) request() Request {
	return Request{ID: r.ID, Kind: r.Kind, Host: r.Host, Path: r.Path, Job: r.Job}
}

// Status is the result of a request.
type Status string

// Statuses of replies.
const (
	StatusDone     Status = "done"
	StatusNoConfig Status = "noconfig"
	StatusNoQueue  Status = "noqueue"
	StatusNoJob    Status = "nojob"
	StatusInvalid  Status = "invalid"
	// StatusUnauthorized means that the queue needs a key and there is none, or that no team holds the caller's key.
	StatusUnauthorized Status = "unauthorized"
	// StatusRefused means that the leader does not accept the job now; the job will not run.
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
	// Pending is the number of jobs in the queue of which no task has started.
	Pending int
	// RetryAfter is the time to wait before a refused request is worth repeating.
	RetryAfter clock.Millis
	// Version is the version of the configuration that the reply is based on, Term the leader's term.
	Version uint64
	Term    uint64
	Reason  string
}

func statusOf(o ledger.Outcome) Status {
	switch o {
	case ledger.OutcomeDone, ledger.OutcomeCancelled:
		return StatusDone
	case ledger.OutcomeNoConfig:
		return StatusNoConfig
	case ledger.OutcomeNoQueue:
		return StatusNoQueue
	case ledger.OutcomeNoJob:
		return StatusNoJob
	case ledger.OutcomeUnauthorized:
		return StatusUnauthorized
	}
	return StatusUnknown
}

// replyOf returns the status of the reply to a change, and its reason if there is one.
func replyOf(o ledger.Outcome) (s Status, reason string) {
	if o == ledger.OutcomeCancelled {
		reason = reasonCancelledBefore
	}
	return statusOf(o), reason
}
