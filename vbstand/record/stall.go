package record

import (
	"context"
	"time"
)

const (
	// stallCheckInterval is the time between two checks of a process for a stall.
	stallCheckInterval = 50 * time.Millisecond
	// stallThreshold is the delay of a check above which a process counts as paused rather than
	// slow.
	stallThreshold = 200 * time.Millisecond
)

// RecordStalls records, until ctx ends, when the operating system did not schedule this process. A
// request that a stalled backend server answers too late is not a fault of the daemon, so the checks
// exclude it.
func (w *Writer) RecordStalls(ctx context.Context, name string) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	last := Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := Now()
		if delay := now.Sub(last) - stallCheckInterval; delay > stallThreshold {
			w.Write(Line{Event: &Event{Event: EventStall, Name: name, Time: now, Duration: now - last}})
		}
		last = now
	}
}
