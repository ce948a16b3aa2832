package clock

import (
	"sync"
	"time"
)

// Millis is an instant or a duration in milliseconds.
//
// Instants of different processes are only comparable where the text says so:
// System counts from the Unix epoch but advances with the monotonic clock.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// FromStd converts a standard duration, rounding down.
func FromStd(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Std converts m to a standard duration.
func (m Millis) Std() time.Duration { return time.Duration(m) * time.Millisecond }

// Percent returns p percent of m.
func (m Millis) Percent(p int64) Millis { return m * Millis(p) / 100 }

// String prints m as a standard duration.
func (m Millis) String() string { return m.Std().String() }

// Source is the port through which adapters read the current time.
type Source interface {
	Now() Millis
}

// System reads the monotonic clock of the machine, offset to the Unix epoch.
//
// The offset is taken once, so that a step of the wall clock never shortens or
// lengthens a lease.
type System struct {
	start time.Time
	epoch Millis
}

// NewSystem returns a clock that starts at the current wall time.
func NewSystem() *System {
	now := time.Now()
	return &System{start: now, epoch: Millis(now.UnixMilli())}
}

// Now returns the current instant.
func (s *System) Now() Millis { return s.epoch + FromStd(time.Since(s.start)) }

// Fake is a clock that a test sets.
type Fake struct {
	mu  sync.Mutex
	now Millis
}

// Now returns the instant that was last set.
func (f *Fake) Now() Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}
