package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot reads a clock that counts the time for which the machine was suspended, offset to the Unix
// epoch. A lease that is measured on it ends while its holder is suspended.
type Boot struct {
	start Millis
	epoch Millis
}

// NewBoot returns a clock that starts at the current wall time.
func NewBoot() *Boot {
	return &Boot{start: sinceBoot(), epoch: Millis(time.Now().UnixMilli())}
}

// Now returns the current instant.
func (b *Boot) Now() Millis { return b.epoch + sinceBoot() - b.start }

func sinceBoot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return Millis(t.Sec)*Second + Millis(t.Nsec)/1_000_000
}
