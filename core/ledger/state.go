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
	// pending counts the jobs of a queue that are pending; it follows from jobs.
	pending map[place]int
	// now is the newest time in a command, so that endings carry a time without one of their own.
	now clock.Millis
}

// place is where callers find a queue; versions of the configuration may change all else.
type place struct{ host, prefix string }

func placeOf(q flow.Queue) place { return place{q.Host, q.Prefix} }

// New returns an empty state.
func New() *State {
	return &State{
		jobs: map[model.JobID]*Job{}, workers: map[model.WorkerID]flow.Worker{}, pending: map[place]int{},
	}
}

// Pending returns the number of accepted jobs of a queue for which no task was assigned. Jobs with
// due times don't count. It costs the same however many jobs there are.
func (s *State) Pending(q flow.Queue) int { return s.pending[placeOf(q)] }

// change changes a job and counts what follows from that.
func (s *State) change(j *Job, do func()) {
	before := j.isPending()
	do()
	if j.Over() && j.Ended == 0 {
		j.Ended = s.now
	}
	if j.Over() && !j.placed() {
		j.strip()
	}
	switch after := j.isPending(); {
	case before && !after:
		s.pending[placeOf(j.Queue)]--
	case !before && after:
		s.pending[placeOf(j.Queue)]++
	}
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
				s.change(j, func() { j.assign(p) })
			}
		}
	case Settle:
		s.now = max(s.now, c.Now)
		for _, e := range c.Items {
			if j := s.jobs[e.Task.Job]; j != nil {
				s.change(j, func() { j.settle(e) })
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
		j := newJob(c, q)
		s.jobs[id] = j
		if j.isPending() {
			s.pending[placeOf(q)]++
		}
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
		s.change(j, func() { j.Cancelled = true })
	}
	return OutcomeDone
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
		if j.Ended != 0 && j.Ended < before && j.IsSettled() {
			delete(s.jobs, id)
		}
	}
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
	for id, j := range i.Jobs {
		s.jobs[id] = j
		if j.isPending() {
			s.pending[placeOf(j.Queue)]++
		}
	}
	if i.Workers != nil {
		s.workers = i.Workers
	}
	return nil
}
