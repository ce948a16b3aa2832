package plan

import (
	"cmp"
	"fmt"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// runPass runs a placement pass: it places the waiting tasks in the order of their steps' rank.
func (p *Planner) runPass() {
	p.lastPassAt = p.now
	p.releaseIsolated()
	p.ready = slices.DeleteFunc(p.ready, func(st *step) bool {
		if st.job.HasEnded() || st.done || len(st.waitingTasks()) == 0 {
			st.queued = false
			p.releaseReservations(st)
			return true
		}
		return false
	})
	if len(p.ready) == 0 {
		return
	}
	list := make([]ranked, len(p.ready))
	for i, st := range p.ready {
		list[i] = p.rankInOrder(st)
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if c := cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.start, b.start)); c != 0 {
			return c
		}
		return compareTasks(a.st.name, b.st.name)
	})
	for i, r := range list {
		p.ready[i] = r.st // nearly sorted for the next pass, which makes its sort cheap
	}
	// Accumulated capacity is released before each pass, so that the first gang in rank can reserve all
	// of it: two gangs that each kept half of the capacity that both need would deadlock.
	for _, r := range list {
		r.st.accumulates = len(r.st.reservations) > 0 && !r.st.tickets.awaitingTickets && !r.st.ticketsArrived
		if r.st.accumulates {
			p.releaseReservationsInPass(r.st)
		}
	}
	ps := p.newPass()
	for _, r := range list {
		if r.st.ticketsArrived {
			r.st.ticketsArrived = false
			reserved := r.st.reservations
			p.releaseReservationsInPass(r.st)
			for _, released := range reserved {
				ps.maxFree[released.worker.Pool] = ps.maxFree[released.worker.Pool].Max(released.worker.freeCapacity())
			}
			p.placeStep(ps, r.st)
			p.logPlaced(r.st)
		}
	}
	for st := range p.inTurn(list) {
		if p.now < st.retryAt && !st.accumulates {
			ps.waitingAhead++
			continue
		}
		st.stoppedByCap = false
		if !p.placeStep(ps, st) {
			continue
		}
		p.logPlaced(st)
		if st.stoppedByCap {
			continue // workers that it passed over still have capacity for it
		}
		st.retryAt = p.now + ps.retryDelay(st)
		st.triedInPass = 0
		if len(st.waitingTasks()) > 0 {
			st.triedInPass = p.passNumber
			ps.waitingAhead++
			p.noteShareWait(st)
		}
	}
	p.noteFull(ps)
}

// placeStep places the waiting tasks of a step or requests tickets for them. It reports whether it
// tried to place tasks.
func (p *Planner) placeStep(ps *pass, st *step) bool {
	if st.tickets.awaitingTickets || p.waitsForCap(st) {
		return false
	}
	if st.job.Queue.TicketPolicy != nil && !st.tickets.answered {
		if ps.waitingAhead < maxDepthForTickets {
			p.requestFurtherTickets(ps, st, 0)
		}
		return false
	}
	p.updateExpectedEnd(st)
	fits := st.spec.Charge().FitsIn(ps.maxFree[st.job.Queue.Pool])
	if st.spec.Gang {
		p.placeGang(ps, st, fits)
	} else if fits || len(st.suspects) > 0 {
		p.placeSingles(ps, st)
	}
	return true
}

// updateExpectedEnd sets by when tasks of the step that start now are expected to have ended.
func (p *Planner) updateExpectedEnd(st *step) {
	if p.cfg.Features.Overload {
		st.endsAt = p.now + st.expectedRunTime()*backfillMarginPercent/100 + maxCallerOverhead
	}
}

// placeSingles places the tasks of a step that is not a gang. For tasks that lack only a valid ticket
// it reserves capacity while the ticket is requested, so that later steps don't request tickets for
// the same capacity.
func (p *Planner) placeSingles(ps *pass, st *step) {
	var needTickets []*worker
	noRoom, lacksWorkers := false, false
	for _, i := range slices.Clone(st.waitingTasks()) {
		if noRoom && !st.suspects[i] {
			continue
		}
		if p.startableTasks(st, 1) == 0 {
			st.stoppedByCap = true
			p.noteCapWait(st)
			break
		}
		w, pending := p.workerFor(ps, st, i, permissionValid)
		if w != nil {
			p.assign(st, i, st.record().Tasks[i].Attempt+1, w)
			continue
		}
		if !pending {
			w, pending = p.workerFor(ps, st, i, permissionExpired)
		}
		if w == nil {
			noRoom = noRoom || !st.suspects[i]
			lacksWorkers = lacksWorkers || !pending
			continue
		}
		p.reserve(st, []*worker{w})
		needTickets = append(needTickets, w)
	}
	if len(needTickets) > 0 {
		// Tickets for all permitted workers cost little more than a single one, and serve the tasks for
		// which capacity becomes free in the meantime.
		p.requestReservedTickets(st, append(needTickets, st.tickets.ticketed...))
	} else if st.job.Queue.TicketPolicy != nil && lacksWorkers {
		p.requestFurtherTickets(ps, st, 1)
	}
}

// workerFor returns a worker for a task of a step that is not a gang, or nil; pending reports whether one is
// kept for it.
func (p *Planner) workerFor(ps *pass, st *step, index int, minimum permission) (w *worker, pending bool) {
	if st.suspects[index] {
		return p.suspectWorker(ps, st, minimum)
	}
	return p.bestWorker(ps, st, minimum), false
}

// eligible reports whether a worker has the label and the total capacity for a task of the step.
func (st *step) eligible(w *worker) bool {
	return w.HasLabel(st.spec.Label) && st.spec.Charge().FitsIn(w.Capacity)
}

