package place

import (
	"fmt"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// updateFeasibility determines whether the shape can be placed on the workers of the zone, and emits
// Impossible or Possible for the jobs for which this changes.
func (s *Scheduler) updateFeasibility(now clock.Millis, sh *shape) {
	sh.infeasible = s.infeasibleReason(now, sh)
	if sh.infeasible == "" {
		s.makeReady(sh)
	}
	if (sh.infeasible != "") == sh.reportedImpossible && !sh.hasNewJobs {
		return
	}
	sh.reportedImpossible, sh.hasNewJobs = sh.infeasible != "", false
	for _, j := range sh.sortedJobs() {
		switch {
		case sh.reportedImpossible && !j.reportedImpossible:
			s.emit(Impossible{Job: j.id, Reason: sh.infeasible})
		case !sh.reportedImpossible && j.reportedImpossible:
			s.emit(Possible{Job: j.id})
		}
		j.reportedImpossible = sh.reportedImpossible
	}
}

func (s *Scheduler) infeasibleReason(now clock.Millis, sh *shape) string {
	size, count := sh.key.size, max(1, sh.key.count)
	if sh.key.zoneExcluded {
		return fmt.Sprintf("zone %s is not among the zones of the job", s.config.Zone)
	}
	idleTeam := team{quota: sh.teamClass.team.quota}
	if !idleTeam.withinQuota(size, count) {
		return fmt.Sprintf("%d tasks of %s exceed the quota of team %s (%s)", count, size, sh.key.team, idleTeam.quota.Limit)
	}
	if now < s.startedAt+settleTime {
		return ""
	}
	base := sh.kind.minWorkerSize(size)
	n := s.countFleetSlots(base, base, count)
	switch {
	case n >= count:
		return ""
	case n == 0 && base != size:
		return fmt.Sprintf("a task uses %s, which exceeds the size of every worker", base)
	case n == 0:
		return fmt.Sprintf("a task needs %s, which exceeds the size of every worker", base)
	default:
		return fmt.Sprintf("the gang has %d tasks of %s, but the workers have capacity for only %d", count, base, n)
	}
}

// countFleetSlots returns how many tasks the workers could run if all were idle, at most limit. A
// task needs a worker of size base and is charged need.
func (s *Scheduler) countFleetSlots(need, base model.Size, limit int) int {
	sum := 0
	for size, count := range s.workersBySize {
		if base.FitsIn(size) {
			w := worker{usable: usableSize(size)}
			sum += count * min(limit, countFits(w.usable, clampCharge(need, &w)))
		}
	}
	return min(sum, limit)
}

// updateAllFeasibility checks all shapes after a change of the workers or the quotas.
func (s *Scheduler) updateAllFeasibility(now clock.Millis) {
	s.fleetChanged = false
	for _, sh := range s.shapeList {
		s.updateFeasibility(now, sh)
	}
}
