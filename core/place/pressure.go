package place

import (
	"cmp"
	"slices"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// taskUsage is a task on a worker with its measured use.
type taskUsage struct {
	task  *task
	usage model.Size
}

// relieveOverload throttles, checkpoints or stops tasks of a worker whose measured use is at least
// throttlePercent: the least urgent first, and no more than needed to get below it.
func (s *Scheduler) relieveOverload(w *worker, use model.Size, list []proto.HeldTask) {
	percent := percentOf(use, w.size)
	wasOverloaded := w.overloaded
	w.overloaded = percent >= throttlePercent
	if !w.overloaded {
		if wasOverloaded || w.slowedTasks > 0 {
			s.resumeSlowed(w, use)
		}
		return
	}
	var loads []taskUsage
	for i := range list {
		if t := s.findPlaced(list[i].Task, list[i].Attempt); t != nil && t.worker == w {
			if t.command == commandStop {
				use = use.Minus(list[i].Usage)
				continue
			}
			loads = append(loads, taskUsage{t, list[i].Usage})
		}
	}
	slices.SortFunc(loads, func(a, b taskUsage) int { return compareVictims(a.task, b.task) })
	for _, l := range loads {
		if percentOf(use, w.size) < throttlePercent {
			return
		}
		use = use.Minus(s.relieveTask(l, percent))
	}
}

// relieveTask throttles, checkpoints or stops one task and returns the use that this is expected to
// free.
func (s *Scheduler) relieveTask(l taskUsage, percent int64) model.Size {
	t, w := l.task, l.task.worker
	half := model.Size{CPU: l.usage.CPU / 2, Memory: l.usage.Memory / 2}
	switch {
	case percent >= stopPercent:
		s.orderTask(t, commandStop, "worker is overloaded")
		return l.usage
	case percent >= checkpointPercent && t.job.checkpoint:
		s.slowTask(w, t, commandCheckpoint)
	default:
		s.slowTask(w, t, commandThrottle)
	}
	return half
}

func (s *Scheduler) slowTask(w *worker, t *task, c command) {
	if t.command == commandRun {
		w.slowedTasks++
	}
	if t.command < c {
		s.orderTask(t, c, "worker is above its usage threshold")
	}
}

// resumeSlowed ends the throttling of the worker's tasks once their full use fits below
// throttlePercent.
func (s *Scheduler) resumeSlowed(w *worker, use model.Size) {
	for _, t := range w.tasks {
		if t.command == commandThrottle || t.command == commandCheckpoint {
			use = use.Plus(t.peakUsage)
		}
	}
	if percentOf(use, w.size) >= throttlePercent {
		return
	}
	w.slowedTasks = 0
	for _, t := range w.tasks {
		if t.command == commandThrottle || t.command == commandCheckpoint {
			s.orderTask(t, commandRun, "worker is below its usage threshold")
		}
	}
}

func percentOf(use, size model.Size) int64 {
	var p int64
	if size.CPU > 0 {
		p = int64(use.CPU) * 100 / int64(size.CPU)
	}
	if size.Memory > 0 {
		p = max(p, int64(use.Memory)*100/int64(size.Memory))
	}
	return p
}

// compareVictims orders tasks by the cost of stopping them: by class, then batch tasks before services
// and gangs, then tasks that can resume from a checkpoint, then the most recently started.
func compareVictims(a, b *task) int {
	return cmp.Or(
		cmp.Compare(a.job.base.Urgency, b.job.base.Urgency),
		cmp.Compare(a.job.shape.key.mode, b.job.shape.key.mode),
		compareBool(b.job.checkpoint, a.job.checkpoint),
		cmp.Compare(b.startedAt, a.startedAt),
		compareJobs(a.job, b.job),
		cmp.Compare(a.index, b.index),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
