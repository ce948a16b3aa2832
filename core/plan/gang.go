package plan

import (
	"cmp"
	"slices"

	"vanillabridge/core/model"
)

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
	most := p.mostRoom(ps, ph)
	if ph.job.Queue.Policy != nil && most < gangRoom*count {
		// With little more room than it needs, a gang would wait until nearly all of it is free at once.
		p.askMore(ps, ph, 0)
	}
	if most < count || p.now-ph.since < collectAfter || ps.collecting >= collectors+len(p.workers)/collectWorkers {
		return
	}
	ps.collecting++
	if !fits {
		return
	}
	list := p.gather(ps, ph, count, expired)
	p.keep(ph, list)
	if len(list) >= int(renewPart*float64(count)) && p.anyExpired(ph, list) {
		// The answer comes when the rest is probably collected, so that the room waits less.
		p.askAbout(ph, distinct(append(list, ph.advice.list...)), reasonKept)
	}
}

// anyExpired reports whether a ticket of listed workers is not valid.
func (p *Planner) anyExpired(ph *phase, list []*worker) bool {
	return slices.ContainsFunc(list, func(w *worker) bool { return ph.permit(p.now, w) < allowed })
}

// hasNews reports whether a worker that may run the phase has more room than at the last try.
func (p *Planner) hasNews(ps *pass, ph *phase) bool {
	fresh := ps.fresh(ph)
	p.looks += uint64(len(fresh))
	for _, w := range fresh {
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
	candidates := ps.candidates(ph)
	p.looks += uint64(len(candidates))
	rooms := p.rooms[:0]
	for _, w := range candidates {
		if n := ph.slots(w); n > 0 && w.wasOpen && ph.eligible(w) && ph.permit(p.now, w) >= least {
			rooms = append(rooms, room{w, n})
		}
	}
	p.rooms = rooms
	rooms = p.byRoom(rooms)
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

// mostRoom returns how many tasks of a gang the workers that may run it would hold if they were empty.
func (p *Planner) mostRoom(ps *pass, ph *phase) int {
	total := 0
	candidates := ps.candidates(ph)
	p.looks += uint64(len(candidates))
	for _, w := range candidates {
		if w.wasOpen && ph.eligible(w) {
			n := fit(w.Capacity, ph.shape.Charge())
			if ph.shape.Spread > 0 {
				n = min(n, ph.shape.Spread)
			}
			total += n
		}
	}
	return total
}

func (p *Planner) startGang(ph *phase, list []*worker) {
	number := ph.record().Attempt + 1
	for i, w := range list {
		p.assign(ph, i, number, w)
	}
}
