package place

import (
	"cmp"
	"slices"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// load is a held task with its measured use.
type load struct {
	t   *task
	use model.Size
}

// relieve acts on the measured use of a worker: it throttles, checkpoints or stops tasks, least
// urgent first, and no more than needed to get below throttlePercent.
func (s *Scheduler) relieve(w *worker, use model.Size, list []proto.Held) {
	percent := percentOf(use, w.size)
	was := w.hot
	w.hot = percent >= throttlePercent
	if !w.hot {
		if was || w.slowed > 0 {
			s.resume(w, use)
		}
		return
	}
	var loads []load
	for i := range list {
		if t := s.find(list[i].Task, list[i].Attempt); t != nil && t.worker == w {
			if t.command == commandStop {
				use = use.Minus(list[i].Usage)
				continue
			}
			loads = append(loads, load{t, list[i].Usage})
		}
	}
	slices.SortFunc(loads, func(a, b load) int { return compareVictims(a.t, b.t) })
	for _, l := range loads {
		if percentOf(use, w.size) < throttlePercent {
			return
		}
		use = use.Minus(s.relieveBy(l, percent))
	}
}

// relieveBy gives one task an order and returns the use that this is expected to free.
func (s *Scheduler) relieveBy(l load, percent int64) model.Size {
	t, w := l.t, l.t.worker
	half := model.Size{CPU: l.use.CPU / 2, Memory: l.use.Memory / 2}
	switch {
	case percent >= stopPercent:
		s.order(t, commandStop, "worker is overloaded")
		return l.use
	case percent >= checkpointPercent && t.job.checkpoint:
		s.slow(w, t, commandCheckpoint)
	default:
		s.slow(w, t, commandThrottle)
	}
	return half
}

func (s *Scheduler) slow(w *worker, t *task, c command) {
	if t.command == commandRun {
		w.slowed++
	}
	if t.command < c {
		s.order(t, c, "worker is short of room")
	}
}

// resume ends the throttling of a worker's tasks once it has room for their full use.
func (s *Scheduler) resume(w *worker, use model.Size) {
	for _, t := range w.tasks {
		if t.command == commandThrottle || t.command == commandCheckpoint {
			use = use.Plus(t.peak)
		}
	}
	if percentOf(use, w.size) >= throttlePercent {
		return
	}
	w.slowed = 0
	for _, t := range w.tasks {
		if t.command == commandThrottle || t.command == commandCheckpoint {
			s.order(t, commandRun, "worker has room")
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

// compareVictims orders tasks by what stopping them costs: least urgent first, services and gangs
// last within a class, then tasks that can resume from a checkpoint, then the youngest.
func compareVictims(a, b *task) int {
	return cmp.Or(
		cmp.Compare(a.job.base.Urgency, b.job.base.Urgency),
		cmp.Compare(a.job.shape.key.mode, b.job.shape.key.mode),
		compareBool(b.job.checkpoint, a.job.checkpoint),
		cmp.Compare(b.started, a.started),
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
