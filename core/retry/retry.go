package retry

import (
	"math/rand/v2"

	"vanillabridge/core/clock"
)

const (
	// retryCost is the number of tokens that a retry takes. Each request adds as many tokens as
	// the configured percentage of retries.
	retryCost = 100
	// maxTokens bounds the burst of retries that can accumulate while nothing fails.
	maxTokens = 10 * retryCost
	// baseDelay is the backoff of the first retry before jitter. It doubles with each attempt, up
	// to maxDelay.
	baseDelay = 20 * clock.Millisecond
	maxDelay  = 1 * clock.Second
)

// Limits holds the retry limits of a route.
type Limits struct {
	BudgetPercent int // retries allowed per hundred requests
	MaxAttempts   int // maximum attempts of a request, including the first
}

// Attempt describes a failed attempt.
type Attempt struct {
	Number         int          // counted from 1
	Sent           bool         // at least one byte may have reached a backend server
	Idempotent     bool         // the request may safely run more than once
	BodyReplayable bool         // the request's body can be sent again from its start
	TimeLeft       clock.Millis // time left until the request's deadline
}

// Decision is the result of Budget.Decide: After or Stop.
type Decision interface{ decision() }

// After requests another attempt after a delay.
type After struct{ Delay clock.Millis }

// Cause states why there is no further attempt.
type Cause string

// The causes of a Stop.
const (
	CauseNotIdempotent Cause = "sent"
	CauseBodyConsumed  Cause = "body"
	CauseMaxAttempts   Cause = "attempts"
	CauseDeadline      Cause = "deadline"
	CauseBudgetEmpty   Cause = "budget"
)

// Stop ends the request without another attempt.
type Stop struct{ Cause Cause }

func (After) decision() {}
func (Stop) decision()  {}

// Budget is a token bucket that bounds the retries of a route to a share of its requests, so that
// retries do not overload failing servers further.
type Budget struct {
	tokens int
	random *rand.Rand
}

// NewBudget returns a full budget whose jitter is determined by the seed.
func NewBudget(seed uint64) *Budget {
	return &Budget{tokens: maxTokens, random: rand.New(rand.NewPCG(seed, seed))}
}

// AddRequest adds the tokens for a new request.
func (b *Budget) AddRequest(l Limits) { b.tokens = min(maxTokens, b.tokens+l.BudgetPercent) }

// Decide reports whether a failed attempt is repeated, and takes the tokens of a retry if it is.
func (b *Budget) Decide(l Limits, a Attempt) Decision {
	switch {
	case a.Sent && !a.Idempotent:
		return Stop{Cause: CauseNotIdempotent}
	case !a.BodyReplayable:
		return Stop{Cause: CauseBodyConsumed}
	case a.Number >= l.MaxAttempts:
		return Stop{Cause: CauseMaxAttempts}
	}
	delay := b.backoff(a.Number)
	switch {
	case delay >= a.TimeLeft:
		return Stop{Cause: CauseDeadline}
	case b.tokens < retryCost:
		return Stop{Cause: CauseBudgetEmpty}
	}
	b.tokens -= retryCost
	return After{Delay: delay}
}

// backoff returns a random delay below an exponentially growing bound. Full jitter spreads the
// retries of requests that failed at the same time.
func (b *Budget) backoff(attempt int) clock.Millis {
	bound := baseDelay << min(attempt-1, 10)
	return clock.Millis(b.random.Int64N(int64(min(bound, maxDelay))))
}
