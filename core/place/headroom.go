package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

const (
	// rateTime is the time over which the rate of starts of a class is smoothed.
	rateTime = 5 * clock.Second
	// aheadTime is the time for which starts to come are kept room for: a stop of other tasks
	// would take about as long.
	aheadTime = 3 * clock.Second
)

// leavesHeadroom reports whether a task may start without taking what classes below their floor
// wait for or are about to start. Without this, a flood fills every gap at once, and the other
// classes wait until large enough gaps happen to appear.
func (s *Scheduler) leavesHeadroom(j *job, need model.Size) bool {
	c := j.shape.share.class
	if s.kept[c.urgency] == 0 {
		return true
	}
	var held model.Size
	for i := range s.classes {
		held = held.Plus(s.classes[i].held)
	}
	return !s.aboveOwnFloor(c, need) || s.portion(held.Plus(need)) <= 1-s.kept[c.urgency]
}

func (s *Scheduler) aboveOwnFloor(c *class, need model.Size) bool {
	return s.portion(c.held.Plus(need))*100 > float64(floorPercent[c.urgency])
}

// updateHeadroom renews the rates and the room that each class leaves to the others.
func (s *Scheduler) updateHeadroom(now clock.Millis) {
	took := now - s.headroomAt
	if took <= 0 {
		return
	}
	s.headroomAt = now
	for i := range s.classes {
		c := &s.classes[i]
		recent := c.begun * float64(clock.Second) / float64(took)
		c.rate += (recent - c.rate) * min(1, float64(took)/float64(rateTime))
		c.begun, c.demand = 0, 0
	}
	for _, sh := range s.list {
		if sh.waiting == 0 || sh.reason != "" || (sh.state == shapeBlocked && sh.why != blockedRoom) {
			continue
		}
		sh.share.class.demand += float64(sh.waiting) * s.portion(sh.kind.need(sh.key.size))
	}
	for i := range s.classes {
		s.kept[i] = 0
		for k := range s.classes {
			if k != i {
				s.kept[i] += s.entitled(&s.classes[k])
			}
		}
	}
}

// entitled is the share of the capacity that a class wants and has not, up to its floor.
func (s *Scheduler) entitled(c *class) float64 {
	wanted := c.demand + c.rate*float64(aheadTime)/float64(clock.Second)
	missing := float64(floorPercent[c.urgency])/100 - s.portion(c.held)
	return max(0, min(wanted, missing))
}
