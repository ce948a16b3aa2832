package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

type mode uint8

const (
	modeBatch mode = iota
	modeService
	modeGang
)

// shapeKey holds the properties in which interchangeable waiting tasks agree. It includes the name
// because the charge is estimated by name.
type shapeKey struct {
	team         model.Team
	name         string
	class        model.Urgency
	mode         mode
	size         model.Size
	count        int  // tasks of a gang
	zoneExcluded bool // the job's zones do not include this one
}

type shapeState uint8

const (
	shapeIdle shapeState = iota
	shapeReady
	shapeBlocked
)

type blockReason uint8

const (
	blockedByCapacity blockReason = iota
	blockedByQuota
	blockedByUnmeasuredLimit
	blockedByGangRetry // the gang was tried within gangRetryInterval
)

// shape is the queue of interchangeable waiting units. A unit is a single task, or the lead task of
// a gang, which stands for the whole gang.
type shape struct {
	key                shapeKey
	kind               *kind
	teamClass          *teamClass
	queue              heap[*task]
	jobs               map[*job]struct{}
	waitingTasks       int
	headAccepted       clock.Millis // accepted time of the first unit when the shape became ready
	state              shapeState
	blockedBy          blockReason
	infeasible         string // why it cannot be placed, or ""; such a shape is neither ready nor blocked
	reportedImpossible bool   // an Impossible was emitted for its jobs
	hasNewJobs         bool   // a job was added since the last report
	listIndex          int    // in Scheduler.shapeList
}

// teamClass is the work of one team in one class.
type teamClass struct {
	team         *team
	class        *class
	ready        heap[*shape]
	blocked      []*shape
	charged      model.Size // charges of its tasks on workers
	waitingTasks int
	unblockedAt  clock.Millis
	backlog      float64 // capacity share times run time in milliseconds of waiting tasks
}

type class struct {
	urgency      model.Urgency
	teams        []*teamClass
	charged      model.Size // charges of its tasks on workers
	waitingTasks int
	startedShare float64 // capacity share of the tasks started since the last tick
	startRate    float64 // capacity share started per second, smoothed
	demand       float64 // capacity share that its waiting tasks need
}

type team struct {
	name     model.Team
	quota    Quota
	declared model.Size // declared size of its tasks on workers
	classes  [3]*teamClass
}

func (s *Scheduler) teamByName(name model.Team) *team {
	t, ok := s.teams[name]
	if !ok {
		t = &team{name: name, quota: s.quotas[name]}
		s.teams[name] = t
	}
	return t
}

func (s *Scheduler) teamClassOf(t *team, u model.Urgency) *teamClass {
	if t.classes[u] == nil {
		c := &s.classes[u]
		p := &teamClass{team: t, class: c}
		p.ready.less = func(a, b *shape) bool {
			if a.headAccepted != b.headAccepted {
				return a.headAccepted < b.headAccepted
			}
			return a.key.name < b.key.name
		}
		t.classes[u] = p
		c.teams = append(c.teams, p)
	}
	return t.classes[u]
}

func (s *Scheduler) shapeOf(j *job) *shape {
	key := shapeKey{team: j.base.Team, name: j.base.Name, class: min(j.base.Urgency, model.Urgent), size: j.base.Size}
	switch {
	case j.service:
		key.mode = modeService
	case j.gang:
		key.mode, key.count = modeGang, j.base.Count
	}
	key.zoneExcluded = !allowsZone(j.base.Zones, s.config.Zone)
	sh, ok := s.shapes[key]
	if !ok {
		sh = &shape{key: key, kind: s.kindOf(j), jobs: make(map[*job]struct{}), listIndex: len(s.shapeList)}
		sh.teamClass = s.teamClassOf(s.teamByName(key.team), key.class)
		sh.queue.less = acceptedBefore
		s.shapes[key] = sh
		s.shapeList = append(s.shapeList, sh)
	}
	return sh
}

