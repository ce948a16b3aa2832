package model

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// Zone names an availability zone.
	Zone string
	// Region names a region, which holds one or more availability zones.
	Region string
	// Rack names a rack within an availability zone.
	Rack string
	// Instance names an instance on which a daemon runs.
	Instance string
	// WorkerID names a worker.
	WorkerID string
	// ServerID names a backend server.
	ServerID string
	// Team names a team with a quota.
	Team string
	// Caller names a caller of services.
	Caller string
	// JobID names one run of a piece of work, as "name/run".
	JobID string
	// Incarnation tells two lives of the same process apart; it is drawn at random at start.
	Incarnation uint64
	// Epoch is the term of the zone leader that issued an assignment or a permit.
	Epoch uint64
)

// TaskID names one task of a job.
type TaskID struct {
	Job   JobID `json:"job" cbor:"1,keyasint"`
	Index int   `json:"index" cbor:"2,keyasint"`
}

// String prints the identifier as "name/run#index".
func (t TaskID) String() string { return string(t.Job) + "#" + strconv.Itoa(t.Index) }

// ParseTaskID reads the form that String prints.
func ParseTaskID(s string) (TaskID, error) {
	job, index, ok := strings.Cut(s, "#")
	if !ok {
		return TaskID{}, fmt.Errorf("task identifier %q has no #index", s)
	}
	n, err := strconv.Atoi(index)
	if err != nil {
		return TaskID{}, fmt.Errorf("task identifier %q: index: %w", s, err)
	}
	return TaskID{Job: JobID(job), Index: n}, nil
}

// NewJobID returns the identifier of the run of a named piece of work.
func NewJobID(name, run string) JobID { return JobID(name + "/" + run) }

// Split returns the name of the work and the run label.
func (j JobID) Split() (name, run string) {
	name, run, _ = strings.Cut(string(j), "/")
	return name, run
}
