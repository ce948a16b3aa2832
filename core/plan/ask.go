package plan

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// advice is what the ticket service has said about a step. Which workers may run it doesn't
// change; only tickets run out.
type advice struct {
	tickets map[*worker]ticket
	list    []*worker // with a ticket, valid or not
	asks    int       // calls in progress
	asked   bool      // an answer has come
	// keeping says that room is kept until the call in progress is answered.
	keeping bool
	next    clock.Millis
}

// ticket is what is known of one worker.
type ticket struct {
	denied bool // the worker may not run the step
	text   string
	until  clock.Millis // on the leader's clock
}

// caller is an instance that makes ticket calls. The service takes one call of it at a time.
type caller struct {
	name  model.Instance
	until clock.Millis // when the service is expected to have answered its calls
	// extra is the recent time of a call beyond what the service and earlier calls take: the transit
	// to the caller and from there to the service.
	extra clock.Millis
}

// asking is a ticket call in progress.
type asking struct {
	ask   Ask
	phase *phase
	about []*worker
	by    *caller
	ends  clock.Millis // when the service is expected to have answered
	due   clock.Millis // when it counts as lost
}

func (p *Planner) setCallers(list []model.Instance) {
	old := map[model.Instance]*caller{}
	for _, c := range p.callers {
		old[c.name] = c
	}
	p.callers = nil
	for _, name := range list {
		c := old[name]
		if c == nil {
			c = &caller{name: name}
		}
		p.callers = append(p.callers, c)
	}
	p.moved = true
}

// pickCaller returns the caller whose answer is expected first. Long calls leave those next to the
// service to short ones: behind a call of half a second, or with two more transits between regions,
// a step of an urgent queue would miss its objective.
func (p *Planner) pickCaller(length clock.Millis) *caller {
	list := p.callers
	if reserved := len(list) / reservedPart; length > shortAsk {
		list = list[reserved:]
	}
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(a, b *caller) int {
		return cmp.Compare(max(a.until, p.now)+a.extra, max(b.until, p.now)+b.extra)
	})
}

// learnExtra takes in how much longer a call lasted than the service takes for it, and keeps the
// callers in the order of that.
func (p *Planner) learnExtra(a *asking) {
	extra := min(max(p.now-a.ends, 0), mostExtra)
	if a.by.extra == 0 {
		a.by.extra = extra
	} else {
		a.by.extra += (extra - a.by.extra) / extraWeight
	}
	slices.SortStableFunc(p.callers, func(a, b *caller) int { return cmp.Compare(a.extra, b.extra) })
}

// canAsk reports whether a caller is free soon enough for a call about one worker.
func (p *Planner) canAsk(ph *phase) bool {
	policy := ph.job.Queue.Policy
	c := p.pickCaller(policy.Decide + clock.Millis(policy.Each/1000))
	return c != nil && c.until <= p.now+mostBacklog
}

// Reasons of ticket calls, for the log.
const (
	reasonFirst = "first"   // nothing is known of any worker
	reasonMore  = "further" // the workers known to be allowed lack room
	reasonKept  = "kept"    // room is kept on workers whose tickets ran out
)

// askAbout calls the ticket service about workers for a step, and reports whether it does. It asks
// about no more workers than one call may name: the callers are scarce when load is high, and a step
// that used several at a time kept others from their first call.
func (p *Planner) askAbout(ph *phase, list []*worker, reason string) bool {
	if len(list) == 0 || ph.advice.asks > 0 || p.now < ph.advice.next {
		return false
	}
	return p.call(ph, list[:min(len(list), mostAsked)], reason)
}

func (p *Planner) call(ph *phase, list []*worker, reason string) bool {
	policy := ph.job.Queue.Policy
	length := policy.Decide + clock.Millis(policy.Each*int64(len(list))/1000)
	c := p.pickCaller(length)
	if c == nil {
		return false
	}
	if c.until > p.now+mostBacklog {
		return false
	}
	c.until = max(c.until, p.now) + length
	p.askNumber++
	a := &asking{phase: ph, by: c, ends: c.until, due: c.until + askTimeout}
	a.ask = Ask{Task: ph.name, Caller: c.name, Number: p.askNumber, Reason: reason}
	for _, w := range list {
		a.ask.Workers = append(a.ask.Workers, w.ID)
		a.about = append(a.about, w)
	}
	p.asks[p.askNumber] = a
	ph.advice.asks++
	p.out = append(p.out, a.ask)
	return true
}

// advised takes the answer of the ticket service in.
func (p *Planner) advised(e Advised) {
	a := p.asks[e.Ask.Number]
	if a == nil {
		return
	}
	delete(p.asks, e.Ask.Number)
	if e.OK {
		p.learnExtra(a)
	} else {
		// A caller that is down fails at once and would draw all calls. Another one is asked instead.
		a.by.until = max(a.by.until, p.now+callerPause)
	}
	ad := &a.phase.advice
	granted := e.OK && ad.keeping
	if granted {
		// The kept room is used in the next pass, before other steps see it.
		ad.keeping, a.phase.granted = false, true
	}
	p.askEnded(a.phase)
	p.urgent = true
	if !e.OK {
		ad.next = p.now
		return
	}
	p.learnRate(a.phase.job.Queue.Name, len(e.Tickets), len(a.about))
	ad.asked = true
	if ad.tickets == nil {
		ad.tickets = make(map[*worker]ticket, len(a.about))
	}
	for _, w := range a.about {
		text, ok := e.Tickets[w.ID]
		if !ok {
			ad.tickets[w] = ticket{denied: true}
			continue
		}
		if _, known := ad.tickets[w]; !known {
			ad.list = append(ad.list, w)
		}
		ad.tickets[w] = ticket{text: text, until: p.now + e.Valid - ticketMargin}
	}
	// Tickets change what the phase may use, so all workers count as not yet tried.
	a.phase.tried, a.phase.lookAt = 0, 0
}

// tickAsks gives up ticket calls whose answer is long overdue.
func (p *Planner) tickAsks() {
	for number, a := range p.asks {
		if p.now >= a.due {
			delete(p.asks, number)
			p.askEnded(a.phase)
		}
	}
}

// askEnded gives back the room that was kept for a call.
func (p *Planner) askEnded(ph *phase) {
	ph.advice.asks--
	if ph.advice.keeping {
		ph.advice.keeping = false
		p.releaseHolds(ph)
	}
	p.moved = true
}

// learnRate takes in how many of the workers asked about may run a step of a queue.
func (p *Planner) learnRate(queue string, approved, asked int) {
	old, ok := p.rates[queue]
	if !ok {
		old = firstRate
	}
	p.rates[queue] = old + (float64(approved)/float64(asked)-old)*rateWeight
}

// rate returns the expected share of workers that may run a step of a queue.
func (p *Planner) rate(queue string) float64 {
	r, ok := p.rates[queue]
	if !ok {
		r = firstRate
	}
	return max(r, leastRate)
}

func (ph *phase) dropTicket(id model.WorkerID) {
	for _, w := range ph.advice.list {
		if w.ID == id {
			ph.advice.tickets[w] = ticket{}
		}
	}
}

// permitted is how far a worker may run a step.
type permitted uint8

const (
	forbidden permitted = iota
	unasked
	expired
	allowed
)

func (ph *phase) permit(now clock.Millis, w *worker) permitted {
	if ph.job.Queue.Policy == nil {
		return allowed
	}
	t, ok := ph.advice.tickets[w]
	switch {
	case !ok:
		return unasked
	case t.denied:
		return forbidden
	case now < t.until:
		return allowed
	}
	return expired
}
