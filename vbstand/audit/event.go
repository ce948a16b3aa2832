package audit

import (
	"slices"

	"vanillabridge/vbstand/record"
)

// never is later than any instant of a journal.
const never = record.Micros(1 << 62)

// faults reports whether the test disturbed any process.
func (l *journals) faults() bool {
	return slices.ContainsFunc(l.events, func(e record.Event) bool {
		switch e.Event {
		case record.EventKill, record.EventStop, record.EventCut, record.EventWipe:
			return true
		default:
			return false
		}
	})
}

// disturbed returns the newest instant up to t at which any instance was killed, started,
// paused or cut off. It is t itself during a pause or a cut.
func (l *journals) disturbed(t record.Micros) record.Micros {
	last := record.Micros(0)
	open := map[string]bool{}
	for _, e := range l.events {
		if e.Time > t {
			break
		}
		if e.Entry == "" {
			continue
		}
		last = e.Time
		switch e.Event {
		case record.EventStop, record.EventCut:
			open[e.Name] = true
		case record.EventCont, record.EventHeal, record.EventKill:
			delete(open, e.Name)
		default:
		}
	}
	if len(open) > 0 {
		return t
	}
	return last
}

// nextStart returns when the process was next started after an event.
func (l *journals) nextStart(after record.Event) record.Micros {
	for _, e := range l.events {
		if e.Event == record.EventStart && e.Name == after.Name && e.Time > after.Time {
			return e.Time
		}
	}
	return never
}

func (l *journals) killedBetween(name string, from, to record.Micros) bool {
	return slices.ContainsFunc(l.events, func(e record.Event) bool {
		return e.Event == record.EventKill && e.Name == name && e.Time >= from && e.Time <= to
	})
}

// stalled reports whether the machine did not run a backend server or the caller during a send.
func (l *journals) stalled(s record.Send) bool {
	return slices.ContainsFunc(l.events, func(e record.Event) bool {
		return e.Event == record.EventStall && e.Time >= s.Start && e.Time-e.Length <= s.End
	})
}

// stopped reports whether a planned stop of the entry instance explains that a send found
// no connection, or lost an idle one before any answer.
func (l *journals) stopped(s record.Send) bool {
	if s.Begun || (s.Told != record.ToldRefused && s.Told != record.ToldBroken) {
		return false
	}
	return slices.ContainsFunc(l.events, func(e record.Event) bool {
		return e.Event == record.EventTerm && e.Entry == s.Entry && e.Time <= s.Start.Add(stopMargin)
	})
}
