package worker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/lease"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/vbstand/entry"
	"vanillabridge/vbstand/record"
)

const (
	// tickInterval is the time between checks of the task timers and of the lease.
	tickInterval = 20 * time.Millisecond
	// syncTimeout ends sync requests whose answer would be too old: core/lease would drop it.
	syncTimeout = 2 * time.Second
	// reasonLeaseEnded is the reason that core/lease gives for a stop at the end of the lease.
	reasonLeaseEnded = "lease ended"
)

// Options are the settings of a simulated worker.
type Options struct {
	Name           model.WorkerID
	Zone           model.Zone
	Rack           model.Rack
	Size           model.Size
	Entries        []string
	Seed           uint64
	UsageRatio     float64       // ratio of actual to declared usage; 0 gives each job a random ratio
	RunTimeRatio   float64       // ratio of actual to declared run time; 0 gives each job a random ratio
	FailStarts     bool          // every start of a task fails
	IgnoreCommands bool          // ignores throttle, resume, checkpoint and stop commands
	LeaveTimeout   time.Duration // maximum wait after SIGTERM for the leader to confirm the outcomes of tasks
}

// Worker is a simulated worker. Its state belongs to the goroutine that calls Run.
type Worker struct {
	opt              Options
	journal          *record.Writer
	entries          *entry.List
	incarnation      model.Incarnation
	lease            *lease.Worker
	tasks            map[model.TaskID]*task
	lastAdvance      clock.Millis // time up to which the tasks have run
	leaderAddress    string       // address of the zone leader as named by the last answer; empty if unknown
	sendSync         func(sent clock.Millis, req proto.SyncRequest)
	syncResults      chan syncResult
	syncsInFlight    int
	leaving          bool
	unconfirmedCount int // tasks and outcomes in the last sync request
}

// syncResult is the answer to a sync request or the error that it ended with.
type syncResult struct {
	sentAt  clock.Millis
	address string
	reply   proto.SyncReply
	err     error
}

// New returns a simulated worker that records its tasks to journal.
func New(opt Options, journal *record.Writer) (*Worker, error) {
	list, err := entry.NewList(&http.Client{Timeout: syncTimeout}, opt.Entries)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		opt:         opt,
		journal:     journal,
		entries:     list,
		incarnation: model.Incarnation(rand.Uint64() >> 1), // differs between starts with the same seed
		tasks:       map[model.TaskID]*task{},
		syncResults: make(chan syncResult),
	}
	w.lease = lease.NewWorker(lease.Config{
		Worker: opt.Name, Incarnation: w.incarnation, Zone: opt.Zone, Rack: opt.Rack, Capacity: opt.Size,
	})
	w.sendSync = w.postSync
	return w, nil
}

// Run runs assigned tasks until ctx ends. Then it stops them and waits, up to LeaveTimeout, until the
// leader has confirmed their outcomes.
func (w *Worker) Run(ctx context.Context, source clock.Source) error {
	klog.InfoS("worker started", "name", w.opt.Name, "zone", w.opt.Zone, "size", w.opt.Size.String())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	w.lastAdvance = source.Now()
	deadline := clock.Millis(0)
	done := ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			deadline = source.Now() + clock.FromDuration(w.opt.LeaveTimeout)
			w.leave(source.Now())
		case a := <-w.syncResults:
			w.handleSyncResult(source.Now(), a)
		case <-ticker.C:
			w.tick(source.Now())
		}
		if w.leaving && w.syncsInFlight == 0 && (w.unconfirmedCount == 0 || source.Now() >= deadline) {
			klog.InfoS("worker stopped", "name", w.opt.Name, "unconfirmed", w.unconfirmedCount)
			return nil
		}
	}
}

