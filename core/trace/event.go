package trace

import "vanillabridge/core/model"

// Kind names the type of an event in its printed forms.
type Kind string

// Event is one of the event types of this package.
type Event interface {
	// Kind returns the name of the type.
	Kind() Kind
	// About returns what the event concerns.
	About() Subject
	// Detail returns the fields that are not in the subject, as text.
	Detail() string
	event()
}

// Subject names what an event concerns; fields that do not apply are empty.
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

// About returns the subject, for the event types that embed it.
func (s Subject) About() Subject { return s }

func (Subject) event() {}

// Events of tasks and jobs.
type (
	// Accepted says that a job or a request was accepted.
	Accepted struct {
		Subject
		Caller model.Caller  `json:"caller,omitempty"`
		Class  model.Urgency `json:"class"`
	}
	// Placed says that a task was assigned to a worker.
	Placed struct {
		Subject
		Attempt int         `json:"attempt,omitempty"`
		Epoch   model.Epoch `json:"epoch,omitempty"`
	}
	// Leased says that a worker got or renewed the lease of a task.
	Leased struct {
		Subject
		Attempt int `json:"attempt,omitempty"`
	}
	// Started says that a task runs on its worker, or a request on its backend server.
	Started struct {
		Subject
		Attempt int `json:"attempt,omitempty"`
	}
	// Ended says how a task or a request ended.
	Ended struct {
		Subject
		Attempt int    `json:"attempt,omitempty"`
		Outcome string `json:"outcome"`
		Reason  string `json:"reason,omitempty"`
	}
	// Refused says that a job or a request was refused and did not run.
	Refused struct {
		Subject
		Reason string `json:"reason"`
	}
	// Requeued says that a task went back to its queue.
	Requeued struct {
		Subject
		Attempt int    `json:"attempt,omitempty"`
		Reason  string `json:"reason"`
	}
	// Commanded says that a worker was told to throttle, checkpoint or stop a task.
	Commanded struct {
		Subject
		Command string `json:"command"`
		Reason  string `json:"reason,omitempty"`
	}
	// Cancelled says that a job or a task was cancelled.
	Cancelled struct {
		Subject
		Reason string `json:"reason,omitempty"`
	}
)

// Events of requests.
type (
	// Routed says that a request was sent to a backend server.
	Routed struct {
		Subject
		Attempt int `json:"attempt,omitempty"`
	}
	// Retried says that a request will be sent again.
	Retried struct {
		Subject
		Attempt int    `json:"attempt,omitempty"`
		Reason  string `json:"reason"`
	}
	// Spilled says that requests for a service began or ceased to go to another zone.
	Spilled struct {
		Subject
		Began bool `json:"began"`
	}
)

// Events of groups and configuration.
type (
	// EpochChanged says that a zone got a new epoch.
	EpochChanged struct {
		Subject
		Epoch model.Epoch `json:"epoch"`
	}
	// LeaderChanged says that a group got another leader, or lost its leader if it is empty.
	LeaderChanged struct {
		Subject
		Group  string `json:"group"`
		Leader string `json:"leader,omitempty"`
		Term   uint64 `json:"term"`
	}
	// VotersChanged says that a group committed a membership change.
	VotersChanged struct {
		Subject
		Group   string `json:"group"`
		Added   string `json:"added,omitempty"`
		Removed string `json:"removed,omitempty"`
	}
	// ConfigApplied says that a configuration is in force at the recording process.
	ConfigApplied struct {
		Subject
		Version uint64 `json:"version"`
	}
	// ConfigRefused says that a submitted configuration was refused.
	ConfigRefused struct {
		Subject
		Version uint64 `json:"version"`
		Reason  string `json:"reason"`
	}
)

// Events of processes.
type (
	// ServerJoined says that a backend server became eligible.
	ServerJoined struct {
		Subject
		Address string `json:"address,omitempty"`
	}
	// ServerLeft says that a backend server is no longer eligible.
	ServerLeft struct {
		Subject
		Reason string `json:"reason"`
	}
	// WorkerJoined says that a worker or a new incarnation of it was seen.
	WorkerJoined struct{ Subject }
	// WorkerLost says that a silent worker was given up.
	WorkerLost struct {
		Subject
		Reason string `json:"reason,omitempty"`
	}
	// WorkerSuspended says that a worker gets no more tasks but probes.
	WorkerSuspended struct {
		Subject
		Reason string `json:"reason"`
	}
	// WorkerRestored says that a suspended worker gets tasks again.
	WorkerRestored struct{ Subject }
	// PeerReached says that another instance answers.
	PeerReached struct{ Subject }
	// PeerLost says that another instance does not answer.
	PeerLost struct {
		Subject
		Reason string `json:"reason,omitempty"`
	}
	// Restarted says that the recording process started.
	Restarted struct {
		Subject
		Version string `json:"version,omitempty"`
		Lost    bool   `json:"lost,omitempty"` // its data folder was empty
	}
	// Ready says that the recording process serves callers.
	Ready struct{ Subject }
	// Draining says that a planned stop began.
	Draining struct {
		Subject
		Reason string `json:"reason,omitempty"`
	}
	// Drained says that a planned stop ended; Left counts the requests that it cut off.
	Drained struct {
		Subject
		Left int `json:"left"`
	}
	// Failed says that a part of the recording process stopped because of a fault.
	Failed struct {
		Subject
		Part   string `json:"part"`
		Reason string `json:"reason"`
	}
)
