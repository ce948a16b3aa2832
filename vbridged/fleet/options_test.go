package fleet_test

import (
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/vbridged/fleet"
)

// Guards against a front that is killed while requests are in progress, or that closes its listener
// while the load balancer still sends it connections.
func TestSplitGracePeriod(t *testing.T) {
	for _, c := range []struct{ grace, open, drain clock.Millis }{
		{6000, 2400, 2400}, {10_000, 2500, 5500}, {1000, 400, 400}, {0, 0, 0},
	} {
		if open, drain := fleet.SplitGracePeriod(c.grace); open != c.open || drain != c.drain {
			t.Errorf("SplitGracePeriod(%s) = %s, %s; want %s, %s", c.grace, open, drain, c.open, c.drain)
		}
	}
}
