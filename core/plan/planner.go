package plan

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// Planner is the scheduler of one leader for one term. It reads the replicated state: a command must
// have been applied to the state before the planner gets the Applied event for it.
type Planner struct {
	cfg                   Config
	state                 *ledger.State
	now                   clock.Millis
	workers               map[model.WorkerID]*worker
	workersByAddress      map[string][]*worker // those that have answered in this term
	workersByID           []*worker            // sorted by identifier; nil when it has to be rebuilt
	workersByCapacityGain []*worker            // sorted by worker.gainedInPass, highest first; nil when it has to be rebuilt
	jobs                  map[model.JobID]*job
	teams                 map[string]*team
	turns                 turns
	waitLog               waitLog
	recurringJobs         map[model.JobID]*job       // jobs with due times that have not ended
	rankStep              func(*Planner, *step) rank // the order of the waiting steps
	// ready holds the steps with waiting tasks whose predecessors are done and whose due time has come.
	ready []*step

	callers        []*caller
	lastCallNumber uint64
	ticketCalls    map[uint64]*ticketCall
	approvalRates  map[string]float64 // by queue: share of the workers named in ticket calls that got a ticket

	// Collected while an event is handled, and emitted afterwards.
	decisions       []Decision
	placements      []ledger.Placement
	attemptEnds     []ledger.AttemptEnd
	runTimes        []ledger.RunTime // of attemptEnds
	done            []DoneTask       // those of attemptEnds that ended as done
	workersWithEnds []*worker        // have reported new ends since the last settlement was proposed
	// pendingAcks holds, by number of the settlement, the ends that its workers may discard once it is
	// committed. lastSettlement is the highest number in use.
	pendingAcks    map[uint64]ackBatch
	lastSettlement uint64
	// passNeeded is set when capacity or tickets have changed since the last placement pass. passUrgent
	// is set when a step became ready or tickets arrived: the next pass then doesn't wait for
	// minPassInterval, unless maxDepthForTickets or more steps are waiting.
	passNeeded, passUrgent bool
	lastPassAt             clock.Millis
	lastFlushAt            clock.Millis
	passNumber             uint64
	isolated               []*worker                   // kept for suspects
	reserved               map[string]model.Millicores // processor capacity that steps have reserved, by pool
	// meanDeviation is the moving average of how much longer than the runs before it in its step a run takes.
	meanDeviation float64
	// workersConsidered counts how often a worker was considered for a step.
	workersConsidered uint64
	// Scratch buffers of a placement pass.
	gatherScratch, unknownScratch, sortScratch []workerSlots
	endsScratch                                []expectedEnd
}

// WorkersConsidered returns how often a worker was considered for a step so far. The cost of
// placement passes is proportional to it.
func (p *Planner) WorkersConsidered() uint64 { return p.workersConsidered }

// New returns a planner that continues from the replicated state, and its first decisions.
func New(now clock.Millis, cfg Config, state *ledger.State) (*Planner, []Decision) {
	p := &Planner{
		cfg: cfg, state: state, now: now, rankStep: rankByDue,
		workers: map[model.WorkerID]*worker{}, workersByAddress: map[string][]*worker{},
		teams: map[string]*team{}, jobs: map[model.JobID]*job{}, recurringJobs: map[model.JobID]*job{},
		ticketCalls: map[uint64]*ticketCall{}, reserved: map[string]model.Millicores{},
		approvalRates: map[string]float64{}, pendingAcks: map[uint64]ackBatch{},
	}
	if cfg.Features.Overload {
		p.rankStep = rankByRoom
	}
	ids := make([]model.WorkerID, 0, len(state.Workers()))
	for id := range state.Workers() {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		p.addWorker(now, state.Workers()[id])
	}
	jobs := make([]model.JobID, 0, len(state.Jobs()))
	for id, j := range state.Jobs() {
		if !j.IsSettled() {
			jobs = append(jobs, id)
		}
	}
	slices.Sort(jobs)
	for _, id := range jobs {
		p.addJob(state.Jobs()[id])
	}
	p.meterJobs()
	// The caller of New logs the number of workers when it starts the planner, so the log needs no line
	// for each.
	p.decisions = slices.DeleteFunc(p.decisions, func(d Decision) bool {
		event, ok := d.(LogEvent)
		return ok && event.Event == eventWorkerJoins
	})
	return p, p.takeDecisions()
}

