package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/retry"
)

// Guards against retries that exceed the budget and so multiply the load on failing servers, that
// repeat a request which may have run and is not idempotent, or that come after the deadline.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := retry.Limits{BudgetPercent: rapid.IntRange(1, 20).Draw(t, "percent"), MaxAttempts: 3}
		b := retry.NewBudget(rapid.Uint64().Draw(t, "seed"))
		const requests = 2000
		retries := 0
		for range requests {
			b.AddRequest(l)
			for n := 1; ; n++ {
				a := retry.Attempt{Number: n, Sent: true, Idempotent: true, BodyReplayable: true, TimeLeft: clock.Second}
				decision, ok := b.Decide(l, a).(retry.After)
				if !ok {
					break
				}
				if decision.Delay < 0 || decision.Delay >= a.TimeLeft || n >= l.MaxAttempts {
					t.Fatalf("attempt %d: retry after %v, want a delay before the deadline and fewer attempts than the limit", n, decision.Delay)
				}
				retries++
			}
		}
		if maxRetries := 10 + requests*l.BudgetPercent/100; retries > maxRetries || retries < maxRetries*9/10 {
			t.Fatalf("%d retries of %d requests with a budget of %d%%, want 90 to 100 percent of the budget", retries, requests, l.BudgetPercent)
		}
		for _, a := range []retry.Attempt{{Number: 1, Sent: true, BodyReplayable: true, TimeLeft: 1000}, {Number: 1, Idempotent: true, TimeLeft: 1000}, {Number: 1, BodyReplayable: true}} {
			if v, retried := retry.NewBudget(1).Decide(l, a).(retry.After); retried {
				t.Fatalf("attempt %+v: got %+v, want Stop", a, v)
			}
		}
	})
}
