package plan

import (
	"cmp"
	"fmt"
	"slices"

	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// place starts what can be started, in the order of rank.
func (p *Planner) place() {
	p.placedAt = p.now
	p.ready = slices.DeleteFunc(p.ready, func(ph *phase) bool {
		if ph.job.Over() || ph.done || len(ph.waiting()) == 0 {
			ph.queued = false
			p.releaseHolds(ph)
			return true
		}
		return false
	})
	if len(p.ready) == 0 {
		return
	}
	type ranked struct {
		rank
		ph *phase
	}
	list := make([]ranked, len(p.ready))
	for i, ph := range p.ready {
		list[i] = ranked{p.rankOf(ph), ph}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if c := cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.latest, b.latest)); c != 0 {
			return c
		}
		return compareTask(a.ph.name, b.ph.name)
	})
	for i, r := range list {
		p.ready[i] = r.ph // nearly in order at the next pass, which makes its sort cheap
	}
	// Room that is collected goes back first, so that the gang that comes first collects all of it:
	// two gangs that kept half each would wait for ever.
	for _, r := range list {
		r.ph.collects = len(r.ph.holds) > 0 && !r.ph.advice.keeping && !r.ph.granted
		if r.ph.collects {
			p.dropHolds(r.ph)
		}
	}
	ps := p.newPass()
	for _, r := range list {
		if r.ph.granted {
			r.ph.granted = false
			kept := r.ph.holds
			p.dropHolds(r.ph)
			for _, h := range kept {
				ps.most[h.w.Pool] = ps.most[h.w.Pool].Max(h.w.free())
			}
			p.placePhase(ps, r.ph)
			p.notePlaced(r.ph)
		}
	}
	for _, r := range list {
		if p.now < r.ph.lookAt && !r.ph.collects {
			ps.blocked++
			continue
		}
		if !p.placePhase(ps, r.ph) {
			continue
		}
		r.ph.tried = p.passes
		r.ph.lookAt = p.now + ps.pause(r.ph)
		p.notePlaced(r.ph)
		if len(r.ph.waiting()) > 0 {
			ps.blocked++
		}
	}
}

// placePhase places the waiting tasks of a phase, or asks for tickets. It reports whether it has
// tried to place.
func (p *Planner) placePhase(ps *pass, ph *phase) bool {
	if ph.advice.keeping {
		return false
	}
	if ph.job.Queue.Policy != nil && !ph.advice.asked {
		if ps.blocked < askDepth {
			p.askMore(ps, ph, 0)
		}
		return false
	}
	fits := ph.shape.Charge().Fits(ps.most[ph.job.Queue.Pool])
	if ph.shape.Gang {
		p.placeGang(ps, ph, fits)
	} else if fits {
		p.placeSingles(ps, ph)
	}
	return true
}

// placeSingles places tasks that don't need each other. Where only a valid ticket is missing, room
// is kept while the service is asked, so that steps further back don't ask for the same room.
func (p *Planner) placeSingles(ps *pass, ph *phase) {
	var short []*worker
	for _, i := range slices.Clone(ph.waiting()) {
		if w := p.best(ps, ph, allowed); w != nil {
			p.assign(ph, i, ph.record().Slots[i].Attempt+1, w)
			continue
		}
		w := p.best(ps, ph, expired)
		if w == nil {
			break
		}
		p.keep(ph, []*worker{w})
		short = append(short, w)
	}
	if len(short) > 0 {
		// Fresh tickets for all that may run the step cost little more than for one, and serve the
		// tasks whose room comes free meanwhile.
		p.askKeeping(ph, append(short, ph.advice.list...))
	} else if ph.job.Queue.Policy != nil && len(ph.waiting()) > 0 {
		p.askMore(ps, ph, 1)
	}
}

// eligible reports whether an open worker could run a task of the phase if it had room.
func (ph *phase) eligible(w *worker) bool {
	return w.HasLabel(ph.shape.Label) && ph.shape.Charge().Fits(w.Capacity)
}

