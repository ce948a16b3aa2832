package trace

import "vanillabridge/core/model"

// Kind is the name of an event type in its encoded and printed forms.
type Kind string

// Event is one of the event types of this package.
type Event interface {
	// Kind returns the name of the event type.
	Kind() Kind
	// EventSubject returns the objects that the event concerns.
	EventSubject() Subject
	// Detail returns the fields outside the subject, as "name=value" pairs.
	Detail() string
	event()
}

// Subject identifies the objects that an event concerns. Fields that do not apply are empty.
type Subject struct {
	Task     model.TaskID   `json:"task,omitzero"`
	Job      model.JobID    `json:"job,omitempty"` // for events of a whole job
	Request  string         `json:"request,omitempty"`
	Instance model.Instance `json:"instance,omitempty"`
	Zone     model.Zone     `json:"zone,omitempty"`
	Worker   model.WorkerID `json:"worker,omitempty"`
	Server   model.ServerID `json:"server,omitempty"`
	Service  string         `json:"service,omitempty"`
}

// EventSubject returns the subject. It is promoted to the event types, which embed Subject.
func (s Subject) EventSubject() Subject { return s }

func (Subject) event() {}

// Events of tasks and jobs.
type (
	// Accepted reports that a job or a request was accepted.
	Accepted struct {
		Subject
		Caller model.Caller  `json:"caller,omitempty"`
		Class  model.Urgency `json:"class"`
	}
	// Placed reports that a task was assigned to a worker.
	Placed struct {
		Subject
		Attempt int         `json:"attempt,omitempty"`
		Epoch   model.Epoch `json:"epoch,omitempty"`
	}
	// Leased reports that a worker obtained or renewed the lease of a task.
	Leased struct {
		Subject
		Attempt int `json:"attempt,omitempty"`
	}
	// Started reports that a task started on its worker, or a request on its backend server.
	Started struct {
		Subject
		Attempt int `json:"attempt,omitempty"`
	}
	// Ended reports that a task or a request ended, with its outcome.
	Ended struct {
		Subject
		Attempt int    `json:"attempt,omitempty"`
		Outcome string `json:"outcome"`
		Reason  string `json:"reason,omitempty"`
	}
	// Refused reports that a job or a request was refused and did not run.
	Refused struct {
		Subject
		Reason string `json:"reason"`
	}
	// Requeued reports that a task was put back into its queue.
	Requeued struct {
		Subject
		Attempt int    `json:"attempt,omitempty"`
		Reason  string `json:"reason"`
	}
	// Commanded reports that a worker was ordered to throttle, checkpoint or stop a task.
	Commanded struct {
		Subject
		Command string `json:"command"`
		Reason  string `json:"reason,omitempty"`
	}
	// Cancelled reports that a job or a task was cancelled.
	Cancelled struct {
		Subject
		Reason string `json:"reason,omitempty"`
	}
)

// Events of requests.
type (
	// Routed reports that a request was sent to a backend server.
	Routed struct {
		Subject
		Attempt int `json:"attempt,omitempty"`
	}
	// Retried reports that a request will be sent again.
	Retried struct {
		Subject
		Attempt int    `json:"attempt,omitempty"`
		Reason  string `json:"reason"`
	}
	// Spilled reports that spillover of a service's requests to another zone began or ended.
	Spilled struct {
		Subject
		Active bool `json:"began"` // true if it began, false if it ended
	}
)

// Events of groups and configuration.
type (
	// EpochChanged reports that a new epoch of a zone began.
	EpochChanged struct {
		Subject
		Epoch model.Epoch `json:"epoch"`
	}
	// LeaderChanged reports that the leader of a group changed. An empty Leader means that the
	// group has no leader.
	LeaderChanged struct {
		Subject
		Group  string `json:"group"`
		Leader string `json:"leader,omitempty"`
		Term   uint64 `json:"term"`
	}
	// VotersChanged reports that a group committed a membership change.
	VotersChanged struct {
		Subject
		Group   string `json:"group"`
		Added   string `json:"added,omitempty"`
		Removed string `json:"removed,omitempty"`
	}
	// ConfigApplied reports that a configuration is in force at the recording process.
	ConfigApplied struct {
		Subject
		Version uint64 `json:"version"`
	}
	// ConfigRefused reports that a submitted configuration was refused.
	ConfigRefused struct {
		Subject
		Version uint64 `json:"version"`
		Reason  string `json:"reason"`
	}
)

// Events of processes.
type (
	// ServerJoined reports that a backend server became eligible.
	ServerJoined struct {
		Subject
		Address string `json:"address,omitempty"`
	}
	// ServerLeft reports that a backend server is no longer eligible.
	ServerLeft struct {
		Subject
		Reason string `json:"reason"`
	}
	// WorkerJoined reports the first contact with a worker or a new incarnation of it.
	WorkerJoined struct{ Subject }
	// WorkerLost reports that a worker is considered lost because it did not answer.
	WorkerLost struct {
		Subject
		Reason string `json:"reason,omitempty"`
	}
	// WorkerSuspended reports that a worker is assigned no tasks except probes.
	WorkerSuspended struct {
		Subject
		Reason string `json:"reason"`
	}
	// WorkerRestored reports that a suspended worker is assigned tasks again.
	WorkerRestored struct{ Subject }
	// PeerReached reports that another instance answers.
	PeerReached struct{ Subject }
	// PeerLost reports that another instance does not answer.
	PeerLost struct {
		Subject
		Reason string `json:"reason,omitempty"`
	}
	// Restarted reports that the recording process started.
	Restarted struct {
		Subject
		Version  string `json:"version,omitempty"`
		DataLost bool   `json:"lost,omitempty"` // the data folder was empty
	}
	// Ready reports that the recording process serves callers.
	Ready struct{ Subject }
	// Draining reports that a graceful shutdown began.
	Draining struct {
		Subject
		Reason string `json:"reason,omitempty"`
	}
	// Drained reports that a graceful shutdown ended. CutOffRequests is the number of requests
	// that were still running and were cut off.
	Drained struct {
		Subject
		CutOffRequests int `json:"left"`
	}
	// Failed reports that a component of the recording process stopped because of a fault.
	Failed struct {
		Subject
		Component string `json:"part"`
		Reason    string `json:"reason"`
	}
)