// tick lets the tasks run up to now and sends a sync request if one is due.
func (w *Worker) tick(now clock.Millis) {
	d := now - w.lastAdvance
	w.lastAdvance = now
	// The lease is checked before the tasks: after a pause of the process it may have expired before
	// a task would have completed.
	if w.lease.LeaseEnd() != 0 && now >= w.lease.LeaseEnd() {
		w.applyInput(now, lease.Tick{})
	}
	for _, id := range w.sortedTaskIDs() {
		if t := w.tasks[id]; t.advance(d) {
			w.endTask(now, t, proto.EndDone, "")
		}
	}
	if now < w.lease.NextTick() {
		return
	}
	for _, id := range w.sortedTaskIDs() {
		t := w.tasks[id]
		w.applyInput(now, lease.UsageMeasured{Task: id, Attempt: t.assigned.Attempt, Usage: t.currentUsage(), CheckpointPercent: t.checkpointPercent})
	}
	w.applyInput(now, lease.Tick{})
}

// leave stops all tasks and starts to report that the worker is leaving.
func (w *Worker) leave(now clock.Millis) {
	klog.InfoS("worker leaves", "name", w.opt.Name, "tasks", len(w.tasks))
	w.leaving = true
	w.applyInput(now, lease.Leave{})
	for _, id := range w.sortedTaskIDs() {
		w.endTask(now, w.tasks[id], proto.EndStopped, "worker leaves")
	}
	w.unconfirmedCount = 1 // keeps Run waiting until a sync request has reported the leave
}

// handleSyncResult passes an answer to the lease. After an error, it switches away from the address that
// failed.
func (w *Worker) handleSyncResult(now clock.Millis, a syncResult) {
	w.syncsInFlight--
	if a.err == nil {
		w.leaderAddress = a.reply.Leader
		w.applyInput(now, lease.Reply{SentAt: a.sentAt, Body: a.reply})
		return
	}
	klog.V(1).InfoS("sync request failed", "name", w.opt.Name, "entry", a.address, "err", a.err)
	// Several requests to the same paused instance can fail in turn; only the first of these failures
	// switches to the next address.
	if w.leaderAddress == a.address {
		w.leaderAddress = ""
	}
	if w.entries.Current() == a.address {
		w.entries.Next()
	}
}

// applyInput passes an input to the lease and carries out the resulting outputs.
func (w *Worker) applyInput(now clock.Millis, in lease.Input) {
	for _, out := range w.lease.Step(now, in) {
		switch out := out.(type) {
		case lease.Send:
			w.unconfirmedCount = len(out.Request.Held) + len(out.Request.Ends)
			w.sendSync(now, out.Request)
		case lease.Start:
			w.startTask(now, out.AssignedTask)
		case lease.Stop:
			w.stopTask(now, out)
		case lease.Throttle:
			w.applyCommand(out.Task, func(t *task) { w.setThrottled(t, true) })
		case lease.Resume:
			w.applyCommand(out.Task, func(t *task) { w.setThrottled(t, false) })
		case lease.Checkpoint:
			w.applyCommand(out.Task, w.checkpoint)
		case lease.ReplyDropped:
			klog.V(1).InfoS("sync answer dropped", "name", w.opt.Name, "reason", out.Reason)
		}
	}
	if w.opt.IgnoreCommands && w.lease.LeaseEnd() == 0 {
		// The lease requests each stop only once, so tasks whose stop was ignored are ended here.
		for _, id := range w.sortedTaskIDs() {
			w.endTask(now, w.tasks[id], proto.EndStopped, reasonLeaseEnded)
		}
	}
}

// postSync sends a sync request to the leader, or to the current entry instance if the leader is
// unknown, in a separate goroutine that delivers the result to syncResults.
func (w *Worker) postSync(sent clock.Millis, req proto.SyncRequest) {
	w.syncsInFlight++
	address := w.leaderAddress
	if address == "" {
		address = w.entries.Current()
	}
	go func() {
		a := syncResult{sentAt: sent, address: address}
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		defer cancel()
		a.err = w.entries.Do(ctx, http.MethodPost, address, "/v1/workers/sync", req, &a.reply)
		w.syncResults <- a
	}()
}