// slots returns how many more tasks of the phase fit on a worker.
func (ph *phase) slots(w *worker) int {
	n := fit(w.free(), ph.shape.Charge())
	if n > 0 && ph.shape.Spread > 0 {
		n = min(n, ph.shape.Spread-ph.on(w))
	}
	return max(n, 0)
}

// on counts the unsettled attempts and the kept room of the phase on a worker.
func (ph *phase) on(w *worker) int {
	n := 0
	for _, t := range ph.tasks {
		if t.worker == w && t.charged {
			n++
		}
	}
	for _, h := range ph.holds {
		if h.w == w {
			n++
		}
	}
	return n
}

// fit returns how often a size fits into free room.
func fit(free, need model.Size) int {
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

// best returns the worker for one task: near its data, not one where the job failed, and then the
// one that the task fills most, so that whole workers stay free for large tasks. Filling tasks go
// where most processor is left unused.
func (p *Planner) best(ps *pass, ph *phase, least permitted) *worker {
	var best *worker
	var bestCost float64
	fresh := ps.fresh(ph)
	p.looks += uint64(len(fresh))
	for _, w := range fresh {
		if ph.permit(p.now, w) < least || ph.slots(w) == 0 || !ph.eligible(w) {
			continue
		}
		cost := p.cost(ph, w)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

func (p *Planner) cost(ph *phase, w *worker) float64 {
	cost := 0.0
	if ph.shape.Near != "" && w.Rack != ph.shape.Near {
		cost += 10
	}
	if w.health.failing[ph.name.Job] {
		cost += 5
	}
	if ph.isFar(w) {
		cost += 3
	}
	if ph.shape.Fills {
		idle := w.Capacity.CPU - w.used.CPU - w.filling
		return cost - float64(idle)/float64(max(w.Capacity.CPU, 1))
	}
	left := w.free().Minus(ph.shape.Charge())
	return cost + left.Share(w.Capacity)
}

// isFar reports whether the transit to a worker and back is a good part of the work of the step.
func (ph *phase) isFar(w *worker) bool { return w.away*nearPart > ph.shape.Estimate }

// dropHolds is releaseHolds inside a placement, which looks at all phases anyway.
func (p *Planner) dropHolds(ph *phase) {
	moved := p.moved
	p.releaseHolds(ph)
	p.moved = moved
}

// keep holds room on workers, once for each time that a worker is listed.
func (p *Planner) keep(ph *phase, list []*worker) {
	amount := ph.shape.Charge()
	for _, w := range list {
		w.held = w.held.Plus(amount)
		ph.holds = append(ph.holds, hold{w, amount})
	}
}

// distinct returns the listed workers once each. Those whose ticket is still valid are asked about
// again too, because it may run out before the answer comes.
func distinct(list []*worker) []*worker {
	var out []*worker
	for _, w := range list {
		if !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	return out
}

// assign decides an attempt; the order follows once the decision is committed.
func (p *Planner) assign(ph *phase, index, number int, w *worker) {
	name := ph.name
	name.Index = index
	t := &task{name: name, number: number, phase: ph, worker: w, stage: assigning, sentAt: p.now}
	t.ticket = ph.advice.tickets[w].text
	ph.tasks[index] = t
	ph.stale = true
	t.attach(w)
	p.placements = append(p.placements, ledger.Placement{
		Task: name, Attempt: number, Worker: w.ID, Born: w.Born,
	})
	ph.chosen = append(ph.chosen, t)
}

// notePlaced logs the attempts of a step that a pass has placed, in one line.
func (p *Planner) notePlaced(ph *phase) {
	if len(ph.chosen) == 0 {
		return
	}
	var list []byte
	for _, t := range ph.chosen {
		list = fmt.Appendf(list, "%d@%s ", t.name.Index, t.worker.ID)
	}
	p.note(Note{
		Event: "step placed", Job: ph.name.Job, Task: ph.name.Phase(), Attempt: ph.chosen[0].number,
		Cause: string(list), Age: p.now - ph.since,
	})
	ph.chosen = nil
}
