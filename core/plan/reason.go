package plan

import (
	"cmp"
	"fmt"
	"slices"

	"vanillabridge/core/model"
)

// Reasons for which a worker can't get a task of a step, in the order in which they are looked for.
const (
	excludedLeaving     = "leaving"
	excludedUnreachable = "unreachable"
	excludedSuspended   = "suspended after failures"
	excludedIsolated    = "isolated for a suspect"
	excludedLabel       = "label"
	excludedSize        = "size"
	excludedRoom        = "room"
	excludedSpread      = "tasks per worker"
	excludedDenied      = "ticket denied"
	excludedUnknown     = "ticket unknown"
	excludedExpired     = "ticket expired"
	excludedCap         = "team's cap"
)

// remedies says what would let a worker that is excluded for a reason get a task.
var remedies = map[string]string{
	excludedLeaving:     "Another worker would: these leave.",
	excludedUnreachable: "A report of one of the workers that don't answer would.",
	excludedSuspended:   "The end of a suspension would.",
	excludedIsolated:    "The end of an isolation would: it lasts until the suspect has survived its start.",
	excludedLabel:       "A worker with the label would.",
	excludedSize:        "A larger worker would: on no other one does a task fit even if it is empty.",
	excludedRoom:        "The end of tasks on workers that may run it, or another worker, would.",
	excludedSpread:      "Another worker, or a higher limit of tasks per worker, would.",
	excludedDenied:      "Workers that the ticket service permits would.",
	excludedUnknown:     "The answer to a ticket call would.",
	excludedExpired:     "Renewed tickets would.",
	excludedCap:         "The end of tasks of the team, or a higher cap, would.",
}

// exclusionOf returns why a worker can't get a task of a step now, or "".
func (r *replica) exclusionOf(st *step, w *worker, atCap bool) string {
	switch permission := st.permission(r.now, w); {
	case w.Leaving:
		return excludedLeaving
	case !w.isSchedulable(r.now):
		return excludedUnreachable
	case w.isSuspended(r.now):
		return excludedSuspended
	case w.isolation != nil && w.isolation.step != st:
		return excludedIsolated
	case !w.HasLabel(st.spec.Label):
		return excludedLabel
	case !st.eligible(w):
		return excludedSize
	case st.freeSlots(w) == 0 && countFits(w.freeCapacity(), st.spec.Charge()) > 0:
		return excludedSpread
	case st.freeSlots(w) == 0:
		return excludedRoom
	case permission == permissionDenied:
		return excludedDenied
	case permission == permissionUnknown:
		return excludedUnknown
	case permission == permissionExpired:
		return excludedExpired
	case atCap:
		return excludedCap
	}
	return ""
}

// explainStep explains the placement of a step, and places it on the replica.
func (r *replica) explainStep(st *step, e *Explanation) {
	r.step = st
	v := &StepView{
		Occurrence: st.name.Occurrence, Step: st.name.Step, Waiting: len(st.waitingTasks()), Gang: st.spec.Gang, Need: st.spec.Need,
		Class: r.rankOf(st).class, Declared: st.spec.Estimate, Expected: st.expectedRunTime(),
		Runs: st.runTimes.accepted.Runs, Teams: st.runTimes.accepted.Teams, LatestStart: st.latestOnTime - r.now,
	}
	e.Step = v
	if t := st.job.team; t != nil {
		e.Team = &TeamView{Name: t.Name, Used: t.used, Reserved: t.reserved, Cap: t.Cap, Weight: t.Weight, BeyondShare: st.job.isBeyondShare()}
	}
	if st.dueAt != 0 && r.now < st.dueAt {
		e.Outlook, e.Reason = OutlookWaits, fmt.Sprintf("It is due in %s.", st.dueAt-r.now)
		return
	}
	for _, other := range r.waiting {
		if other.name != st.name && r.comesBefore(other, st) {
			v.Ahead++
		}
	}
	if t := st.job.team; t != nil && st.claimsSince == 0 && t.claimedInPass+1 == r.passNumber {
		t.claimedInPass = r.passNumber // what the gangs before it have claimed in the last pass
	}
	r.updateExpectedEnd(st)
	r.countWorkers(st, v)
	r.place(st, v)
	e.conclude(r, st)
}

