package place

import (
	"math/rand/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Scheduler places the tasks of one availability zone. It is not safe for concurrent use.
type Scheduler struct {
	config    Config
	rng       *rand.Rand
	decisions []Decision // of the current step

	started   bool // Step was called
	settled   bool // settleTime has passed
	startedAt clock.Millis

	jobs         map[model.JobID]*job
	kinds        map[kindKey]*kind
	teams        map[model.Team]*team
	quotas       map[model.Team]Quota
	classes      [3]class
	shapes       map[shapeKey]*shape
	shapeList    []*shape    // the values of shapes, for iteration in a deterministic order
	delayed      heap[*task] // waiting tasks that are not in a queue yet, by notBefore
	waitingTasks int

	workers       map[model.WorkerID]*worker
	racks         []*rack // sorted by name
	racksByName   map[model.Rack]*rack
	index         index
	capacity      model.Size // total usable capacity of the workers that are not leaving
	workersBySize map[model.Size]int
	fleetChanged  bool
	suspended     []*worker

	headroom          [3]float64 // by class: capacity share that the class leaves free once it is above its floor
	headroomUpdatedAt clock.Millis
	reservations      []*reservation
	reservationByUnit map[*task]*reservation
	pendingOffers     map[model.JobID]*pendingOffer
	backlogUpdatedAt  clock.Millis
	nextReserveAt     clock.Millis
	nextSweepAt       clock.Millis
}

// New returns a scheduler without workers and tasks.
func New(config Config) *Scheduler {
	s := &Scheduler{
		config:            config,
		rng:               rand.New(rand.NewPCG(config.Seed, 1)),
		jobs:              make(map[model.JobID]*job),
		kinds:             make(map[kindKey]*kind),
		teams:             make(map[model.Team]*team),
		shapes:            make(map[shapeKey]*shape),
		workers:           make(map[model.WorkerID]*worker),
		racksByName:       make(map[model.Rack]*rack),
		workersBySize:     make(map[model.Size]int),
		reservationByUnit: make(map[*task]*reservation),
		pendingOffers:     make(map[model.JobID]*pendingOffer),
	}
	for _, u := range model.Urgencies() {
		s.classes[u].urgency = u
	}
	s.restoreUsageHistory(config.UsageHistory)
	s.delayed.less = func(a, b *task) bool {
		if a.notBefore != b.notBefore {
			return a.notBefore < b.notBefore
		}
		return acceptedBefore(a, b)
	}
	return s
}

// Step takes an event and returns the decisions that follow from it, in the order in which the
// caller commits them.
func (s *Scheduler) Step(now clock.Millis, e Event) []Decision {
	s.decisions = nil
	if !s.started {
		s.started, s.startedAt = true, now
	}
	switch e := e.(type) {
	case WorkerReport:
		s.handleReport(now, e)
	case WorkerLost:
		s.handleWorkerLost(now, e.Worker)
	case Offer:
		s.handleOffer(now, e)
	case Submit:
		s.handleSubmit(now, e)
		s.schedule(now, maxStepStarts, maxStepMisses)
	case Started:
		if t := s.findPlaced(e.Task, e.Attempt); t != nil {
			s.markRunning(now, t)
		}
	case Ended:
		s.handleEnded(now, e)
	case AssignNotCommitted:
		s.handleAssignNotCommitted(now, e)
	case Cancel:
		s.handleCancel(now, e)
	case Quotas:
		s.setQuotas(e)
	case Tick:
		s.handleTick(now)
	}
	return s.decisions
}

func (s *Scheduler) emit(d Decision) { s.decisions = append(s.decisions, d) }

const (
	// reserveInterval is the time between two updates of the reservations.
	reserveInterval = 500 * clock.Millisecond
	// sweepInterval is the time between two deletions of unused kinds.
	sweepInterval = clock.Minute
)

func (s *Scheduler) handleTick(now clock.Millis) {
	if !s.settled && now >= s.startedAt+settleTime {
		s.settled, s.fleetChanged = true, true
	}
	if s.fleetChanged {
		s.updateAllFeasibility(now)
	}
	for !s.delayed.empty() && s.delayed.items[0].notBefore <= now {
		if t := s.delayed.pop(); t.queued() {
			s.pushUnit(now, t)
		}
	}
	s.allowProbes(now)
	if now >= s.nextReserveAt {
		s.nextReserveAt = now + reserveInterval
		s.updateReservations(now)
	}
	if now >= s.nextSweepAt {
		s.nextSweepAt = now + sweepInterval
		s.sweepKinds(now)
	}
	s.updateHeadroom(now)
	s.unblockShapes(now)
	s.schedule(now, maxTickStarts, maxTickMisses)
}

// sweepKinds deletes the kinds that have had no jobs for kindRetention.
func (s *Scheduler) sweepKinds(now clock.Millis) {
	for key, k := range s.kinds {
		if k.jobCount == 0 && now-k.lastUsed > kindRetention {
			delete(s.kinds, key)
		}
	}
}
