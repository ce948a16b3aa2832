package proto

// Headers of requests and responses of callers and backend servers.
const (
	// HeaderCaller names the caller.
	HeaderCaller = "Vb-Caller"
	// HeaderClass holds the urgency of the request: low, normal or urgent.
	HeaderClass = "Vb-Class"
	// HeaderDeadline holds the remaining time of the request, in milliseconds.
	HeaderDeadline = "Vb-Deadline"
	// HeaderIdempotent is "true" on a POST or PATCH that may run more than once.
	HeaderIdempotent = "Vb-Idempotent"
	// HeaderKey holds the idempotency key of a request that must not run twice.
	HeaderKey = "Idempotency-Key"
	// HeaderOutcome holds an Outcome.
	HeaderOutcome = "Vb-Outcome"
	// HeaderRequest holds the request identifier that the entry instance assigned.
	HeaderRequest = "Vb-Request"
	// HeaderZone holds the availability zone of the entry instance.
	HeaderZone = "Vb-Zone"
	// HeaderAttempt holds the number of the attempt at the backend server, counted from 1.
	HeaderAttempt = "Vb-Attempt"
	// HeaderIncarnation holds the incarnation of the backend server that a request is meant for, in decimal. Another one, at
	// the same address, must not run the request: it answers with status 421 and its own incarnation in this header.
	HeaderIncarnation = "Vb-Incarnation"
)

// Outcome states whether a request ran, as far as known when the response is sent.
type Outcome string

// The outcomes.
const (
	// OutcomeDone means that the request ran and this is its complete response.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no byte of the request reached a backend server.
	OutcomeNotRun Outcome = "notrun"
	// OutcomeRunning means that an earlier request with the same key is still in progress.
	OutcomeRunning Outcome = "running"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)
