package audit

import (
	"time"

	"vanillabridge/vbstand/record"
)

// plannedStopMargin is the time before a planned stop in which a failed send is no violation. The
// instance may have closed the idle connection before it could read the request.
const plannedStopMargin = 100 * time.Millisecond

// checkAnswerIntact reports answers with the outcome done that are damaged or belong to another request.
func checkAnswerIntact(r *Result, l *journals) {
	for _, s := range l.sends {
		if s.Outcome != record.OutcomeDone {
			continue
		}
		r.countCheck(GuaranteeAnswerIntact)
		if !s.BodyValid {
			r.addViolation(GuaranteeAnswerIntact, "request %s send %d was reported as done by %s with an invalid answer of %d bytes: %s",
				s.Token, s.Number, s.Entry, s.Bytes, s.Error)
		}
	}
}

// checkNotRun reports sends that were refused as not run but did run.
func checkNotRun(r *Result, l *journals) {
	starts := l.startsByToken()
	for _, s := range l.sends {
		if s.Outcome != record.OutcomeNotRun {
			continue
		}
		r.countCheck(GuaranteeNotRun)
		for _, run := range starts[s.Token] {
			if run.SendNumber == s.Number {
				r.addViolation(GuaranteeNotRun, "request %s send %d was refused as not run by %s but ran on %s",
					s.Token, s.Number, s.Entry, run.Server)
			}
		}
	}
}

// checkAtMostOnce reports non-idempotent requests that ran more than once.
func checkAtMostOnce(r *Result, l *journals) {
	for token, runs := range l.startsByToken() {
		if runs[0].Idempotent {
			continue
		}
		r.countCheck(GuaranteeAtMostOnce)
		if len(runs) > 1 {
			r.addViolation(GuaranteeAtMostOnce, "non-idempotent request %s ran %d times, on %s (send %d) and %s (send %d)", token, len(runs),
				runs[0].Server, runs[0].SendNumber, runs[1].Server, runs[1].SendNumber)
		}
	}
}

// checkLeaving reports requests that a backend server received later than
// maxAssignmentAfterLeaving after it announced that it is leaving.
func checkLeaving(r *Result, l *journals) {
	for _, s := range l.servers {
		if s.Event != record.ServerLeaving {
			continue
		}
		r.countCheck(GuaranteeLeaving)
		for _, run := range l.runs {
			delay := run.Time.Sub(s.Time)
			if run.Step == record.RunStart && run.Incarnation == s.Incarnation && delay > maxAssignmentAfterLeaving {
				r.addViolation(GuaranteeLeaving, "backend server %s received request %s %v after it announced that it is leaving",
					s.Server, run.Token, delay)
			}
		}
	}
}

// checkDrain reports requests that a planned stop interrupted, and processes that exited from a
// planned stop with a status other than 0.
func checkDrain(r *Result, l *journals) {
	for _, s := range l.servers {
		if s.Event == record.ServerEnd && s.InProgress > 0 {
			r.addViolation(GuaranteeDrain, "backend server %s exited with %d requests in progress", s.Server, s.InProgress)
		}
	}
	for _, e := range l.events {
		switch e.Event {
		case record.EventTerm:
			r.countCheck(GuaranteeDrain)
			checkPlannedStop(r, l, e)
		case record.EventExit:
			if e.Status != 0 {
				r.addViolation(GuaranteeDrain, "%s exited from its planned stop with status %d", e.Name, e.Status)
			}
		default:
		}
	}
}

// checkPlannedStop reports the sends that were in progress at a planned stop, or whose answer had
// begun, and that ended with a broken connection or a timeout.
func checkPlannedStop(r *Result, l *journals, stop record.Event) {
	for _, s := range l.sends {
		if s.Entry != stop.Entry || s.End < stop.Time || l.killedBetween(stop.Name, s.Start, s.End) {
			continue
		}
		if inProgress := s.Start.Add(plannedStopMargin) < stop.Time; !inProgress && !s.HeadersReceived {
			continue
		}
		if s.Start > l.nextStart(stop) {
			continue
		}
		r.countCheck(GuaranteeDrain)
		if s.Outcome == record.OutcomeConnBroken || s.Outcome == record.OutcomeTimeout {
			r.addViolation(GuaranteeDrain, "request %s send %d was interrupted by the planned stop of %s: %s",
				s.Token, s.Number, stop.Name, s.Error)
		}
	}
}
