package plan

import "vanillabridge/core/clock"

// rank is the scheduling order of a waiting step: by class, then by the latest start plus a delay that
// grows with the priority number of its queue. Class 0 can still meet the objective of its job, class 1 can
// still end within three times the objective, class 2 can do neither. Under overload this keeps steps that
// are late anyway from making others late. The delay lets urgent queues pass the others without starving
// them: a step that has waited longer by the delay comes first.
type rank struct {
	class int
	start clock.Millis
}

func (p *Planner) rankOf(st *step) rank { return p.rankStep(p, st) }

// rankByDue is the order without further features.
func rankByDue(p *Planner, st *step) rank { return p.rankWithLead(st, st.wideGangLead()) }

// rankWithLead ranks a step that counts as due earlier by a lead.
func (p *Planner) rankWithLead(st *step, lead clock.Millis) rank {
	delay := priorityDelay*clock.Millis(min(max(st.job.Queue.Priority, 0), maxDelayedPriority)) - lead
	switch {
	case p.now <= st.latestOnTime:
		return rank{0, st.latestOnTime + delay}
	case p.now <= st.latestUseful:
		return rank{1, st.latestUseful + delay}
	}
	return rank{2, st.latestUseful + delay}
}

// wideGangLead returns how much earlier a gang counts as due because of its width: a wide gang needs more
// time to find room, and fails more often, so it has to begin earlier to be served as often as others.
func (st *step) wideGangLead() clock.Millis {
	if !st.spec.Gang {
		return 0
	}
	return maxWideGangLead * clock.Millis(min(st.spec.Count, widestGang)) / widestGang
}
