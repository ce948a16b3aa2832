package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// window is the number of tasks of a kind that are remembered.
const window = 32

// kindKey names a kind. The declared size is part of it, because an operator who changes it mostly
// changes the work too.
type kindKey struct {
	team model.Team
	name string
	size model.Size
}

// kind holds what was learned of the tasks of one piece of work. Its estimate is the largest use
// among the last tasks: with a window of 32 that is about the 97th percentile.
type kind struct {
	key        kindKey
	samples    [window]model.Size
	times      [window]clock.Millis
	count      int // tasks measured, ever
	timed      int
	high       model.Size
	low        model.Size
	long       clock.Millis
	unmeasured int // tasks on workers without evidence, while the kind has none
	jobs       int
	used       clock.Millis
}

// observe adds the use of one more task.
func (k *kind) observe(use model.Size) {
	k.samples[k.count%window] = use
	k.count++
	k.high, k.low = use, use
	for _, u := range k.samples[:min(k.count, window)] {
		k.high = k.high.Max(u)
		k.low = least(k.low, u)
	}
}

// raise notes that a task already counted used more than any in the window.
func (k *kind) raise(use model.Size) {
	if k.count == 0 || use.Fits(k.high) {
		return
	}
	newest := &k.samples[(k.count-1)%window]
	*newest = newest.Max(use)
	k.high = k.high.Max(use)
}

func (k *kind) observeTime(t clock.Millis) {
	k.times[k.timed%window] = t
	k.timed++
	k.long = 0
	for _, u := range k.times[:min(k.timed, window)] {
		k.long = max(k.long, u)
	}
}

// proved reports whether the learned use replaces the prior.
func (k *kind) proved() bool {
	if k.count < minSamples {
		return false
	}
	if k.count >= spreadSamples {
		return true
	}
	wide := int64(k.high.CPU)*100 > int64(k.low.CPU)*spreadPercent ||
		int64(k.high.Memory)*100 > int64(k.low.Memory)*spreadPercent
	return !wide
}

// need returns the charge for a task of the kind before it is measured.
func (k *kind) need(declared model.Size) model.Size {
	if !k.proved() {
		return scaled(declared, priorFactor)
	}
	learned := k.high.Percent(100 + margin(k.count))
	learned.Accel = declared.Accel
	return learned
}

// base returns the size that a worker must have for a task of the kind: the declared one without
// evidence, else the largest one seen.
func (k *kind) base(declared model.Size) model.Size {
	if !k.proved() {
		return declared
	}
	high := k.high
	high.Accel = declared.Accel
	return high
}

// margin shrinks from marginFirst to marginLast percent with the amount of evidence.
func margin(n int) int64 {
	return marginLast + (marginFirst-marginLast)*4/int64(max(n, 1)+3)
}

func least(a, b model.Size) model.Size {
	return model.Size{CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), Accel: min(a.Accel, b.Accel)}
}

// charge returns what a placed task counts for: its own use once that is known well, else the
// estimate of its kind.
func (s *Scheduler) charge(t *task) model.Size {
	declared := t.job.base.Size
	if t.reports == 0 {
		return t.charge
	}
	evidence := int(t.reports)
	if t.job.kind.proved() {
		evidence += t.job.kind.count
	}
	own := t.peak.Percent(100 + margin(evidence))
	own.Accel = declared.Accel
	if t.reports >= ownReports || !t.job.kind.proved() {
		return own
	}
	return own.Max(t.job.kind.need(declared))
}

// duration returns the expected run time of a task; a service has none.
func (j *job) duration() clock.Millis {
	switch {
	case j.kind.timed >= minSamples:
		return j.kind.long
	case j.time > 0:
		return j.time
	default:
		return defaultTime
	}
}

// end returns when a placed task is expected to end.
func (t *task) end(now clock.Millis) clock.Millis {
	if t.job.service {
		return forever
	}
	from := t.started
	if from == 0 {
		from = now
	}
	return from + t.job.duration()*clock.Millis(100-t.saved)/100
}

const forever clock.Millis = 1 << 60
