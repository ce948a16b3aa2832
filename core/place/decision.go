package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Decision is an output of Scheduler.Step: one of Assign, Order, Requeue, Impossible, Possible,
// JobFailed, Accept, Refuse, Suspended and Resumed.
type Decision interface{ decision() }

// Assign places tasks on workers. All its placements are committed in one log entry: a gang has
// all its tasks in one Assign, other work has one task.
type Assign struct{ Placements []Placement }

// Placement is one task of an Assign.
type Placement struct {
	Task        model.TaskID
	Attempt     int // one more than the last attempt
	Worker      model.WorkerID
	Incarnation model.Incarnation
	Saved       int // progress in percent to resume from
}

// Order tells a worker what to do with a task that it holds. It stays in force for the attempt
// until the next Order. An order to stop is final.
type Order struct {
	Task    model.TaskID
	Attempt int
	Worker  model.WorkerID
	Command proto.Command
	Reason  string
}

// Requeue says that a task waits again; the caller commits it as waiting.
type Requeue struct {
	Task    model.TaskID
	Attempt int // the attempt that is over
	Saved   int // progress in percent at the last checkpoint
	Reason  string
}

// Impossible says that the job's tasks fit no worker; they stay queued until Possible or Cancel.
type Impossible struct {
	Job    model.JobID
	Reason string
}

// Possible withdraws an Impossible after a change of the fleet.
type Possible struct{ Job model.JobID }

// JobFailed says that the job failed for good. Its waiting tasks are dropped; for its tasks on
// workers, orders to stop follow in the same step.
type JobFailed struct {
	Job    model.JobID
	Reason string
}

// Accept answers an Offer.
type Accept struct{ Job model.JobID }

// Refuse answers an Offer: nothing of it ran or will run.
type Refuse struct {
	Job    model.JobID
	Reason string
	Retry  clock.Millis // when the submission may succeed, as a duration from now
}

// Suspended says that a worker gets no tasks other than probes.
type Suspended struct {
	Worker model.WorkerID
	Reason string
}

// Resumed says that a suspended worker gets tasks again.
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
