package lease

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

const (
	// syncInterval is the time between two requests when there is nothing new to report.
	syncInterval = 500 * clock.Millisecond
	// minSyncInterval is the shortest time between two requests; it limits those that follow events.
	minSyncInterval = 50 * clock.Millisecond
	// maxReplyAge bounds the time from a request to its answer. After it, the leader may have moved
	// the assignments in the answer to other workers.
	maxReplyAge = 2 * clock.Second
	// endedRetention is how long an attempt is remembered after its end was confirmed, so that an
	// answer computed before the confirmation does not start it again. It exceeds maxReplyAge, after
	// which such an answer is dropped anyway.
	endedRetention = 10 * clock.Second
	// maxReports is the number of sent reports that are kept. Answers to older requests are dropped:
	// they exceed maxReplyAge, or a newer answer was applied.
	maxReports = int(maxReplyAge/minSyncInterval) + 1
)

// Config describes one incarnation of a worker.
type Config struct {
	Worker      model.WorkerID
	Incarnation model.Incarnation // random, new at each start of the process
	Zone        model.Zone
	Rack        model.Rack
	Capacity    model.Size
}

// Worker implements the worker's side of the worker protocol. It is not safe for concurrent use.
type Worker struct {
	config          Config
	epoch           model.Epoch
	lastSeq         uint64       // sequence number of the last request
	appliedSeq      uint64       // sequence number of the request whose answer was applied last
	leaseEnd        clock.Millis // 0 without a lease
	sentAt          clock.Millis // when the last request was sent
	eventPending    bool         // an event since the last request is to be reported
	requestSent     bool         // at least one request was sent
	leaving         bool
	tasks           map[model.TaskID]*heldTask
	unconfirmedEnds []proto.TaskEnd            // reported until the leader confirms them
	endedAttempts   map[attemptID]clock.Millis // to the time of the confirmation, 0 before it
	reports         []sentReport               // of the last requests, newest last
	outputs         []Output
}

// sentReport lists the tasks that a request reported as held. An answer with TasksUnchanged set refers
// to it.
type sentReport struct {
	seq   uint64
	tasks []proto.AssignedTask
}

type attemptID struct {
	task   model.TaskID
	number int
}

type heldTask struct {
	report  proto.HeldTask
	command proto.Command
}

// NewWorker returns a worker without tasks and without a lease.
func NewWorker(config Config) *Worker {
	return &Worker{
		config:        config,
		tasks:         make(map[model.TaskID]*heldTask),
		endedAttempts: make(map[attemptID]clock.Millis),
	}
}

// LeaseEnd returns the end of the lease, or 0 without one.
func (w *Worker) LeaseEnd() clock.Millis { return w.leaseEnd }

// NextTick returns when the next Tick is due.
func (w *Worker) NextTick() clock.Millis {
	due := w.sentAt + syncInterval
	if w.eventPending {
		due = w.sentAt + minSyncInterval
	}
	if w.leaseEnd != 0 {
		due = min(due, w.leaseEnd)
	}
	return due
}

// Step handles an input and returns the resulting outputs. It checks the end of the lease first, so
// that a worker that was suspended past it stops its tasks before it does anything else.
func (w *Worker) Step(now clock.Millis, in Input) []Output {
	w.outputs = nil
	w.stopIfLeaseEnded(now)
	switch in := in.(type) {
	case Tick:
		w.handleTick(now)
	case Reply:
		w.handleReply(now, in)
	case Started:
		w.markRunning(in)
	case UsageMeasured:
		w.recordUsage(in)
	case Finished:
		w.finishTask(in.TaskEnd)
	case Leave:
		w.leaving, w.eventPending = true, true
	}
	return w.outputs
}

func (w *Worker) emit(o Output) { w.outputs = append(w.outputs, o) }

