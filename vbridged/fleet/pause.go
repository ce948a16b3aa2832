package fleet

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
)

const (
	// pauseCheckInterval is the period of the timer that shows whether the process stood still.
	pauseCheckInterval = 250 * clock.Millisecond
	// minPause is the delay of that timer from which on it is logged.
	minPause = clock.Second
)

// logPauses logs when the process has stood still, until ctx ends. Requests that it held meanwhile go on when it does. Their
// answers are true if it stood still for less than the retention of answers: after that a repeated submission counts
// as new, and a cancellation is forgotten.
func logPauses(ctx context.Context, c clock.Source, retention clock.Millis) {
	ticker := time.NewTicker(pauseCheckInterval.Duration())
	defer ticker.Stop()
	for last := c.Now(); ; last = c.Now() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if pause := c.Now() - last - pauseCheckInterval; pause >= minPause {
			klog.InfoS("process stood still: requests that it held are late", "for", int64(pause), "retention", int64(retention),
				"beyondRetention", pause >= retention)
		}
	}
}
