package record

import (
	"context"
	"time"
)

const (
	// stallStep is how often a process looks whether it runs.
	stallStep = 50 * time.Millisecond
	// stallLimit is the delay from which a process was paused rather than only slow.
	stallLimit = 200 * time.Millisecond
)

// Stalls records, until ctx ends, when the machine did not run this process. The checks need
// it: a request that a stalled backend server answers too late is no fault of the daemon.
func (w *Writer) Stalls(ctx context.Context, name string) {
	ticker := time.NewTicker(stallStep)
	defer ticker.Stop()
	last := Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := Now()
		if late := now.Sub(last) - stallStep; late > stallLimit {
			w.Write(Line{Event: &Event{Event: EventStall, Name: name, Time: now, Length: now - last}})
		}
		last = now
	}
}
