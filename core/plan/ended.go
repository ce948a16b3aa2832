package plan

import (
	"fmt"
	"math"

	"vanillabridge/core/clock"
	"vanillabridge/core/ledger"
)

// evidence is what shows that the process of a worker has ended. All of it comes from a process that has listened at the
// worker's address since, or from time alone: an announcement by itself ends no attempt.
type evidence uint8

const (
	// evidenceLaterStart means that a process with the same identifier and a later start has answered.
	evidenceLaterStart evidence = iota + 1
	// evidenceOtherWorker means that a worker with another identifier has answered at the address.
	evidenceOtherWorker
	// evidenceLease means that the worker could not be reached until the lease of its tasks had ended.
	evidenceLease
)

// evidenceRule says what follows from a kind of evidence.
type evidenceRule struct {
	cause string
	// carriesOutOrders is set if a process that follows would carry out what was sent to the one that ended: it has the
	// identifier that calls name, and has seen neither a fencing token nor an attempt. An attempt whose start order may
	// have reached it has to be stopped there before its task starts elsewhere. No call of this version reaches it, but
	// cores of earlier versions may still make some during an upgrade.
	carriesOutOrders bool
}

// evidenceRules holds the rule for each kind of evidence.
//
// evidenceLease doesn't wait for a later process that may run an order or hold a lease of the earlier one: no call
// reaches another process than the one that it is meant for, see fleet.Workers.
var evidenceRules = map[evidence]evidenceRule{
	evidenceLaterStart:  {cause: "worker started again", carriesOutOrders: true},
	evidenceOtherWorker: {cause: "another worker listens at its address"},
	evidenceLease:       {cause: "lease ended without contact"},
}

const (
	// maxStartCallTime is the longest time from the sending of a start order to its arrival, with its way through a relay
	// that was paused.
	maxStartCallTime = 1500 * clock.Millisecond
	// neverProven is a time on a worker's clock that no report reaches.
	neverProven clock.Millis = math.MaxInt64
)

// mayReachNextProcess reports whether a start order of the attempt may have reached a later process of its worker, or may
// still reach it. That is impossible once the worker has answered a hold that was sent after the last call with a start
// order had ended.
func (t *task) mayReachNextProcess() bool {
	return t.openStarts > 0 || t.startCallEndedAt > t.worker.answeredHoldSentAt
}

// moveToNextProcess moves the attempts of a worker to the process that has announced a later start under the same
// identifier. They end when that process has shown by a report that it doesn't run them. Those whose start order may
// reach it are stopped there first, and take up its capacity until then.
func (p *Planner) moveToNextProcess(old, next *worker) {
	rule := evidenceRules[evidenceLaterStart]
	old.lost, old.wasSchedulable = true, false
	attempts, starting, stops := old.selectTasks(anyTask), 0, 0
	for _, t := range attempts {
		end := t.crashEnd()
		if old.Leaving {
			end = ledger.EndLost
		}
		if end == ledger.EndStartCrash {
			starting++
		}
		if t.stage == stageAssigning {
			p.endTask(t, end, "", p.describeCrash(t, rule.cause))
			continue
		}
		stop := rule.carriesOutOrders && t.mayReachNextProcess()
		p.moveTask(t, next, end)
		if stop {
			p.stopInNextProcess(t)
			stops++
		}
	}
	p.logEvent(LogEvent{
		Event: "worker crashed", Worker: old.Incarnation(), Found: next.StartedAt, Known: old.knownState(p.now), Age: p.sinceFailing(old),
		Cause: fmt.Sprintf("%s; %d attempts, %d of them just started, %d may start in the next process", rule.cause, len(attempts), starting, stops),
	})
	p.proposeCollected()
}

// moveTask charges an attempt to the next process of its worker, where it ends if a report doesn't list it.
func (p *Planner) moveTask(t *task, next *worker, endIfAbsent ledger.End) {
	t.releaseCharge()
	t.worker, t.endIfAbsent, t.absenceProvenAfter = next, endIfAbsent, 0
	t.charge(next)
}

// stopInNextProcess has the process of a moved attempt refuse its start order, or stop it if it has arrived.
func (p *Planner) stopInNextProcess(t *task) {
	t.absenceProvenAfter = neverProven
	if t.stage == stageStarting {
		t.stage, t.mayStillStart = stageRunning, false
	}
	p.setLapse(t)
	t.stopReason = ""
	p.stopTask(t, "its worker started again")
}

// setLapse sets by when an attempt has ended if a later process of its worker has carried out its start order and can't be
// reached: the order arrives before its call has ended, and runs for the longest lease, because that process takes the
// order's expiry for a time on its own clock.
func (p *Planner) setLapse(t *task) {
	t.lapsesAt = p.now + maxStartCallTime + p.cfg.MaxLease*(100+2*maxDriftPercent)/100
}

// hasLapsed reports whether the attempt has ended although nothing shows it, because lapsesAt has come.
func (t *task) hasLapsed(now clock.Millis) bool { return t.lapsesAt != 0 && now >= t.lapsesAt }

// noteRestart handles that a later process of a worker has answered. The attempts are settled with it once it announces
// itself, which it does at once; their leases bound the wait.
func (p *Planner) noteRestart(w *worker) {
	w.refusedConns, w.unresponsive, w.awaitsReport = 0, true, true
	for _, t := range w.tasks {
		if t.lapsesAt == 0 && t.mayReachNextProcess() {
			p.setLapse(t)
		}
	}
}

// handleStopAnswered handles the answer to a stop order. It matters only for an attempt that was moved: a process that has
// answered the stop starts it no more. The outcome of any other stop is taken from reports.
func (p *Planner) handleStopAnswered(t *task, e OrderAnswered) {
	if t.absenceProvenAfter == neverProven && e.Worker == t.worker.Incarnation() && (e.Verdict == VerdictDone || e.Verdict == VerdictAttemptEnded) {
		t.absenceProvenAfter = e.Clock
	}
}

// awaitsProof reports whether an attempt on the worker waits for the report that shows that it doesn't run.
func (w *worker) awaitsProof() bool {
	for _, t := range w.tasks {
		if t.endIfAbsent != 0 || t.missingSince != 0 {
			return true
		}
	}
	return false
}
