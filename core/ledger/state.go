package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/expect"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
)

// Outcome is the result of a command.
type Outcome uint8

// Outcomes of commands.
const (
	// OutcomeDone means that the command has taken effect, now or when it was applied before.
	OutcomeDone Outcome = iota + 1
	// OutcomeNoConfig means that the domain has no configuration yet.
	OutcomeNoConfig
	// OutcomeNoQueue means that no queue matches the host and path.
	OutcomeNoQueue
	// OutcomeNoJob means that no job has this identifier.
	OutcomeNoJob
	// OutcomeUnauthorized means that the caller's key belongs to no team and the queue is not public.
	OutcomeUnauthorized
	// OutcomeCancelled means that the submitted job was accepted as a cancelled one, because it was cancelled before.
	OutcomeCancelled
)

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	config  flow.Config
	index   flow.Index // of config
	jobs    map[model.JobID]*Job
	workers map[model.WorkerID]flow.Worker
	// pendingByQueue counts the pending jobs of each queue. It is derived from jobs.
	pendingByQueue map[queueKey]int
	crashes        map[model.JobID]map[flow.Task]Crashes // of jobs that are not settled
	// latestTime is the highest time in any command. Jobs get it as the time of their end.
	latestTime clock.Millis
	runTimes   *expect.Book
	tombstones tombstones
}

// queueKey identifies a queue across versions of the configuration, which may change everything else.
type queueKey struct{ host, prefix string }

func queueKeyOf(q flow.Queue) queueKey { return queueKey{q.Host, q.Prefix} }

// New returns an empty state.
func New() *State {
	return &State{
		jobs: map[model.JobID]*Job{}, workers: map[model.WorkerID]flow.Worker{}, pendingByQueue: map[queueKey]int{},
		crashes: newCrashes(), runTimes: expect.New(), tombstones: newTombstones(),
	}
}

// PendingJobs returns the number of accepted jobs of a queue of which no task was assigned yet,
// without jobs with due times. It takes constant time.
func (s *State) PendingJobs(q flow.Queue) int { return s.pendingByQueue[queueKeyOf(q)] }

// updateJob runs an update of a job, and updates the data derived from it: the time of its end, the
// details that a settled job drops, and the number of pending jobs of its queue.
func (s *State) updateJob(j *Job, update func()) {
	before := j.isPending()
	update()
	if j.HasEnded() && j.EndedAt == 0 {
		j.EndedAt = s.latestTime
	}
	if j.HasEnded() && !j.hasAssignedTasks() {
		j.dropDetails()
		delete(s.crashes, j.Definition.ID)
	}
	switch after := j.isPending(); {
	case before && !after:
		s.pendingByQueue[queueKeyOf(j.Queue)]--
	case !before && after:
		s.pendingByQueue[queueKeyOf(j.Queue)]++
	}
}

// Config returns the current configuration; its version is 0 if there is none.
func (s *State) Config() flow.Config { return s.config }

func (s *State) setConfig(c flow.Config) { s.config, s.index = c, flow.NewIndex(c) }

// Job returns a job, or nil if there is none with this identifier.
func (s *State) Job(id model.JobID) *Job { return s.jobs[id] }

// Jobs returns all jobs; the caller must not change the map.
func (s *State) Jobs() map[model.JobID]*Job { return s.jobs }

// Workers returns all workers; the caller must not change the map.
func (s *State) Workers() map[model.WorkerID]flow.Worker { return s.workers }

// Apply applies a command to the state.
func (s *State) Apply(c Command) Outcome {
	switch c := c.(type) {
	case Configure:
		if c.Config.Version > s.config.Version {
			s.setConfig(c.Config)
		}
	case Submit:
		return s.submit(c)
	case Cancel:
		return s.cancel(c)
	case RegisterWorker:
		s.registerWorker(c.Worker)
	case RemoveWorker:
		if w, ok := s.workers[c.ID]; ok && w.Incarnation() == c.Incarnation() {
			delete(s.workers, c.ID)
		}
	case Assign:
		for _, p := range c.Placements {
			if j := s.jobs[p.Task.Job]; j != nil {
				s.updateJob(j, func() { j.assign(p) })
			}
		}
	case Settle:
		s.latestTime = max(s.latestTime, c.Now)
		s.observeRunTimes(c)
		for _, e := range c.Ends {
			if j := s.jobs[e.Task.Job]; j != nil {
				s.updateJob(j, func() {
					if j.settle(e) {
						s.recordCrash(j, e, c.Now)
					}
				})
			}
		}
	case PruneJobs:
		s.pruneJobs(c.EndedBefore)
		s.tombstones.prune(c.EndedBefore)
	case RecordTombstones:
		s.tombstones.enabled = true
	}
	return OutcomeDone
}

