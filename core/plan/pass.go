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
	for _, w := range p.sortedWorkers() {
		open := w.isOpen(p.now) && !w.isSuspended(p.now)
		if open && !w.wasOpen {
			w.grew = p.passes
		}
		w.wasOpen = open
		if open {
			ps.open[w.Pool] = append(ps.open[w.Pool], w)
			ps.most[w.Pool] = ps.most[w.Pool].Max(w.free())
		}
	}
	for _, list := range ps.open {
		slices.SortStableFunc(list, func(a, b *worker) int { return cmp.Compare(b.grew, a.grew) })
	}
	return ps
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
