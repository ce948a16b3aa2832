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

// Stamp is a reading of a hybrid logical clock. If one event caused another, its stamp is the
// smaller one, however far the clocks of the processes are apart.
type Stamp struct {
	Time  clock.Millis `json:"time" cbor:"1,keyasint"`
	Count uint32       `json:"count,omitempty" cbor:"2,keyasint,omitempty"` // events within one Time
}

// maxTime is the start of the year 10000. No working clock is past it, so a later stamp is
// damaged and would otherwise carry every clock that it reaches to the end of its range.
const maxTime clock.Millis = 253_402_300_800_000

// Compare returns -1, 0 or 1 as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Time, o.Time), cmp.Compare(s.Count, o.Count))
}

// IsZero reports whether s is the zero stamp.
func (s Stamp) IsZero() bool { return s == Stamp{} }

// String prints the stamp as "time.count", as in headers and queries.
func (s Stamp) String() string {
	return strconv.FormatInt(int64(s.Time), 10) + "." + strconv.FormatUint(uint64(s.Count), 10)
}

// ParseStamp reads the form that String prints; the count may be left out.
func ParseStamp(text string) (Stamp, error) {
	head, tail, _ := strings.Cut(text, ".")
	time, err := strconv.ParseInt(head, 10, 64)
	if err != nil || time < 0 || time > int64(maxTime) {
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

// next returns the stamp after s, given the local time.
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

// NewClock returns a clock that follows the source.
func NewClock(source clock.Source) *Clock { return &Clock{source: source} }

// Next advances the clock and returns its reading, for an event or for a message to send.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = c.last.next(c.source.Now())
	return c.last
}

// Merge moves the clock past the stamp of a received message. It reports false, and does
// nothing, if the stamp is beyond any working clock.
func (c *Clock) Merge(s Stamp) bool {
	if s.Time < 0 || s.Time >= maxTime {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Compare(c.last) > 0 {
		c.last = s
	}
	return true
}