// freeSlots returns how many more tasks of the step fit on a worker.
func (st *step) freeSlots(w *worker) int {
	n := countFits(w.freeCapacityFor(st), st.spec.Charge())
	if n > 0 && st.spec.MaxPerWorker > 0 {
		n = min(n, st.spec.MaxPerWorker-st.countOnWorker(w))
	}
	return max(n, 0)
}

// countOnWorker counts the charged attempts and the reservations of the step on a worker.
func (st *step) countOnWorker(w *worker) int {
	n := 0
	for _, t := range st.tasks {
		if t.worker == w && t.charged {
			n++
		}
	}
	for _, r := range st.reservations {
		if r.worker == w {
			n++
		}
	}
	return n
}

// countFits returns how often a size fits into a free capacity.
func countFits(free, need model.Size) int {
	n := int64(1 << 20)
	if need.CPU > 0 {
		n = min(n, int64(free.CPU)/int64(need.CPU))
	}
	if need.Memory > 0 {
		n = min(n, int64(free.Memory)/int64(need.Memory))
	}
	if need.Accel > 0 {
		n = min(n, int64(free.Accel)/int64(need.Accel))
	}
	if free.CPU < 0 || free.Memory < 0 || free.Accel < 0 {
		return 0
	}
	return int(max(n, 0))
}

// bestWorker returns the worker with the lowest cost for one task, or nil if none has free capacity
// and at least the given permission.
func (p *Planner) bestWorker(ps *pass, st *step, minimum permission) *worker {
	var best *worker
	var bestCost float64
	candidates := ps.candidates(st)
	p.workersConsidered += uint64(len(candidates))
	for _, w := range candidates {
		if !w.wasSchedulable || st.freeSlots(w) == 0 || !st.eligible(w) || st.permission(p.now, w) < minimum {
			continue
		}
		cost := p.placementCost(st, w)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// placementCost returns the cost of placing a task on a worker. It prefers the rack of the task's
// data, workers on which the job has not failed, and near workers, and among these the worker with
// the least capacity left (best fit), so that whole workers stay free for large tasks. Best-effort
// tasks go to the worker with most unused processor instead.
func (p *Planner) placementCost(st *step, w *worker) float64 {
	cost := 0.0
	if st.spec.DataRack != "" && w.Rack != st.spec.DataRack {
		cost += 10
	}
	if _, failed := w.health.failedJobs[st.name.Job]; failed {
		cost += 5
	}
	if st.isFar(w) {
		cost += 3
	}
	if st.spec.BestEffort {
		idle := w.Capacity.CPU - w.used.CPU - w.unchargedCPU
		return cost - float64(idle)/float64(max(w.Capacity.CPU, 1))
	}
	if p.cfg.Features.Overload {
		cost += p.paceTerm(st, w)
		if w.drainedInPass+1 >= p.passNumber && st.endsAt > w.drainedUntil {
			cost += drainedCost
		}
	}
	remaining := w.freeCapacity().Minus(st.spec.Charge())
	return cost + remaining.DominantShare(w.Capacity)
}

// isFar reports whether the round trip to a worker is long compared with the work of the step.
func (st *step) isFar(w *worker) bool {
	return w.minRoundTrip*minWorkTransitRatio > st.expectedRunTime()
}

// releaseReservationsInPass releases the reservations of a step without requesting another pass,
// because the pass in progress visits all steps anyway.
func (p *Planner) releaseReservationsInPass(st *step) {
	passNeeded := p.passNeeded
	p.releaseReservations(st)
	p.passNeeded = passNeeded
}

// reserve reserves the capacity of one task on a worker for each time that the worker is listed.
func (p *Planner) reserve(st *step, list []*worker) {
	amount := st.spec.Charge()
	for _, w := range list {
		w.reserved = w.reserved.Plus(amount)
		p.reserved[w.Pool] += amount.CPU
		st.addReservation(reservation{worker: w, amount: amount, counted: st.spec.Need})
	}
}

// distinctWorkers returns the listed workers once each. It includes workers whose ticket is still
// valid, because the ticket may expire before the call for new ones is answered.
func distinctWorkers(list []*worker) []*worker {
	var out []*worker
	for _, w := range list {
		if !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	return out
}

// assign places an attempt on a worker. The start order is sent once the assignment is committed.
func (p *Planner) assign(st *step, index, attempt int, w *worker) {
	name := st.name
	name.Index = index
	t := &task{name: name, attempt: attempt, step: st, worker: w, stage: stageAssigning, startSentAt: p.now}
	t.ticket = st.tickets.byWorker[w].token
	st.tasks[index] = t
	st.waitingStale = true
	p.startProbation(t)
	t.charge(w)
	p.chargeTurn(t)
	p.placements = append(p.placements, ledger.Placement{
		Task: name, Attempt: attempt, Worker: w.ID, WorkerStartedAt: w.StartedAt,
	})
	st.placed = append(st.placed, t)
}

// logPlaced logs the attempts of a step that the pass has placed, in one line.
func (p *Planner) logPlaced(st *step) {
	if len(st.placed) == 0 {
		return
	}
	var list []byte
	starts := make([]clock.Millis, 0, len(st.placed))
	for _, t := range st.placed {
		list = fmt.Appendf(list, "%d@%s ", t.name.Index, t.worker.ID)
		starts = append(starts, t.worker.StartedAt)
	}
	p.logEvent(LogEvent{
		Event: "step placed", Job: st.name.Job, Task: st.name.StepName(), Attempt: st.placed[0].attempt,
		Cause: string(list), Starts: starts, Age: p.now - st.readyAt,
	})
	st.placed = nil
}
