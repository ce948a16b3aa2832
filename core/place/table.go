package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

type phase uint8

const (
	waiting phase = iota
	assigned
	running
	over // ended, cancelled or failed; dropped lazily from its queue
)

type task struct {
	job      *job
	worker   *worker // nil while it waits
	accepted clock.Millis
	started  clock.Millis
	charge   model.Size
	peak     model.Size
	index    int32
	attempt  int32
	slot     int32 // position in worker.tasks
	reports  uint16
	saved    uint8
	phase    phase
	stopping bool
	dropped  bool // its cancellation or the failure of its job ends it
}

func (t *task) id() model.TaskID { return model.TaskID{Job: t.job.id, Index: int(t.index)} }

type job struct {
	id         model.JobID
	base       model.Base
	gang       bool
	service    bool
	checkpoint bool
	time       clock.Millis
	tasks      []*task
	open       int // tasks that are not over
	cancelled  bool
}

func newJob(id model.JobID, work model.Work) *job {
	j := &job{id: id, base: work.Common()}
	switch w := work.(type) {
	case model.Service:
		j.service = true
	case model.Batch:
		j.time, j.checkpoint = w.Time, w.Checkpoint
	case model.Gang:
		j.gang, j.time, j.checkpoint = true, w.Time, w.Checkpoint
	}
	return j
}

// find returns the task with the index, or nil. Indexes are mostly dense, so that the direct
// position is tried first.
func (j *job) find(index int) *task {
	if index >= 0 && index < len(j.tasks) && int(j.tasks[index].index) == index {
		return j.tasks[index]
	}
	for _, t := range j.tasks {
		if int(t.index) == index {
			return t
		}
	}
	return nil
}

type worker struct {
	id          model.WorkerID
	incarnation model.Incarnation
	rack        model.Rack
	size        model.Size
	usable      model.Size
	charged     model.Size // by its tasks
	foreign     model.Size // measured use of tasks that the scheduler does not know
	tasks       []*task
	known       bool // has reported since the scheduler started
	leaving     bool
}

func (w *worker) free() model.Size { return w.usable.Minus(w.charged).Minus(w.foreign) }

func (w *worker) add(t *task) {
	t.worker, t.slot = w, int32(len(w.tasks))
	w.tasks = append(w.tasks, t)
	w.charged = w.charged.Plus(t.charge)
}

func (w *worker) remove(t *task) {
	last := w.tasks[len(w.tasks)-1]
	w.tasks[t.slot], last.slot = last, t.slot
	w.tasks = w.tasks[:len(w.tasks)-1]
	w.charged = w.charged.Minus(t.charge)
	t.worker = nil
}

func isFailure(end proto.End) bool { return end == proto.EndFailed || end == proto.EndNoStart }
