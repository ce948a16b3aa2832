package plan

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/share"
)

// Question names a job by the host and path of its queue followed by its identifier. Job describes it as it would be
// submitted; a job that exists is explained as it is.
type Question struct {
	Host, Path string
	Key        flow.KeyHash
	Job        *flow.Job
}

// Outlook says what would become of a job now.
type Outlook string

// Outlooks.
const (
	OutlookStarts  Outlook = "starts"  // tasks would be placed now
	OutlookWaits   Outlook = "waits"   // it would be accepted, or is, and nothing of it can be placed now
	OutlookRefused Outlook = "refused" // it would not be accepted
	OutlookNothing Outlook = "nothing" // it exists, and no task of it waits to be placed
)

// maxListed is the number of workers that an explanation names in each list.
const maxListed = 5

// Explanation says where a job would go now, and why.
type Explanation struct {
	Outlook Outlook `json:"outlook"`
	// Reason says why, and Change what would change it; each is one sentence.
	Reason string `json:"reason"`
	Change string `json:"change,omitempty"`

	Queue string       `json:"queue,omitempty"`
	Pool  string       `json:"pool,omitempty"`
	Job   model.JobID  `json:"job,omitempty"`
	Phase ledger.Phase `json:"phase,omitempty"` // of a job that exists
	Team  *TeamView    `json:"team,omitempty"`
	Step  *StepView    `json:"step,omitempty"`
}

// TeamView is what counts of a job's team.
type TeamView struct {
	Name     string     `json:"name"`
	Used     model.Size `json:"used"`
	Reserved model.Size `json:"reserved"`
	Cap      model.Size `json:"cap"` // 0 in a dimension without a limit
	Weight   float64    `json:"weight"`
	// BeyondShare is set if the job is beyond the team's share.
	BeyondShare bool `json:"beyondShare"`
}

// StepView is the step of a job that is placed next.
type StepView struct {
	Occurrence int        `json:"occurrence"`
	Step       int        `json:"step"`
	Waiting    int        `json:"waiting"` // tasks that wait to be placed
	Gang       bool       `json:"gang,omitempty"`
	Need       model.Size `json:"need"` // of a task
	// Class is that of the step's rank, and Ahead the number of waiting steps that come before it.
	Class int `json:"class"`
	Ahead int `json:"ahead"`
	// Declared is the estimate and Expected the run time that counts; Runs and Teams are its evidence.
	Declared clock.Millis `json:"declaredMs"`
	Expected clock.Millis `json:"expectedMs"`
	Runs     int          `json:"runs"`
	Teams    int          `json:"teams"`
	// LatestStart is the time left to start with which the job can still meet its objective.
	LatestStart clock.Millis `json:"latestStartMs"`
	// Workers counts those of the pool, and Fit those that could get a task of the step now. OtherRack counts those of
	// Fit on another rack than the step's data, on which its tasks are slow.
	Workers int `json:"workers"`
	// ReportAge is the age of the oldest report of a worker that counts as reachable: what it ran may have changed since.
	ReportAge clock.Millis `json:"reportAgeMs"`
	Fit       int          `json:"fit"`
	OtherRack int          `json:"otherRack,omitempty"`
	Excluded  []Exclusion  `json:"excluded,omitempty"`
	// Placed is the number of tasks that would be placed now, and Chosen names workers for them.
	Placed int              `json:"placed"`
	Chosen []model.WorkerID `json:"chosen,omitempty"`
	// Asked is the number of workers for which tickets would be requested now.
	Asked int `json:"asked,omitempty"`
	// Kept is the number of tasks for which capacity would be, or is, reserved.
	Kept int `json:"kept,omitempty"`
}

// Exclusion counts the workers that can't get a task of a step for the same reason, and names some of them.
type Exclusion struct {
	Reason   string           `json:"reason"`
	Workers  int              `json:"workers"`
	Examples []model.WorkerID `json:"examples"`
}

