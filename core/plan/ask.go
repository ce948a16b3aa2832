package plan

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// ticketState holds the answers of the ticket service for a step. Which workers may run the step
// doesn't change; only tickets expire.
type ticketState struct {
	byWorker        map[*worker]ticket
	ticketed        []*worker // workers that got a ticket, expired or not
	callsInProgress int
	answered        bool // at least one call was answered
	// awaitingTickets is set while the step keeps reservations until the call in progress is answered.
	awaitingTickets bool
	nextCallAt      clock.Millis
}

// ticket is the answer of the ticket service for one process of a worker.
type ticket struct {
	denied    bool // the worker may not run the step
	token     string
	expiresAt clock.Millis // on the leader's clock
}

// caller is an instance that makes ticket calls. The service handles one call per caller at a time.
type caller struct {
	name      model.Instance
	busyUntil clock.Millis // when the service is expected to have handled its calls
	// overhead is a moving average of the time of a call beyond the expected time of the service: the
	// transit to the caller and from there to the service.
	overhead clock.Millis
}

// ticketCall is a call to the ticket service in progress.
type ticketCall struct {
	request     TicketRequest
	step        *step
	workers     []*worker
	caller      *caller
	expectedEnd clock.Millis // when the service is expected to have handled the call
	deadline    clock.Millis // when the call counts as lost
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
	p.passNeeded = true
}

// pickCaller returns the caller whose answer is expected first, or nil if there is none. The callers
// with the lowest overhead are reserved for short calls: behind a call of half a second, or with two
// more transits between regions, a step of an urgent queue would miss its objective.
func (p *Planner) pickCaller(duration clock.Millis) *caller {
	list := p.callers
	if reserved := len(list) / reservedCallersDivisor; duration > shortTicketCall {
		list = list[reserved:]
	}
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(a, b *caller) int {
		return cmp.Compare(max(a.busyUntil, p.now)+a.overhead, max(b.busyUntil, p.now)+b.overhead)
	})
}

// updateOverhead updates the overhead of a call's caller when the call is answered, and keeps the
// callers sorted by overhead.
func (p *Planner) updateOverhead(call *ticketCall) {
	overhead := min(max(p.now-call.expectedEnd, 0), maxCallerOverhead)
	if call.caller.overhead == 0 {
		call.caller.overhead = overhead
	} else {
		call.caller.overhead += (overhead - call.caller.overhead) / overheadWeightDivisor
	}
	slices.SortStableFunc(p.callers, func(a, b *caller) int { return cmp.Compare(a.overhead, b.overhead) })
}

// callerAvailable reports whether a caller is free soon enough for a call that names one worker.
func (p *Planner) callerAvailable(st *step) bool {
	policy := st.job.Queue.TicketPolicy
	c := p.pickCaller(policy.BaseDuration + clock.Millis(policy.PerWorkerMicros/1000))
	return c != nil && c.busyUntil <= p.now+maxCallerBacklog
}

// Reasons of ticket calls, in the log.
const (
	reasonFirst    = "first"   // no call about the step was answered yet
	reasonFurther  = "further" // the permitted workers lack capacity
	reasonReserved = "kept"    // capacity is reserved on workers whose tickets expired
)

// requestTickets requests tickets of a step for workers, and reports whether it made a call. Calls for
// many workers are split, so that a wide gang gets its tickets in the time of a short call. While callers
// are scarce the calls are fewer and longer: a step that used many callers would keep other steps from
// their first call. Workers for which no caller is free are left out.
func (p *Planner) requestTickets(st *step, list []*worker, reason string) bool {
	if len(list) == 0 || st.tickets.callsInProgress > 0 || p.now < st.tickets.nextCallAt {
		return false
	}
	list = list[:min(len(list), maxWorkersPerRequest)]
	for chunk := range slices.Chunk(list, p.workersPerCall(st, len(list))) {
		if !p.startTicketCall(st, chunk, reason) {
			break
		}
	}
	return st.tickets.callsInProgress > 0
}

// workersPerCall returns how many workers each call about this many workers names.
func (p *Planner) workersPerCall(st *step, workers int) int {
	policy := st.job.Queue.TicketPolicy
	size := clock.Millis(splitTimeShare*1000) * policy.BaseDuration / clock.Millis(max(policy.PerWorkerMicros, 1))
	calls := max(1, p.idleCallers()/idleCallersPerRequest)
	return min(max(int(size), (workers+calls-1)/calls, 1), maxWorkersPerCall)
}

// idleCallers counts the callers that make no call.
func (p *Planner) idleCallers() int {
	n := 0
	for _, c := range p.callers {
		if c.busyUntil <= p.now {
			n++
		}
	}
	return n
}

