package worker

import (
	"hash/fnv"
	"math"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// maxRatio bounds the random ratio of actual to declared usage or run time: it lies between 1/maxRatio
// and maxRatio.
const maxRatio = 4

// throttleDivisor divides the speed and the processor usage of a throttled task.
const throttleDivisor = 2

// task is a simulated task, which runs as a timer.
type task struct {
	assigned          proto.AssignedTask
	unthrottledUsage  model.Size   // actual usage while the task is not throttled
	runTime           clock.Millis // actual run time without throttling; 0 for a service
	progress          clock.Millis // completed part of runTime, including that of earlier attempts
	elapsed           clock.Millis // time since the start of the task on this worker
	throttled         bool
	checkpointPercent int // progress at the last checkpoint
}

// newTask returns a simulated task whose actual usage and run time differ from the declared ones by the
// given ratios. It resumes from the last checkpoint.
func newTask(a proto.AssignedTask, usageRatios, runTimeRatios ratios) *task {
	work := a.Work.Decode()
	t := &task{assigned: a, checkpointPercent: a.CheckpointPercent}
	if work == nil {
		return t
	}
	t.unthrottledUsage = scaleSize(work.Common().Size, usageRatios.forTask(a.Task))
	declared := clock.Millis(0)
	switch w := work.(type) {
	case model.Batch:
		declared = w.Time
	case model.Gang:
		declared = w.Time
	case model.Service:
	}
	t.runTime = clock.Millis(float64(declared) * runTimeRatios.forTask(a.Task))
	t.progress = t.runTime.Percent(int64(a.CheckpointPercent))
	return t
}

// kind returns the kind of work of the task as it is recorded in the journal.
func (t *task) kind() string {
	switch t.assigned.Work.Decode().(type) {
	case model.Service:
		return "service"
	case model.Batch:
		return "batch"
	case model.Gang:
		return "gang"
	default:
		return ""
	}
}

// currentUsage returns the actual usage: throttling reduces the processor usage, but not the memory.
func (t *task) currentUsage() model.Size {
	usage := t.unthrottledUsage
	if t.throttled {
		usage.CPU /= throttleDivisor
	}
	return usage
}

// advance lets the task run for d and reports whether it has completed.
func (t *task) advance(d clock.Millis) bool {
	t.elapsed += d
	if t.throttled {
		d /= throttleDivisor
	}
	t.progress += d
	return t.runTime > 0 && t.progress >= t.runTime
}

// saveProgress takes a checkpoint: it saves the progress in percent of the run time.
func (t *task) saveProgress() {
	if t.runTime > 0 {
		t.checkpointPercent = int(min(t.progress*100/t.runTime, 100))
	}
}

// ratios gives the ratio of actual to declared values for each task.
type ratios struct {
	fixed float64 // ratio of all tasks; 0 gives each job a random ratio
	seed  uint64
}

// forTask returns the ratio of a task. All tasks and runs of a job have similar ratios, since real tasks
// of one kind resemble each other and the scheduler learns from earlier ones.
func (f ratios) forTask(id model.TaskID) float64 {
	if f.fixed > 0 {
		return f.fixed
	}
	name, _ := id.Job.Split()
	jobRatio := math.Pow(maxRatio, 2*f.hashToUnit(name)-1)
	taskVariation := 0.95 + 0.1*f.hashToUnit(id.String())
	return min(max(jobRatio*taskVariation, 1.0/maxRatio), maxRatio)
}

// hashToUnit returns a pseudo-random number in [0, 1) that depends only on the seed and text.
func (f ratios) hashToUnit(text string) float64 {
	h := fnv.New64a()
	for i := range 8 {
		_, _ = h.Write([]byte{byte(f.seed >> (8 * i))})
	}
	_, _ = h.Write([]byte(text))
	x := h.Sum64()
	// The high bits of an FNV hash hardly depend on the last bytes of its input, so the hash is mixed.
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return float64(x>>11) / (1 << 53)
}

// scaleSize multiplies processor and memory by f, rounded up. Accelerators are not scaled.
func scaleSize(s model.Size, f float64) model.Size {
	return model.Size{
		CPU:    model.Millicores(math.Ceil(float64(s.CPU) * f)),
		Memory: model.Mebibytes(math.Ceil(float64(s.Memory) * f)),
		Accel:  s.Accel,
	}
}
