package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/retry"
)

// Guards against retries that multiply the load of a failing fleet, repeat a request that
// may have run, or come after the deadline.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := retry.Limits{Percent: rapid.IntRange(1, 20).Draw(t, "percent"), Attempts: 3}
		b := retry.NewBudget(rapid.Uint64().Draw(t, "seed"))
		const requests = 2000
		retries := 0
		for range requests {
			b.Request(l)
			for n := 1; ; n++ {
				a := retry.Attempt{Number: n, Sent: true, Idempotent: true, Intact: true, Left: clock.Second}
				again, ok := b.Decide(l, a).(retry.Again)
				if !ok {
					break
				}
				if again.After < 0 || again.After >= a.Left || n >= l.Attempts {
					t.Fatalf("attempt %d repeated after %v", n, again.After)
				}
				retries++
			}
		}
		if most := 10 + requests*l.Percent/100; retries > most || retries < most*9/10 {
			t.Fatalf("%d retries of %d requests at %d%%", retries, requests, l.Percent)
		}
		for _, a := range []retry.Attempt{{Number: 1, Sent: true, Intact: true, Left: 1000}, {Number: 1, Idempotent: true, Left: 1000}, {Number: 1, Intact: true}} {
			if v, again := retry.NewBudget(1).Decide(l, a).(retry.Again); again {
				t.Fatalf("%+v: %+v", a, v)
			}
		}
	})
}
