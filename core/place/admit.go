package place

import (
	"fmt"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// offered is an accepted offer whose Submit has not come yet.
type offered struct {
	part    *teamClass
	work    float64
	expires clock.Millis
}

// backlogEvery is the time for which the computed backlog is used.
const backlogEvery = 100 * clock.Millisecond

// offer accepts a submission unless the work that waits before it is expected to take longer than
// the bound of its class. Its own amount does not count: a large job may start early and end late.
func (s *Scheduler) offer(now clock.Millis, e Offer) {
	base := e.Work.Common()
	u := min(base.Urgency, model.Urgent)
	p := s.part(s.team(base.Team), u)
	if _, known := s.jobs[e.Job]; known || s.offers[e.Job] != nil {
		s.emit(Accept{Job: e.Job})
		return
	}
	if now >= s.born+settle && !s.capacity.IsZero() {
		s.countBacklog(now)
		if wait := s.expectedWait(p); wait > waitBound[u] {
			s.refuse(e.Job, fmt.Sprintf("%s work of team %s waits about %s", u, base.Team, wait), wait-waitBound[u])
			return
		}
	}
	if c := s.classes[u].waiting; c+base.Count > queueAtMost {
		s.refuse(e.Job, fmt.Sprintf("%d tasks of class %s wait", c, u), waitBound[u])
		return
	}
	j := newJob(e.Job, e.Work)
	j.kind = s.kindOf(j)
	work := s.workOf(j.kind, base.Size, j) * float64(base.Count)
	p.backlog += work
	s.offers[e.Job] = &offered{part: p, work: work, expires: now + offerKept}
	s.emit(Accept{Job: e.Job})
}

func (s *Scheduler) refuse(id model.JobID, reason string, retry clock.Millis) {
	s.emit(Refuse{Job: id, Reason: reason, Retry: min(max(retry, retryLeast), retryMost)})
}

// workOf is the expected share of the capacity times the run time of one task.
func (s *Scheduler) workOf(k *kind, size model.Size, j *job) float64 {
	if k.proved() {
		size = k.need(size)
	}
	time := defaultTime
	if !j.service {
		time = j.duration()
	}
	return s.portion(size) * float64(time)
}

func (s *Scheduler) countBacklog(now clock.Millis) {
	if now < s.backlogAt+backlogEvery {
		return
	}
	s.backlogAt = now
	for i := range s.classes {
		for _, p := range s.classes[i].teams {
			p.backlog = 0
		}
	}
	for _, sh := range s.list {
		if sh.waiting == 0 || sh.reason != "" {
			continue
		}
		if t := sh.sample(); t != nil {
			sh.share.backlog += s.workOf(sh.kind, sh.key.size, t) * float64(sh.waiting)
		}
	}
	for id, o := range s.offers {
		if now >= o.expires {
			delete(s.offers, id)
			continue
		}
		o.part.backlog += o.work
	}
}

// sample returns some job of the shape.
func (sh *shape) sample() *job {
	if t := sh.head(); t != nil {
		return t.job
	}
	return nil
}

// expectedWait divides the team's backlog by the part of the capacity that it can count on.
func (s *Scheduler) expectedWait(p *teamClass) clock.Millis {
	floor := float64(floorPercent[p.class.urgency]) / 100
	others, weights := 0.0, 0.0
	for i := range s.classes {
		if c := &s.classes[i]; c != p.class {
			others += s.portion(c.held)
		}
	}
	for _, q := range p.class.teams {
		if q == p || q.waiting > 0 {
			weights += s.weight(q.team)
		}
	}
	rate := max(floor, 1-others) * s.weight(p.team) / weights
	return clock.Millis(p.backlog / rate)
}
