package expect

import (
	"cmp"
	"slices"
)

const (
	// minPoolTeams is the number of teams from which on a queue says something about another team: with fewer, one
	// that declares false estimates could move the forecasts of the others.
	minPoolTeams = 3
	// minOffsetRuns and minSlopeRuns are the numbers of runs from which on a kind counts for the offset and the slope
	// of its pool, maxPoolRuns the weight of its runs at most.
	minOffsetRuns = 2
	minSlopeRuns  = 6
	maxPoolRuns   = 8
	// memberSquares is the weight of the declared slope among those of a pool. It is small, because the median needs
	// values without a common bias.
	memberSquares = octave * octave / 2
	// poolInterval is the number of runs after which a pool is computed again.
	poolInterval = 32
)

// pool is what the kinds of all teams in a queue have in common. It follows from the records and is not part of the
// state. Medians over the teams keep a minority of them from moving it beyond the values of the others.
type pool struct {
	line  line
	teams int // 0 if there are too few
	// computedAt is the number of runs in the book when the pool was computed.
	computedAt uint64
}

func poolKey(k Kind) Kind { return Kind{Queue: k.Queue, Gang: k.Gang, Undeclared: k.Undeclared} }

// pool returns the pool of a kind.
func (b *Book) pool(k Kind) pool {
	key := poolKey(k)
	if p, ok := b.pools[key]; ok && b.runs-p.computedAt < poolInterval {
		return p
	}
	p := b.computePool(key)
	b.pools[key] = p
	return p
}

type weighted struct{ value, weight int64 }

func (b *Book) computePool(key Kind) pool {
	p := pool{computedAt: b.runs}
	var members []trend // the kind with most runs of each team
	for _, kinds := range b.teams {
		var best *record
		for k, r := range kinds {
			if poolKey(k) == key && r.trend.N >= minOffsetRuns && (best == nil || r.precedes(best)) {
				best = r
			}
		}
		if best != nil {
			members = append(members, best.trend)
		}
	}
	if len(members) < minPoolTeams {
		return p
	}
	p.teams = len(members)
	var slopes, offsets []weighted
	for _, t := range members {
		if t.N >= minSlopeRuns {
			slopes = append(slopes, weighted{t.slope(slopeUnit, memberSquares), min(t.N, maxPoolRuns)})
		}
	}
	p.line.slope = key.prior().slope
	if len(slopes) >= minPoolTeams {
		p.line.slope = median(slopes)
	}
	for _, t := range members {
		offsets = append(offsets, weighted{(t.Y - t.X*p.line.slope/slopeUnit) / t.N, min(t.N, maxPoolRuns)})
	}
	p.line.y = median(offsets)
	return p
}

// precedes reports whether a record says more about its team than another one of that team.
func (r *record) precedes(other *record) bool {
	return cmp.Or(cmp.Compare(other.trend.N, r.trend.N), cmp.Compare(other.lastRun, r.lastRun)) < 0
}

// median returns the weighted median.
func median(list []weighted) int64 {
	slices.SortFunc(list, func(a, b weighted) int { return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.weight, b.weight)) })
	total := int64(0)
	for _, v := range list {
		total += v.weight
	}
	sum := int64(0)
	for _, v := range list {
		if sum += v.weight; 2*sum >= total {
			return v.value
		}
	}
	return 0
}
