package proto

// Headers of callers' requests and answers.
const (
	// HeaderCaller names the caller.
	HeaderCaller = "Vb-Caller"
	// HeaderClass holds the urgency of the request: low, normal or urgent.
	HeaderClass = "Vb-Class"
	// HeaderDeadline holds the time left for the request, in milliseconds.
	HeaderDeadline = "Vb-Deadline"
	// HeaderIdempotent is "true" on a POST or PATCH that may run more than once.
	HeaderIdempotent = "Vb-Idempotent"
	// HeaderKey holds the key of a non-idempotent request.
	HeaderKey = "Idempotency-Key"
	// HeaderOutcome holds an Outcome.
	HeaderOutcome = "Vb-Outcome"
	// HeaderRequest holds the identifier that the entry instance gave to the request.
	HeaderRequest = "Vb-Request"
	// HeaderZone holds the availability zone of the entry instance.
	HeaderZone = "Vb-Zone"
	// HeaderAttempt numbers the attempt towards the backend server, from 1.
	HeaderAttempt = "Vb-Attempt"
)

// Outcome says what is known of a request when its answer is sent.
type Outcome string

// The outcomes.
const (
	// OutcomeDone says that the request ran and this is its whole answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun says that no byte of the request reached a backend server.
	OutcomeNotRun Outcome = "notrun"
	// OutcomeRunning says that an earlier request with the same key is still in progress.
	OutcomeRunning Outcome = "running"
	// OutcomeUnknown says that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)