func (s *State) submit(c Submit) Outcome {
	q, id, team, outcome := s.Resolve(c.Host, c.Path, c.Key)
	if outcome != OutcomeDone {
		return outcome
	}
	j := s.jobs[id]
	if j != nil && !s.config.Access.MayUse(team, j.Team) {
		// The identifier is taken by another team, which this caller must not learn more of.
		return OutcomeNoJob
	}
	s.latestTime = max(s.latestTime, c.Now)
	if j != nil {
		return OutcomeDone
	}
	c.Job.ID = id
	j = newJob(c, q)
	j.Team = team
	s.jobs[id] = j
	if j.isPending() {
		s.pendingByQueue[queueKeyOf(q)]++
	}
	if _, cancelled := s.findTombstone(q, id, team); cancelled {
		s.updateJob(j, func() { j.Cancelled = true })
		return OutcomeCancelled
	}
	return OutcomeDone
}

func (s *State) cancel(c Cancel) Outcome {
	q, id, team, outcome := s.Resolve(c.Host, c.Path, c.Key)
	if outcome != OutcomeDone {
		return outcome
	}
	j := s.VisibleJob(id, team)
	if j == nil {
		s.recordTombstone(c, q, id, team)
		return OutcomeNoJob
	}
	s.latestTime = max(s.latestTime, c.Now)
	if !j.HasEnded() {
		s.updateJob(j, func() { j.Cancelled = true })
	}
	return OutcomeDone
}

// Resolve returns the queue of a request, the identifier of the job that it names and the team of its caller. The
// outcome is OutcomeDone if the caller may use the queue.
func (s *State) Resolve(host, path string, key flow.KeyHash) (q flow.Queue, id model.JobID, team string, o Outcome) {
	if s.config.Version == 0 {
		return q, "", "", OutcomeNoConfig
	}
	q, rest, ok := s.index.LookupQueue(host, path)
	if !ok {
		return q, "", "", OutcomeNoQueue
	}
	team, ok = s.index.Authorize(q, key)
	if !ok {
		return q, "", "", OutcomeUnauthorized
	}
	return q, model.JobID(rest), team, OutcomeDone
}

// VisibleJob returns a job that a caller of a team may see and cancel, or nil if there is none with this identifier.
func (s *State) VisibleJob(id model.JobID, team string) *Job {
	if j := s.jobs[id]; j != nil && s.config.Access.MayUse(team, j.Team) {
		return j
	}
	return nil
}

// registerWorker adds or updates a worker. Announcements may arrive out of order: those of an older
// incarnation, or older ones of the same incarnation, are ignored. Once an incarnation is leaving, it
// stays so.
func (s *State) registerWorker(w flow.Worker) {
	if old, ok := s.workers[w.ID]; ok {
		same := old.Incarnation() == w.Incarnation()
		if old.Incarnation().IsLaterThan(w.Incarnation()) || (same && w.Seq <= old.Seq) {
			return
		}
		w.Leaving = w.Leaving || (same && old.Leaving)
	}
	s.workers[w.ID] = w
}

func (s *State) pruneJobs(before clock.Millis) {
	for id, j := range s.jobs {
		if j.EndedAt != 0 && j.EndedAt < before && j.IsSettled() {
			delete(s.jobs, id)
		}
	}
}

// snapshot is the encoded form of the state.
type snapshot struct {
	_       struct{} `cbor:",toarray"`
	Config  flow.Config
	Jobs    map[model.JobID]*Job
	Workers map[model.WorkerID]flow.Worker
	Now     clock.Millis
	Crashes []Crashes
}

// snapshotBeforeCrashes is the encoded form that earlier versions wrote, without the records of crashes.
type snapshotBeforeCrashes struct {
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

// must returns v and panics on an error. It serves codecs whose options are constant.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Snapshot returns the encoding of the state. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	data, err := encoder.Marshal(s.encodedForm())
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "encode snapshot: %v", err)
	}
	return s.appendParts(data)
}

// Restore replaces the state with that of a snapshot.
func (s *State) Restore(data []byte) error {
	data, runTimes, tombstones, err := cutParts(data)
	if err != nil {
		return err
	}
	restored, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	*s = *New()
	s.setConfig(restored.Config)
	s.latestTime, s.runTimes, s.tombstones = restored.Now, runTimes, tombstones
	for id, j := range restored.Jobs {
		s.jobs[id] = j
		if j.isPending() {
			s.pendingByQueue[queueKeyOf(j.Queue)]++
		}
	}
	s.restoreCrashes(restored.Crashes)
	if restored.Workers != nil {
		s.workers = restored.Workers
	}
	return nil
}
