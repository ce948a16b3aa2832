package expect

import (
	"cmp"
	"slices"

	"vanillabridge/core/clock"
)

const (
	// maxTrendRuns is the number of runs at which the weight of the earlier ones is halved.
	maxTrendRuns = 32
	// minClipRuns is the number of runs from which on one that lies further than maxDeviation from the
	// prediction counts as if it lay there: a few runs take many times as long as the others.
	minClipRuns  = 4
	maxDeviation = octave * 3 / 2
	// A kind has changed once the deviations of its runs in one direction, each less allowedDrift, add up to maxDrift
	// (a cumulative sum). What was learned before then keeps the weight of driftRuns runs.
	allowedDrift = octave / 2
	maxDrift     = octave * 3
	driftRuns    = 1
	// minSpreadRuns is the number of runs from which on the spread of a kind replaces the assumed one: a factor of
	// assumedSpread / 100.
	minSpreadRuns = 8
	assumedSpread = 200
	highPercent   = 90
	// maxKindsPerTeam bounds the kinds of a team in a book: callers choose the names of images.
	maxKindsPerTeam = 64
)

// Kind identifies tasks that are expected to behave alike.
type Kind struct {
	_     struct{} `cbor:",toarray"`
	Queue string   // the endpoint of the queue
	// Team is the team that submits the tasks; the runs of one team say nothing certain about those of another.
	Team  string
	Image string
	Gang  bool
	// Undeclared is set if the tasks declare no estimate.
	Undeclared bool
}

// Entry is what is known of a kind, in the form for snapshots.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	Trend trend
	// Above and Below are the cumulative sums of the deviations in either direction.
	Above, Below int64
	// LastRun is the number of the last run of the kind among those of the book.
	LastRun uint64
	Spread  []int64
}

type record struct {
	trend        trend
	above, below int64 // cumulative sums of the deviations
	lastRun      uint64
	spread       Spread
}

// Book holds what is known of all kinds. It is not safe for concurrent use.
type Book struct {
	teams map[string]map[Kind]*record
	runs  uint64
	pools map[Kind]pool
}

// New returns an empty book.
func New() *Book { return &Book{teams: map[string]map[Kind]*record{}, pools: map[Kind]pool{}} }

// IsEmpty reports whether nothing was observed.
func (b *Book) IsEmpty() bool { return len(b.teams) == 0 }

// Kinds returns the number of kinds in the book.
func (b *Book) Kinds() int {
	n := 0
	for _, kinds := range b.teams {
		n += len(kinds)
	}
	return n
}

// Observe records that a step of a kind with a declared estimate took the given time.
func (b *Book) Observe(k Kind, declared, actual clock.Millis) {
	b.runs++
	kinds := b.teams[k.Team]
	if kinds == nil {
		kinds = map[Kind]*record{}
		b.teams[k.Team] = kinds
	}
	r := kinds[k]
	if r == nil {
		if len(kinds) >= maxKindsPerTeam {
			delete(kinds, oldest(kinds))
		}
		r = &record{}
		kinds[k] = r
	}
	r.lastRun = b.runs
	r.observe(k.prior(), log2(declared), log2(actual))
}

// prior returns what is assumed of the kind before it has runs.
func (k Kind) prior() prior {
	if k.Undeclared {
		return undeclaredPrior
	}
	return declaredPrior
}

// oldest returns the kind without a run for the longest time.
func oldest(kinds map[Kind]*record) Kind {
	var first Kind
	lastRun := uint64(0)
	for k, r := range kinds {
		if lastRun == 0 || r.lastRun < lastRun {
			first, lastRun = k, r.lastRun
		}
	}
	return first
}

func (r *record) observe(p prior, x, y int64) {
	if r.trend.N > 0 {
		predicted := r.trend.line(p).at(x)
		r.spread.Add(exp2(y), exp2(predicted))
		clipped := min(max(y-predicted, -maxDeviation), maxDeviation)
		r.above, r.below = max(r.above+clipped-allowedDrift, 0), max(r.below-clipped-allowedDrift, 0)
		if max(r.above, r.below) >= maxDrift {
			r.trend.shrink(driftRuns)
			r.above, r.below, r.spread = 0, 0, Spread{}
		} else if r.trend.N >= minClipRuns {
			y = predicted + clipped
		}
	}
	r.trend.add(x, max(y, 0))
	if r.trend.N >= maxTrendRuns {
		r.trend.shrink(maxTrendRuns / 2)
	}
}

// Forecast is a predicted run time.
type Forecast struct {
	// Typical is the run time that about half of the runs exceed, High the one that one in ten exceeds.
	Typical, High clock.Millis
	// Runs is the number of runs of the kind that the forecast rests on, at most some tens, and Teams the number of
	// teams whose runs in the same queue it rests on besides. With neither, Typical is the declared estimate.
	Runs, Teams int
}

// Forecast predicts the run time of a step of a kind with a declared estimate.
func (b *Book) Forecast(k Kind, declared clock.Millis) Forecast {
	r := b.teams[k.Team][k]
	common := b.pool(k)
	if r == nil && common.teams == 0 {
		return Forecast{Typical: declared, High: declared * assumedSpread / 100}
	}
	if r == nil {
		r = &record{}
	}
	f := Forecast{Runs: int(r.trend.N), Teams: common.teams}
	p := k.prior()
	if common.teams > 0 {
		p = pooledPrior
		p.line = common.line
	}
	f.Typical = exp2(r.trend.line(p).at(log2(declared)))
	if f.High = f.Typical * assumedSpread / 100; r.spread.Runs() >= minSpreadRuns {
		f.High = max(f.Typical, r.spread.Scale(f.Typical, highPercent))
	}
	return f
}

// Entries returns the contents of the book in a fixed order.
func (b *Book) Entries() []Entry {
	var list []Entry
	for _, kinds := range b.teams {
		for k, r := range kinds {
			list = append(list, Entry{Kind: k, Trend: r.trend, Above: r.above, Below: r.below, LastRun: r.lastRun, Spread: r.spread.counts()})
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.LastRun, b.LastRun) })
	return list
}

// Restore returns a book with the given contents.
func Restore(list []Entry) *Book {
	b := New()
	for _, e := range list {
		if b.teams[e.Kind.Team] == nil {
			b.teams[e.Kind.Team] = map[Kind]*record{}
		}
		b.teams[e.Kind.Team][e.Kind] = &record{trend: e.Trend, above: e.Above, below: e.Below, lastRun: e.LastRun, spread: spreadOf(e.Spread)}
		b.runs = max(b.runs, e.LastRun)
	}
	return b
}
