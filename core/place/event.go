package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Event is an input of Scheduler.Step: one of WorkerReport, WorkerLost, Offer, Submit, Started,
// Ended, AssignNotCommitted, Cancel, Quotas and Tick.
type Event interface{ event() }

// WorkerReport is the state that a worker sent in a sync. The first report adds the worker; a
// report with another incarnation requeues the tasks of the earlier incarnation.
type WorkerReport struct {
	Worker      model.WorkerID
	Incarnation model.Incarnation
	Zone        model.Zone
	Rack        model.Rack
	Size        model.Size
	Held        []proto.HeldTask // not retained by Step
	Leaving     bool             // the worker gets no new tasks; stays set for the incarnation
}

// WorkerLost reports that the worker's lease has expired on the worker too, so that none of its
// tasks still runs; they are requeued.
type WorkerLost struct{ Worker model.WorkerID }

// Offer asks whether a submission can be accepted. The answer is one Accept or one Refuse. An
// accepted offer counts as waiting work until its Submit or Cancel, at most for 10 s.
type Offer struct {
	Job  model.JobID
	Work model.Work
}

// Submit adds tasks of a job that are stored durably. It may be repeated with further tasks; known
// tasks are ignored. It also restores tasks after a leader change, before or after worker reports.
type Submit struct {
	Job    model.JobID
	Work   model.Work
	Tasks  []Task
	Failed []model.WorkerID // workers on which the job has failed, as far as known
}

// Task is an unfinished task in a Submit.
type Task struct {
	Index             int
	AcceptedAt        clock.Millis
	Attempt           int         // last attempt that was assigned; 0 if none
	CheckpointPercent int         // progress in percent at the last checkpoint
	Assignment        *Assignment // nil for a waiting task
}

// Assignment is the existing assignment of a task to a worker.
type Assignment struct {
	Worker      model.WorkerID
	Incarnation model.Incarnation
	StartedAt   clock.Millis // 0 until the worker has started the task
}

// Started reports that a worker runs the task. A WorkerReport that lists the task as running has the
// same effect.
type Started struct {
	Task    model.TaskID
	Attempt int
}

// Ended reports how a task ended on its worker; the caller has committed the outcome.
type Ended struct {
	Task              model.TaskID
	Attempt           int
	End               proto.TaskEndKind
	Reason            string
	PeakUsage         model.Size
	RunTime           clock.Millis
	CheckpointPercent int // progress in percent at the last checkpoint
}

// AssignNotCommitted reports that the caller could not commit an Assign, so that the task was sent to no
// worker.
type AssignNotCommitted struct {
	Task    model.TaskID
	Attempt int
}

// Cancel ends a job, or some of its tasks. Tasks on workers are ordered to stop.
type Cancel struct {
	Job     model.JobID
	Indexes []int // empty for all
}

// Quotas replaces the quotas of all teams. A team without a quota has no limit.
type Quotas struct{ Teams map[model.Team]Quota }

// Quota bounds the declared size of the tasks that a team may have on workers at one time.
type Quota struct {
	Limit        model.Size // a dimension of zero has no limit
	FloorPercent int        // percentage of a class floor up to which the team goes before other teams of the class
}

// Tick runs the periodic work; the caller sends it about every 100 ms.
type Tick struct{}

func (WorkerReport) event()       {}
func (WorkerLost) event()         {}
func (Offer) event()              {}
func (Submit) event()             {}
func (Started) event()            {}
func (Ended) event()              {}
func (AssignNotCommitted) event() {}
func (Cancel) event()             {}
func (Quotas) event()             {}
func (Tick) event()               {}
