package plan

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// pass is the state of one placement pass over all waiting steps.
type pass struct {
	// schedulable holds the workers that may get tasks, by pool, sorted by gainedInPass, highest first.
	schedulable map[string][]*worker
	// maxFree holds, by pool, the largest free capacity of any worker in each dimension at the start of
	// the pass and after the release of reservations whose tickets arrived.
	maxFree map[string]model.Size
	// waitingAhead counts the steps visited so far in this pass that still wait.
	waitingAhead      int
	byFree            map[string]*freeIndex       // by pool; built when first used
	capacity          map[string]model.Millicores // of the schedulable workers, by pool
	accumulatingGangs int                         // gangs that accumulate capacity in this pass
	isolatingGang     *step                       // first gang whose suspects lack workers
	byUse             map[string][]*worker        // by pool; built when first used
}

func (p *Planner) newPass() *pass {
	p.passNumber++
	ps := &pass{schedulable: map[string][]*worker{}, maxFree: map[string]model.Size{}, byFree: map[string]*freeIndex{}, capacity: map[string]model.Millicores{}, byUse: map[string][]*worker{}}
	for _, w := range p.sortByCapacityGain() {
		w.wasSchedulable = w.acceptsTasks(p.now)
		if w.wasSchedulable {
			ps.schedulable[w.Pool] = append(ps.schedulable[w.Pool], w)
			ps.capacity[w.Pool] += w.Capacity.CPU
			ps.maxFree[w.Pool] = ps.maxFree[w.Pool].Max(w.freeCapacity())
		}
	}
	return ps
}

// sortByCapacityGain returns all workers sorted by gainedInPass, highest first. It sorts the result
// of the previous pass: few workers gain capacity between two passes, so the list is nearly sorted
// and sorting it is cheap.
func (p *Planner) sortByCapacityGain() []*worker {
	if p.workersByCapacityGain == nil {
		p.workersByCapacityGain = slices.Clone(p.sortedWorkers())
	}
	for _, w := range p.workersByCapacityGain {
		if !w.wasSchedulable && w.acceptsTasks(p.now) {
			w.gainedInPass = p.passNumber
		}
	}
	slices.SortFunc(p.workersByCapacityGain, func(a, b *worker) int {
		if a.gainedInPass != b.gainedInPass {
			return cmp.Compare(b.gainedInPass, a.gainedInPass)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return p.workersByCapacityGain
}

// retryDelay returns how long a step that could not be placed is skipped. It grows with the number
// of steps that wait ahead: under a backlog, repeated attempts at steps unlikely to be placed would
// use up the processor that start orders need.
func (ps *pass) retryDelay(st *step) clock.Millis {
	depth := clock.Millis(ps.waitingAhead / maxDepthForTickets)
	if st.spec.Gang {
		depth++ // placing a gang considers all workers that may run it
	}
	return min(depth, maxRetryDelayFactor) * placementRetryDelay
}

// mayAccumulate reports whether another gang may accumulate capacity.
func (p *Planner) mayAccumulate(ps *pass, st *step) bool {
	pool := st.job.Queue.Pool
	if p.cfg.Features.Overload {
		return p.mayReserve(ps, st)
	}
	return ps.accumulatingGangs < minAccumulatingGangs || float64(p.reserved[pool]) < maxReservedShare*float64(ps.capacity[pool])
}

// noteCapacityGain records that a worker has more free capacity from the next pass on.
func (p *Planner) noteCapacityGain(w *worker) {
	w.gainedInPass = p.passNumber + 1
	p.passNeeded = true
}

// workersWithNewCapacity returns the schedulable workers that may have more free capacity than when
// the placement of the step was last tried. The others had no capacity for it then, so under load a
// pass considers few workers for each step.
func (ps *pass) workersWithNewCapacity(st *step) []*worker {
	list := ps.schedulable[st.job.Queue.Pool]
	n, _ := slices.BinarySearchFunc(list, st.triedInPass, func(w *worker, tried uint64) int {
		if w.gainedInPass > tried {
			return -1
		}
		return 1
	})
	return list[:n]
}

// candidates returns the workers to consider for a task of a step: those with new capacity, or the
// permitted ones if these are fewer. The latter need not be schedulable.
func (ps *pass) candidates(st *step) []*worker {
	list := ps.workersWithNewCapacity(st)
	if st.job.Queue.TicketPolicy != nil && len(st.tickets.ticketed) < len(list) {
		return st.tickets.ticketed
	}
	return list
}
