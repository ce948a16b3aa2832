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

// worker is what the leader knows of the present life of a worker.
type worker struct {
	id          model.WorkerID
	incarnation model.Incarnation
	parked      *syncInput   // a sync that waits for news
	since       clock.Millis // when it was parked
	news        bool         // something changed for the worker
	size        model.Size
	used        model.Size
}

func (l *lead) sync(now clock.Millis, i syncInput) {
	r := i.request
	switch l.keeper.Receive(now, r) {
	case lease.Stale:
		i.reply <- syncResult{err: fault.Wrap(fault.ErrInvalid, "sync %d of worker %s is older than one that was seen", r.Seq, r.Worker)}
	case lease.Greet:
		reply := proto.SyncReply{Epoch: l.epoch, Seq: r.Seq, Lease: l.options.Lease, Leader: l.options.Address}
		i.reply <- syncResult{reply: reply}
	case lease.Current:
		w := l.worker(r)
		l.report(now, w, r)
		l.park(now, w, i)
	}
}

// worker returns the worker in its present life.
func (l *lead) worker(r proto.SyncRequest) *worker {
	w, ok := l.workers[r.Worker]
	if !ok {
		w = &worker{id: r.Worker}
		l.workers[r.Worker] = w
		l.options.Events.Record(trace.WorkerJoined{Subject: trace.Subject{Worker: r.Worker}})
	}
	w.incarnation = r.Incarnation
	w.size = r.Size
	return w
}

// report hands the worker's report to the scheduler and collects what has to be committed.
func (l *lead) report(now clock.Millis, w *worker, r proto.SyncRequest) {
	w.used = model.Size{}
	for _, h := range r.Held {
		w.used = w.used.Plus(h.Usage)
	}
	l.step(now, place.WorkerReport{
		Worker: r.Worker, Incarnation: r.Incarnation, Zone: r.Zone, Rack: r.Rack,
		Size: r.Size, Held: r.Held, Leaving: r.Leaving,
	})
	l.options.State.View(func(z *state.Zone) {
		for _, h := range r.Held {
			l.reportHeld(z, w, h)
		}
		for _, e := range r.Ends {
			l.reportEnd(z, w, e)
		}
	})
}

func (l *lead) reportHeld(z *state.Zone, w *worker, h proto.Held) {
	t, ok := z.Task(h.Task)
	if !ok || h.Phase != proto.PhaseRunning || !isOn(t, w, h.Attempt) || t.Phase != proto.TaskAssigned {
		return
	}
	l.next.start(state.TaskStart{Task: h.Task, Attempt: h.Attempt})
}

func (l *lead) reportEnd(z *state.Zone, w *worker, e proto.TaskEnd) {
	t, ok := z.Task(e.Task)
	key := attempt{e.Task, e.Attempt}
	if _, known := l.ends[key]; known || !ok || !isOn(t, w, e.Attempt) {
		return
	}
	l.ends[key] = e
	l.next.finish(state.TaskEnd{Task: e.Task, Attempt: e.Attempt, Next: nextPhase(z, e), Reason: e.Reason, Saved: e.Saved})
}

// nextPhase lets a task that did not run to its end wait again; core/place decides when a job
// has failed for good.
func nextPhase(z *state.Zone, e proto.TaskEnd) proto.TaskPhase {
	job, ok := z.Job(e.Task.Job)
	if ok && e.End == proto.EndDone && job.Work.Service == nil {
		return proto.TaskDone
	}
	return proto.TaskWaiting
}

func isOn(t *state.Task, w *worker, number int) bool {
	return t.IsHeld() && t.Attempt == number && t.Worker == w.id && t.Incarnation == w.incarnation
}

// park keeps a sync without news open, so that a worker hears of an assignment at once.
func (l *lead) park(now clock.Millis, w *worker, i syncInput) {
	if w.parked != nil {
		l.answer(now, w)
	}
	w.parked, w.since = &i, now
	if w.news || l.hasNews(w, i.request) {
		l.note(w)
	}
}

