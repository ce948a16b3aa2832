package retry

import (
	"math/rand/v2"

	"vanillabridge/core/clock"
)

const (
	// tokenCost is the price of a retry; each request adds the configured percentage.
	tokenCost = 100
	// maxTokens bounds the retries that a quiet time can save up.
	maxTokens = 10 * tokenCost
	// firstDelay and maxDelay bound the backoff before jitter.
	firstDelay = 20 * clock.Millisecond
	maxDelay   = 1 * clock.Second
)

// Limits are the retry limits of a route.
type Limits struct {
	Percent  int // retries per hundred requests
	Attempts int // attempts of one request, the first one included
}

// Attempt describes an attempt that failed.
type Attempt struct {
	Number     int          // from 1
	Sent       bool         // a byte may have reached a backend server
	Idempotent bool         // the request may run more than once
	Intact     bool         // the body of the request can be sent again from its start
	Left       clock.Millis // time to the deadline of the request
}

// Verdict is one of Again and Stop.
type Verdict interface{ verdict() }

// Again asks for another attempt after a delay.
type Again struct{ After clock.Millis }

// Cause says why there is no further attempt.
type Cause string

// The causes of a Stop.
const (
	CauseSent     Cause = "sent"
	CauseBody     Cause = "body"
	CauseAttempts Cause = "attempts"
	CauseDeadline Cause = "deadline"
	CauseBudget   Cause = "budget"
)

// Stop ends the request.
type Stop struct{ Cause Cause }

func (Again) verdict() {}
func (Stop) verdict()  {}

// Budget bounds the retries of a route to a share of its requests, so that a failing fleet
// isn't loaded further by repetition.
type Budget struct {
	tokens int
	random *rand.Rand
}

// NewBudget returns a full budget.
func NewBudget(seed uint64) *Budget {
	return &Budget{tokens: maxTokens, random: rand.New(rand.NewPCG(seed, seed))}
}

// Request counts a request.
func (b *Budget) Request(l Limits) { b.tokens = min(maxTokens, b.tokens+l.Percent) }

// Decide returns what follows a failed attempt.
func (b *Budget) Decide(l Limits, a Attempt) Verdict {
	switch {
	case a.Sent && !a.Idempotent:
		return Stop{Cause: CauseSent}
	case !a.Intact:
		return Stop{Cause: CauseBody}
	case a.Number >= l.Attempts:
		return Stop{Cause: CauseAttempts}
	}
	delay := b.delay(a.Number)
	switch {
	case delay >= a.Left:
		return Stop{Cause: CauseDeadline}
	case b.tokens < tokenCost:
		return Stop{Cause: CauseBudget}
	}
	b.tokens -= tokenCost
	return Again{After: delay}
}

// delay draws from [0, bound): full jitter spreads the retries of requests that failed together.
func (b *Budget) delay(attempt int) clock.Millis {
	bound := firstDelay << min(attempt-1, 10)
	return clock.Millis(b.random.Int64N(int64(min(bound, maxDelay))))
}
