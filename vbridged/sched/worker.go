package sched

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/lease"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/proto"
	"vanillabridge/core/state"
	"vanillabridge/core/trace"
)

// worker holds the leader's view of the current incarnation of a worker.
type worker struct {
	id          model.WorkerID
	incarnation model.Incarnation
	parkedSync  *syncInput   // open sync that is answered when there are changes, or nil
	parkedAt    clock.Millis // time at which parkedSync arrived
	hasChanges  bool         // the worker has changes to receive
	capacity    model.Size
	usage       model.Size
}

func (l *leaderState) handleSync(now clock.Millis, i syncInput) {
	r := i.request
	switch l.leases.Receive(now, r) {
	case lease.Stale:
		i.reply <- syncResult{err: fault.Wrap(fault.ErrInvalid, "sync %d of worker %s refused: a later sync or incarnation of the worker was seen", r.Seq, r.Worker)}
	case lease.Unconfirmed:
		reply := proto.SyncReply{Epoch: l.epoch, Seq: r.Seq, Lease: l.options.Lease, Leader: l.options.Address}
		i.reply <- syncResult{reply: reply}
	case lease.Current:
		w := l.updateWorker(r)
		l.applyReport(now, w, r)
		l.parkSync(now, w, i)
	}
}

// updateWorker returns the record of a worker, updated to the incarnation and capacity in r. It creates
// the record of a worker that is not known yet.
func (l *leaderState) updateWorker(r proto.SyncRequest) *worker {
	w, ok := l.workers[r.Worker]
	if !ok {
		w = &worker{id: r.Worker}
		l.workers[r.Worker] = w
		l.options.Events.Record(trace.WorkerJoined{Subject: trace.Subject{Worker: r.Worker}})
	}
	w.incarnation = r.Incarnation
	w.capacity = r.Size
	return w
}

// applyReport passes a worker's report to the placement scheduler, and adds the reported starts and
// ends of tasks to the pending batch.
func (l *leaderState) applyReport(now clock.Millis, w *worker, r proto.SyncRequest) {
	w.usage = model.Size{}
	for _, h := range r.Held {
		w.usage = w.usage.Plus(h.Usage)
	}
	l.stepPlacement(now, place.WorkerReport{
		Worker: r.Worker, Incarnation: r.Incarnation, Zone: r.Zone, Rack: r.Rack,
		Size: r.Size, Held: r.Held, Leaving: r.Leaving,
	})
	l.options.State.View(func(z *state.Zone) {
		for _, h := range r.Held {
			l.recordStart(z, w, h)
		}
		for _, e := range r.Ends {
			l.recordEnd(z, w, e)
		}
	})
}

func (l *leaderState) recordStart(z *state.Zone, w *worker, h proto.HeldTask) {
	t, ok := z.Task(h.Task)
	if !ok || h.Phase != proto.PhaseRunning || !holdsAttempt(t, w, h.Attempt) || t.Phase != proto.TaskAssigned {
		return
	}
	l.pending.addStart(state.TaskStart{Task: h.Task, Attempt: h.Attempt})
}

func (l *leaderState) recordEnd(z *state.Zone, w *worker, e proto.TaskEnd) {
	t, ok := z.Task(e.Task)
	key := attemptKey{e.Task, e.Attempt}
	if _, known := l.reportedEnds[key]; known || !ok || !holdsAttempt(t, w, e.Attempt) {
		return
	}
	l.reportedEnds[key] = e
	l.pending.addEnd(state.TaskEnd{Task: e.Task, Attempt: e.Attempt, NextPhase: nextPhase(z, e), Reason: e.Reason, CheckpointPercent: e.CheckpointPercent})
}

// nextPhase returns the phase of a task after the end of an attempt. A task that did not run to
// completion waits again; core/place decides when the whole job has failed.
func nextPhase(z *state.Zone, e proto.TaskEnd) proto.TaskPhase {
	job, ok := z.Job(e.Task.Job)
	if ok && e.End == proto.EndDone && job.Work.Service == nil {
		return proto.TaskDone
	}
	return proto.TaskWaiting
}

func holdsAttempt(t *state.Task, w *worker, number int) bool {
	return t.IsActive() && t.Attempt == number && t.Worker == w.id && t.Incarnation == w.incarnation
}

// parkSync keeps a sync open (long poll), so that the worker receives a new assignment without delay.
func (l *leaderState) parkSync(now clock.Millis, w *worker, i syncInput) {
	if w.parkedSync != nil {
		l.replyToParked(now, w)
	}
	w.parkedSync, w.parkedAt = &i, now
	if w.hasChanges || l.needsReply(w, i.request) {
		l.markChanged(w)
	}
}

