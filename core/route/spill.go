package route

import "vanillabridge/core/clock"

const (
	// crossing is the extra time of a request to another region: a round trip of 60 ms.
	crossing = 60 * clock.Millisecond
	// enterPercent and leavePercent are the hysteresis around the cost of spilling.
	enterPercent = 150
	leavePercent = 50
)

// Spill decides whether requests of a service may go to another zone.
type Spill struct{ on bool }

// On reports the state.
func (s *Spill) On() bool { return s.on }

// Update takes the expected wait in the own zone and the wait that the bytes of a request
// are worth, and reports whether the state changed.
func (s *Spill) Update(wait, bytes clock.Millis) bool {
	cost := crossing + bytes
	before := s.on
	switch {
	case wait > cost.Percent(enterPercent):
		s.on = true
	case wait < cost.Percent(leavePercent):
		s.on = false
	}
	return s.on != before
}
