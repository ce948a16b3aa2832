package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// sampleWindow is the number of most recent tasks of a kind whose measurements are kept.
const sampleWindow = 32

// kindKey identifies a kind. It includes the declared size, because a change of the declared size
// usually comes with a change of the work.
type kindKey struct {
	team model.Team
	name string
	size model.Size
}

// kind holds the measurements of tasks with the same team, name and declared size. The estimate is
// the largest use in the sample window, which for 32 samples is about the 97th percentile.
type kind struct {
	key          kindKey
	samples      [sampleWindow]model.Size
	runTimes     [sampleWindow]clock.Millis
	sampleCount  int // tasks measured so far
	runTimeCount int
	maxUsage     model.Size
	minUsage     model.Size
	maxRunTime   clock.Millis
	unmeasured   int // unmeasured tasks that were placed while the kind had no estimate
	jobCount     int
	lastUsed     clock.Millis
}

// addSample adds the use of another task.
func (k *kind) addSample(use model.Size) {
	k.samples[k.sampleCount%sampleWindow] = use
	k.sampleCount++
	k.maxUsage, k.minUsage = use, use
	for _, u := range k.samples[:min(k.sampleCount, sampleWindow)] {
		k.maxUsage = k.maxUsage.Max(u)
		k.minUsage = minSize(k.minUsage, u)
	}
}

// raiseLatestSample raises the latest sample if a task that was sampled before now uses more than
// every sample in the window.
func (k *kind) raiseLatestSample(use model.Size) {
	if k.sampleCount == 0 || use.FitsIn(k.maxUsage) {
		return
	}
	newest := &k.samples[(k.sampleCount-1)%sampleWindow]
	*newest = newest.Max(use)
	k.maxUsage = k.maxUsage.Max(use)
}

func (k *kind) addRunTime(t clock.Millis) {
	k.runTimes[k.runTimeCount%sampleWindow] = t
	k.runTimeCount++
	k.maxRunTime = 0
	for _, u := range k.runTimes[:min(k.runTimeCount, sampleWindow)] {
		k.maxRunTime = max(k.maxRunTime, u)
	}
}

// hasEstimate reports whether the kind has enough samples for its estimate to replace the scaled
// declared size.
func (k *kind) hasEstimate() bool {
	if k.sampleCount < minSamples {
		return false
	}
	if k.sampleCount >= wideSpreadSamples {
		return true
	}
	wide := int64(k.maxUsage.CPU)*100 > int64(k.minUsage.CPU)*wideSpreadPercent ||
		int64(k.maxUsage.Memory)*100 > int64(k.minUsage.Memory)*wideSpreadPercent
	return !wide
}

// initialCharge returns the charge for a task of the kind whose own use is not measured yet.
func (k *kind) initialCharge(declared model.Size) model.Size {
	if !k.hasEstimate() {
		return scaleSize(declared, priorFactor)
	}
	estimate := k.maxUsage.Percent(100 + marginPercent(k.sampleCount))
	estimate.Accel = declared.Accel
	return estimate
}

// minWorkerSize returns the size that a worker must have for a task of the kind: the largest use in
// the window, or the declared size if the kind has no estimate.
func (k *kind) minWorkerSize(declared model.Size) model.Size {
	if !k.hasEstimate() {
		return declared
	}
	size := k.maxUsage
	size.Accel = declared.Accel
	return size
}

// marginPercent returns the safety margin over the use in n measurements. It shrinks from
// maxMarginPercent towards minMarginPercent as n grows.
func marginPercent(n int) int64 {
	return minMarginPercent + (maxMarginPercent-minMarginPercent)*4/int64(max(n, 1)+3)
}

func minSize(a, b model.Size) model.Size {
	return model.Size{CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), Accel: min(a.Accel, b.Accel)}
}

// chargeFor returns the charge of a placed task: its own use with a margin after minOwnReports
// reports, before that at least the estimate of its kind.
func (s *Scheduler) chargeFor(t *task) model.Size {
	declared := t.job.base.Size
	if t.usageReports == 0 {
		return t.charge
	}
	sampleCount := int(t.usageReports)
	if t.job.kind.hasEstimate() {
		sampleCount += t.job.kind.sampleCount
	}
	own := t.peakUsage.Percent(100 + marginPercent(sampleCount))
	own.Accel = declared.Accel
	if t.usageReports >= minOwnReports || !t.job.kind.hasEstimate() {
		return own
	}
	return own.Max(t.job.kind.initialCharge(declared))
}

// expectedRunTime returns the expected run time of a task. It does not apply to services.
func (j *job) expectedRunTime() clock.Millis {
	switch {
	case j.kind.runTimeCount >= minSamples:
		return j.kind.maxRunTime
	case j.declaredRunTime > 0:
		return j.declaredRunTime
	default:
		return defaultRunTime
	}
}

// expectedEnd returns when a placed task is expected to end, or forever for a service.
func (t *task) expectedEnd(now clock.Millis) clock.Millis {
	if t.job.service {
		return forever
	}
	from := t.startedAt
	if from == 0 {
		from = now
	}
	return from + t.job.expectedRunTime()*clock.Millis(100-t.checkpointPercent)/100
}

const forever clock.Millis = 1 << 60
