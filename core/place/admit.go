package place

import (
	"fmt"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// pendingOffer is an accepted offer whose Submit has not arrived yet.
type pendingOffer struct {
	teamClass *teamClass
	work      float64 // as returned by expectedWork, for all tasks
	expiresAt clock.Millis
}

// backlogInterval is how long a computed backlog is used before it is computed again.
const backlogInterval = 100 * clock.Millisecond

// handleOffer accepts a submission unless the work ahead of it is expected to take longer than the
// bound of its class. The submission's own work does not count: a large job may start early and end
// late.
func (s *Scheduler) handleOffer(now clock.Millis, e Offer) {
	base := e.Work.Common()
	u := min(base.Urgency, model.Urgent)
	p := s.teamClassOf(s.teamByName(base.Team), u)
	if _, known := s.jobs[e.Job]; known || s.pendingOffers[e.Job] != nil {
		s.emit(Accept{Job: e.Job})
		return
	}
	if now >= s.startedAt+settleTime && !s.capacity.IsZero() {
		s.updateBacklog(now)
		if wait := s.expectedWait(p); wait > maxExpectedWait[u] {
			s.refuse(e.Job, fmt.Sprintf("%s work of team %s waits about %s", u, base.Team, wait), wait-maxExpectedWait[u])
			return
		}
	}
	if c := s.classes[u].waitingTasks; c+base.Count > maxWaitingTasks {
		s.refuse(e.Job, fmt.Sprintf("%d tasks of class %s wait", c, u), maxExpectedWait[u])
		return
	}
	j := newJob(e.Job, e.Work)
	j.kind = s.kindOf(j)
	work := s.expectedWork(j.kind, base.Size, j) * float64(base.Count)
	p.backlog += work
	s.pendingOffers[e.Job] = &pendingOffer{teamClass: p, work: work, expiresAt: now + offerLifetime}
	s.emit(Accept{Job: e.Job})
}

func (s *Scheduler) refuse(id model.JobID, reason string, retryAfter clock.Millis) {
	s.emit(Refuse{Job: id, Reason: reason, RetryAfter: min(max(retryAfter, minRetryHint), maxRetryHint)})
}

// expectedWork returns the expected capacity share of one task times its run time in milliseconds.
func (s *Scheduler) expectedWork(k *kind, size model.Size, j *job) float64 {
	if k.hasEstimate() {
		size = k.initialCharge(size)
	}
	time := defaultRunTime
	if !j.service {
		time = j.expectedRunTime()
	}
	return s.capacityShare(size) * float64(time)
}

func (s *Scheduler) updateBacklog(now clock.Millis) {
	if now < s.backlogUpdatedAt+backlogInterval {
		return
	}
	s.backlogUpdatedAt = now
	for i := range s.classes {
		for _, p := range s.classes[i].teams {
			p.backlog = 0
		}
	}
	for _, sh := range s.shapeList {
		if sh.waitingTasks == 0 || sh.infeasible != "" {
			continue
		}
		if j := sh.anyJob(); j != nil {
			sh.teamClass.backlog += s.expectedWork(sh.kind, sh.key.size, j) * float64(sh.waitingTasks)
		}
	}
	for id, o := range s.pendingOffers {
		if now >= o.expiresAt {
			delete(s.pendingOffers, id)
			continue
		}
		o.teamClass.backlog += o.work
	}
}

// anyJob returns the job of the first waiting unit, or nil.
func (sh *shape) anyJob() *job {
	if t := sh.head(); t != nil {
		return t.job
	}
	return nil
}

// expectedWait divides the backlog of a team in a class by the capacity share that the team gets at
// least.
func (s *Scheduler) expectedWait(p *teamClass) clock.Millis {
	floor := float64(floorPercent[p.class.urgency]) / 100
	others, weights := 0.0, 0.0
	for i := range s.classes {
		if c := &s.classes[i]; c != p.class {
			others += s.capacityShare(c.charged)
		}
	}
	for _, q := range p.class.teams {
		if q == p || q.waitingTasks > 0 {
			weights += s.teamWeight(q.team)
		}
	}
	rate := max(floor, 1-others) * s.teamWeight(p.team) / weights
	return clock.Millis(p.backlog / rate)
}
