package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Decision is an output of Scheduler.Step: one of Assign, Order, Requeue, Impossible, Possible,
// JobFailed, Accept, Refuse, Suspended and Resumed.
type Decision interface{ decision() }

// Assign places tasks on workers. The caller commits all its placements in one log entry: a gang
// has all its tasks in one Assign, other work has one task.
type Assign struct{ Placements []Placement }

// Placement is one task of an Assign.
type Placement struct {
	Task              model.TaskID
	Attempt           int // one more than the last attempt
	Worker            model.WorkerID
	Incarnation       model.Incarnation
	CheckpointPercent int // progress in percent to resume from
}

// Order is a command to a worker for a task that it holds. It applies to the attempt until the next
// Order. An order to stop is final.
type Order struct {
	Task    model.TaskID
	Attempt int
	Worker  model.WorkerID
	Command proto.Command
	Reason  string
}

// Requeue reports that a task waits again; the caller commits it as waiting.
type Requeue struct {
	Task              model.TaskID
	Attempt           int // the attempt that ended
	CheckpointPercent int // progress in percent at the last checkpoint
	Reason            string
}

// Impossible reports that the job's tasks cannot be placed on any worker of the zone, or not within
// the team's quota. They stay queued until Possible or Cancel.
type Impossible struct {
	Job    model.JobID
	Reason string
}

// Possible withdraws an Impossible after a change of the workers or the quotas.
type Possible struct{ Job model.JobID }

// JobFailed reports that the job has failed and is not retried. Its waiting tasks are dropped; for
// its tasks on workers, orders to stop follow in the same step.
type JobFailed struct {
	Job    model.JobID
	Reason string
}

// Accept answers an Offer: the job may be submitted.
type Accept struct{ Job model.JobID }

// Refuse answers an Offer: no task of it has run or will run.
type Refuse struct {
	Job        model.JobID
	Reason     string
	RetryAfter clock.Millis // wait before the next try
}

// Suspended reports that a worker gets no tasks other than probes.
type Suspended struct {
	Worker model.WorkerID
	Reason string
}

// Resumed reports that a suspended worker gets tasks again.
type Resumed struct{ Worker model.WorkerID }

func (Assign) decision()     {}
func (Order) decision()      {}
func (Requeue) decision()    {}
func (Impossible) decision() {}
func (Possible) decision()   {}
func (JobFailed) decision()  {}
func (Accept) decision()     {}
func (Refuse) decision()     {}
func (Suspended) decision()  {}
func (Resumed) decision()    {}
