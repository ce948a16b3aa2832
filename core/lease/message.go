package lease

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Input is an input of Worker.Step: one of Tick, Reply, Began, Measured, Finished and Leave.
type Input interface{ input() }

// Tick lets the time pass. The adapter sends it at Worker.Wake at the latest.
type Tick struct{}

// Reply is an answer to a Send, with the moment on the worker's clock at which it was sent.
type Reply struct {
	Sent clock.Millis
	Body proto.SyncReply
}

// Began says that the process of a task runs.
type Began struct {
	Task    model.TaskID
	Attempt int
}

// Measured is the measured use of a held task since the last measurement.
type Measured struct {
	Task    model.TaskID
	Attempt int
	Usage   model.Size
	Saved   int // progress in percent at the last checkpoint
}

// Finished says that no process of the task is left on the worker.
type Finished struct{ proto.TaskEnd }

// Leave announces a planned stop; it stays in force.
type Leave struct{}

func (Tick) input()     {}
func (Reply) input()    {}
func (Began) input()    {}
func (Measured) input() {}
func (Finished) input() {}
func (Leave) input()    {}

// Output is an output of Worker.Step: one of Send, Start, Resume, Throttle, Checkpoint, Stop and
// Dropped.
type Output interface{ output() }

// Send asks the adapter to send a request; the moment of the Step is its sending time.
type Send struct{ Request proto.SyncRequest }

// Start asks the adapter to start a task. It answers with Began or Finished.
type Start struct{ proto.Assigned }

// Resume withdraws a Throttle.
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

// Stop asks for the task to be killed at once. The adapter answers with Finished.
type Stop struct {
	Task    model.TaskID
	Attempt int
	Reason  string
}

// Dropped says that a reply was not taken.
type Dropped struct{ Reason string }

func (Send) output()       {}
func (Start) output()      {}
func (Resume) output()     {}
func (Throttle) output()   {}
func (Checkpoint) output() {}
func (Stop) output()       {}
func (Dropped) output()    {}
