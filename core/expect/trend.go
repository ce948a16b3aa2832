package expect

// slopeUnit is the slope 1 in fixed-point arithmetic.
const slopeUnit = 1 << 16

// maxSlope bounds a slope: an estimate says no more about the run time than that.
const maxSlope = slopeUnit * 5 / 4

// line predicts the logarithm of a run time from that of its estimate.
type line struct{ x, y, slope int64 }

// prior is a line that is assumed before there are runs, with its weight. For the offset it is given in runs, and none is
// left after fadeRuns runs. For the slope it is given as the sum of the squares of the logarithms of the estimates about
// their mean; it is the variance of the deviations from the line divided by that of the slope about the prior one.
type prior struct {
	line
	runs, fadeRuns int64
	squares        int64
}

var (
	// declaredPrior assumes that the estimate is the run time.
	declaredPrior = prior{line: line{slope: slopeUnit}, runs: 1, fadeRuns: 8, squares: 3 * octave * octave}
	// undeclaredPrior is for tasks without an estimate, of which only runs say anything.
	undeclaredPrior = prior{fadeRuns: 1, squares: 3 * octave * octave}
	// pooledPrior is for the line that the teams of a queue have in common.
	pooledPrior = prior{runs: 4, fadeRuns: 16, squares: 40 * octave * octave}
)

func (l line) at(x int64) int64 { return l.y + (x-l.x)*l.slope/slopeUnit }

// trend holds sums over runs: their number, the logarithms x of their estimates and y of their run times, and the
// products of these.
type trend struct {
	_               struct{} `cbor:",toarray"`
	N, X, Y, XX, XY int64
}

func (t *trend) add(x, y int64) {
	t.N++
	t.X += x
	t.Y += y
	t.XX += x * x
	t.XY += x * y
}

// shrink reduces the weight of the runs so far to that of n runs.
func (t *trend) shrink(n int64) {
	if t.N <= n {
		return
	}
	scale := func(v int64) int64 { return v / t.N * n }
	*t = trend{N: n, X: t.X * n / t.N, Y: t.Y * n / t.N, XX: scale(t.XX) + t.XX%t.N*n/t.N, XY: scale(t.XY) + t.XY%t.N*n/t.N}
}

// squares returns the sums of the squares of x and of the products of x and y about their means.
func (t trend) squares() (xx, xy int64) {
	return max((t.N*t.XX-t.X*t.X)/t.N, 0), (t.N*t.XY - t.X*t.Y) / t.N
}

// slope returns the slope of the regression, where a prior slope has the weight of the given sum of squares.
func (t trend) slope(prior, priorSquares int64) int64 {
	xx, xy := t.squares()
	// In units of an octave the sums stay below 2^63 for the largest trend.
	slope := (xy*slopeUnit/octave + priorSquares/octave*prior) / max((xx+priorSquares)/octave, 1)
	return min(max(slope, 0), maxSlope)
}

// line returns the regression with a prior line.
func (t trend) line(p prior) line {
	if t.N == 0 {
		return p.line
	}
	x := t.X / t.N
	weight := max(p.runs-t.N*p.runs/p.fadeRuns, 0)
	return line{x: x, y: (t.Y + weight*p.at(x)) / (t.N + weight), slope: t.slope(p.slope, p.squares)}
}