// Step handles an event at the given time and returns the resulting decisions.
func (p *Planner) Step(now clock.Millis, e Event) []Decision {
	p.now = max(p.now, now)
	switch e := e.(type) {
	case Applied:
		p.handleApplied(e)
	case HoldAnswered:
		p.handleHoldAnswered(p.now, e)
	case HoldFailed:
		p.handleHoldFailed(p.now, e)
	case OrderAnswered:
		p.handleOrderAnswered(e)
	case TicketsAnswered:
		p.handleTicketsAnswered(e)
	case CallersChanged:
		p.setCallers(e.List)
	case Tick:
		p.expireWorkers(p.now)
		p.resendStops()
		p.expireTicketCalls()
		p.enqueueDueSteps()
		p.passNeeded = true
	}
	return p.takeDecisions()
}

// takeDecisions runs a placement pass and proposes the collected commands if they are due, and
// returns the decisions made since the last call.
func (p *Planner) takeDecisions() []Decision {
	if p.passNeeded && (p.now-p.lastPassAt >= minPassInterval || (p.passUrgent && len(p.ready) < maxDepthForTickets)) {
		p.passNeeded, p.passUrgent = false, false
		p.runPass()
	}
	if p.now-p.lastFlushAt >= minFlushInterval {
		p.proposeCollected()
	}
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

// proposeCollected proposes the collected assignments and ends.
func (p *Planner) proposeCollected() {
	if len(p.placements) > 0 {
		p.propose(ledger.Assign{Placements: p.placements, Term: p.cfg.Term})
		p.placements, p.lastFlushAt = nil, p.now
	}
	hasEnds := len(p.attemptEnds) > 0
	if hasEnds {
		p.lastSettlement++
		p.propose(ledger.Settle{Ends: p.attemptEnds, Now: p.now + p.cfg.UnixOffset, Term: p.cfg.Term, Number: p.lastSettlement, RunTimes: p.runTimes})
		p.attemptEnds, p.runTimes, p.lastFlushAt = nil, nil, p.now
	}
	if len(p.done) > 0 {
		p.decisions = append(p.decisions, LogDone{List: p.done})
		p.done = nil
	}
	p.queueAcks(hasEnds)
}

func (p *Planner) handleApplied(a Applied) {
	switch c := a.Command.(type) {
	case ledger.Submit:
		_, rest, ok := p.state.Config().LookupQueue(c.Host, c.Path)
		id := model.JobID(rest)
		switch j := p.state.Job(id); {
		case !ok || j == nil || p.jobs[id] != nil:
		case !j.IsSettled():
			p.addJob(j)
			p.noteArrival(p.jobs[id])
		case a.Outcome == ledger.OutcomeCancelled:
			p.noteCancelledArrival(j)
		}
	case ledger.Cancel:
		_, rest, _ := p.state.Config().LookupQueue(c.Host, c.Path)
		if j := p.jobs[model.JobID(rest)]; j != nil && j.HasEnded() {
			p.closeJob(j, "job was cancelled")
		}
	case ledger.RegisterWorker:
		if w, ok := p.state.Workers()[c.Worker.ID]; ok {
			p.addWorker(p.now, w)
		}
	case ledger.RemoveWorker:
		p.removeWorker(c.Incarnation())
	case ledger.Assign:
		p.handleAssigned(c)
	case ledger.Settle:
		p.handleSettled(c)
	case ledger.PruneJobs:
		for id := range p.jobs {
			if p.state.Job(id) == nil {
				delete(p.jobs, id)
			}
		}
	case ledger.Configure:
		p.updateTeams()
	}
	p.passNeeded = true
}

func (p *Planner) propose(c ledger.Command) { p.decisions = append(p.decisions, Propose{Command: c}) }

func (p *Planner) logEvent(event LogEvent) { p.decisions = append(p.decisions, p.withForecast(event)) }

// sortedWorkers returns all workers sorted by identifier, which keeps the planner deterministic.
func (p *Planner) sortedWorkers() []*worker {
	if p.workersByID == nil {
		p.workersByID = make([]*worker, 0, len(p.workers))
		for _, w := range p.workers {
			p.workersByID = append(p.workersByID, w)
		}
		slices.SortFunc(p.workersByID, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return p.workersByID
}

// selectTasks returns the tasks of a worker that match a predicate, in a fixed order.
func (w *worker) selectTasks(match func(*task) bool) []*task {
	var list []*task
	for _, t := range w.tasks {
		if match(t) {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return compareTasks(a.name, b.name) })
	return list
}

func anyTask(*task) bool { return true }

func compareTasks(a, b flow.Task) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
