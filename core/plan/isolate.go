package plan

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
)

// A suspect is a task that may have crashed a worker. It is started on a worker that starts nothing else until the
// suspect has survived its start, so that another crash proves its cause and ends few other tasks.
const (
	// lateCrashWindow is how long after its start an attempt may have a part in a crash at all. A suspect that
	// crashed its workers later than at its start stays alone for as long.
	lateCrashWindow = 5 * clock.Second
	// maxIsolationWait is how long a worker is kept for a suspect that cannot be started.
	maxIsolationWait = 3 * clock.Second
	// maxIsolatedShare is the largest share of the workers that are kept for single suspects; one always may.
	maxIsolatedShare = 0.25
)

// isolation keeps a worker for the suspects of one step. They may share it: their job fails as a whole.
type isolation struct {
	step  *step
	since clock.Millis
}

// onProbation reports whether the attempt is a suspect that has not survived its start yet.
func (t *task) onProbation() bool { return t.survivedFor < t.probation && t.stage != stageEnding }

// updateSuspect looks up whether a task of the step is a suspect.
func (p *Planner) updateSuspect(st *step, index int) {
	name := st.name
	name.Index = index
	if !p.state.Crashes(name).IsSuspect(p.now + p.cfg.UnixOffset) {
		delete(st.suspects, index)
		return
	}
	if st.suspects == nil {
		st.suspects = map[int]bool{}
	}
	st.suspects[index] = true
}

// waitingSuspects counts the suspects that wait to be placed.
func (st *step) waitingSuspects() int {
	if len(st.suspects) == 0 || st.job.HasEnded() {
		return 0 // the state has no records of the steps of a job that is settled
	}
	n := 0
	for _, index := range st.waitingTasks() {
		if st.suspects[index] {
			n++
		}
	}
	return n
}

// isolate keeps a worker for the suspects of a step, unless it is kept already.
func (p *Planner) isolate(w *worker, st *step) {
	if w.isolation != nil {
		return
	}
	w.isolation = &isolation{step: st, since: p.now}
	w.wasSchedulable = false
	p.isolated = append(p.isolated, w)
	p.logEvent(LogEvent{Event: "worker isolated", Job: st.name.Job, Task: st.name.StepName(), Worker: w.Incarnation(), Cause: "for tasks that may have crashed a worker"})
}

// releaseIsolated ends the isolation of workers whose suspects have survived their start, have ended, or can't be
// started in time.
func (p *Planner) releaseIsolated() {
	p.isolated = slices.DeleteFunc(p.isolated, func(w *worker) bool {
		st := w.isolation.step
		waits := st.queued && st.waitingSuspects() > 0 && p.now-w.isolation.since < maxIsolationWait
		if !w.lost && (waits || w.hasProbation()) {
			return false
		}
		w.isolation = nil
		p.noteCapacityGain(w)
		return true
	})
}

// hasProbation reports whether a suspect on the worker has not survived its start yet.
func (w *worker) hasProbation() bool {
	for _, t := range w.tasks {
		if t.onProbation() {
			return true
		}
	}
	return false
}

// suspectWorker returns a worker on which a suspect of a step that is not a gang may start now, and isolates it. If
// there is none it isolates one for later; pending reports whether one is.
func (p *Planner) suspectWorker(ps *pass, st *step, minimum permission) (w *worker, pending bool) {
	for _, w := range p.quietWorkers(ps, st, 1, minimum) {
		if w.isolation != nil || p.mayIsolate(ps, st) {
			p.isolate(w, st)
			return w, false
		}
	}
	if p.countIsolatedSlots(st, minimum) > 0 {
		return nil, true
	}
	if w := p.emptiestWorker(ps, st, minimum); w != nil && p.mayIsolate(ps, st) {
		p.isolate(w, st)
		return nil, true
	}
	return nil, false
}

// suspectWorkers returns a worker for each suspect of a gang on which it may start now, or false. The first gang in
// rank keeps workers until there are enough: two gangs that each kept a part would wait for each other.
func (p *Planner) suspectWorkers(ps *pass, st *step, minimum permission) ([]*worker, bool) {
	suspects := st.waitingSuspects()
	list := p.quietWorkers(ps, st, suspects, minimum)
	if len(list) == suspects {
		return list, true
	}
	if ps.isolatingGang == nil {
		ps.isolatingGang = st
	}
	if ps.isolatingGang == st && p.countIsolatedSlots(st, minimum) < suspects {
		if w := p.emptiestWorker(ps, st, minimum); w != nil {
			p.isolate(w, st)
		}
	}
	return nil, false
}