// needsReply reports whether the worker holds other tasks than are assigned to it, or has reported an
// end that can be confirmed.
func (l *leaderState) needsReply(w *worker, r proto.SyncRequest) bool {
	held := make(map[attemptKey]bool, len(r.Held))
	for _, h := range r.Held {
		held[attemptKey{h.Task, h.Attempt}] = true
	}
	needed := false
	l.options.State.View(func(z *state.Zone) {
		count := 0
		z.ForEachActiveTask(w.id, func(id model.TaskID, t *state.Task) {
			count++
			needed = needed || !held[attemptKey{id, t.Attempt}]
		})
		needed = needed || count != len(held) || len(confirmedEnds(z, w, r)) > 0
	})
	return needed
}

// replyToParked answers the parked sync of a worker, which renews the worker's lease. The time of the
// renewal is recorded before the reply is sent.
func (l *leaderState) replyToParked(now clock.Millis, w *worker) {
	i := w.parkedSync
	w.parkedSync, w.hasChanges = nil, false
	epoch, leading := l.options.Leadership.Leading()
	if !leading || epoch != l.epoch {
		i.reply <- syncResult{err: fault.Wrap(fault.ErrNotLeader, "sync of worker %s refused: this instance lost leadership", w.id)}
		return
	}
	l.leases.RecordAnswer(now, w.id)
	reply := proto.SyncReply{Epoch: l.epoch, Seq: i.request.Seq, Lease: l.options.Lease, Leader: l.options.Address}
	l.options.State.View(func(z *state.Zone) {
		reply.Tasks = l.assignedTasks(z, w, i.request)
		if proto.TasksMatch(i.request.Held, reply.Tasks) {
			reply.TasksUnchanged, reply.Tasks = true, nil
		}
		reply.EndAcks = confirmedEnds(z, w, i.request)
	})
	i.reply <- syncResult{reply: reply}
}

// assignedTasks lists the tasks that are assigned to a worker. To keep replies small, it leaves out the
// description of a task whose attempt the worker already holds.
func (l *leaderState) assignedTasks(z *state.Zone, w *worker, r proto.SyncRequest) []proto.AssignedTask {
	held := make(map[attemptKey]bool, len(r.Held))
	for _, h := range r.Held {
		held[attemptKey{h.Task, h.Attempt}] = true
	}
	list := []proto.AssignedTask{}
	z.ForEachActiveTask(w.id, func(id model.TaskID, t *state.Task) {
		if t.Incarnation != w.incarnation {
			return
		}
		job, _ := z.Job(id.Job)
		a := proto.AssignedTask{Task: id, Attempt: t.Attempt, Command: l.commandFor(job, id, t), CheckpointPercent: t.CheckpointPercent}
		if !held[attemptKey{id, t.Attempt}] {
			a.Work = job.Work
		}
		list = append(list, a)
	})
	return list
}

func (l *leaderState) commandFor(job *state.Job, id model.TaskID, t *state.Task) proto.Command {
	if job.Cancelled || t.Surplus {
		return proto.CommandStop
	}
	if o, ok := l.orders[id]; ok && o.Attempt == t.Attempt {
		return o.Command
	}
	return proto.CommandRun
}

// confirmedEnds lists the reported ends that need not be reported again: they are committed, or concern
// an attempt that the worker no longer holds in the state.
func confirmedEnds(z *state.Zone, w *worker, r proto.SyncRequest) []proto.TaskEndAck {
	list := []proto.TaskEndAck{}
	for _, e := range r.Ends {
		if t, ok := z.Task(e.Task); ok && holdsAttempt(t, w, e.Attempt) {
			continue
		}
		list = append(list, proto.TaskEndAck{Task: e.Task, Attempt: e.Attempt})
	}
	return list
}

// removeExpiredWorkers removes the workers whose lease has certainly ended, also by their own clocks,
// and releases their tasks.
func (l *leaderState) removeExpiredWorkers(now clock.Millis) {
	for _, id := range l.leases.ExpireLeases(now) {
		if w, ok := l.workers[id]; ok && w.parkedSync != nil {
			w.parkedSync.reply <- syncResult{err: fault.Wrap(fault.ErrUnavailable, "lease of worker %s ended", id)}
			w.parkedSync = nil // each sync gets exactly one reply
		}
		delete(l.workers, id)
		l.options.Events.Record(trace.WorkerLost{Subject: trace.Subject{Worker: id}, Reason: "lease ended"})
		l.options.Metrics.WorkersLost.Inc()
		l.stepPlacement(now, place.WorkerLost{Worker: id})
	}
}
