package place

import (
	"cmp"

	"vanillabridge/core/clock"
	"vanillabridge/core/expect"
	"vanillabridge/core/model"
)

// sampleWindow is the number of most recent tasks of a kind whose measurements are kept.
const sampleWindow = 32

// runTimePercentile is the percentage of the tasks of a kind whose run time is at most the expected one.
const runTimePercentile = 97

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
	sampleCount  int // tasks measured so far
	maxUsage     model.Size
	minUsage     model.Size
	runTimes     expect.Spread // relative to the declared ones, or else to firstRunTime
	firstRunTime clock.Millis
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

// addRunTime adds the run time of a task to those of its kind.
func (j *job) addRunTime(t clock.Millis) {
	if j.kind.firstRunTime == 0 {
		j.kind.firstRunTime = t
	}
	j.kind.runTimes.Add(t, cmp.Or(j.declaredRunTime, j.kind.firstRunTime))
}

// expectedRunTime returns a run time that few tasks exceed: backfill must not delay a reservation. It does not apply
// to services.
func (j *job) expectedRunTime() clock.Millis {
	if j.kind.runTimes.Runs() < minSamples {
		return cmp.Or(j.declaredRunTime, defaultRunTime)
	}
	return j.kind.runTimes.Scale(cmp.Or(j.declaredRunTime, j.kind.firstRunTime), runTimePercentile)
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
