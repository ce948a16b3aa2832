package share

import (
	"slices"

	"vanillabridge/core/clock"
)

// Arrival is one job that a team has submitted.
type Arrival struct {
	At clock.Millis
	ID string
	// Beyond is set if the job exceeds the rate of its team.
	Beyond bool
}

func (a *Arrival) before(b *Arrival) bool { return a.At < b.At || (a.At == b.At && a.ID < b.ID) }

// Meter tells the arrivals within a rate from those beyond it: a bucket that holds as many jobs as arrive at the rate in
// the burst time, at least one, and that jobs beyond the rate don't empty. What it says depends only on the arrivals and
// not on the order in which they are added, as long as none is added later than the burst time.
type Meter struct {
	rate  float64 // jobs a second; 0 means no limit
	burst clock.Millis
	// first and last are the levels before the first and after the last listed arrival. A level is the time until
	// which the bucket would take to fill up again.
	first, last float64
	list        []*Arrival // in order, for the burst time
}

// NewMeter returns a meter for a rate in jobs a second.
func NewMeter(rate float64, burst clock.Millis) *Meter { return &Meter{rate: rate, burst: burst} }

// Add adds an arrival and marks it. One that is added after later ones changes the marks of these.
func (m *Meter) Add(a *Arrival) {
	a.Beyond = false
	if m.rate <= 0 {
		return
	}
	m.forget(a.At - m.burst)
	i := len(m.list)
	for i > 0 && a.before(m.list[i-1]) {
		i--
	}
	m.list = slices.Insert(m.list, i, a)
	if i < len(m.list)-1 {
		m.last = m.first
		for _, listed := range m.list[:i] {
			m.last = m.after(m.last, listed)
		}
	}
	for _, listed := range m.list[i:] {
		listed.Beyond = m.isBeyond(listed.At)
		m.last = m.after(m.last, listed)
	}
}

// IsBeyond reports whether a job that arrives at a time would exceed the rate.
func (m *Meter) IsBeyond(at clock.Millis) bool { return m.rate > 0 && m.isBeyond(at) }

// isBeyond reports whether a job that arrives after all others that were added finds the bucket empty.
func (m *Meter) isBeyond(at clock.Millis) bool {
	interval := 1000 / m.rate
	return max(m.last, float64(at))+interval > float64(at)+max(float64(m.burst), interval)
}

// after returns the level after an arrival.
func (m *Meter) after(level float64, a *Arrival) float64 {
	if a.Beyond {
		return level
	}
	return max(level, float64(a.At)) + 1000/m.rate
}

// forget drops the arrivals before a time from the list.
func (m *Meter) forget(before clock.Millis) {
	n := 0
	for n < len(m.list) && m.list[n].At < before {
		m.first = m.after(m.first, m.list[n])
		n++
	}
	m.list = slices.Delete(m.list, 0, n)
}
