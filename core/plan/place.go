package plan

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/ledger"
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
	latest := ph.latest()
	if p.now <= latest {
		return rank{0, latest}
	}
	late := latest + 2*(ph.job.objective()-ph.job.accepted)
	if p.now <= late {
		return rank{1, late}
	}
	return rank{2, late}
}

// place starts what can be started, in the order of rank.
func (p *Planner) place() {
	p.ready = slices.DeleteFunc(p.ready, func(ph *phase) bool {
		if ph.job.Over() || ph.done || len(ph.waiting()) == 0 {
			ph.queued = false
			p.releaseHolds(ph)
			return true
		}
		return false
	})
	type ranked struct {
		rank
		ph *phase
	}
	list := make([]ranked, len(p.ready))
	for i, ph := range p.ready {
		list[i] = ranked{p.rankOf(ph), ph}
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.latest, b.latest))
	})
	collecting := 0
	for _, r := range list {
		if p.placePhase(r.ph, collecting < collectors) {
			collecting++
		}
	}
}

// placePhase places the waiting tasks of a phase, or asks for tickets. It reports whether it keeps
// room free for a gang.
func (p *Planner) placePhase(ph *phase, mayCollect bool) bool {
	waiting := ph.waiting()
	if len(waiting) == 0 {
		return false
	}
	if ph.shape.Gang {
		return p.placeGang(ph, len(waiting), mayCollect)
	}
	asked := false
	for _, i := range waiting {
		w := p.best(ph, allowed)
		if w == nil {
			asked = true
			break
		}
		p.assign(ph, i, p.nextAttempt(ph, i), w)
	}
	if asked && ph.job.Queue.Policy != nil {
		p.askAbout(ph, p.askable(ph))
	}
	return false
}

func (p *Planner) nextAttempt(ph *phase, index int) int { return ph.record().Slots[index].Attempt + 1 }

// eligible reports whether a worker could run a task of the phase if it had room.
func (p *Planner) eligible(ph *phase, w *worker) bool {
	s := ph.shape
	return w.Pool == ph.job.Queue.Pool && w.isOpen(p.now) && !w.isSuspended(p.now) &&
		w.HasLabel(s.Label) && s.Charge().Fits(w.Capacity)
}

// slots returns how many more tasks of the phase fit on a worker.
func (p *Planner) slots(ph *phase, w *worker) int {
	n := fit(w.free(), ph.shape.Charge())
	if ph.shape.Spread > 0 {
		n = min(n, ph.shape.Spread-ph.on(w))
	}
	return max(n, 0)
}

