package proto

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Phase is the state of a task on a worker.
type Phase string

// The phases of a held task.
const (
	PhaseStarting Phase = "starting"
	PhaseRunning  Phase = "running"
	PhaseStopping Phase = "stopping"
)

// End says how a task ended on a worker.
type End string

// The ends of a task.
const (
	// EndDone says that the task ran to its end.
	EndDone End = "done"
	// EndFailed says that the task ended with an error of its own.
	EndFailed End = "failed"
	// EndNoStart says that the worker could not start the task.
	EndNoStart End = "nostart"
	// EndStopped says that the worker stopped the task on command or at the end of its lease.
	EndStopped End = "stopped"
)

// Command says what a worker shall do with a task that it holds.
type Command string

// The commands.
const (
	CommandRun        Command = "run"
	CommandThrottle   Command = "throttle"
	CommandCheckpoint Command = "checkpoint"
	CommandStop       Command = "stop"
)

// Held is a task that a worker holds.
type Held struct {
	Task    model.TaskID `json:"task"`
	Attempt int          `json:"attempt"`
	Phase   Phase        `json:"phase"`
	Command Command      `json:"command,omitempty"` // in force; empty stands for CommandRun
	Usage   model.Size   `json:"usage"`             // measured use, averaged since the last report
	Saved   int          `json:"saved,omitempty"`   // progress in percent at the last checkpoint
}

// TaskEnd is the outcome of a task, kept by the worker until it is confirmed.
type TaskEnd struct {
	Task    model.TaskID `json:"task"`
	Attempt int          `json:"attempt"`
	End     End          `json:"end"`
	Reason  string       `json:"reason,omitempty"`
	Usage   model.Size   `json:"usage"`           // peak use
	Time    clock.Millis `json:"time"`            // run time
	Saved   int          `json:"saved,omitempty"` // progress in percent at the last checkpoint
}

// SyncRequest is the body of POST /v1/workers/sync.
type SyncRequest struct {
	Worker      model.WorkerID    `json:"worker"`
	Incarnation model.Incarnation `json:"incarnation"`
	Zone        model.Zone        `json:"zone"`
	Rack        model.Rack        `json:"rack"`
	Size        model.Size        `json:"size"`
	Epoch       model.Epoch       `json:"epoch"` // highest epoch seen
	Seq         uint64            `json:"seq"`
	Held        []Held            `json:"held"`
	Ends        []TaskEnd         `json:"ends"` // not yet confirmed
	Leaving     bool              `json:"leaving,omitempty"`
}

// Assigned is a task that the worker shall hold.
type Assigned struct {
	Task    model.TaskID `json:"task"`
	Attempt int          `json:"attempt"`
	Command Command      `json:"command"`
	Work    model.Box    `json:"work"`
	Saved   int          `json:"saved,omitempty"` // progress in percent to resume from
}

// Confirm names an outcome that the worker may forget.
type Confirm struct {
	Task    model.TaskID `json:"task"`
	Attempt int          `json:"attempt"`
}

// SyncReply answers a SyncRequest. The list of tasks is complete: what it does not name
// must stop. With Same, the list is what the request reported.
type SyncReply struct {
	Epoch    model.Epoch  `json:"epoch"`
	Seq      uint64       `json:"seq"`   // of the request that it answers
	Lease    clock.Millis `json:"lease"` // counted from the moment the request was sent
	Same     bool         `json:"same,omitempty"`
	Tasks    []Assigned   `json:"tasks,omitempty"`
	Confirms []Confirm    `json:"confirms,omitempty"`
	Leader   string       `json:"leader,omitempty"` // HTTP address of the zone leader, to sync with directly
}

// IsSame reports whether the tasks are those that a worker reported, under the same commands.
func IsSame(held []Held, tasks []Assigned) bool {
	if len(held) != len(tasks) {
		return false
	}
	wanted := make(map[Confirm]Command, len(tasks))
	for _, a := range tasks {
		wanted[Confirm{a.Task, a.Attempt}] = a.Command
	}
	for _, h := range held {
		if c, ok := wanted[Confirm{h.Task, h.Attempt}]; !ok || c != h.InForce() {
			return false
		}
	}
	return true
}

// InForce returns the command that the task is under.
func (h Held) InForce() Command {
	if h.Command == "" {
		return CommandRun
	}
	return h.Command
}
