package audit

import (
	"slices"

	"vanillabridge/vbstand/record"
)

// maxTime is later than any time in a journal.
const maxTime = record.Micros(1 << 62)

// hasFaults reports whether the test killed, paused, partitioned or wiped any process.
func (l *journals) hasFaults() bool {
	return slices.ContainsFunc(l.events, func(e record.Event) bool {
		switch e.Event {
		case record.EventKill, record.EventPause, record.EventPartition, record.EventWipe:
			return true
		default:
			return false
		}
	})
}

// lastDisturbance returns the time of the last event up to t that affected an instance, such as a
// kill, start, pause or partition. While an instance is paused or partitioned, it returns t.
func (l *journals) lastDisturbance(t record.Micros) record.Micros {
	last := record.Micros(0)
	disturbed := map[string]bool{}
	for _, e := range l.events {
		if e.Time > t {
			break
		}
		if e.Entry == "" {
			continue
		}
		last = e.Time
		switch e.Event {
		case record.EventPause, record.EventPartition:
			disturbed[e.Name] = true
		case record.EventResume, record.EventHeal, record.EventKill:
			delete(disturbed, e.Name)
		default:
		}
	}
	if len(disturbed) > 0 {
		return t
	}
	return last
}

// nextStart returns when the process of an event was next started after that event, or maxTime.
func (l *journals) nextStart(after record.Event) record.Micros {
	for _, e := range l.events {
		if e.Event == record.EventStart && e.Name == after.Name && e.Time > after.Time {
			return e.Time
		}
	}
	return maxTime
}

func (l *journals) killedBetween(name string, from, to record.Micros) bool {
	return slices.ContainsFunc(l.events, func(e record.Event) bool {
		return e.Event == record.EventKill && e.Name == name && e.Time >= from && e.Time <= to
	})
}

// overlapsStall reports whether a backend server or the caller was not scheduled by the operating
// system for some time during a send.
func (l *journals) overlapsStall(s record.Send) bool {
	return slices.ContainsFunc(l.events, func(e record.Event) bool {
		return e.Event == record.EventStall && e.Time >= s.Start && e.Time-e.Duration <= s.End
	})
}

// explainedByPlannedStop reports whether a planned stop of the instance that received a send
// explains that no connection was made or that an idle connection closed before response headers.
func (l *journals) explainedByPlannedStop(s record.Send) bool {
	if s.HeadersReceived || (s.Outcome != record.OutcomeConnRefused && s.Outcome != record.OutcomeConnBroken) {
		return false
	}
	return slices.ContainsFunc(l.events, func(e record.Event) bool {
		return e.Event == record.EventTerm && e.Entry == s.Entry && e.Time <= s.Start.Add(plannedStopMargin)
	})
}
