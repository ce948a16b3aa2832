package proto

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// SubmitRequest is the body of POST /v1/config.
type SubmitRequest struct {
	Key      string `json:"key"`      // idempotency key: a resend with the same key gets the first response
	Document string `json:"document"` // configuration as INI text, including its version
}

// SubmitReply is the response to a SubmitRequest.
type SubmitReply struct {
	Version  uint64   `json:"version"`
	Defaults []string `json:"defaults,omitempty"` // defaults that were filled in
	Diff     string   `json:"diff,omitempty"`     // on a conflict: changes from the accepted document to the submitted one
}

// ConfigReply is the response to GET /v1/config.
type ConfigReply struct {
	Version  uint64 `json:"version"`
	Document string `json:"document"`
}

// RunRequest is the body of POST /v1/jobs.
type RunRequest struct {
	Name     string `json:"name"` // a batch or gang of the configuration in force
	RunLabel string `json:"run"`  // run label; a resend with the same label gets the same job
}

// TaskPhase is the phase of a task as recorded by its zone.
type TaskPhase string

// The phases of a task.
const (
	TaskWaiting    TaskPhase = "waiting"
	TaskAssigned   TaskPhase = "assigned"
	TaskRunning    TaskPhase = "running"
	TaskDone       TaskPhase = "done"
	TaskFailed     TaskPhase = "failed"
	TaskCancelled  TaskPhase = "cancelled"
	TaskImpossible TaskPhase = "impossible"
)

// JobReply describes a job.
type JobReply struct {
	Job    model.JobID       `json:"job"`
	Zone   model.Zone        `json:"zone"`
	Work   model.EncodedWork `json:"work"`
	Reason string            `json:"reason,omitempty"`
	Counts Counts            `json:"counts"`
	Tasks  []TaskReply       `json:"tasks,omitempty"`
}

// Counts holds the number of a job's tasks in each phase.
type Counts struct {
	Waiting    int `json:"waiting"`
	Assigned   int `json:"assigned"`
	Running    int `json:"running"`
	Done       int `json:"done"`
	Failed     int `json:"failed"`
	Cancelled  int `json:"cancelled"`
	Impossible int `json:"impossible"`
}

// TaskReply describes a task of a job.
type TaskReply struct {
	Index    int            `json:"index"`
	Phase    TaskPhase      `json:"phase"`
	Worker   model.WorkerID `json:"worker,omitempty"`
	Attempt  int            `json:"attempt"`
	Accepted clock.Millis   `json:"accepted"`
	Started  clock.Millis   `json:"started,omitempty"`
	Ended    clock.Millis   `json:"ended,omitempty"`
	Reason   string         `json:"reason,omitempty"`
}

// StatusReply is the response to GET /v1/status.
type StatusReply struct {
	Instance      model.Instance   `json:"instance"`
	Zone          model.Zone       `json:"zone"`
	Region        model.Region     `json:"region"`
	Ready         bool             `json:"ready"`
	Reasons       []string         `json:"reasons,omitempty"` // why the instance is not ready
	ConfigVersion uint64           `json:"config"`            // configuration version in force on this instance
	Instances     []InstanceStatus `json:"instances,omitempty"`
	Groups        []GroupStatus    `json:"groups"`
	Servers       []ServerStatus   `json:"servers,omitempty"`
	Workers       int              `json:"workers"`
}

// InstanceStatus describes another instance as seen from this one.
type InstanceStatus struct {
	Instance      model.Instance `json:"instance"`
	Zone          model.Zone     `json:"zone"`
	Reachable     bool           `json:"reached"`
	ConfigVersion uint64         `json:"config"`
}

// GroupStatus describes a replicated group.
type GroupStatus struct {
	Group        string   `json:"group"`
	Leader       string   `json:"leader"`
	Term         uint64   `json:"term"`
	AppliedIndex uint64   `json:"applied"`
	Voters       []string `json:"voters"`
}

// ServerStatus describes a backend server.
type ServerStatus struct {
	Server         model.ServerID `json:"server"`
	Service        string         `json:"service"`
	Address        string         `json:"address"`
	State          ServerState    `json:"state"`
	Eligible       bool           `json:"eligible"`
	Age            clock.Millis   `json:"age"`    // time since the last announcement
	ActiveRequests int            `json:"active"` // requests of the answering instance that may be running on it
}

// ErrorReply is the body of every error response.
type ErrorReply struct {
	Error   string  `json:"error"`
	Field   string  `json:"field,omitempty"`
	Outcome Outcome `json:"outcome"`
}
