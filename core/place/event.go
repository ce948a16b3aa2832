package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Event is an input of Scheduler.Step: one of WorkerReport, WorkerGone, Offer, Submit, Started,
// Ended, Unassigned, Cancel, Quotas and Tick.
type Event interface{ event() }

// WorkerReport says what a worker sent in a sync. The first report joins the worker; a report
// with another incarnation returns the tasks of the earlier one to their queues.
type WorkerReport struct {
	Worker      model.WorkerID
	Incarnation model.Incarnation
	Zone        model.Zone
	Rack        model.Rack
	Size        model.Size
	Held        []proto.Held // not retained
	Leaving     bool         // sticky for the incarnation: the worker gets no new tasks
}

// WorkerGone says that the worker's lease has surely ended; its tasks return to their queues.
type WorkerGone struct{ Worker model.WorkerID }

// Offer asks whether a submission may be accepted. The answer is one Accept or one Refuse.
// An accepted offer counts as waiting work until its Submit, its Cancel or 10 s have passed.
type Offer struct {
	Job  model.JobID
	Work model.Work
}

// Submit adds durable tasks of a job. It may be repeated with further tasks; tasks that are known
// already are ignored. It also restores tasks after a change of leader, in any order with reports.
type Submit struct {
	Job    model.JobID
	Work   model.Work
	Tasks  []Task
	Failed []model.WorkerID // workers on which the job has failed, if known
}

// Task is an unfinished task of a Submit.
type Task struct {
	Index    int
	Accepted clock.Millis
	Attempt  int     // the last attempt that was assigned; 0 if none
	Saved    int     // progress in percent at the last checkpoint
	Placed   *Placed // nil for a waiting task
}

// Placed says where an already assigned task is.
type Placed struct {
	Worker      model.WorkerID
	Incarnation model.Incarnation
	Started     clock.Millis // 0 until the worker has started the task
}

// Started says that a worker runs the task. A report that holds the task as running says the same.
type Started struct {
	Task    model.TaskID
	Attempt int
}

// Ended says how a task ended on its worker; the caller has committed the outcome.
type Ended struct {
	Task    model.TaskID
	Attempt int
	End     proto.End
	Reason  string
	Usage   model.Size   // peak use
	Time    clock.Millis // run time
	Saved   int          // progress in percent at the last checkpoint
}

// Unassigned says that an Assign was not committed, so that no worker has heard of the task.
type Unassigned struct {
	Task    model.TaskID
	Attempt int
}

// Cancel ends a job, or the named tasks of it. Tasks on workers are ordered to stop.
type Cancel struct {
	Job     model.JobID
	Indexes []int // empty for all
}

// Quotas replaces the quotas of all teams. A team without a quota has no limit.
type Quotas struct{ Teams map[model.Team]Quota }

// Quota bounds what the tasks of a team may hold at one time.
type Quota struct {
	Limit model.Size // zero in a dimension: no limit
	Floor int        // share in percent of the capacity that the team gets before others, when it waits
}

// Tick lets the time pass; the caller sends it about every 100 ms.
type Tick struct{}

func (WorkerReport) event() {}
func (WorkerGone) event()   {}
func (Offer) event()        {}
func (Submit) event()       {}
func (Started) event()      {}
func (Ended) event()        {}
func (Unassigned) event()   {}
func (Cancel) event()       {}
func (Quotas) event()       {}
func (Tick) event()         {}
