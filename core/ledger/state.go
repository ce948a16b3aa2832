package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
)

// Outcome says what a command did.
type Outcome uint8

// Outcomes of commands.
const (
	// OutcomeDone means that the command holds, or held before.
	OutcomeDone Outcome = iota + 1
	// OutcomeNoConfig means that the domain has no configuration yet.
	OutcomeNoConfig
	// OutcomeNoQueue means that no queue has this host and path.
	OutcomeNoQueue
	// OutcomeNoJob means that the job isn't known.
	OutcomeNoJob
)

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	config  flow.Config
	jobs    map[model.JobID]*Job
	workers map[model.WorkerID]flow.Worker
	// now is the newest time in a command, so that endings carry a time without one of their own.
	now clock.Millis
}

// New returns an empty state.
func New() *State {
	return &State{jobs: map[model.JobID]*Job{}, workers: map[model.WorkerID]flow.Worker{}}
}

// Config returns the configuration in force; its version is 0 if there is none.
func (s *State) Config() flow.Config { return s.config }

// Job returns an accepted job, or nil.
func (s *State) Job(id model.JobID) *Job { return s.jobs[id] }

// Jobs returns all jobs; the caller must not change the map.
func (s *State) Jobs() map[model.JobID]*Job { return s.jobs }

// Workers returns all workers; the caller must not change the map.
func (s *State) Workers() map[model.WorkerID]flow.Worker { return s.workers }

// Apply executes a command.
func (s *State) Apply(c Command) Outcome {
	switch c := c.(type) {
	case Configure:
		if c.Config.Version > s.config.Version {
			s.config = c.Config
		}
	case Submit:
		return s.submit(c)
	case Cancel:
		return s.cancel(c)
	case Enlist:
		s.enlist(c.Worker)
	case Dismiss:
		if w, ok := s.workers[c.ID]; ok && w.Born == c.Born {
			delete(s.workers, c.ID)
		}
	case Assign:
		for _, p := range c.Items {
			if j := s.jobs[p.Task.Job]; j != nil {
				j.assign(p)
			}
		}
	case Settle:
		s.now = max(s.now, c.Now)
		for _, e := range c.Items {
			if j := s.jobs[e.Task.Job]; j != nil {
				j.settle(e)
				s.close(j)
			}
		}
	case Forget:
		s.forget(c.Before)
	}
	return OutcomeDone
}

func (s *State) submit(c Submit) Outcome {
	if s.config.Version == 0 {
		return OutcomeNoConfig
	}
	q, rest, ok := s.config.Lookup(c.Host, c.Path)
	if !ok {
		return OutcomeNoQueue
	}
	s.now = max(s.now, c.Now)
	id := model.JobID(rest)
	if s.jobs[id] == nil {
		c.Job.ID = id
		s.jobs[id] = newJob(c, q)
	}
	return OutcomeDone
}

func (s *State) cancel(c Cancel) Outcome {
	if s.config.Version == 0 {
		return OutcomeNoConfig
	}
	_, rest, ok := s.config.Lookup(c.Host, c.Path)
	if !ok {
		return OutcomeNoQueue
	}
	j := s.jobs[model.JobID(rest)]
	if j == nil {
		return OutcomeNoJob
	}
	s.now = max(s.now, c.Now)
	if !j.Over() {
		j.Cancelled = true
		s.close(j)
	}
	return OutcomeDone
}

func (s *State) close(j *Job) {
	if j.Over() && j.Ended == 0 {
		j.Ended = s.now
	}
}

// enlist takes the newest description of a worker; an older life or an older announcement, which
// may arrive late, changes nothing. Leaving is final for a life.
func (s *State) enlist(w flow.Worker) {
	if old, ok := s.workers[w.ID]; ok {
		if w.Born < old.Born || (w.Born == old.Born && w.Seq <= old.Seq) {
			return
		}
		w.Leaving = w.Leaving || (old.Leaving && w.Born == old.Born)
	}
	s.workers[w.ID] = w
}

func (s *State) forget(before clock.Millis) {
	for id, j := range s.jobs {
		if j.Ended != 0 && j.Ended < before && !j.placed() {
			delete(s.jobs, id)
		}
	}
}

// placed reports whether a worker may still hold a task of the job.
func (j *Job) placed() bool {
	for _, run := range j.Steps {
		for i := range run {
			for k := range run[i].Slots {
				if run[i].Slots[k].Placed {
					return true
				}
			}
		}
	}
	return false
}

// image is the form of a snapshot.
type image struct {
	_       struct{} `cbor:",toarray"`
	Config  flow.Config
	Jobs    map[model.JobID]*Job
	Workers map[model.WorkerID]flow.Worker
	Now     clock.Millis
}

var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 24}.DecMode())
)

// must returns a codec whose options are constant.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Snapshot encodes the state; equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	data, err := encoder.Marshal(image{Config: s.config, Jobs: s.jobs, Workers: s.workers, Now: s.now})
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "encode snapshot: %v", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot.
func (s *State) Restore(data []byte) error {
	var i image
	if err := decoder.Unmarshal(data, &i); err != nil {
		return fault.Wrap(fault.ErrCorrupt, "decode snapshot: %v", err)
	}
	*s = *New()
	s.config, s.now = i.Config, i.Now
	if i.Jobs != nil {
		s.jobs = i.Jobs
	}
	if i.Workers != nil {
		s.workers = i.Workers
	}
	return nil
}