func (s *Scheduler) kindOf(j *job) *kind {
	key := kindKey{team: j.base.Team, name: j.base.Name, size: j.base.Size}
	k, ok := s.kinds[key]
	if !ok {
		k = &kind{key: key}
		s.kinds[key] = k
	}
	return k
}

func allowsZone(zones []model.Zone, zone model.Zone) bool {
	if len(zones) == 0 || zone == "" {
		return true
	}
	for _, z := range zones {
		if z == zone {
			return true
		}
	}
	return false
}

// enqueue makes a task wait. The tasks of a gang are not put into the queue: requeueGang queues the
// lead task once all unfinished tasks of the gang wait.
func (s *Scheduler) enqueue(now clock.Millis, t *task) {
	t.phase = phaseWaiting
	s.adjustWaiting(t.job, 1)
	if t.job.gang {
		return
	}
	s.pushUnit(now, t)
}

func (s *Scheduler) pushUnit(now clock.Millis, t *task) {
	if t.notBefore > now {
		s.delayed.push(t)
		return
	}
	sh := t.job.shape
	sh.queue.push(t)
	s.makeReady(sh)
}

// adjustWaiting adds n to the counts of waiting tasks.
func (s *Scheduler) adjustWaiting(j *job, n int) {
	j.waitingTasks += n
	j.shape.waitingTasks += n
	j.shape.teamClass.waitingTasks += n
	j.shape.teamClass.class.waitingTasks += n
	s.waitingTasks += n
}

func (s *Scheduler) makeReady(sh *shape) {
	if sh.state != shapeIdle || sh.infeasible != "" {
		return
	}
	if t := sh.head(); t != nil {
		sh.state, sh.headAccepted = shapeReady, t.acceptedAt
		sh.teamClass.ready.push(sh)
	}
}

// head returns the first unit that still waits, and removes the entries before it. It returns nil
// if none waits.
func (sh *shape) head() *task {
	sh.compact()
	for !sh.queue.empty() {
		t := sh.queue.items[0]
		if t.queued() {
			return t
		}
		sh.queue.pop()
	}
	return nil
}

// compact rebuilds a queue that consists mostly of cancelled entries, so that the memory of blocked
// tasks is released after many cancellations. Its amortized cost per entry is constant.
func (sh *shape) compact() {
	if len(sh.queue.items) > 2*sh.waitingTasks+64 {
		sh.queue.filter((*task).queued)
	}
}

// unblockShapes makes blocked shapes ready again: at once where all ready shapes of the team and
// class have been tried, elsewhere after unblockInterval, so that a stream of new shapes does not
// keep old ones blocked.
func (s *Scheduler) unblockShapes(now clock.Millis) {
	for i := range s.classes {
		for _, p := range s.classes[i].teams {
			if p.ready.empty() || now >= p.unblockedAt+unblockInterval {
				p.unblockedAt = now
				p.unblock()
			}
		}
	}
}

func (p *teamClass) unblock() {
	blocked := p.blocked
	p.blocked = nil
	for _, sh := range blocked {
		sh.state = shapeIdle
		if t := sh.head(); t != nil && sh.infeasible == "" {
			sh.state, sh.headAccepted = shapeReady, t.acceptedAt
			p.ready.push(sh)
		}
	}
}

func (p *teamClass) block(sh *shape, why blockReason) {
	sh.state, sh.blockedBy = shapeBlocked, why
	p.blocked = append(p.blocked, sh)
}

func (s *Scheduler) removeUnusedShape(sh *shape) {
	if len(sh.jobs) > 0 {
		return
	}
	delete(s.shapes, sh.key)
	last := s.shapeList[len(s.shapeList)-1]
	s.shapeList[sh.listIndex], last.listIndex = last, sh.listIndex
	s.shapeList[len(s.shapeList)-1] = nil
	s.shapeList = s.shapeList[:len(s.shapeList)-1]
}