func (w *Worker) stopIfLeaseEnded(now clock.Millis) {
	if w.leaseEnd == 0 || now < w.leaseEnd {
		return
	}
	w.leaseEnd = 0
	for _, h := range w.sortedTasks() {
		w.stopTask(h, "lease ended")
	}
}

func (w *Worker) handleTick(now clock.Millis) {
	for a, t := range w.endedAttempts {
		if t != 0 && now-t > endedRetention {
			delete(w.endedAttempts, a)
		}
	}
	if w.requestSent && now < w.sentAt+minSyncInterval {
		return
	}
	if w.requestSent && !w.eventPending && now < w.sentAt+syncInterval {
		return
	}
	w.lastSeq++
	w.sentAt, w.requestSent, w.eventPending = now, true, false
	w.emit(Send{Request: w.buildRequest()})
}

func (w *Worker) buildRequest() proto.SyncRequest {
	c := w.config
	list := make([]proto.HeldTask, 0, len(w.tasks))
	tasks := make([]proto.AssignedTask, 0, len(w.tasks))
	for _, h := range w.sortedTasks() {
		report := h.report
		if h.command != proto.CommandRun {
			report.Command = h.command
		}
		list = append(list, report)
		tasks = append(tasks, proto.AssignedTask{Task: report.Task, Attempt: report.Attempt, Command: h.command})
	}
	w.reports = append(w.reports, sentReport{seq: w.lastSeq, tasks: tasks})
	if len(w.reports) > maxReports {
		w.reports = slices.Delete(w.reports, 0, 1)
	}
	return proto.SyncRequest{
		Worker: c.Worker, Incarnation: c.Incarnation, Zone: c.Zone, Rack: c.Rack, Size: c.Capacity,
		Epoch: w.epoch, Seq: w.lastSeq, Held: list, Ends: slices.Clone(w.unconfirmedEnds), Leaving: w.leaving,
	}
}

func (w *Worker) handleReply(now clock.Millis, in Reply) {
	body := in.Body
	switch {
	case now-in.SentAt > maxReplyAge || now < in.SentAt:
		w.emit(ReplyDropped{Reason: "answer took longer than 2 s"})
	case body.Epoch < w.epoch:
		w.emit(ReplyDropped{Reason: "answer of an older epoch"})
	case body.Seq <= w.appliedSeq || body.Seq > w.lastSeq:
		w.emit(ReplyDropped{Reason: "answer to an unknown request, or to an older one than the last answer applied"})
	case in.SentAt+body.Lease <= now:
		w.emit(ReplyDropped{Reason: "lease of the answer has ended"})
	default:
		w.applyReply(now, in)
	}
}

func (w *Worker) applyReply(now clock.Millis, in Reply) {
	w.epoch, w.appliedSeq = in.Body.Epoch, in.Body.Seq
	w.leaseEnd = in.SentAt + in.Body.Lease
	w.applyEndAcks(now, in.Body.EndAcks)
	tasks := in.Body.Tasks
	if in.Body.TasksUnchanged {
		tasks = w.reportedTasks(in.Body.Seq)
	}
	assigned := make(map[model.TaskID]int, len(tasks))
	for _, a := range tasks {
		assigned[a.Task] = a.Attempt
	}
	for _, h := range w.sortedTasks() {
		if assigned[h.report.Task] != h.report.Attempt {
			w.stopTask(h, "not assigned")
		}
	}
	for _, a := range tasks {
		w.applyAssignment(a)
	}
}

// reportedTasks returns the tasks that the request with the given sequence number reported.
func (w *Worker) reportedTasks(seq uint64) []proto.AssignedTask {
	for _, r := range w.reports {
		if r.seq == seq {
			return r.tasks
		}
	}
	return nil // report no longer kept; stopping all tasks is always safe
}