// Explain says where a job would go now, and why. It changes nothing: the job is placed on a copy of what a placement
// changes, by the same code.
func (p *Planner) Explain(now clock.Millis, q Question) Explanation {
	queue, _, team, outcome := p.state.Resolve(q.Host, q.Path, q.Key)
	if outcome == ledger.OutcomeNoConfig || outcome == ledger.OutcomeNoQueue {
		return Explanation{Outlook: OutlookRefused, Reason: "No queue matches the host and path.", Change: "A configuration with such a queue would."}
	}
	_, rest, _ := p.state.Config().LookupQueue(q.Host, q.Path)
	id := model.JobID(rest) // also without a valid key: operators may ask about any job that exists
	e := Explanation{Queue: queue.Name, Pool: queue.Pool, Job: id}
	if record := p.state.Job(id); record != nil && (q.Job == nil || p.state.VisibleJob(id, team) != nil) {
		p.explainExisting(max(p.now, now), record, &e)
		return e
	}
	switch {
	case q.Job == nil:
		e.refuse("No job has this identifier.", "A description of the job would: it may then be one that is not submitted.")
	case outcome == ledger.OutcomeUnauthorized && q.Key == (flow.KeyHash{}):
		e.refuse("The queue is not public, and the caller has no key.", "The key of a team would.")
	case outcome == ledger.OutcomeUnauthorized:
		e.refuse("No team holds the caller's key.", "The key of a team would.")
	case p.state.Job(id) != nil:
		e.refuse("The identifier is not free.", "Another identifier would.")
	case p.isCancelled(q):
		e.refuse("A job with this identifier was cancelled before it was submitted: it would be accepted as cancelled.", "Another identifier would.")
	default:
		if err := q.Job.Check(); err != nil {
			e.refuse("The job is invalid: "+fault.Text(err)+".", "A valid one would.")
			break
		}
		p.explainDescribed(max(p.now, now), q, queue, id, team, &e)
	}
	return e
}

// isCancelled reports whether the job of a question was cancelled before it is submitted.
func (p *Planner) isCancelled(q Question) bool {
	_, cancelled := p.state.CancelledBefore(ledger.Submit{Host: q.Host, Path: q.Path, Key: q.Key})
	return cancelled
}

func (e *Explanation) refuse(reason, change string) {
	e.Outlook, e.Reason, e.Change = OutlookRefused, reason, change
}

// explainExisting explains the step of a job that is placed next: of those that wait, the first in order.
func (p *Planner) explainExisting(now clock.Millis, record *ledger.Job, e *Explanation) {
	e.Phase, e.Queue, e.Pool = record.Phase(), record.Queue.Name, record.Queue.Pool
	j := p.jobs[record.Definition.ID]
	var next *step
	for _, st := range p.ready {
		if st.job == j && !record.HasEnded() && st.countWaiting() > 0 && (next == nil || p.comesBefore(st, next)) {
			next = st
		}
	}
	if next == nil {
		e.Outlook, e.Reason = OutlookNothing, "No task of the job waits to be placed: its phase is "+string(e.Phase)+"."
		return
	}
	c := p.copyFor(now, next)
	c.explainStep(c.step, e)
}

// explainDescribed explains the first step of a job that is not submitted.
func (p *Planner) explainDescribed(now clock.Millis, q Question, queue flow.Queue, id model.JobID, teamName string, e *Explanation) {
	definition := *q.Job
	definition.ID, definition.Occurrences = id, min(definition.Occurrences, 1)
	record := ledger.Describe(ledger.Submit{Job: definition, Now: now + p.cfg.UnixOffset}, queue, teamName)
	c := p.copyFor(now, nil)
	j := &job{Job: record, team: c.teamForCopy(teamName), acceptedAt: now}
	if j.team != nil && j.team.meter != nil && j.team.meter.IsBeyond(record.AcceptedAt) {
		j.arrival = share.Arrival{At: record.AcceptedAt, ID: string(id), Beyond: true}
	}
	j.occurrences = [][]*step{c.newOccurrence(j, 0)}
	st := j.occurrences[0][0]
	st.readyAt = now
	c.explainStep(st, e)
	if refusal, ok := p.Admit(now, teamName, id); !ok {
		e.refuse("Beyond its team's share: "+refusal.Cause+".", "Another attempt in "+refusal.RetryAfter.String()+" would.")
	}
}

// countWaiting returns the length of waitingTasks, which it doesn't compute again.
func (st *step) countWaiting() int {
	c := *st
	c.waitingCache = nil
	c.waitingStale = true
	return len(c.waitingTasks())
}

// comesBefore reports whether a step is visited before another one while teams take no turns.
func (p *Planner) comesBefore(a, b *step) bool {
	ra, rb := p.rankOf(a), p.rankOf(b)
	return cmp.Or(cmp.Compare(p.order(a, ra.class), p.order(b, rb.class)), cmp.Compare(ra.start, rb.start), compareTasks(a.name, b.name)) < 0
}

// firstIDs returns the identifiers that an explanation lists.
func firstIDs(list []model.WorkerID) []model.WorkerID {
	slices.Sort(list)
	return list[:min(len(list), maxListed)]
}
