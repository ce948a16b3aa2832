package lease

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Input is an input of Worker.Step: Tick, Reply, Started, UsageMeasured, Finished or Leave.
type Input interface{ input() }

// Tick advances the time. The adapter passes one at the time that Worker.NextTick returns, or
// earlier.
type Tick struct{}

// Reply is the leader's answer to a request. SentAt is the time on the worker's clock at which the
// request was sent.
type Reply struct {
	SentAt clock.Millis
	Body   proto.SyncReply
}

// Started reports that the process of a task is running.
type Started struct {
	Task    model.TaskID
	Attempt int
}

// UsageMeasured reports the resource usage of a held task since the last measurement.
type UsageMeasured struct {
	Task              model.TaskID
	Attempt           int
	Usage             model.Size
	CheckpointPercent int // progress in percent at the last checkpoint
}

// Finished reports that the task has no process left on the worker.
type Finished struct{ proto.TaskEnd }

// Leave announces a planned shutdown of the worker. It cannot be revoked.
type Leave struct{}

func (Tick) input()          {}
func (Reply) input()         {}
func (Started) input()       {}
func (UsageMeasured) input() {}
func (Finished) input()      {}
func (Leave) input()         {}

// Output is an output of Worker.Step: Send, Start, Resume, Throttle, Checkpoint, Stop or
// ReplyDropped.
type Output interface{ output() }

// Send asks the adapter to send a request. Its sending time is the time passed to that Step.
type Send struct{ Request proto.SyncRequest }

// Start asks the adapter to start a task. The adapter replies with Started or Finished.
type Start struct{ proto.AssignedTask }

// Resume asks for the task to run at full speed again after a Throttle or Checkpoint.
type Resume struct {
	Task    model.TaskID
	Attempt int
}

// Throttle asks for the task to run at reduced speed.
type Throttle struct {
	Task    model.TaskID
	Attempt int
}

// Checkpoint asks for the task's progress to be saved and its speed to stay reduced.
type Checkpoint struct {
	Task    model.TaskID
	Attempt int
}

// Stop asks for the task to be killed at once. The adapter replies with Finished.
type Stop struct {
	Task    model.TaskID
	Attempt int
	Reason  string
}

// ReplyDropped reports that a reply was ignored.
type ReplyDropped struct{ Reason string }

func (Send) output()         {}
func (Start) output()        {}
func (Resume) output()       {}
func (Throttle) output()     {}
func (Checkpoint) output()   {}
func (Stop) output()         {}
func (ReplyDropped) output() {}