// countWorkers counts the workers that are fit for the step, and those that are excluded for each reason.
func (r *replica) countWorkers(st *step, v *StepView) {
	needed := 1
	if st.spec.Gang {
		needed = v.Waiting
	}
	atCap := r.startableTasks(st, needed) < needed
	byReason := map[string][]model.WorkerID{}
	for _, w := range r.sortedWorkers() {
		if w.Pool != st.job.Queue.Pool || w.lost {
			continue
		}
		v.Workers++
		if w.isSchedulable(r.now) {
			v.ReportAge = max(v.ReportAge, r.now-w.reportedAt)
		}
		if reason := r.exclusionOf(st, w, atCap); reason != "" {
			byReason[reason] = append(byReason[reason], w.ID)
			continue
		}
		v.Fit++
		if st.spec.DataRack != "" && w.Rack != st.spec.DataRack {
			v.OtherRack++
		}
	}
	for reason, list := range byReason {
		v.Excluded = append(v.Excluded, Exclusion{Reason: reason, Workers: len(list), Examples: firstIDs(list)})
	}
	slices.SortFunc(v.Excluded, func(a, b Exclusion) int {
		return cmp.Or(cmp.Compare(b.Workers, a.Workers), cmp.Compare(a.Reason, b.Reason))
	})
}

// place places the step on the replica and records what was decided.
func (r *replica) place(st *step, v *StepView) {
	r.pass.waitingAhead = v.Ahead
	r.placeStep(r.pass, st)
	v.Placed, v.Kept = len(st.placed), len(st.reservations)
	for _, t := range st.placed {
		v.Chosen = append(v.Chosen, t.worker.ID)
	}
	slices.Sort(v.Chosen)
	v.Chosen = firstIDs(slices.Compact(v.Chosen))
	for _, decision := range r.decisions {
		if request, ok := decision.(TicketRequest); ok {
			v.Asked += len(request.Workers)
		}
	}
}

// conclude gives the outlook of a step that was placed as far as it can be, with its reason.
func (e *Explanation) conclude(r *replica, st *step) {
	v := e.Step
	e.Outlook = OutlookWaits
	commonest := ""
	if len(v.Excluded) > 0 {
		commonest = v.Excluded[0].Reason
	}
	capped := slices.ContainsFunc(v.Excluded, func(x Exclusion) bool { return x.Reason == excludedCap }) || r.waitsForCap(st)
	switch {
	case v.Placed > 0 && v.Placed == v.Waiting:
		e.Outlook, e.Reason = OutlookStarts, fmt.Sprintf("All %d waiting tasks of the step would be placed now.", v.Placed)
		return
	case v.Placed > 0:
		e.Outlook, e.Reason = OutlookStarts, fmt.Sprintf("%d of %d waiting tasks would be placed now.", v.Placed, v.Waiting)
		e.Change = remedies[excludedRoom]
		if capped {
			e.Change = remedies[excludedCap]
		}
	case v.Workers == 0:
		e.Reason, e.Change = "The pool has no workers.", "A worker in the pool would."
	case capped:
		t := st.job.team
		e.Reason = fmt.Sprintf("Team %s uses %s and has reserved %s of its cap of %s.", t.Name, t.used, t.reserved, t.Cap)
		e.Change = remedies[excludedCap]
	case v.Asked > 0:
		e.Reason, e.Change = fmt.Sprintf("Tickets for %d workers would be requested first.", v.Asked), remedies[excludedUnknown]
	case st.tickets.callsInProgress > 0:
		e.Reason, e.Change = "It waits for the answer to a ticket call.", remedies[excludedUnknown]
	case st.job.Queue.TicketPolicy != nil && !st.tickets.answered:
		e.Reason = fmt.Sprintf("Its first tickets are not requested yet: %d steps wait ahead of it, or no caller is free for it.", v.Ahead)
		e.Change = "The placement of steps ahead, or a free caller, would."
	case v.Fit == 0:
		e.Reason = fmt.Sprintf("None of the %d workers of the pool can get a task of it; most are excluded by: %s.", v.Workers, commonest)
		e.Change = remedies[commonest]
	case st.spec.Gang:
		e.Reason = fmt.Sprintf("Its %d tasks start together, and the %d workers that are fit have not room for all.", v.Waiting, v.Fit)
		e.Change = remedies[excludedRoom]
	default:
		e.Reason, e.Change = "A worker is fit, but kept for another task.", "The next placement pass may place it."
	}
}