func (p *Planner) startTicketCall(st *step, list []*worker, reason string) bool {
	policy := st.job.Queue.TicketPolicy
	duration := policy.BaseDuration + clock.Millis(policy.PerWorkerMicros*int64(len(list))/1000)
	c := p.pickCaller(duration)
	if c == nil {
		return false
	}
	if c.busyUntil > p.now+maxCallerBacklog {
		return false
	}
	c.busyUntil = max(c.busyUntil, p.now) + duration
	p.lastCallNumber++
	call := &ticketCall{step: st, caller: c, expectedEnd: c.busyUntil, deadline: c.busyUntil + ticketCallTimeout}
	call.request = TicketRequest{Task: st.name, Caller: c.name, Number: p.lastCallNumber, Reason: reason}
	for _, w := range list {
		call.request.Workers = append(call.request.Workers, w.Incarnation())
		call.workers = append(call.workers, w)
	}
	p.ticketCalls[p.lastCallNumber] = call
	st.tickets.callsInProgress++
	p.decisions = append(p.decisions, call.request)
	return true
}

// handleTicketsAnswered handles the answer to a ticket call.
func (p *Planner) handleTicketsAnswered(e TicketsAnswered) {
	call := p.ticketCalls[e.Request.Number]
	if call == nil {
		return
	}
	delete(p.ticketCalls, e.Request.Number)
	if e.OK {
		p.updateOverhead(call)
	} else {
		// Calls of a caller that is down fail at once, so it would always look free and attract all calls.
		call.caller.busyUntil = max(call.caller.busyUntil, p.now+callerFailureBackoff)
	}
	ts := &call.step.tickets
	switch {
	case e.OK && ts.callsInProgress > 1:
		// The reservations stay until the other calls of the request are answered.
		ts.callsInProgress--
		p.passNeeded = true
	case e.OK && ts.awaitingTickets:
		// The next pass places this step on the reserved capacity before it visits other steps.
		ts.awaitingTickets, call.step.ticketsArrived = false, true
		p.finishTicketCall(call.step)
	default:
		p.finishTicketCall(call.step)
	}
	p.passUrgent = true
	if !e.OK {
		ts.nextCallAt = p.now
		return
	}
	p.updateApprovalRate(call.step.job.Queue.Name, len(e.Tickets), len(call.workers))
	ts.answered = true
	if ts.byWorker == nil {
		ts.byWorker = make(map[*worker]ticket, len(call.workers))
	}
	for _, w := range call.workers {
		token, ok := e.Tickets[w.Incarnation()]
		if !ok {
			ts.byWorker[w] = ticket{denied: true}
			continue
		}
		if _, known := ts.byWorker[w]; !known {
			ts.ticketed = append(ts.ticketed, w)
		}
		ts.byWorker[w] = ticket{token: token, expiresAt: p.now + e.Validity - ticketExpiryMargin}
	}
	// The set of permitted workers has changed, so the next pass considers all workers again.
	call.step.triedInPass, call.step.retryAt = 0, 0
}

// expireTicketCalls drops ticket calls that were not answered by their deadline.
func (p *Planner) expireTicketCalls() {
	for number, call := range p.ticketCalls {
		if p.now >= call.deadline {
			delete(p.ticketCalls, number)
			p.finishTicketCall(call.step)
		}
	}
}

// finishTicketCall ends a call in progress, and releases the capacity reserved until its answer.
func (p *Planner) finishTicketCall(st *step) {
	st.tickets.callsInProgress--
	if st.tickets.awaitingTickets {
		st.tickets.awaitingTickets = false
		p.releaseReservations(st)
	}
	p.passNeeded = true
}

// updateApprovalRate updates the approval rate of a queue with the answer to a ticket call.
func (p *Planner) updateApprovalRate(queue string, approved, asked int) {
	previous, ok := p.approvalRates[queue]
	if !ok {
		previous = initialApprovalRate
	}
	p.approvalRates[queue] = previous + (float64(approved)/float64(asked)-previous)*approvalRateWeight
}

// approvalRate returns the expected share of workers that get a ticket for a step of a queue.
func (p *Planner) approvalRate(queue string) float64 {
	r, ok := p.approvalRates[queue]
	if !ok {
		r = initialApprovalRate
	}
	return max(r, minApprovalRate)
}

// invalidateTicket drops the ticket of a process.
func (st *step) invalidateTicket(w *worker) {
	if _, known := st.tickets.byWorker[w]; known {
		st.tickets.byWorker[w] = ticket{}
	}
}

// permission says whether a worker may run a step, in ascending order of what is allowed.
type permission uint8

const (
	permissionDenied permission = iota
	permissionUnknown
	permissionExpired
	permissionValid
)

func (st *step) permission(now clock.Millis, w *worker) permission {
	if st.job.Queue.TicketPolicy == nil {
		return permissionValid
	}
	t, ok := st.tickets.byWorker[w]
	switch {
	case !ok:
		return permissionUnknown
	case t.denied:
		return permissionDenied
	case now < t.expiresAt:
		return permissionValid
	}
	return permissionExpired
}
