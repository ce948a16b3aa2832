package plan

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// Planner is the plan of one leader for one term. It reads the replicated state, which must show
// each command before the planner gets its Applied event.
type Planner struct {
	cfg     Config
	state   *ledger.State
	now     clock.Millis
	workers map[model.WorkerID]*worker
	order   []*worker // all workers by identifier; nil when it must be made anew
	grown   []*worker // all workers, those first whose room grew last
	jobs    map[model.JobID]*job
	timed   map[model.JobID]*job // with due times, and not over
	// ready holds the phases with waiting tasks whose turn has come.
	ready []*phase

	callers   []*caller
	askNumber uint64
	asks      map[uint64]*asking
	rates     map[string]float64 // share of workers that may run a step, by queue

	// Collected during a step and emitted at its end.
	out        []Decision
	placements []ledger.Placement
	endings    []ledger.Ending
	touched    []*worker // with ends taken in during the step
	// settling holds the ends of the settlements in progress by their number; number is the last.
	settling map[uint64]seenBatch
	number   uint64
	// moved says that room or tickets have changed, so that waiting phases are looked at again.
	// urgent says that a new phase or new tickets came, which is worth a look at once.
	moved, urgent bool
	placedAt      clock.Millis
	loggedAt      clock.Millis
	passes        uint64
	// looks counts how often a worker was considered for a step.
	looks uint64
	// rooms and unasked are scratch space of a pass.
	rooms, unasked, sorted []room
}

// Looks returns how often a worker was considered for a step, which is what a pass costs.
func (p *Planner) Looks() uint64 { return p.looks }

// New returns a planner that continues from the replicated state.
func New(now clock.Millis, cfg Config, state *ledger.State) (*Planner, []Decision) {
	p := &Planner{
		cfg: cfg, state: state, now: now,
		workers: map[model.WorkerID]*worker{},
		jobs:    map[model.JobID]*job{}, timed: map[model.JobID]*job{},
		asks:  map[uint64]*asking{},
		rates: map[string]float64{}, settling: map[uint64]seenBatch{},
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
	// The line of the plan's start counts what it takes over; a line for each worker says no more.
	p.out = slices.DeleteFunc(p.out, func(d Decision) bool {
		n, ok := d.(Note)
		return ok && n.Event == workerJoins
	})
	return p, p.finish()
}

// Step takes an event in and returns what follows.
func (p *Planner) Step(now clock.Millis, e Event) []Decision {
	p.now = max(p.now, now)
	switch e := e.(type) {
	case Applied:
		p.applied(e.Command)
	case Reported:
		p.report(p.now, e)
	case Unreached:
		p.unreached(p.now, e)
	case Answered:
		p.answered(e)
	case Advised:
		p.advised(e)
	case Callers:
		p.setCallers(e.List)
	case Tick:
		p.tickWorkers(p.now)
		p.tickTasks()
		p.tickAsks()
		p.tickDue()
		p.moved = true
	}
	return p.finish()
}

// finish places what can be placed and collects the decisions of a step.
func (p *Planner) finish() []Decision {
	if p.moved && (p.now-p.placedAt >= placeGap || (p.urgent && len(p.ready) < askDepth)) {
		p.moved, p.urgent = false, false
		p.place()
	}
	if p.now-p.loggedAt >= logGap {
		p.flush()
	}
	out := p.out
	p.out = nil
	return out
}

// flush proposes the assignments and ends that were collected.
func (p *Planner) flush() {
	if len(p.placements) > 0 {
		p.propose(ledger.Assign{Items: p.placements, Term: p.cfg.Term})
		p.placements, p.loggedAt = nil, p.now
	}
	settle := len(p.endings) > 0
	if settle {
		p.number++
		p.propose(ledger.Settle{Items: p.endings, Now: p.now + p.cfg.Offset, Term: p.cfg.Term, Number: p.number})
		p.endings, p.loggedAt = nil, p.now
	}
	p.queueSeen(settle)
}

func (p *Planner) applied(c ledger.Command) {
	switch c := c.(type) {
	case ledger.Submit:
		_, rest, ok := p.state.Config().Lookup(c.Host, c.Path)
		id := model.JobID(rest)
		if j := p.state.Job(id); ok && j != nil && p.jobs[id] == nil && !j.IsSettled() {
			p.addJob(j)
		}
	case ledger.Cancel:
		_, rest, _ := p.state.Config().Lookup(c.Host, c.Path)
		if j := p.jobs[model.JobID(rest)]; j != nil && j.Over() {
			p.closeJob(j, "job was cancelled")
		}
	case ledger.Enlist:
		if w, ok := p.state.Workers()[c.Worker.ID]; ok {
			p.addWorker(p.now, w)
		}
	case ledger.Dismiss:
		p.dropWorker(c.ID, c.Born)
	case ledger.Assign:
		p.assigned(c)
	case ledger.Settle:
		p.settled(c)
	case ledger.Forget:
		for id := range p.jobs {
			if p.state.Job(id) == nil {
				delete(p.jobs, id)
			}
		}
	case ledger.Configure:
	}
	p.moved = true
}

func (p *Planner) propose(c ledger.Command) { p.out = append(p.out, Propose{Command: c}) }

func (p *Planner) note(n Note) { p.out = append(p.out, n) }

// sortedWorkers returns all workers by identifier, so that equal inputs give equal decisions.
func (p *Planner) sortedWorkers() []*worker {
	if p.order == nil {
		p.order = make([]*worker, 0, len(p.workers))
		for _, w := range p.workers {
			p.order = append(p.order, w)
		}
		slices.SortFunc(p.order, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return p.order
}

// pick returns the chosen tasks of a worker in a fixed order.
func (w *worker) pick(chosen func(*task) bool) []*task {
	var list []*task
	for _, t := range w.tasks {
		if chosen(t) {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return compareTask(a.name, b.name) })
	return list
}

func anyTask(*task) bool { return true }

func compareTask(a, b flow.Task) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Run, b.Run), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