func (w *Worker) applyAssignment(a proto.AssignedTask) {
	h, ok := w.tasks[a.Task]
	if !ok {
		w.startTask(a)
		return
	}
	// A new attempt starts only once the previous one has no process left.
	if h.report.Attempt != a.Attempt || h.report.Phase == proto.PhaseStopping || h.command == a.Command {
		return
	}
	h.command = a.Command
	switch a.Command {
	case proto.CommandRun:
		w.emit(Resume{Task: a.Task, Attempt: a.Attempt})
	case proto.CommandThrottle:
		w.emit(Throttle{Task: a.Task, Attempt: a.Attempt})
	case proto.CommandCheckpoint:
		w.emit(Checkpoint{Task: a.Task, Attempt: a.Attempt})
	case proto.CommandStop:
		w.stopTask(h, "ordered")
	}
}

func (w *Worker) startTask(a proto.AssignedTask) {
	if _, ended := w.endedAttempts[attemptID{a.Task, a.Attempt}]; ended {
		return
	}
	if a.Command == proto.CommandStop {
		// The leader reassigns the task only after the attempt's end is reported.
		w.recordEnd(proto.TaskEnd{Task: a.Task, Attempt: a.Attempt, End: proto.EndStopped, Reason: "stopped before its start", CheckpointPercent: a.CheckpointPercent})
		return
	}
	w.tasks[a.Task] = &heldTask{
		report:  proto.HeldTask{Task: a.Task, Attempt: a.Attempt, Phase: proto.PhaseStarting, CheckpointPercent: a.CheckpointPercent},
		command: a.Command,
	}
	w.emit(Start{AssignedTask: a})
}

func (w *Worker) stopTask(h *heldTask, reason string) {
	if h.report.Phase == proto.PhaseStopping {
		return
	}
	h.report.Phase = proto.PhaseStopping
	w.eventPending = true
	w.emit(Stop{Task: h.report.Task, Attempt: h.report.Attempt, Reason: reason})
}

func (w *Worker) markRunning(in Started) {
	h := w.findAttempt(in.Task, in.Attempt)
	if h == nil || h.report.Phase != proto.PhaseStarting {
		return
	}
	h.report.Phase = proto.PhaseRunning
	w.eventPending = true
}

func (w *Worker) recordUsage(in UsageMeasured) {
	h := w.findAttempt(in.Task, in.Attempt)
	if h == nil {
		return
	}
	h.report.Usage = in.Usage
	h.report.CheckpointPercent = max(h.report.CheckpointPercent, in.CheckpointPercent)
}

func (w *Worker) finishTask(end proto.TaskEnd) {
	if w.findAttempt(end.Task, end.Attempt) == nil {
		return
	}
	delete(w.tasks, end.Task)
	w.recordEnd(end)
}

func (w *Worker) recordEnd(end proto.TaskEnd) {
	w.endedAttempts[attemptID{end.Task, end.Attempt}] = 0
	w.unconfirmedEnds = append(w.unconfirmedEnds, end)
	w.eventPending = true
}

func (w *Worker) applyEndAcks(now clock.Millis, acks []proto.TaskEndAck) {
	for _, ack := range acks {
		kept := w.unconfirmedEnds[:0]
		for _, e := range w.unconfirmedEnds {
			if e.Task != ack.Task || e.Attempt != ack.Attempt {
				kept = append(kept, e)
				continue
			}
			w.endedAttempts[attemptID{ack.Task, ack.Attempt}] = now
		}
		w.unconfirmedEnds = kept
	}
}

func (w *Worker) findAttempt(task model.TaskID, number int) *heldTask {
	h, ok := w.tasks[task]
	if !ok || h.report.Attempt != number {
		return nil
	}
	return h
}

// sortedTasks returns the held tasks in a fixed order, so that outputs do not depend on map order.
func (w *Worker) sortedTasks() []*heldTask {
	list := make([]*heldTask, 0, len(w.tasks))
	for _, h := range w.tasks {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *heldTask) int { return compareTaskIDs(a.report.Task, b.report.Task) })
	return list
}
