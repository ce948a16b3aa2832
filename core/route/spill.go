package route

import "vanillabridge/core/clock"

const (
	// crossRegionDelay is the additional latency of a request to another region: one round trip.
	crossRegionDelay = 60 * clock.Millisecond
	// startPercent and stopPercent are the wait, in percent of the cost of spilling over, above
	// which spillover starts and below which it stops. The gap is the hysteresis.
	startPercent = 150
	stopPercent  = 50
)

// Spillover decides whether requests of a service may spill over to another zone.
type Spillover struct{ active bool }

// Active reports whether requests may spill over.
func (s *Spillover) Active() bool { return s.active }

// Update sets the state from the expected wait in the own zone, and reports whether it changed.
// transferCost is the cost of sending a request's bytes to another zone, expressed as a wait.
func (s *Spillover) Update(wait, transferCost clock.Millis) bool {
	cost := crossRegionDelay + transferCost
	before := s.active
	switch {
	case wait > cost.Percent(startPercent):
		s.active = true
	case wait < cost.Percent(stopPercent):
		s.active = false
	}
	return s.active != before
}
