package trace

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"

	"vanillabridge/core/clock"
)

// Stamp is a reading of a hybrid logical clock. If one event caused another, the cause has the
// smaller stamp, regardless of the skew between the wall clocks of the processes.
type Stamp struct {
	Time  clock.Millis `json:"time" cbor:"1,keyasint"`
	Count uint32       `json:"count,omitempty" cbor:"2,keyasint,omitempty"` // orders readings with equal Time
}

// maxStampTime is the start of the year 10000. No working clock is past it, so a later stamp is
// corrupt. If it were merged, it would move every clock that it reaches to the end of the range.
const maxStampTime clock.Millis = 253_402_300_800_000

// Compare returns -1, 0 or 1 as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Time, o.Time), cmp.Compare(s.Count, o.Count))
}

// IsZero reports whether s is the zero stamp.
func (s Stamp) IsZero() bool { return s == Stamp{} }

// String formats the stamp as "time.count", the form used in headers and queries.
func (s Stamp) String() string {
	return strconv.FormatInt(int64(s.Time), 10) + "." + strconv.FormatUint(uint64(s.Count), 10)
}

// ParseStamp parses the format of String. The count may be omitted.
func ParseStamp(text string) (Stamp, error) {
	head, tail, _ := strings.Cut(text, ".")
	time, err := strconv.ParseInt(head, 10, 64)
	if err != nil || time < 0 || time > int64(maxStampTime) {
		return Stamp{}, fmt.Errorf("stamp %q is not milliseconds.count", text)
	}
	if tail == "" {
		return Stamp{Time: clock.Millis(time)}, nil
	}
	count, err := strconv.ParseUint(tail, 10, 32)
	if err != nil {
		return Stamp{}, fmt.Errorf("stamp %q is not milliseconds.count", text)
	}
	return Stamp{Time: clock.Millis(time), Count: uint32(count)}, nil
}

// next returns a stamp after s that is not before the local time now.
func (s Stamp) next(now clock.Millis) Stamp {
	if now > s.Time {
		return Stamp{Time: now}
	}
	if s.Count == math.MaxUint32 {
		return Stamp{Time: s.Time + 1}
	}
	return Stamp{Time: s.Time, Count: s.Count + 1}
}

// Clock is a hybrid logical clock.
type Clock struct {
	source clock.Source

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a hybrid logical clock on top of the wall clock source.
func NewClock(source clock.Source) *Clock { return &Clock{source: source} }

// Next advances the clock and returns its new reading, to stamp an event or an outgoing message.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = c.last.next(c.source.Now())
	return c.last
}

// Merge advances the clock, so that later readings are after the stamp of a received message.
// It returns false and leaves the clock unchanged if the stamp is negative or not before
// maxStampTime.
func (c *Clock) Merge(s Stamp) bool {
	if s.Time < 0 || s.Time >= maxStampTime {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Compare(c.last) > 0 {
		c.last = s
	}
	return true
}
