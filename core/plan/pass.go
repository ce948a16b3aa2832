package plan

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// rank orders waiting steps. Steps that can still end on time go by the time at which they have to
// start; then those that can end within three times the objective, then the rest: under overload
// this keeps steps that are late anyway from making others late.
type rank struct {
	group  int
	latest clock.Millis
}

func (p *Planner) rankOf(ph *phase) rank {
	switch {
	case p.now <= ph.latest:
		return rank{0, ph.latest}
	case p.now <= ph.late:
		return rank{1, ph.late}
	}
	return rank{2, ph.late}
}

// pass is one look at all waiting steps.
type pass struct {
	// open holds the workers that may get tasks, by pool, those whose room grew last first.
	open map[string][]*worker
	// most is the free room of the best worker in each dimension when the pass began.
	most map[string]model.Size
	// blocked counts the steps that wait although they come earlier.
	blocked    int
	collecting int
}

func (p *Planner) newPass() *pass {
	p.passes++
	ps := &pass{open: map[string][]*worker{}, most: map[string]model.Size{}}
	for _, w := range p.byGrowth() {
		w.wasOpen = w.isOpen(p.now) && !w.isSuspended(p.now)
		if w.wasOpen {
			ps.open[w.Pool] = append(ps.open[w.Pool], w)
			ps.most[w.Pool] = ps.most[w.Pool].Max(w.free())
		}
	}
	return ps
}

// byGrowth returns all workers, those first whose room grew last. The order of the pass before is
// kept, because few workers grow between two passes and a sort of what is nearly in order is cheap.
func (p *Planner) byGrowth() []*worker {
	if p.grown == nil {
		p.grown = slices.Clone(p.sortedWorkers())
	}
	for _, w := range p.grown {
		if !w.wasOpen && w.isOpen(p.now) && !w.isSuspended(p.now) {
			w.grew = p.passes
		}
	}
	slices.SortFunc(p.grown, func(a, b *worker) int {
		if a.grew != b.grew {
			return cmp.Compare(b.grew, a.grew)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return p.grown
}

// pause is how long a step that was tried in vain is left alone: the less, the fewer steps wait
// before it. Under a backlog, looks at steps that have little hope would take the processor that the
// orders need.
func (ps *pass) pause(ph *phase) clock.Millis {
	depth := clock.Millis(ps.blocked / askDepth)
	if ph.shape.Gang {
		depth++ // a try at a gang looks at all workers that may run it
	}
	return min(depth, mostDepth) * lookAgain
}

// grow notes that a worker has more room from the next pass on.
func (p *Planner) grow(w *worker) {
	w.grew = p.passes + 1
	p.moved = true
}

// fresh returns the open workers that may have more room than when the phase was last tried. All
// others had no room for it then, so under load a pass looks at few workers for each step.
func (ps *pass) fresh(ph *phase) []*worker {
	list := ps.open[ph.job.Queue.Pool]
	n, _ := slices.BinarySearchFunc(list, ph.tried, func(w *worker, tried uint64) int {
		if w.grew > tried {
			return -1
		}
		return 1
	})
	return list[:n]
}
