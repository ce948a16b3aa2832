package clock

import (
	"sync"
	"time"
)

// Millis is an instant or a duration in milliseconds.
//
// Instants of different processes are not comparable unless documented otherwise: System
// counts from the Unix epoch, but advances with the monotonic clock of its machine.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// FromDuration converts a time.Duration to milliseconds, rounding toward zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Percent returns p percent of m, rounded toward zero.
func (m Millis) Percent(p int64) Millis { return m * Millis(p) / 100 }

// String formats m like a time.Duration.
func (m Millis) String() string { return m.Duration().String() }

// Source provides the current time.
type Source interface {
	Now() Millis
}

// System reads the monotonic clock of the machine, offset to the Unix epoch. The offset is
// taken once, so that a step of the wall clock does not shorten or lengthen a lease.
type System struct {
	startedAt   time.Time
	unixAtStart Millis
}

// NewSystem returns a clock that starts at the current wall time.
func NewSystem() *System {
	now := time.Now()
	return &System{startedAt: now, unixAtStart: Millis(now.UnixMilli())}
}

// Now returns the current time.
func (s *System) Now() Millis { return s.unixAtStart + FromDuration(time.Since(s.startedAt)) }

// Fake is a clock for tests, which advances only when Advance is called.
type Fake struct {
	mu  sync.Mutex
	now Millis
}

// Now returns the time to which the clock was last advanced.
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