// hasNews reports whether the worker holds other tasks than it should, or waits for a
// confirmation that can be given.
func (l *lead) hasNews(w *worker, r proto.SyncRequest) bool {
	held := make(map[attempt]bool, len(r.Held))
	for _, h := range r.Held {
		held[attempt{h.Task, h.Attempt}] = true
	}
	news := false
	l.options.State.View(func(z *state.Zone) {
		count := 0
		z.Held(w.id, func(id model.TaskID, t *state.Task) {
			count++
			news = news || !held[attempt{id, t.Attempt}]
		})
		news = news || count != len(held) || len(confirms(z, w, r)) > 0
	})
	return news
}

// answer renews the lease of the worker; the moment is booked before the answer leaves.
func (l *lead) answer(now clock.Millis, w *worker) {
	i := w.parked
	w.parked, w.news = nil, false
	epoch, leading := l.options.Leadership.Leading()
	if !leading || epoch != l.epoch {
		i.reply <- syncResult{err: fault.Wrap(fault.ErrNotLeader, "sync of worker %s", w.id)}
		return
	}
	l.keeper.Answered(now, w.id)
	reply := proto.SyncReply{Epoch: l.epoch, Seq: i.request.Seq, Lease: l.options.Lease, Leader: l.options.Address}
	l.options.State.View(func(z *state.Zone) {
		reply.Tasks = l.assigned(z, w, i.request)
		if proto.IsSame(i.request.Held, reply.Tasks) {
			reply.Same, reply.Tasks = true, nil
		}
		reply.Confirms = confirms(z, w, i.request)
	})
	i.reply <- syncResult{reply: reply}
}

// assigned lists the tasks that the worker shall hold. The description of a task is left out
// where the worker holds the attempt, to save bytes.
func (l *lead) assigned(z *state.Zone, w *worker, r proto.SyncRequest) []proto.Assigned {
	held := make(map[attempt]bool, len(r.Held))
	for _, h := range r.Held {
		held[attempt{h.Task, h.Attempt}] = true
	}
	list := []proto.Assigned{}
	z.Held(w.id, func(id model.TaskID, t *state.Task) {
		if t.Incarnation != w.incarnation {
			return
		}
		job, _ := z.Job(id.Job)
		a := proto.Assigned{Task: id, Attempt: t.Attempt, Command: l.command(job, id, t), Saved: t.Saved}
		if !held[attempt{id, t.Attempt}] {
			a.Work = job.Work
		}
		list = append(list, a)
	})
	return list
}

func (l *lead) command(job *state.Job, id model.TaskID, t *state.Task) proto.Command {
	if job.Cancelled || t.Surplus {
		return proto.CommandStop
	}
	if o, ok := l.orders[id]; ok && o.Attempt == t.Attempt {
		return o.Command
	}
	return proto.CommandRun
}

// confirms lists the reported ends that are committed or of no interest.
func confirms(z *state.Zone, w *worker, r proto.SyncRequest) []proto.Confirm {
	list := []proto.Confirm{}
	for _, e := range r.Ends {
		if t, ok := z.Task(e.Task); ok && isOn(t, w, e.Attempt) {
			continue
		}
		list = append(list, proto.Confirm{Task: e.Task, Attempt: e.Attempt})
	}
	return list
}

// loseWorkers gives up workers whose lease has surely ended on their own clock.
func (l *lead) loseWorkers(now clock.Millis) {
	for _, id := range l.keeper.Gone(now) {
		if w, ok := l.workers[id]; ok && w.parked != nil {
			w.parked.reply <- syncResult{err: fault.Wrap(fault.ErrUnavailable, "lease of worker %s ended", id)}
			w.parked = nil // an answer is sent once
		}
		delete(l.workers, id)
		l.options.Events.Record(trace.WorkerLost{Subject: trace.Subject{Worker: id}, Reason: "lease ended"})
		l.options.Metrics.Lost.Inc()
		l.step(now, place.WorkerGone{Worker: id})
	}
}
