package plan

import (
	"cmp"
	"fmt"
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
	slices.SortStableFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.latest, b.latest))
	})
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
		if !p.placePhase(ps, r.ph) {
			continue
		}
		r.ph.tried = p.passes
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
	for _, w := range ps.fresh(ph) {
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
	if ph.shape.Fills {
		idle := w.Capacity.CPU - w.used.CPU - w.filling
		return cost - float64(idle)/float64(max(w.Capacity.CPU, 1))
	}
	left := w.free().Minus(ph.shape.Charge())
	return cost + left.Share(w.Capacity)
}

// askKeeping asks about workers on which room was kept for the phase.
func (p *Planner) askKeeping(ph *phase, list []*worker) {
	if len(list) == 0 {
		return
	}
	if p.askAbout(ph, distinct(list)) {
		ph.advice.keeping = true
	} else {
		p.dropHolds(ph)
	}
}

// askMore asks about workers that the service was not yet asked about, those with most room first:
// which of them may run the step doesn't change, and the answer is known before its turn comes. It
// asks about so many that the step probably finds room among those that may run it, and about so
// many more as make the call little longer. Each step begins at another place of the list, because
// all steps would ask about the same of equal workers.
//
// With least above 0 only workers with room for so many tasks count, and only if those that may be
// allowed are expected to hold what the step lacks: calls about a worker or two at a time kept all
// callers busy under load.
func (p *Planner) askMore(ps *pass, ph *phase, least int) {
	if ph.advice.asks > 0 || p.now < ph.advice.next {
		return
	}
	open := ps.open[ph.job.Queue.Pool]
	type room struct {
		w *worker
		n int
	}
	var list []room
	total := 0
	for i := range open {
		w := open[(i+int(p.askNumber)*askStride)%len(open)]
		if ph.permit(p.now, w) != unasked || !ph.eligible(w) {
			continue
		}
		if n := ph.slots(w); n >= least {
			list = append(list, room{w, n})
			total += n
		}
	}
	rate := p.rate(ph.job.Queue.Name)
	if least > 0 && float64(total)*rate < float64(p.lacking(ps, ph)) {
		return
	}
	slices.SortStableFunc(list, func(a, b room) int { return cmp.Compare(b.n, a.n) })
	var ask []*worker
	need := askRoom * float64(len(ph.waiting())) / rate
	policy := ph.job.Queue.Policy
	cheap := int(cheapPart * float64(policy.Decide*1000) / float64(max(policy.Each, 1)))
	for i, r := range list {
		if need <= 0 && i >= cheap {
			break
		}
		need -= max(float64(r.n), spareShare*float64(fit(r.w.Capacity, ph.shape.Charge())))
		ask = append(ask, r.w)
	}
	if p.askAbout(ph, ask) {
		ph.advice.next = p.now + askAgain
	}
}

// lacking returns the number of tasks for which workers known to be allowed have no room: of a gang
// what it lacks to start, of other tasks at least one.
func (p *Planner) lacking(ps *pass, ph *phase) int {
	if !ph.shape.Gang {
		return 1
	}
	count := len(ph.waiting())
	return max(1, count-len(p.gather(ps, ph, count, expired)))
}

// placeGang starts all tasks of a gang at once, or none. A gang whose tickets have run out keeps
// its room while it asks again; one that has waited collects room as it becomes free.
func (p *Planner) placeGang(ps *pass, ph *phase, fits bool) {
	count := len(ph.waiting())
	if count == 0 {
		return
	}
	if fits && (ph.collects || p.hasNews(ps, ph)) {
		if list := p.chooseGang(ps, ph, count, allowed); list != nil {
			p.startGang(ph, list)
			return
		}
		if list := p.chooseGang(ps, ph, count, expired); list != nil {
			p.keep(ph, list)
			p.askKeeping(ph, list)
			return
		}
	}
	if ph.job.Queue.Policy != nil {
		// Other workers may have the room that those known to be allowed lack.
		least := 1
		if !p.isFeasible(ps, ph, count) {
			least = 0
		}
		p.askMore(ps, ph, least)
	}
	if !p.isFeasible(ps, ph, count) {
		return
	}
	if p.now-ph.since < collectAfter || ps.collecting >= collectors+len(p.workers)/collectWorkers {
		return
	}
	ps.collecting++
	if fits {
		p.keep(ph, p.gather(ps, ph, count, expired))
	}
}

// hasNews reports whether a worker that may run the phase has more room than at the last try.
func (p *Planner) hasNews(ps *pass, ph *phase) bool {
	for _, w := range ps.fresh(ph) {
		if ph.permit(p.now, w) >= expired && ph.slots(w) > 0 {
			return true
		}
	}
	return false
}

// candidates returns the workers that may run a phase, as far as is known.
func (ps *pass) candidates(ph *phase) []*worker {
	if ph.job.Queue.Policy == nil {
		return ps.open[ph.job.Queue.Pool]
	}
	return ph.advice.list
}

// dropHolds is releaseHolds inside a placement, which looks at all phases anyway.
func (p *Planner) dropHolds(ph *phase) {
	moved := p.moved
	p.releaseHolds(ph)
	p.moved = moved
}

// chooseGang returns a worker for each task of a gang, or nil if they don't all fit.
func (p *Planner) chooseGang(ps *pass, ph *phase, count int, least permitted) []*worker {
	list := p.gather(ps, ph, count, least)
	if len(list) < count {
		return nil
	}
	return list
}

// gather returns workers with room for up to count tasks, those with most room first: the fewer
// workers a gang uses, the fewer failures end it.
func (p *Planner) gather(ps *pass, ph *phase, count int, least permitted) []*worker {
	type room struct {
		w *worker
		n int
	}
	var rooms []room
	for _, w := range ps.candidates(ph) {
		if n := ph.slots(w); n > 0 && w.wasOpen && ph.eligible(w) && ph.permit(p.now, w) >= least {
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
func (p *Planner) isFeasible(ps *pass, ph *phase, count int) bool {
	total := 0
	for _, w := range ps.candidates(ph) {
		if w.wasOpen && ph.eligible(w) {
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
