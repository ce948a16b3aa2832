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

// shapeKey holds what makes waiting tasks interchangeable. The name is part of it because the
// charge is learned by name.
type shapeKey struct {
	team    model.Team
	name    string
	class   model.Urgency
	mode    mode
	size    model.Size
	count   int  // tasks of a gang
	outside bool // the job's zones do not include this one
}

type shapeState uint8

const (
	shapeIdle shapeState = iota
	shapeReady
	shapeBlocked
)

type blockReason uint8

const (
	blockedRoom blockReason = iota
	blockedQuota
	blockedLearning
	blockedPause // a gang that was tried a moment ago
)

// shape is the queue of the waiting units of one shape. A unit is a task, or the lead of a gang.
type shape struct {
	key     shapeKey
	kind    *kind
	share   *teamClass
	queue   heap[*task]
	jobs    map[*job]struct{}
	waiting int
	since   clock.Millis // accepted time of its head when it became ready
	state   shapeState
	why     blockReason
	reason  string // why it fits no worker; such a shape is neither ready nor blocked
	told    bool   // its jobs were called impossible
	fresh   bool   // a job was added since
	slot    int    // in Scheduler.list
}

// teamClass is the part of a team's work that has one urgency.
type teamClass struct {
	team    *team
	class   *class
	ready   heap[*shape]
	blocked []*shape
	held    model.Size // charged
	waiting int
	woken   clock.Millis
	backlog float64 // share of the capacity times milliseconds, of waiting tasks
}

type class struct {
	urgency model.Urgency
	teams   []*teamClass
	held    model.Size // charged
	waiting int
	begun   float64 // share of the capacity started since the last tick
	rate    float64 // share of the capacity started in a second, smoothed
	demand  float64 // share of the capacity that its waiting tasks need
}

type team struct {
	name  model.Team
	quota Quota
	held  model.Size // declared
	parts [3]*teamClass
}

func (s *Scheduler) team(name model.Team) *team {
	t, ok := s.teams[name]
	if !ok {
		t = &team{name: name, quota: s.quotas[name]}
		s.teams[name] = t
	}
	return t
}

func (s *Scheduler) part(t *team, u model.Urgency) *teamClass {
	if t.parts[u] == nil {
		c := &s.classes[u]
		p := &teamClass{team: t, class: c}
		p.ready.less = func(a, b *shape) bool {
			if a.since != b.since {
				return a.since < b.since
			}
			return a.key.name < b.key.name
		}
		t.parts[u] = p
		c.teams = append(c.teams, p)
	}
	return t.parts[u]
}

func (s *Scheduler) shapeOf(j *job) *shape {
	key := shapeKey{team: j.base.Team, name: j.base.Name, class: min(j.base.Urgency, model.Urgent), size: j.base.Size}
	switch {
	case j.service:
		key.mode = modeService
	case j.gang:
		key.mode, key.count = modeGang, j.base.Count
	}
	key.outside = !allowed(j.base.Zones, s.config.Zone)
	sh, ok := s.shapes[key]
	if !ok {
		sh = &shape{key: key, kind: s.kindOf(j), jobs: make(map[*job]struct{}), slot: len(s.list)}
		sh.share = s.part(s.team(key.team), key.class)
		sh.queue.less = earlier
		s.shapes[key] = sh
		s.list = append(s.list, sh)
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

func allowed(zones []model.Zone, zone model.Zone) bool {
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

// enqueue lets a task wait. The members of a gang wait uncounted by the queue; its lead is queued
// by regroup once all are there.
func (s *Scheduler) enqueue(now clock.Millis, t *task) {
	t.phase = waiting
	s.count(t.job, 1)
	if t.job.gang {
		return
	}
	s.push(now, t)
}

func (s *Scheduler) push(now clock.Millis, t *task) {
	if t.after > now {
		s.later.push(t)
		return
	}
	sh := t.job.shape
	sh.queue.push(t)
	s.activate(sh)
}

// count adjusts the numbers of waiting tasks.
func (s *Scheduler) count(j *job, n int) {
	j.waiting += n
	j.shape.waiting += n
	j.shape.share.waiting += n
	j.shape.share.class.waiting += n
	s.waiting += n
}

func (s *Scheduler) activate(sh *shape) {
	if sh.state != shapeIdle || sh.reason != "" {
		return
	}
	if t := sh.head(); t != nil {
		sh.state, sh.since = shapeReady, t.accepted
		sh.share.ready.push(sh)
	}
}

// head returns the first unit that still waits, dropping those that do not.
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

// compact rebuilds a queue that consists mostly of cancelled entries, so that a wave of
// cancellations of blocked tasks does not keep their memory. Its cost is constant per entry.
func (sh *shape) compact() {
	if len(sh.queue.items) > 2*sh.waiting+64 {
		sh.queue.filter((*task).queued)
	}
}

// wake makes blocked shapes ready, in those parts in which every ready shape was tried since, and
// in all others after wakeEvery, so that a stream of new shapes does not keep old ones blocked.
func (s *Scheduler) wake(now clock.Millis) {
	for i := range s.classes {
		for _, p := range s.classes[i].teams {
			if p.ready.empty() || now >= p.woken+wakeEvery {
				p.woken = now
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
		if t := sh.head(); t != nil && sh.reason == "" {
			sh.state, sh.since = shapeReady, t.accepted
			p.ready.push(sh)
		}
	}
}

func (p *teamClass) block(sh *shape, why blockReason) {
	sh.state, sh.why = shapeBlocked, why
	p.blocked = append(p.blocked, sh)
}

func (s *Scheduler) dropShape(sh *shape) {
	if len(sh.jobs) > 0 {
		return
	}
	delete(s.shapes, sh.key)
	last := s.list[len(s.list)-1]
	s.list[sh.slot], last.slot = last, sh.slot
	s.list[len(s.list)-1] = nil
	s.list = s.list[:len(s.list)-1]
}