// mayIsolate reports whether another worker may be kept for single suspects.
func (p *Planner) mayIsolate(ps *pass, st *step) bool {
	workers := len(ps.schedulable[st.job.Queue.Pool]) + len(p.isolated)
	return float64(len(p.isolated)) < max(1, maxIsolatedShare*float64(workers))
}

// quietWorkers returns the workers for up to n suspects of a step, each listed once per task: those on which no
// task of another job is starting, first those that are isolated for the step, then those whose tasks use the
// smallest share of their capacity.
func (p *Planner) quietWorkers(ps *pass, st *step, n int, minimum permission) []*worker {
	var list []*worker
	add := func(w *worker) {
		if p.isUsableFor(st, w, minimum) && w.isQuietFor(st) {
			for range min(st.freeSlots(w), n-len(list)) {
				list = append(list, w)
			}
		}
	}
	for _, w := range p.isolated {
		if w.isolation.step == st {
			add(w)
		}
	}
	if len(list) == n {
		return list
	}
	for _, w := range ps.sortedByUse(st.job.Queue.Pool) {
		p.workersConsidered++
		if w.wasSchedulable {
			add(w)
		}
		if len(list) == n {
			break
		}
	}
	return list
}

// sortedByUse returns the workers of a pool that could get tasks at the start of the pass, the emptiest first.
func (ps *pass) sortedByUse(pool string) []*worker {
	list := ps.byUse[pool]
	if list == nil {
		list = slices.Clone(ps.schedulable[pool])
		slices.SortFunc(list, func(a, b *worker) int {
			return cmp.Or(cmp.Compare(a.used.DominantShare(a.Capacity), b.used.DominantShare(b.Capacity)), cmp.Compare(a.ID, b.ID))
		})
		ps.byUse[pool] = list
	}
	return list
}

// emptiestWorker returns the worker with room for a task of the step whose tasks use the smallest share of its
// capacity, or nil.
func (p *Planner) emptiestWorker(ps *pass, st *step, minimum permission) *worker {
	for _, w := range ps.sortedByUse(st.job.Queue.Pool) {
		p.workersConsidered++
		if w.wasSchedulable && p.isUsableFor(st, w, minimum) {
			return w
		}
	}
	return nil
}

// countIsolatedSlots returns how many tasks of a step fit on the workers that are isolated for it.
func (p *Planner) countIsolatedSlots(st *step, minimum permission) int {
	n := 0
	for _, w := range p.isolated {
		if w.isolation.step == st && p.isUsableFor(st, w, minimum) {
			n += st.freeSlots(w)
		}
	}
	return n
}

// isUsableFor reports whether a task of the step fits on a worker that answers and may run it.
func (p *Planner) isUsableFor(st *step, w *worker, minimum permission) bool {
	return w.isSchedulable(p.now) && w.failingSince == 0 && !w.isSuspended(p.now) && st.freeSlots(w) > 0 && st.eligible(w) && st.permission(p.now, w) >= minimum
}

// isQuietFor reports whether no task of another job than the step's is starting on the worker.
func (w *worker) isQuietFor(st *step) bool {
	for _, t := range w.tasks {
		if t.step.job != st.job && !t.survivedStart() {
			return false
		}
	}
	return true
}

// startProbation marks an attempt of a suspect on a worker that is isolated for its step.
func (p *Planner) startProbation(t *task) {
	if w := t.worker; w.isolation == nil || w.isolation.step != t.step || !t.step.suspects[t.name.Index] {
		return
	}
	t.probation = startCrashWindow
	if p.state.Crashes(t.name).AtStart == 0 {
		t.probation = lateCrashWindow
	}
}

// holdWait returns how long a worker may wait for an end before it answers a hold: on an isolated worker no longer
// than until its suspects have survived their start.
func (w *worker) holdWait() clock.Millis {
	wait := maxHoldWait
	if w.Leaving {
		wait = leavingHoldWait
	}
	if w.awaitsProof() {
		return minHoldInterval
	}
	if w.isolation == nil {
		return wait
	}
	for _, t := range w.tasks {
		if t.onProbation() {
			wait = min(wait, max(t.probation-t.survivedFor, minHoldInterval))
		}
	}
	return wait
}

// adoptSuspect isolates the worker on which an earlier leader started a suspect.
func (p *Planner) adoptSuspect(st *step, t *task) {
	p.isolate(t.worker, st)
	p.startProbation(t)
}
