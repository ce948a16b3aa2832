package proto

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// HeldPhase is the phase of a task on a worker.
type HeldPhase string

// The phases of a task on a worker.
const (
	PhaseStarting HeldPhase = "starting"
	PhaseRunning  HeldPhase = "running"
	PhaseStopping HeldPhase = "stopping"
)

// TaskEndKind states how a task ended on a worker.
type TaskEndKind string

// The ways in which a task ends.
const (
	// EndDone means that the task ran to completion.
	EndDone TaskEndKind = "done"
	// EndFailed means that the task itself ended with an error.
	EndFailed TaskEndKind = "failed"
	// EndNoStart means that the worker could not start the task.
	EndNoStart TaskEndKind = "nostart"
	// EndStopped means that the worker stopped the task on command or when its lease expired.
	EndStopped TaskEndKind = "stopped"
)

// Command is what a worker must do with a task that is assigned to it.
type Command string

// The commands.
const (
	CommandRun        Command = "run"
	CommandThrottle   Command = "throttle"
	CommandCheckpoint Command = "checkpoint"
	CommandStop       Command = "stop"
)

// HeldTask reports a task that is on a worker.
type HeldTask struct {
	Task              model.TaskID `json:"task"`
	Attempt           int          `json:"attempt"`
	Phase             HeldPhase    `json:"phase"`
	Command           Command      `json:"command,omitempty"` // in force; empty means CommandRun
	Usage             model.Size   `json:"usage"`             // measured usage, averaged since the last report
	CheckpointPercent int          `json:"saved,omitempty"`   // progress in percent at the last checkpoint
}

// TaskEnd reports the end of a task. The worker keeps it until a SyncReply acknowledges it.
type TaskEnd struct {
	Task              model.TaskID `json:"task"`
	Attempt           int          `json:"attempt"`
	End               TaskEndKind  `json:"end"`
	Reason            string       `json:"reason,omitempty"`
	PeakUsage         model.Size   `json:"usage"` // peak usage
	RunTime           clock.Millis `json:"time"`
	CheckpointPercent int          `json:"saved,omitempty"` // progress in percent at the last checkpoint
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
	Held        []HeldTask        `json:"held"`
	Ends        []TaskEnd         `json:"ends"` // not acknowledged yet
	Leaving     bool              `json:"leaving,omitempty"`
}

// AssignedTask is a task that is assigned to a worker.
type AssignedTask struct {
	Task              model.TaskID      `json:"task"`
	Attempt           int               `json:"attempt"`
	Command           Command           `json:"command"`
	Work              model.EncodedWork `json:"work"`
	CheckpointPercent int               `json:"saved,omitempty"` // progress in percent of the checkpoint to resume from
}

// TaskEndAck acknowledges the end of a task, which the worker may then discard.
type TaskEndAck struct {
	Task    model.TaskID `json:"task"`
	Attempt int          `json:"attempt"`
}

// SyncReply is the response to a SyncRequest. The list of tasks is complete: the worker stops
// every task that is not in it. If TasksUnchanged is true, the list is omitted and equals the tasks that
// the request reported.
type SyncReply struct {
	Epoch          model.Epoch    `json:"epoch"`
	Seq            uint64         `json:"seq"`   // sequence number of the request
	Lease          clock.Millis   `json:"lease"` // validity, counted from the time at which the request was sent
	TasksUnchanged bool           `json:"same,omitempty"`
	Tasks          []AssignedTask `json:"tasks,omitempty"`
	EndAcks        []TaskEndAck   `json:"confirms,omitempty"`
	Leader         string         `json:"leader,omitempty"` // HTTP address of the zone leader, to sync with directly
}

// TasksMatch reports whether tasks has the same tasks, attempts and commands as a worker reported.
func TasksMatch(held []HeldTask, tasks []AssignedTask) bool {
	if len(held) != len(tasks) {
		return false
	}
	wanted := make(map[TaskEndAck]Command, len(tasks))
	for _, a := range tasks {
		wanted[TaskEndAck{a.Task, a.Attempt}] = a.Command
	}
	for _, h := range held {
		if c, ok := wanted[TaskEndAck{h.Task, h.Attempt}]; !ok || c != h.EffectiveCommand() {
			return false
		}
	}
	return true
}

// EffectiveCommand returns the command in force for the task; the default is CommandRun.
func (h HeldTask) EffectiveCommand() Command {
	if h.Command == "" {
		return CommandRun
	}
	return h.Command
}
