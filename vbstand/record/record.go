package record

import (
	"time"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Micros is a wall-clock instant in microseconds since the Unix epoch. All stand-ins of a
// run share one machine, so their instants are comparable.
type Micros int64

// Now returns the current instant.
func Now() Micros { return Micros(time.Now().UnixMicro()) }

// Add returns the instant d after m.
func (m Micros) Add(d time.Duration) Micros { return m + Micros(d.Microseconds()) }

// Sub returns the duration from o to m.
func (m Micros) Sub(o Micros) time.Duration { return time.Duration(m-o) * time.Microsecond }

// Line is one line of a journal; exactly one field is set.
type Line struct {
	Task   *Task   `json:"task,omitempty"`
	Run    *Run    `json:"run,omitempty"`
	Server *Server `json:"server,omitempty"`
	Send   *Send   `json:"send,omitempty"`
	Submit *Submit `json:"submit,omitempty"`
	Seen   *Seen   `json:"seen,omitempty"`
	Job    *Job    `json:"job,omitempty"`
	Event  *Event  `json:"event,omitempty"`
}

// TaskStep says what happened to a task on a worker.
type TaskStep string

// The steps of a task.
const (
	TaskStart    TaskStep = "start"
	TaskEnd      TaskStep = "end"
	TaskThrottle TaskStep = "throttle"
	TaskSave     TaskStep = "save"
)

// Task is a true step of a task on a worker.
type Task struct {
	Step        TaskStep          `json:"step"`
	Task        model.TaskID      `json:"task"`
	Attempt     int               `json:"attempt"`
	Kind        string            `json:"kind,omitempty"` // service, batch or gang
	Worker      model.WorkerID    `json:"worker"`
	Zone        model.Zone        `json:"zone"`
	Incarnation model.Incarnation `json:"incarnation"`
	Time        Micros            `json:"time"`
	End         proto.End         `json:"end,omitempty"`
	Reason      string            `json:"reason,omitempty"`
	Use         model.Size        `json:"use"`   // true use of the task
	Total       model.Size        `json:"total"` // true use of all tasks of the worker after the step
	Size        model.Size        `json:"size"`  // size of the worker
}

// RunStep says whether a run began or ended.
type RunStep string

// The steps of a run.
const (
	RunStart RunStep = "start"
	RunEnd   RunStep = "end"
)

// Run is a true step of a request on a backend server.
type Run struct {
	Step        RunStep           `json:"step"`
	ID          uint64            `json:"id"`    // numbers the runs of an incarnation
	Token       string            `json:"token"` // caller's own identifier of the request
	Send        int               `json:"send"`  // number of the caller's send
	Request     string            `json:"request,omitempty"`
	Attempt     string            `json:"attempt,omitempty"`
	Key         string            `json:"key,omitempty"`
	Caller      string            `json:"caller,omitempty"`
	Class       string            `json:"class,omitempty"`
	Idempotent  bool              `json:"idempotent"`
	Server      model.ServerID    `json:"server"`
	Incarnation model.Incarnation `json:"incarnation"`
	Time        Micros            `json:"time"`
	Active      int               `json:"active"` // requests in progress, with this one
	Open        int               `json:"open"`   // open connections
	Slots       int               `json:"slots"`
	Conns       int               `json:"conns"`
	Error       string            `json:"error,omitempty"` // why the answer was not sent whole
}

// Server is a change of state of a backend server.
type Server struct {
	Server      model.ServerID    `json:"server"`
	Incarnation model.Incarnation `json:"incarnation"`
	Zone        model.Zone        `json:"zone"`
	Event       ServerEvent       `json:"event"`
	Time        Micros            `json:"time"`
	Slots       int               `json:"slots"`
	Conns       int               `json:"conns"`
	MaxActive   int               `json:"maxactive"`
	MaxOpen     int               `json:"maxopen"`
	Cut         int               `json:"cut"` // requests still in progress at the end
}

// ServerEvent says how the state of a backend server changed.
type ServerEvent string

// The changes of state of a backend server.
const (
	ServerStart   ServerEvent = "start"
	ServerLeaving ServerEvent = "leaving"
	ServerOpen    ServerEvent = "open" // a new maximum of open connections
	ServerEnd     ServerEvent = "end"
)

// Told is what a caller learned of one send.
type Told string

// What a caller can learn; the first four are values of the outcome header.
const (
	ToldDone    Told = "done"
	ToldNotRun  Told = "notrun"
	ToldRunning Told = "running"
	ToldUnknown Told = "unknown"
	ToldBroken  Told = "broken"  // the connection ended before a whole answer
	ToldRefused Told = "refused" // no connection was made
	ToldTimeout Told = "timeout" // no whole answer in time
	ToldNothing Told = "nothing" // an answer without an outcome
)

// Send is one send of a request by a caller and what it was told.
type Send struct {
	Token      string `json:"token"`
	Send       int    `json:"send"` // from 1; a resend has the same token and key
	Key        string `json:"key,omitempty"`
	Caller     string `json:"caller"`
	Class      string `json:"class"`
	Phase      string `json:"phase,omitempty"` // part of the test that it belongs to
	Idempotent bool   `json:"idempotent"`
	Entry      string `json:"entry"`
	Start      Micros `json:"start"`
	End        Micros `json:"end"`
	Told       Told   `json:"told"`
	Status     int    `json:"status,omitempty"`
	Whole      bool   `json:"whole"`         // the body echoes this request and its checksum is right
	Begun      bool   `json:"begun"`         // response headers arrived
	Ran        Micros `json:"ran,omitempty"` // start of the run as the answer names it
	Bytes      int    `json:"bytes"`
	Request    string `json:"request,omitempty"`
	Error      string `json:"error,omitempty"`
}

// Submit is a submission of a configuration and what the operator was told.
type Submit struct {
	Key      string `json:"key"`
	Mark     string `json:"mark,omitempty"` // name of a section that only this document has
	Entry    string `json:"entry"`
	Start    Micros `json:"start"`
	End      Micros `json:"end"`
	Status   int    `json:"status"`
	Accepted bool   `json:"accepted"`
	Refused  bool   `json:"refused"` // a final answer: conflict or invalid
	Version  uint64 `json:"version"`
	Error    string `json:"error,omitempty"`
}

// Seen is the configuration that an instance reported to be in force.
type Seen struct {
	Instance model.Instance `json:"instance"`
	Time     Micros         `json:"time"`
	Ready    bool           `json:"ready"`
	Version  uint64         `json:"version"`
	Hash     string         `json:"hash,omitempty"`  // of the document
	Marks    []string       `json:"marks,omitempty"` // names of marking sections in the document
}

// Job is the state of a job as told to an operator.
type Job struct {
	Job      model.JobID  `json:"job"`
	Entry    string       `json:"entry"`
	Accepted Micros       `json:"accepted"` // when the operator was told that the job is accepted
	Time     Micros       `json:"time"`
	Final    bool         `json:"final"` // the operator waited for the end and asks no more
	Kind     string       `json:"kind"`
	Class    string       `json:"class"`
	Count    int          `json:"count"`
	Counts   proto.Counts `json:"counts"`
	Reason   string       `json:"reason,omitempty"`
}

// EventKind is something that happened to a process from outside.
type EventKind string

// The events.
const (
	EventStart EventKind = "start" // process started
	EventTerm  EventKind = "term"  // planned stop asked for
	EventExit  EventKind = "exit"  // process ended; Status holds its exit status
	EventKill  EventKind = "kill"  // killed without notice
	EventStop  EventKind = "stop"  // paused
	EventCont  EventKind = "cont"  // resumed
	EventCut   EventKind = "cut"   // cut off from other zones
	EventHeal  EventKind = "heal"  // no longer cut off
	EventWipe  EventKind = "wipe"  // data folder removed
	EventStall EventKind = "stall" // not run by the machine for the time Length up to Time
)

// Event is something that happened to a process from outside. Name is the name of an instance, a
// worker or a backend server.
type Event struct {
	Event  EventKind `json:"event"`
	Name   string    `json:"name"`
	Entry  string    `json:"entry,omitempty"` // HTTP address of an instance
	Time   Micros    `json:"time"`
	Length Micros    `json:"length,omitempty"`
	Status int       `json:"status,omitempty"`
}
