package place

import (
	"fmt"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// check finds out whether the shape fits any worker and tells its jobs of a change.
func (s *Scheduler) check(now clock.Millis, sh *shape) {
	sh.reason = s.impossible(now, sh)
	if sh.reason == "" {
		s.activate(sh)
	}
	if (sh.reason != "") == sh.told && !sh.fresh {
		return
	}
	sh.told, sh.fresh = sh.reason != "", false
	for _, j := range sh.sortedJobs() {
		switch {
		case sh.told && !j.impossible:
			s.emit(Impossible{Job: j.id, Reason: sh.reason})
		case !sh.told && j.impossible:
			s.emit(Possible{Job: j.id})
		}
		j.impossible = sh.told
	}
}

func (s *Scheduler) impossible(now clock.Millis, sh *shape) string {
	size, count := sh.key.size, max(1, sh.key.count)
	if sh.key.outside {
		return fmt.Sprintf("zone %s is not among the zones of the job", s.config.Zone)
	}
	none := team{quota: sh.share.team.quota}
	if !none.withinQuota(size, count) {
		return fmt.Sprintf("%d tasks of %s exceed the quota of team %s (%s)", count, size, sh.key.team, none.quota.Limit)
	}
	if now < s.born+settle {
		return ""
	}
	base := sh.kind.base(size)
	n := s.fleetSlots(base, base, count)
	switch {
	case n >= count:
		return ""
	case n == 0 && base != size:
		return fmt.Sprintf("a task uses %s, and no worker has as much", base)
	case n == 0:
		return fmt.Sprintf("a task needs %s, and no worker has as much", base)
	default:
		return fmt.Sprintf("the gang has %d tasks of %s, and the workers have room for %d", count, base, n)
	}
}

// fleetSlots returns how many tasks the empty fleet could hold, counted up to most.
func (s *Scheduler) fleetSlots(need, base model.Size, most int) int {
	sum := 0
	for size, count := range s.sizes {
		if base.Fits(size) {
			w := worker{usable: usable(size)}
			sum += count * min(most, times(w.usable, clamp(need, &w)))
		}
	}
	return min(sum, most)
}

// recheck looks at all shapes after a change of the fleet or the quotas.
func (s *Scheduler) recheck(now clock.Millis) {
	s.fleetChanged = false
	for _, sh := range s.list {
		s.check(now, sh)
	}
}
