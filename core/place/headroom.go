package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

const (
	// startRateWindow is the time over which the start rate of a class is smoothed.
	startRateWindow = 5 * clock.Second
	// headroomLookahead is how far ahead capacity is kept free for expected starts. Freeing it by
	// preemption would take about as long.
	headroomLookahead = 3 * clock.Second
)

// leavesHeadroom reports whether a task can start without using the capacity that classes below their
// floor need for waiting tasks or expected starts. Without this check, a flood of one class fills all
// free capacity at once, and the others wait until enough of it happens to be free on one worker.
func (s *Scheduler) leavesHeadroom(j *job, need model.Size) bool {
	c := j.shape.teamClass.class
	if s.headroom[c.urgency] == 0 {
		return true
	}
	var held model.Size
	for i := range s.classes {
		held = held.Plus(s.classes[i].charged)
	}
	return !s.exceedsFloor(c, need) || s.capacityShare(held.Plus(need)) <= 1-s.headroom[c.urgency]
}

func (s *Scheduler) exceedsFloor(c *class, need model.Size) bool {
	return s.capacityShare(c.charged.Plus(need))*100 > float64(floorPercent[c.urgency])
}

// updateHeadroom computes the start rates and the headroom that each class leaves for the others.
func (s *Scheduler) updateHeadroom(now clock.Millis) {
	elapsed := now - s.headroomUpdatedAt
	if elapsed <= 0 {
		return
	}
	s.headroomUpdatedAt = now
	for i := range s.classes {
		c := &s.classes[i]
		recent := c.startedShare * float64(clock.Second) / float64(elapsed)
		c.startRate += (recent - c.startRate) * min(1, float64(elapsed)/float64(startRateWindow))
		c.startedShare, c.demand = 0, 0
	}
	for _, sh := range s.shapeList {
		if sh.waitingTasks == 0 || sh.infeasible != "" || (sh.state == shapeBlocked && sh.blockedBy != blockedByCapacity) {
			continue
		}
		sh.teamClass.class.demand += float64(sh.waitingTasks) * s.capacityShare(sh.kind.initialCharge(sh.key.size))
	}
	for i := range s.classes {
		s.headroom[i] = 0
		for k := range s.classes {
			if k != i {
				s.headroom[i] += s.unmetEntitlement(&s.classes[k])
			}
		}
	}
}

// unmetEntitlement returns the capacity share that a class wants but does not have, up to its floor.
func (s *Scheduler) unmetEntitlement(c *class) float64 {
	wanted := c.demand + c.startRate*float64(headroomLookahead)/float64(clock.Second)
	missing := float64(floorPercent[c.urgency])/100 - s.capacityShare(c.charged)
	return max(0, min(wanted, missing))
}
