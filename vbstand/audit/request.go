package audit

import (
	"time"

	"vanillabridge/vbstand/record"
)

// stopMargin excuses a request that was sent so shortly before a planned stop that the
// instance may have closed the idle connection before it could read the request.
const stopMargin = 100 * time.Millisecond

// checkWhole looks for answers that were told to be done and are damaged or another request's.
func checkWhole(r *Result, l *journals) {
	for _, s := range l.sends {
		if s.Told != record.ToldDone {
			continue
		}
		r.check(Whole)
		if !s.Whole {
			r.broken(Whole, "request %s send %d got from %s a wrong answer of %d bytes as done: %s",
				s.Token, s.Send, s.Entry, s.Bytes, s.Error)
		}
	}
}

// checkNotRun looks for sends that were refused as not run and did run.
func checkNotRun(r *Result, l *journals) {
	starts := l.starts()
	for _, s := range l.sends {
		if s.Told != record.ToldNotRun {
			continue
		}
		r.check(NotRun)
		for _, run := range starts[s.Token] {
			if run.Send == s.Send {
				r.broken(NotRun, "request %s send %d was refused by %s and ran on %s",
					s.Token, s.Send, s.Entry, run.Server)
			}
		}
	}
}

// checkOnce looks for non-idempotent requests that ran more than once.
func checkOnce(r *Result, l *journals) {
	for token, runs := range l.starts() {
		if runs[0].Idempotent {
			continue
		}
		r.check(Once)
		if len(runs) > 1 {
			r.broken(Once, "request %s ran %d times, on %s (send %d) and %s (send %d)", token, len(runs),
				runs[0].Server, runs[0].Send, runs[1].Server, runs[1].Send)
		}
	}
}

// checkLeaving looks for work that a backend server got too long after it said that it leaves.
func checkLeaving(r *Result, l *journals) {
	for _, s := range l.servers {
		if s.Event != record.ServerLeaving {
			continue
		}
		r.check(Leaving)
		for _, run := range l.runs {
			late := run.Time.Sub(s.Time)
			if run.Step == record.RunStart && run.Incarnation == s.Incarnation && late > leavingBound {
				r.broken(Leaving, "backend server %s got request %s %v after it said that it leaves",
					s.Server, run.Token, late)
			}
		}
	}
}

// checkDrain looks for requests that a planned stop cut off.
func checkDrain(r *Result, l *journals) {
	for _, s := range l.servers {
		if s.Event == record.ServerEnd && s.Cut > 0 {
			r.broken(Drain, "backend server %s ended with %d requests in progress", s.Server, s.Cut)
		}
	}
	for _, e := range l.events {
		switch e.Event {
		case record.EventTerm:
			r.check(Drain)
			checkStop(r, l, e)
		case record.EventExit:
			if e.Status != 0 {
				r.broken(Drain, "%s ended its planned stop with status %d", e.Name, e.Status)
			}
		default:
		}
	}
}

func checkStop(r *Result, l *journals, stop record.Event) {
	for _, s := range l.sends {
		if s.Entry != stop.Entry || s.End < stop.Time || l.killedBetween(stop.Name, s.Start, s.End) {
			continue
		}
		if inProgress := s.Start.Add(stopMargin) < stop.Time; !inProgress && !s.Begun {
			continue
		}
		if s.Start > l.nextStart(stop) {
			continue
		}
		r.check(Drain)
		if s.Told == record.ToldBroken || s.Told == record.ToldTimeout {
			r.broken(Drain, "request %s send %d was cut off by the planned stop of %s: %s",
				s.Token, s.Send, stop.Name, s.Error)
		}
	}
}
