package worker

import (
	"hash/fnv"
	"math"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// maxFactor bounds how far true sizes and run times are off the declared ones.
const maxRatio = 4

// throttleDivisor is how much slower a throttled task runs.
const throttleDivisor = 2

// task is a running fake task.
type task struct {
	assigned         proto.Assigned
	unthrottledUsage model.Size   // true use without throttling
	runTime          clock.Millis // true run time without throttling; 0 for a service
	progress         clock.Millis // run time that is behind it
	elapsed          clock.Millis // time since its start on this worker
	throttled        bool
	savedPercent     int
}

func newTask(a proto.Assigned, sizes, times ratios) *task {
	work := a.Work.Work()
	t := &task{assigned: a, savedPercent: a.Saved}
	if work == nil {
		return t
	}
	t.unthrottledUsage = scaleSize(work.Common().Size, sizes.forTask(a.Task))
	declared := clock.Millis(0)
	switch w := work.(type) {
	case model.Batch:
		declared = w.Time
	case model.Gang:
		declared = w.Time
	case model.Service:
	}
	t.runTime = clock.Millis(float64(declared) * times.forTask(a.Task))
	t.progress = t.runTime.Percent(int64(a.Saved))
	return t
}

// kind names the kind of work of a task for the journal.
func (t *task) kind() string {
	switch t.assigned.Work.Work().(type) {
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

// usage is the true use at this moment: a throttled task takes less processor, not less memory.
func (t *task) currentUsage() model.Size {
	use := t.unthrottledUsage
	if t.throttled {
		use.CPU /= throttleDivisor
	}
	return use
}

// advance lets d pass and reports whether the task has reached its end.
func (t *task) advance(d clock.Millis) bool {
	t.elapsed += d
	if t.throttled {
		d /= throttleDivisor
	}
	t.progress += d
	return t.runTime > 0 && t.progress >= t.runTime
}

func (t *task) saveProgress() {
	if t.runTime > 0 {
		t.savedPercent = int(min(t.progress*100/t.runTime, 100))
	}
}

// factors gives the ratio of true to declared values.
type ratios struct {
	fixed float64 // 0 draws a factor by job
	seed  uint64
}

// of returns the factor of a task. All tasks of a job have nearly the same one, because real
// tasks of a kind resemble each other; the scheduler learns from that.
func (f ratios) forTask(id model.TaskID) float64 {
	if f.fixed > 0 {
		return f.fixed
	}
	name, _ := id.Job.Split()
	jobRatio := math.Pow(maxRatio, 2*f.hashToUnit(name)-1)
	taskVariation := 0.95 + 0.1*f.hashToUnit(id.String())
	return min(max(jobRatio*taskVariation, 1.0/maxRatio), maxRatio)
}

// draw returns a number in [0, 1) that depends on the seed and the text alone.
func (f ratios) hashToUnit(text string) float64 {
	h := fnv.New64a()
	for i := range 8 {
		_, _ = h.Write([]byte{byte(f.seed >> (8 * i))})
	}
	_, _ = h.Write([]byte(text))
	x := h.Sum64()
	// The high bits of an FNV hash barely depend on the last bytes.
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return float64(x>>11) / (1 << 53)
}

func scaleSize(s model.Size, f float64) model.Size {
	return model.Size{
		CPU:    model.Millicores(math.Ceil(float64(s.CPU) * f)),
		Memory: model.Mebibytes(math.Ceil(float64(s.Memory) * f)),
		Accel:  s.Accel,
	}
}
