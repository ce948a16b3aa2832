package place_test

import (
	"slices"

	"vanillabridge/core/model"
)

type stats struct {
	waits     [3][]float64 // ms from accepted to first start
	turns     []float64    // ms from accepted to done
	goodput   [3]float64   // processor time in core-ms of ended tasks, as declared work
	done      [3]int
	refused   [3]int
	overloads int     // worker steps over the true capacity
	stopped   int     // stops for overload
	thrown    float64 // core-ms of work lost
	used      float64 // sum over samples of used over size in the scarcest dimension, while work waits
	samples   int
	assigns   int
	failed    int
}

func (f *fleet) sample() {
	var used, size model.Size
	for _, w := range f.workers {
		used, size = used.Plus(w.load), size.Plus(w.size)
	}
	used.Accel = 0
	f.stats.used += used.Share(size)
	f.stats.samples++
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	list = slices.Sorted(slices.Values(list))
	return list[int(q*float64(len(list)-1))]
}
