package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot reads CLOCK_BOOTTIME, offset to the Unix epoch. Unlike the monotonic clock, it includes the
// time for which the machine was suspended, so a lease expires while its holder is suspended.
type Boot struct {
	bootOffsetAtStart Millis
	unixAtStart       Millis
}

// NewBoot returns a clock that starts at the current wall time.
func NewBoot() *Boot {
	return &Boot{bootOffsetAtStart: sinceBoot(), unixAtStart: Millis(time.Now().UnixMilli())}
}

// Now returns the current time.
func (b *Boot) Now() Millis { return b.unixAtStart + sinceBoot() - b.bootOffsetAtStart }

func sinceBoot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return Millis(t.Sec)*Second + Millis(t.Nsec)/1_000_000
}
