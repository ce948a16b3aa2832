package expect

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"vanillabridge/core/clock"
)

const (
	// ratioUnit is the ratio 1 in a Spread. Ratios from 1/32 to 128 are told apart.
	ratioUnit = 32
	maxRatio  = 128 * ratioUnit
	// ratioDigits is the number of significant decimal digits of a ratio.
	ratioDigits = 1
	// maxSpreadRuns is the number of ratios at which the weight of the earlier ones is halved.
	maxSpreadRuns = 128
)

// Spread is the distribution of the ratios of actual to predicted run times. The zero value is empty. Earlier ratios
// lose weight as others come.
type Spread struct{ histogram *hdrhistogram.Histogram }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRatio, ratioDigits)
}

// Add adds the ratio of an actual to a predicted run time.
func (s *Spread) Add(actual, predicted clock.Millis) {
	if s.histogram == nil {
		s.histogram = newHistogram()
	}
	predicted = max(predicted, 1)
	_ = s.histogram.RecordValue(int64(min(max((actual*ratioUnit+predicted/2)/predicted, 1), maxRatio))) // within the range
	if s.histogram.TotalCount() >= maxSpreadRuns {
		snapshot := s.histogram.Export()
		for i := range snapshot.Counts {
			snapshot.Counts[i] /= 2
		}
		s.histogram = hdrhistogram.Import(snapshot)
	}
}

// Runs returns the weight of the ratios in numbers of runs.
func (s *Spread) Runs() int {
	if s.histogram == nil {
		return 0
	}
	return int(s.histogram.TotalCount())
}

// Scale returns a predicted run time multiplied by the ratio below which the given percentage of the runs lie.
func (s *Spread) Scale(predicted clock.Millis, percentile int) clock.Millis {
	if s.histogram == nil {
		return predicted
	}
	return predicted * clock.Millis(s.histogram.ValueAtPercentile(float64(percentile))) / ratioUnit
}

// counts returns the counts of the distribution as pairs of an index and a count above 0.
func (s *Spread) counts() []int64 {
	if s.histogram == nil {
		return nil
	}
	var list []int64
	for i, n := range s.histogram.Export().Counts {
		if n > 0 {
			list = append(list, int64(i), n)
		}
	}
	return list
}

func spreadOf(counts []int64) Spread {
	if len(counts) == 0 {
		return Spread{}
	}
	snapshot := newHistogram().Export()
	for i := 0; i+1 < len(counts); i += 2 {
		if counts[i] >= 0 && counts[i] < int64(len(snapshot.Counts)) {
			snapshot.Counts[counts[i]] = counts[i+1]
		}
	}
	return Spread{hdrhistogram.Import(snapshot)}
}
