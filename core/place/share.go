package place

import (
	"slices"

	"vanillabridge/core/model"
)

// part of the capacity, in the scarcer of processor and memory. Accelerators do not count, because
// a class that holds them all must not lose its turn for other work.
func (s *Scheduler) portion(held model.Size) float64 {
	held.Accel = 0
	return held.Share(s.capacity)
}

// standing orders classes and teams: those below their floor come before the others.
type standing struct {
	above bool
	ratio float64
}

func (a standing) before(b standing) bool {
	if a.above != b.above {
		return b.above
	}
	return a.ratio < b.ratio
}

// classStanding ranks classes below their floor by urgency and the others by held share per floor.
func (s *Scheduler) classStanding(c *class) standing {
	ratio := s.portion(c.held) * 100 / float64(floorPercent[c.urgency])
	if ratio < 1 {
		return standing{ratio: float64(model.Urgent - c.urgency)}
	}
	return standing{above: true, ratio: ratio}
}

// teamStanding ranks the teams of a class by what they hold in it, relative to their floor and to
// their quota.
func (s *Scheduler) teamStanding(p *teamClass) standing {
	held := s.portion(p.held)
	floor := float64(p.team.quota.Floor) / 100 * float64(floorPercent[p.class.urgency]) / 100
	if held < floor {
		return standing{ratio: held / floor}
	}
	return standing{above: true, ratio: held / s.weight(p.team)}
}

// weight is the team's quota as a part of the capacity; a team without one counts like a tenth.
func (s *Scheduler) weight(t *team) float64 {
	const unlimited = 0.1
	if w := s.portion(t.quota.Limit); w > 0 {
		return w
	}
	return unlimited
}

// next returns the shape whose turn it is, taken out of its heap, or nil.
func (s *Scheduler) next() *shape {
	for _, c := range s.ranked() {
		if p := s.nextPart(c, func(p *teamClass) bool { return !p.ready.empty() }); p != nil {
			sh := p.ready.pop()
			sh.state = shapeIdle
			return sh
		}
	}
	return nil
}

// ranked returns the classes in the order in which they have their turn.
func (s *Scheduler) ranked() [3]*class {
	list := [3]*class{&s.classes[model.Urgent], &s.classes[model.Normal], &s.classes[model.Low]}
	var ranks [3]standing
	for i := range s.classes {
		ranks[i] = s.classStanding(&s.classes[i])
	}
	slices.SortStableFunc(list[:], func(a, b *class) int {
		switch x, y := ranks[a.urgency], ranks[b.urgency]; {
		case x.before(y):
			return -1
		case y.before(x):
			return 1
		default:
			return 0
		}
	})
	return list
}

func (s *Scheduler) nextPart(c *class, ok func(*teamClass) bool) *teamClass {
	if c.waiting == 0 {
		return nil
	}
	var best *teamClass
	var rank standing
	for _, p := range c.teams {
		if p.waiting == 0 || !ok(p) {
			continue
		}
		if r := s.teamStanding(p); best == nil || r.before(rank) {
			best, rank = p, r
		}
	}
	return best
}

// withinQuota reports whether the team may hold n more tasks of the declared size.
func (t *team) withinQuota(size model.Size, n int) bool {
	want := t.held.Plus(size.Times(int64(n)))
	l := t.quota.Limit
	return (l.CPU == 0 || want.CPU <= l.CPU) && (l.Memory == 0 || want.Memory <= l.Memory) &&
		(l.Accel == 0 || want.Accel <= l.Accel)
}

func (s *Scheduler) setQuotas(e Quotas) {
	s.quotas = e.Teams
	for _, t := range s.teams {
		t.quota = e.Teams[t.name]
	}
	s.fleetChanged = true
}
