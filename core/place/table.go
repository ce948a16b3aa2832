package place

import (
	"cmp"
	"strings"

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

type command uint8

const (
	commandRun command = iota
	commandThrottle
	commandCheckpoint
	commandStop
)

func (c command) proto() proto.Command {
	return [...]proto.Command{proto.CommandRun, proto.CommandThrottle, proto.CommandCheckpoint, proto.CommandStop}[c]
}

type task struct {
	job       *job
	worker    *worker // nil while it waits
	accepted  clock.Millis
	started   clock.Millis
	preempted clock.Millis // when it was last preempted; 0 if never
	after     clock.Millis // it does not start before
	charge    model.Size
	peak      model.Size
	index     int32
	attempt   int32
	slot      int32 // position in worker.tasks
	reports   uint16
	saved     uint8
	fails     uint8
	phase     phase
	command   command
	dropped   bool // its cancellation or the failure of its job ends it
	learning  bool // counts in kind.unmeasured
	proved    bool // its attempt counted as a success
}

// closed stands in job.tasks for a task that has ended.
var closed = &task{phase: over}

func (t *task) id() model.TaskID { return model.TaskID{Job: t.job.id, Index: int(t.index)} }

func (t *task) queued() bool { return t.phase == waiting && !t.job.dropped && !t.dropped }

func earlier(a, b *task) bool {
	if a.accepted != b.accepted {
		return a.accepted < b.accepted
	}
	if a.job != b.job {
		return a.job.id < b.job.id
	}
	return a.index < b.index
}

type job struct {
	id         model.JobID
	base       model.Base
	shape      *shape
	kind       *kind
	time       clock.Millis // declared run time
	tasks      []*task      // by index; nil for an unknown task
	failed     map[model.WorkerID]clock.Millis
	racks      map[*rack]int // tasks of a service by rack
	open       int           // tasks that are not over
	waiting    int
	placed     int
	done       int          // successes
	tried      clock.Millis // last attempt to place the gang
	triedWhy   blockReason
	gang       bool
	service    bool
	checkpoint bool
	queued     bool // a gang that is in its queue
	dropped    bool // cancelled or failed
	impossible bool // reported as such
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

func (j *job) find(index int) *task {
	if index < 0 || index >= len(j.tasks) {
		return nil
	}
	return j.tasks[index]
}

// unfinished calls f for every task that is not over.
func (j *job) unfinished(f func(*task)) {
	for _, t := range j.tasks {
		if t != nil && t.phase != over {
			f(t)
		}
	}
}

type rack struct {
	name    model.Rack
	workers []*worker
}

type worker struct {
	id          model.WorkerID
	incarnation model.Incarnation
	rack        *rack
	size        model.Size
	usable      model.Size
	charged     model.Size // by its tasks
	foreign     model.Size // measured use of tasks that the scheduler does not know
	tasks       []*task
	reserved    *reservation
	held        model.Size // of reserved, on this worker
	health      health
	pool        int32 // of the index; -1 outside it
	level       int32
	slot        int32
	known       bool // has reported since the scheduler started
	leaving     bool
	slowed      int32
	hot         bool                        // measured use is above throttlePercent
	lives       map[*task]model.Incarnation // of restored tasks, until the first report
	assignedTo  model.Incarnation           // of the other tasks
}

func (w *worker) free() model.Size { return w.usable.Minus(w.charged).Minus(w.foreign) }

func isFailure(end proto.End) bool { return end == proto.EndFailed || end == proto.EndNoStart }

func compareJobs(a, b *job) int { return strings.Compare(string(a.id), string(b.id)) }

func compareWorkers(a, b *worker) int { return cmp.Compare(a.id, b.id) }
