package model

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// Zone names an availability zone.
	Zone string
	// Region names a region, which contains one or more availability zones.
	Region string
	// Rack names a rack within an availability zone.
	Rack string
	// Instance names an instance, on which one daemon runs.
	Instance string
	// WorkerID names a worker.
	WorkerID string
	// ServerID names a backend server.
	ServerID string
	// Team names a team, which has a resource quota.
	Team string
	// Caller names a caller of services.
	Caller string
	// JobID identifies one run of a batch or gang, as "name/run", or the tasks of a service in a
	// zone, as "name/zone".
	JobID string
	// Incarnation distinguishes two runs of the same process; it is chosen at random at start.
	Incarnation uint64
	// Epoch is the term of the zone leader that issued an assignment or a permit.
	Epoch uint64
)

// TaskID identifies one task of a job.
type TaskID struct {
	Job   JobID `json:"job" cbor:"1,keyasint"`
	Index int   `json:"index" cbor:"2,keyasint"`
}

// String formats the identifier as "name/run#index".
func (t TaskID) String() string { return string(t.Job) + "#" + strconv.Itoa(t.Index) }

// ParseTaskID parses the form that String returns.
func ParseTaskID(s string) (TaskID, error) {
	job, index, ok := strings.Cut(s, "#")
	if !ok {
		return TaskID{}, fmt.Errorf("parse task identifier %q: #index is missing", s)
	}
	n, err := strconv.Atoi(index)
	if err != nil {
		return TaskID{}, fmt.Errorf("parse task identifier %q: index: %w", s, err)
	}
	return TaskID{Job: JobID(job), Index: n}, nil
}

// NewJobID returns the identifier of a run of the named batch or gang.
func NewJobID(name, run string) JobID { return JobID(name + "/" + run) }

// Split returns the name of the work and the run label.
func (j JobID) Split() (name, run string) {
	name, run, _ = strings.Cut(string(j), "/")
	return name, run
}
