package place_test

import (
	"slices"

	"vanillabridge/core/model"
)

type stats struct {
	waitMillis        [3][]float64 // from accepted to first start, by class
	turnaroundMillis  []float64    // from accepted to done
	goodputCoreMillis [3]float64   // CPU use times run time of done tasks, by class
	doneTasks         [3]int
	refusedTasks      [3]int
	overloadedSteps   int     // worker steps with use above the size of the worker
	stopOrders        int     // orders to stop, for any reason
	lostCoreMillis    float64 // work since the last checkpoint of attempts that did not end as done
	usedShareSum      float64 // sum over samples, taken while tasks wait, of the used fraction in the scarcest dimension
	samples           int
	assigns           int
	failedJobs        int
}

func (f *fleet) sampleUse() {
	var used, size model.Size
	for _, w := range f.workers {
		used, size = used.Plus(w.load), size.Plus(w.size)
	}
	used.Accel = 0
	f.stats.usedShareSum += used.DominantShare(size)
	f.stats.samples++
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	list = slices.Sorted(slices.Values(list))
	return list[int(q*float64(len(list)-1))]
}
