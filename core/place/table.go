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
	phaseWaiting phase = iota
	phaseAssigned
	phaseRunning
	phaseFinished // done, cancelled or failed; removed lazily from its queue
)

type command uint8

const (
	commandRun command = iota
	commandThrottle
	commandCheckpoint
	commandStop
)

func (c command) toProto() proto.Command {
	return [...]proto.Command{proto.CommandRun, proto.CommandThrottle, proto.CommandCheckpoint, proto.CommandStop}[c]
}

type task struct {
	job               *job
	worker            *worker // nil while it waits
	acceptedAt        clock.Millis
	startedAt         clock.Millis
	preemptedAt       clock.Millis // last preemption; 0 if never
	notBefore         clock.Millis // earliest start, for backoff after a failure
	charge            model.Size   // capacity that it takes of its worker, estimated from measured use or the declared size
	peakUsage         model.Size
	index             int32
	attempt           int32
	workerSlot        int32 // index in worker.tasks
	usageReports      uint16
	checkpointPercent uint8
	failures          uint8
	crashes           uint8 // workers that were lost right after they got the task
	phase             phase
	command           command
	dropped           bool // cancelled; it is not queued again
	countsUnmeasured  bool // is counted in kind.unmeasured
	countedSuccess    bool // the current attempt was recorded as a success
}

// finishedTask replaces finished tasks in job.tasks, so that their memory is released.
var finishedTask = &task{phase: phaseFinished}

func (t *task) id() model.TaskID { return model.TaskID{Job: t.job.id, Index: int(t.index)} }

func (t *task) queued() bool { return t.phase == phaseWaiting && !t.job.dropped && !t.dropped }

func acceptedBefore(a, b *task) bool {
	if a.acceptedAt != b.acceptedAt {
		return a.acceptedAt < b.acceptedAt
	}
	if a.job != b.job {
		return a.job.id < b.job.id
	}
	return a.index < b.index
}

func compareAge(a, b *task) int {
	switch {
	case acceptedBefore(a, b):
		return -1
	case acceptedBefore(b, a):
		return 1
	default:
		return 0
	}
}

type job struct {
	id                 model.JobID
	base               model.Base
	shape              *shape
	kind               *kind
	declaredRunTime    clock.Millis
	tasks              []*task // by index; nil if the task was not submitted
	failedWorkers      map[model.WorkerID]clock.Millis
	tasksByRack        map[*rack]int // placed tasks of a service
	remaining          int           // tasks that are not finished
	waitingTasks       int
	placedTasks        int
	successes          int
	gangTriedAt        clock.Millis // last attempt to place it; 0 if none failed
	gangBlockedBy      blockReason
	gang               bool
	service            bool
	checkpoint         bool
	crashes            uint8 // highest task.crashes since the last success
	gangQueued         bool  // the gang is in the queue of its shape
	dropped            bool  // cancelled or failed
	reportedImpossible bool  // an Impossible was emitted for it
}

func newJob(id model.JobID, work model.Work) *job {
	j := &job{id: id, base: work.Common()}
	switch w := work.(type) {
	case model.Service:
		j.service = true
	case model.Batch:
		j.declaredRunTime, j.checkpoint = w.Time, w.Checkpoint
	case model.Gang:
		j.gang, j.declaredRunTime, j.checkpoint = true, w.Time, w.Checkpoint
	}
	return j
}

func (j *job) taskAt(index int) *task {
	if index < 0 || index >= len(j.tasks) {
		return nil
	}
	return j.tasks[index]
}

// forEachUnfinished calls f for every task that is not finished.
func (j *job) forEachUnfinished(f func(*task)) {
	for _, t := range j.tasks {
		if t != nil && t.phase != phaseFinished {
			f(t)
		}
	}
}

type rack struct {
	name    model.Rack
	workers []*worker
}

type worker struct {
	id                   model.WorkerID
	incarnation          model.Incarnation
	rack                 *rack
	size                 model.Size
	usable               model.Size // part of size that charges may fill
	charged              model.Size // sum of the charges of tasks
	foreign              model.Size // measured use of tasks that the scheduler does not know
	tasks                []*task
	reservation          *reservation
	reservedAmount       model.Size // by reservation, on this worker
	health               health
	pool                 int32 // index in index.pools; -1 if not in the index
	level                int32 // bucket in the pool
	slot                 int32 // index in the bucket
	reported             bool  // since the scheduler started
	reportedAt           clock.Millis
	leaving              bool
	slowedTasks          int32
	overloaded           bool                        // measured use is at least throttlePercent
	restoredIncarnations map[*task]model.Incarnation // of tasks restored before the first report
	taskIncarnation      model.Incarnation           // of the worker when the other tasks were assigned
}

func (w *worker) free() model.Size { return w.usable.Minus(w.charged).Minus(w.foreign) }

func isFailure(end proto.TaskEndKind) bool { return end == proto.EndFailed || end == proto.EndNoStart }

func compareJobs(a, b *job) int { return strings.Compare(string(a.id), string(b.id)) }

func compareWorkers(a, b *worker) int { return cmp.Compare(a.id, b.id) }