// startTask starts an assigned task, or ends it at once if starts fail or the worker is leaving.
func (w *Worker) startTask(now clock.Millis, a proto.AssignedTask) {
	t := newTask(a, ratios{w.opt.UsageRatio, w.opt.Seed}, ratios{w.opt.RunTimeRatio, w.opt.Seed})
	switch {
	case w.opt.FailStarts:
		w.endTask(now, t, proto.EndNoStart, "stand-in fails every start")
		return
	case w.leaving:
		w.endTask(now, t, proto.EndStopped, "worker leaves")
		return
	}
	w.tasks[a.Task] = t
	w.setThrottled(t, a.Command == proto.CommandThrottle)
	w.recordStep(t, record.TaskStart, "", "")
	w.applyInput(now, lease.Started{Task: a.Task, Attempt: a.Attempt})
}

// stopTask ends a task. A worker that ignores commands still ends its tasks with the lease.
func (w *Worker) stopTask(now clock.Millis, out lease.Stop) {
	t, ok := w.tasks[out.Task]
	if !ok || (w.opt.IgnoreCommands && out.Reason != reasonLeaseEnded) {
		return
	}
	w.endTask(now, t, proto.EndStopped, out.Reason)
}

// applyCommand calls do with a task that the worker holds, unless it ignores commands.
func (w *Worker) applyCommand(id model.TaskID, do func(*task)) {
	if t, ok := w.tasks[id]; ok && !w.opt.IgnoreCommands {
		do(t)
	}
}

// endTask removes a task, records its end and passes the outcome to the lease.
func (w *Worker) endTask(now clock.Millis, t *task, end proto.TaskEndKind, reason string) {
	delete(w.tasks, t.assigned.Task)
	w.recordStep(t, record.TaskEnd, end, reason)
	w.applyInput(now, lease.Finished{TaskEnd: proto.TaskEnd{
		Task: t.assigned.Task, Attempt: t.assigned.Attempt, End: end, Reason: reason,
		PeakUsage: t.unthrottledUsage, RunTime: t.elapsed, CheckpointPercent: t.checkpointPercent,
	}})
}

// setThrottled throttles or resumes a task and records a change.
func (w *Worker) setThrottled(t *task, throttled bool) {
	if t.throttled == throttled {
		return
	}
	t.throttled = throttled
	w.recordStep(t, record.TaskThrottle, "", "")
}

// checkpoint saves the progress of a task. The task stays throttled, since the checkpoint command
// follows the throttle command.
func (w *Worker) checkpoint(t *task) {
	t.throttled = true
	t.saveProgress()
	w.recordStep(t, record.TaskCheckpoint, "", "")
}

// sortedTaskIDs returns the held tasks in a fixed order, so that equal runs give equal journals.
func (w *Worker) sortedTaskIDs() []model.TaskID {
	ids := make([]model.TaskID, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b model.TaskID) int {
		if a.Job != b.Job {
			if a.Job < b.Job {
				return -1
			}
			return 1
		}
		return a.Index - b.Index
	})
	return ids
}

// recordStep records a step of a task together with the total usage of the worker after the step.
func (w *Worker) recordStep(t *task, s record.TaskStep, end proto.TaskEndKind, reason string) {
	line := record.Task{
		Step: s, Task: t.assigned.Task, Attempt: t.assigned.Attempt, Kind: t.kind(),
		Worker: w.opt.Name, Zone: w.opt.Zone, Incarnation: w.incarnation, Time: record.Now(),
		End: end, Reason: reason, Usage: t.currentUsage(), WorkerSize: w.opt.Size,
	}
	for _, other := range w.tasks {
		line.TotalUsage = line.TotalUsage.Plus(other.currentUsage())
	}
	w.journal.Write(record.Line{Task: &line})
}
