package place

import (
	"math/rand/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Scheduler places the tasks of one availability zone. It is not safe for concurrent use.
type Scheduler struct {
	config Config
	random *rand.Rand
	out    []Decision

	started bool
	settled bool
	born    clock.Millis

	jobs    map[model.JobID]*job
	kinds   map[kindKey]*kind
	teams   map[model.Team]*team
	quotas  map[model.Team]Quota
	classes [3]class
	shapes  map[shapeKey]*shape
	list    []*shape // the same shapes in a fixed order
	later   heap[*task]
	waiting int // tasks

	workers      map[model.WorkerID]*worker
	racks        []*rack // sorted by name
	rackNames    map[model.Rack]*rack
	index        index
	capacity     model.Size // usable amounts of all workers that are not leaving
	sizes        map[model.Size]int
	fleetChanged bool
	suspended    []*worker

	kept         [3]float64 // share of the capacity that a class above its floor leaves free
	headroomAt   clock.Millis
	reservations []*reservation
	reserved     map[*task]*reservation
	offers       map[model.JobID]*offered
	backlogAt    clock.Millis
	reserveAt    clock.Millis
	sweepAt      clock.Millis
}

// New returns a scheduler without workers and tasks.
func New(config Config) *Scheduler {
	s := &Scheduler{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, 1)),
		jobs:      make(map[model.JobID]*job),
		kinds:     make(map[kindKey]*kind),
		teams:     make(map[model.Team]*team),
		shapes:    make(map[shapeKey]*shape),
		workers:   make(map[model.WorkerID]*worker),
		rackNames: make(map[model.Rack]*rack),
		sizes:     make(map[model.Size]int),
		reserved:  make(map[*task]*reservation),
		offers:    make(map[model.JobID]*offered),
	}
	for _, u := range model.Urgencies() {
		s.classes[u].urgency = u
	}
	s.inherit(config.Learned)
	s.later.less = func(a, b *task) bool {
		if a.after != b.after {
			return a.after < b.after
		}
		return earlier(a, b)
	}
	return s
}

// Step takes an event and returns the decisions that follow from it, in the order in which the
// caller commits them.
func (s *Scheduler) Step(now clock.Millis, e Event) []Decision {
	s.out = nil
	if !s.started {
		s.started, s.born = true, now
	}
	switch e := e.(type) {
	case WorkerReport:
		s.report(now, e)
	case WorkerGone:
		s.gone(now, e.Worker)
	case Offer:
		s.offer(now, e)
	case Submit:
		s.submit(now, e)
		s.schedule(now, stepStarts, stepMisses)
	case Started:
		if t := s.find(e.Task, e.Attempt); t != nil {
			s.began(now, t)
		}
	case Ended:
		s.ended(now, e)
	case Unassigned:
		s.unassigned(now, e)
	case Cancel:
		s.cancel(now, e)
	case Quotas:
		s.setQuotas(e)
	case Tick:
		s.tick(now)
	}
	return s.out
}

func (s *Scheduler) emit(d Decision) { s.out = append(s.out, d) }

const (
	reserveEvery = 500 * clock.Millisecond
	sweepEvery   = clock.Minute
)

func (s *Scheduler) tick(now clock.Millis) {
	if !s.settled && now >= s.born+settle {
		s.settled, s.fleetChanged = true, true
	}
	if s.fleetChanged {
		s.recheck(now)
	}
	for !s.later.empty() && s.later.items[0].after <= now {
		if t := s.later.pop(); t.queued() {
			s.push(now, t)
		}
	}
	s.probe(now)
	if now >= s.reserveAt {
		s.reserveAt = now + reserveEvery
		s.reserve(now)
	}
	if now >= s.sweepAt {
		s.sweepAt = now + sweepEvery
		s.sweep(now)
	}
	s.updateHeadroom(now)
	s.wake(now)
	s.schedule(now, tickStarts, tickMisses)
}

// sweep forgets kinds without jobs.
func (s *Scheduler) sweep(now clock.Millis) {
	for key, k := range s.kinds {
		if k.jobs == 0 && now-k.used > kindKept {
			delete(s.kinds, key)
		}
	}
}
