package place

import (
	"slices"

	"vanillabridge/core/model"
	"vanillabridge/core/share"
)

// capacityShare returns the fraction of the capacity that an amount takes, in the scarcer of CPU and
// memory. Accelerators do not count, because a class that holds all of them must not be ranked behind
// the others for work without accelerators.
func (s *Scheduler) capacityShare(amount model.Size) float64 {
	amount.Accel = 0
	return amount.DominantShare(s.capacity)
}

// classRank ranks classes below their floor by urgency, and the others by the ratio of their capacity
// share to their floor.
func (s *Scheduler) classRank(c *class) share.Rank {
	ratio := s.capacityShare(c.charged) * 100 / float64(floorPercent[c.urgency])
	if ratio < 1 {
		return share.BelowFloor(float64(model.Urgent - c.urgency))
	}
	return share.AboveFloor(ratio)
}

// teamRank ranks the teams of a class by the capacity share of their tasks in the class: relative to
// their floor if below it, else relative to their quota.
func (s *Scheduler) teamRank(p *teamClass) share.Rank {
	held := s.capacityShare(p.charged)
	floor := float64(p.team.quota.FloorPercent) / 100 * float64(floorPercent[p.class.urgency]) / 100
	return share.RankOf(held, floor, s.teamWeight(p.team))
}

// teamWeight returns the team's quota as a fraction of the capacity; a team without a quota has a
// weight of a tenth.
func (s *Scheduler) teamWeight(t *team) float64 {
	const defaultWeight = 0.1
	if w := s.capacityShare(t.quota.Limit); w > 0 {
		return w
	}
	return defaultWeight
}

// nextShape removes the ready shape that is scheduled next from its heap and returns it, or nil.
func (s *Scheduler) nextShape() *shape {
	for _, c := range s.rankedClasses() {
		if p := s.nextTeamClass(c, func(p *teamClass) bool { return !p.ready.empty() }); p != nil {
			sh := p.ready.pop()
			sh.state = shapeIdle
			return sh
		}
	}
	return nil
}

// rankedClasses returns the classes in the order in which they are scheduled.
func (s *Scheduler) rankedClasses() [3]*class {
	list := [3]*class{&s.classes[model.Urgent], &s.classes[model.Normal], &s.classes[model.Low]}
	var ranks [3]share.Rank
	for i := range s.classes {
		ranks[i] = s.classRank(&s.classes[i])
	}
	slices.SortStableFunc(list[:], func(a, b *class) int {
		switch x, y := ranks[a.urgency], ranks[b.urgency]; {
		case x.Before(y):
			return -1
		case y.Before(x):
			return 1
		default:
			return 0
		}
	})
	return list
}

func (s *Scheduler) nextTeamClass(c *class, ok func(*teamClass) bool) *teamClass {
	if c.waitingTasks == 0 {
		return nil
	}
	var best *teamClass
	var rank share.Rank
	for _, p := range c.teams {
		if p.waitingTasks == 0 || !ok(p) {
			continue
		}
		if r := s.teamRank(p); best == nil || r.Before(rank) {
			best, rank = p, r
		}
	}
	return best
}

// withinQuota reports whether the quota allows the team n more tasks of the declared size.
func (t *team) withinQuota(size model.Size, n int) bool {
	total := t.declared.Plus(size.Times(int64(n)))
	l := t.quota.Limit
	return (l.CPU == 0 || total.CPU <= l.CPU) && (l.Memory == 0 || total.Memory <= l.Memory) &&
		(l.Accel == 0 || total.Accel <= l.Accel)
}

func (s *Scheduler) setQuotas(e Quotas) {
	s.quotas = e.Teams
	for _, t := range s.teams {
		t.quota = e.Teams[t.name]
	}
	s.fleetChanged = true
}
