package plan

// askKeeping asks about workers on which room was kept for the phase. The answer of a call that is
// in progress is awaited first. A gang that collects keeps its room also while no caller is free.
func (p *Planner) askKeeping(ph *phase, list []*worker) {
	if len(list) == 0 {
		return
	}
	switch {
	case ph.advice.asks > 0 || p.askAbout(ph, distinct(list), reasonKept):
		ph.advice.keeping = true
	case !ph.collects:
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
	if ph.advice.asks > 0 || p.now < ph.advice.next || !p.canAsk(ph) {
		return
	}
	open := ps.open[ph.job.Queue.Pool]
	list := p.unasked[:0]
	total := 0
	p.looks += uint64(len(open))
	for i := range open {
		w := open[(i+int(p.askNumber)*askStride)%len(open)]
		if ph.permit(p.now, w) != unasked || !ph.eligible(w) {
			continue
		}
		if n := ph.slots(w); n >= least {
			total += n
			list = append(list, room{w, n})
		}
	}
	p.unasked = list
	rate := p.rate(ph.job.Queue.Name)
	if least > 0 && float64(total)*rate < float64(p.lacking(ps, ph)) {
		ph.advice.next = p.now + lookAgain
		return
	}
	var ask []*worker
	need := askRoom * float64(len(ph.waiting())) / rate
	policy := ph.job.Queue.Policy
	cheap := int(cheapPart * float64(policy.Decide*1000) / float64(max(policy.Each, 1)))
	for i, r := range p.byRoom(list) {
		if need <= 0 && i >= cheap {
			break
		}
		need -= max(float64(r.n), spareShare*float64(fit(r.w.Capacity, ph.shape.Charge())))
		ask = append(ask, r.w)
	}
	reason := reasonMore
	if !ph.advice.asked {
		reason = reasonFirst
	}
	if p.askAbout(ph, ask, reason) {
		ph.advice.next = p.now + askAgain
	} else {
		ph.advice.next = p.now + lookAgain
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
