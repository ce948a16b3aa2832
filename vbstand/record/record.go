package record

import (
	"time"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Micros is a wall-clock time in microseconds since the Unix epoch. All stand-ins of a test run on
// one machine, so their times are comparable.
type Micros int64

// Now returns the current time.
func Now() Micros { return Micros(time.Now().UnixMicro()) }

// Add returns the time m+d.
func (m Micros) Add(d time.Duration) Micros { return m + Micros(d.Microseconds()) }

// Sub returns the duration m-o.
func (m Micros) Sub(o Micros) time.Duration { return time.Duration(m-o) * time.Microsecond }

// Line is one line of a journal; exactly one field is set.
type Line struct {
	Task        *Task        `json:"task,omitempty"`
	Run         *Run         `json:"run,omitempty"`
	Server      *Server      `json:"server,omitempty"`
	Send        *Send        `json:"send,omitempty"`
	Submission  *Submission  `json:"submit,omitempty"`
	Observation *Observation `json:"seen,omitempty"`
	Job         *Job         `json:"job,omitempty"`
	Event       *Event       `json:"event,omitempty"`
}

// TaskStep is a change of a task on a worker.
type TaskStep string

// The steps of a task.
const (
	TaskStart      TaskStep = "start"
	TaskEnd        TaskStep = "end"
	TaskThrottle   TaskStep = "throttle"
	TaskCheckpoint TaskStep = "save"
)

// Task records a step of a task as its worker performed it.
type Task struct {
	Step        TaskStep          `json:"step"`
	Task        model.TaskID      `json:"task"`
	Attempt     int               `json:"attempt"`
	Kind        string            `json:"kind,omitempty"` // service, batch or gang
	Worker      model.WorkerID    `json:"worker"`
	Zone        model.Zone        `json:"zone"`
	Incarnation model.Incarnation `json:"incarnation"`
	Time        Micros            `json:"time"`
	End         proto.TaskEndKind `json:"end,omitempty"`
	Reason      string            `json:"reason,omitempty"`
	Usage       model.Size        `json:"use"`   // actual usage of the task
	TotalUsage  model.Size        `json:"total"` // actual usage of all tasks of the worker after the step
	WorkerSize  model.Size        `json:"size"`  // capacity of the worker
}

// RunStep says whether the run of a request started or ended.
type RunStep string

// The steps of a run.
const (
	RunStart RunStep = "start"
	RunEnd   RunStep = "end"
)

// Run records the start or end of a request on a backend server.
type Run struct {
	Step        RunStep           `json:"step"`
	ID          uint64            `json:"id"`    // sequence number of the run within the incarnation
	Token       string            `json:"token"` // identifier of the request, chosen by the caller
	SendNumber  int               `json:"send"`  // number of the send of the request, from 1
	Request     string            `json:"request,omitempty"`
	Attempt     string            `json:"attempt,omitempty"`
	Key         string            `json:"key,omitempty"`
	Caller      string            `json:"caller,omitempty"`
	Class       string            `json:"class,omitempty"`
	Idempotent  bool              `json:"idempotent"`
	Server      model.ServerID    `json:"server"`
	Incarnation model.Incarnation `json:"incarnation"`
	Time        Micros            `json:"time"`
	Active      int               `json:"active"`          // requests in progress, including this one
	OpenConns   int               `json:"open"`            // open connections
	Slots       int               `json:"slots"`           // limit of requests in progress
	MaxConns    int               `json:"conns"`           // limit of open connections
	Error       string            `json:"error,omitempty"` // why the answer was not sent completely
}

// Server records a change of state of a backend server.
type Server struct {
	Server        model.ServerID    `json:"server"`
	Incarnation   model.Incarnation `json:"incarnation"`
	Zone          model.Zone        `json:"zone"`
	Event         ServerEvent       `json:"event"`
	Time          Micros            `json:"time"`
	Slots         int               `json:"slots"`     // limit of requests in progress
	MaxConns      int               `json:"conns"`     // limit of open connections
	PeakActive    int               `json:"maxactive"` // highest number of requests in progress so far
	PeakOpenConns int               `json:"maxopen"`   // highest number of open connections so far
	InProgress    int               `json:"cut"`       // requests still in progress at the end
}

// ServerEvent is the kind of a change of state of a backend server.
type ServerEvent string

// The changes of state of a backend server.
const (
	ServerStart         ServerEvent = "start"
	ServerLeaving       ServerEvent = "leaving"
	ServerPeakOpenConns ServerEvent = "open" // a new maximum of open connections
	ServerEnd           ServerEvent = "end"
)

// Outcome is the outcome of one send as the caller saw it.
type Outcome string

// The outcomes of a send. The first four are values of the outcome header.
const (
	OutcomeDone        Outcome = "done"
	OutcomeNotRun      Outcome = "notrun"
	OutcomeRunning     Outcome = "running"
	OutcomeUnknown     Outcome = "unknown"
	OutcomeConnBroken  Outcome = "broken"  // the connection ended before a complete answer
	OutcomeConnRefused Outcome = "refused" // no connection was made
	OutcomeTimeout     Outcome = "timeout" // no complete answer before the deadline
	OutcomeMissing     Outcome = "nothing" // an answer without an outcome header
)

// Send records one send of a request by a caller, and its outcome.
type Send struct {
	Token           string  `json:"token"`
	Number          int     `json:"send"` // from 1; a resend has the same token and key
	Key             string  `json:"key,omitempty"`
	Caller          string  `json:"caller"`
	Class           string  `json:"class"`
	Phase           string  `json:"phase,omitempty"` // phase of the test that the send belongs to
	Idempotent      bool    `json:"idempotent"`
	Entry           string  `json:"entry"` // HTTP address of the instance
	Start           Micros  `json:"start"`
	End             Micros  `json:"end"`
	Outcome         Outcome `json:"told"`
	Status          int     `json:"status,omitempty"`
	BodyValid       bool    `json:"whole"`         // the body echoes this request and its checksum is valid
	HeadersReceived bool    `json:"begun"`         // response headers arrived
	RunStarted      Micros  `json:"ran,omitempty"` // start of the run as reported in the answer
	Bytes           int     `json:"bytes"`
	Request         string  `json:"request,omitempty"`
	Error           string  `json:"error,omitempty"`
}

// Submission records a submission of a configuration and the answer to the operator.
type Submission struct {
	Key      string `json:"key"`
	Mark     string `json:"mark,omitempty"` // name of a section that is unique to this document
	Entry    string `json:"entry"`
	Start    Micros `json:"start"`
	End      Micros `json:"end"`
	Status   int    `json:"status"`
	Accepted bool   `json:"accepted"`
	Refused  bool   `json:"refused"` // a final answer: conflict or invalid
	Version  uint64 `json:"version"`
	Error    string `json:"error,omitempty"`
}

// Observation records the configuration that an instance reported to be in force.
type Observation struct {
	Instance model.Instance `json:"instance"`
	Time     Micros         `json:"time"`
	Ready    bool           `json:"ready"`
	Version  uint64         `json:"version"`
	Hash     string         `json:"hash,omitempty"`  // hash of the document
	Marks    []string       `json:"marks,omitempty"` // names of the sections of the document that identify a submission
}

// Job records the state of a job as reported to an operator.
type Job struct {
	Job        model.JobID  `json:"job"`
	Entry      string       `json:"entry"`
	AcceptedAt Micros       `json:"accepted"` // when the operator learned that the job was accepted
	Time       Micros       `json:"time"`
	Final      bool         `json:"final"` // last record of the job; the operator waited for its end
	Kind       string       `json:"kind"`
	Class      string       `json:"class"`
	Count      int          `json:"count"`
	Counts     proto.Counts `json:"counts"`
	Reason     string       `json:"reason,omitempty"`
}

// EventKind is the kind of an external event.
type EventKind string

// The external events.
const (
	EventStart     EventKind = "start" // process started
	EventTerm      EventKind = "term"  // planned stop requested
	EventExit      EventKind = "exit"  // process ended; Status holds its exit status
	EventKill      EventKind = "kill"  // killed without a planned stop
	EventPause     EventKind = "stop"  // paused
	EventResume    EventKind = "cont"  // resumed
	EventPartition EventKind = "cut"   // partitioned from the other zones
	EventHeal      EventKind = "heal"  // partition ended
	EventWipe      EventKind = "wipe"  // data folder deleted
	EventStall     EventKind = "stall" // not scheduled by the operating system for Duration, up to Time
)

// Event records an external event that affected a process. Name is the name of an instance, a
// worker, a backend server or a caller.
type Event struct {
	Event    EventKind `json:"event"`
	Name     string    `json:"name"`
	Entry    string    `json:"entry,omitempty"` // HTTP address of an instance
	Time     Micros    `json:"time"`
	Duration Micros    `json:"length,omitempty"`
	Status   int       `json:"status,omitempty"`
}