// on counts the unsettled attempts of the phase on a worker.
func (ph *phase) on(w *worker) int {
	n := 0
	for _, t := range w.tasks {
		if ph.isStep(t.name) {
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
func (p *Planner) best(ph *phase, least permitted) *worker {
	var best *worker
	var bestCost float64
	for _, w := range p.sortedWorkers() {
		if !p.eligible(ph, w) || ph.permit(p.now, w) < least || p.slots(ph, w) == 0 {
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
	if ph.shape.Fills {
		idle := w.Capacity.CPU - w.used.CPU - w.filling
		return cost - float64(idle)/float64(max(w.Capacity.CPU, 1))
	}
	left := w.free().Minus(ph.shape.Charge())
	return cost + left.Share(w.Capacity)
}

// askable returns the workers to ask about for single tasks: those that have room now and no valid
// ticket, or all on the first call, because which workers may run the step doesn't change.
func (p *Planner) askable(ph *phase) []*worker {
	var list []*worker
	for _, w := range p.sortedWorkers() {
		if !p.eligible(ph, w) {
			continue
		}
		if may := ph.permit(p.now, w); may == unasked || may == expired && p.slots(ph, w) > 0 {
			list = append(list, w)
		}
	}
	return p.byRoom(ph, list)
}

// byRoom puts the workers with room for most tasks first.
func (p *Planner) byRoom(ph *phase, list []*worker) []*worker {
	slices.SortStableFunc(list, func(a, b *worker) int {
		return cmp.Compare(p.slots(ph, b), p.slots(ph, a))
	})
	return list
}

// placeGang starts all tasks of a gang at once, or none. A gang whose tickets have run out keeps
// its room while it asks again; one that has waited collects room as it becomes free.
func (p *Planner) placeGang(ph *phase, count int, mayCollect bool) bool {
	if ph.advice.ask != 0 && len(ph.holds) > 0 {
		return false // room is kept until the answer
	}
	p.dropHolds(ph)
	if list := p.chooseGang(ph, count, allowed); list != nil {
		p.startGang(ph, list)
		return false
	}
	if ph.job.Queue.Policy != nil {
		if list := p.chooseGang(ph, count, expired); list != nil {
			p.keep(ph, list)
			p.askAbout(ph, distinct(list))
			return false
		}
		var unknown []*worker
		for _, w := range p.sortedWorkers() {
			if p.eligible(ph, w) && ph.permit(p.now, w) == unasked {
				unknown = append(unknown, w)
			}
		}
		p.askAbout(ph, p.byRoom(ph, unknown))
	}
	if !mayCollect || p.now-ph.since < collectAfter || !p.isFeasible(ph, count) {
		return false
	}
	p.keep(ph, p.gather(ph, count, expired))
	return true
}

// dropHolds is releaseHolds inside a placement, which looks at all phases anyway.
func (p *Planner) dropHolds(ph *phase) {
	moved := p.moved
	p.releaseHolds(ph)
	p.moved = moved
}

// chooseGang returns a worker for each task of a gang, or nil if they don't all fit.
func (p *Planner) chooseGang(ph *phase, count int, least permitted) []*worker {
	list := p.gather(ph, count, least)
	if len(list) < count {
		return nil
	}
	return list
}

// gather returns workers with room for up to count tasks, those with most room first: the fewer
// workers a gang uses, the fewer failures end it.
func (p *Planner) gather(ph *phase, count int, least permitted) []*worker {
	type room struct {
		w *worker
		n int
	}
	var rooms []room
	for _, w := range p.sortedWorkers() {
		if !p.eligible(ph, w) || ph.permit(p.now, w) < least {
			continue
		}
		if n := p.slots(ph, w); n > 0 {
			rooms = append(rooms, room{w, n})
		}
	}
	slices.SortStableFunc(rooms, func(a, b room) int { return cmp.Compare(b.n, a.n) })
	if ph.shape.OneRack {
		byRack := map[model.Rack]int{}
		for _, r := range rooms {
			byRack[r.w.Rack] += r.n
		}
		slices.SortStableFunc(rooms, func(a, b room) int {
			return cmp.Compare(min(byRack[b.w.Rack], count), min(byRack[a.w.Rack], count))
		})
	}
	var list []*worker
	for _, r := range rooms {
		for range min(r.n, count-len(list)) {
			list = append(list, r.w)
		}
	}
	return list
}

// isFeasible reports whether the workers that may run a gang could hold it if they were empty.
func (p *Planner) isFeasible(ph *phase, count int) bool {
	total := 0
	for _, w := range p.sortedWorkers() {
		if p.eligible(ph, w) && ph.permit(p.now, w) >= expired {
			n := fit(w.Capacity, ph.shape.Charge())
			if ph.shape.Spread > 0 {
				n = min(n, ph.shape.Spread)
			}
			total += n
		}
	}
	return total >= count
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

func (p *Planner) startGang(ph *phase, list []*worker) {
	number := ph.record().Attempt + 1
	for i, w := range list {
		p.assign(ph, i, number, w)
	}
}

// assign decides an attempt; the order follows once the decision is committed.
func (p *Planner) assign(ph *phase, index, number int, w *worker) {
	name := ph.name
	name.Index = index
	t := &task{name: name, number: number, phase: ph, worker: w, stage: assigning, sentAt: p.now}
	t.ticket = ph.advice.tickets[w.life()].text
	ph.tasks[index] = t
	t.attach(w)
	p.placements = append(p.placements, ledger.Placement{
		Task: name, Attempt: number, Worker: w.ID, Born: w.Born,
	})
	p.note(Note{
		Event: "task assigned", Job: name.Job, Task: name.String(), Attempt: number, Worker: w.ID,
		Cause: "free " + w.free().String(), Age: p.now - ph.since,
	})
}
