package sched

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/proto"
	"vanillabridge/core/state"
	"vanillabridge/core/trace"
)

// worker is what the leader knows of a worker.
type worker struct {
	id          model.WorkerID
	incarnation model.Incarnation
	known       bool // it has reported to this leader
	seq         uint64
	answered    clock.Millis // when the last answer was sent, which may have renewed its lease
	parked      *syncInput   // a sync that waits for news
	since       clock.Millis // when it was parked
	news        bool         // something changed for the worker
	size        model.Size
	used        model.Size
	retired     []model.Incarnation // earlier lives, whose late requests are refused
	candidate   model.Incarnation   // another life that is not yet believed
	seen        int                 // syncs of the candidate
}

func (l *lead) sync(now clock.Millis, i syncInput) {
	w, err := l.admit(i.request)
	if err != nil {
		i.reply <- syncResult{err: err}
		return
	}
	w.seq = i.request.Seq
	w.size = i.request.Size
	l.report(now, w, i.request)
	l.park(now, w, i)
}

// admit finds the worker and checks that the request comes from its current life.
func (l *lead) admit(r proto.SyncRequest) (*worker, error) {
	w, ok := l.workers[r.Worker]
	if !ok {
		w = &worker{id: r.Worker, incarnation: r.Incarnation}
		l.workers[r.Worker] = w
	}
	for _, old := range w.retired {
		if old == r.Incarnation {
			return nil, fault.Wrap(fault.ErrInvalid, "incarnation %d of worker %s was replaced", r.Incarnation, r.Worker)
		}
	}
	if r.Incarnation != w.incarnation && !w.believe(r) {
		return nil, fault.Wrap(fault.ErrUnavailable, "worker %s restarted; waiting for more of its syncs", r.Worker)
	}
	if w.known && r.Seq <= w.seq {
		return nil, fault.Wrap(fault.ErrInvalid, "sync %d of worker %s is older than %d", r.Seq, r.Worker, w.seq)
	}
	if !w.known {
		w.known = true
		l.options.Events.Record(trace.WorkerJoined{Subject: trace.Subject{Worker: r.Worker}})
	}
	return w, nil
}

// believe counts the syncs of another life of the worker, and takes it over after a few.
func (w *worker) believe(r proto.SyncRequest) bool {
	if w.candidate != r.Incarnation {
		w.candidate, w.seen = r.Incarnation, 0
	}
	w.seen++
	if w.seen < incarnationSyncs {
		return false
	}
	w.retired = append(w.retired, w.incarnation)
	w.incarnation = r.Incarnation
	w.candidate, w.known, w.seq = 0, false, 0
	return true
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
	w.news = w.news || l.hasNews(w, i.request)
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

func (l *lead) answerParked(now clock.Millis, w *worker) {
	if w.parked != nil && (w.news || now-w.since >= holdSync) {
		l.answer(now, w)
	}
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
	w.answered = now
	reply := proto.SyncReply{Epoch: l.epoch, Seq: i.request.Seq, Lease: l.options.Lease, Leader: l.options.Address}
	l.options.State.View(func(z *state.Zone) {
		reply.Tasks = l.assigned(z, w, i.request)
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
	limit := l.options.Lease + l.options.Lease.Percent(driftPercent) + leaseMargin
	for id, w := range l.workers {
		if w.parked != nil || now-w.answered <= limit {
			continue
		}
		delete(l.workers, id)
		l.options.Events.Record(trace.WorkerLost{Subject: trace.Subject{Worker: id}, Reason: "lease ended"})
		l.options.Metrics.Lost.Inc()
		l.step(now, place.WorkerGone{Worker: id})
	}
}
