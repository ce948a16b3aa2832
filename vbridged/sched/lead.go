package sched

import (
	"fmt"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/lease"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/proto"
	"vanillabridge/core/state"
	"vanillabridge/core/trace"
)

// attempt names one attempt of a task.
type attempt struct {
	task   model.TaskID
	number int
}

// lead is what the leader of a zone knows besides the replicated state.
type lead struct {
	*runner
	epoch   model.Epoch
	place   *place.Scheduler
	keeper  *lease.Keeper
	workers map[model.WorkerID]*worker
	noted   []*worker // with news since the last settle
	orders  map[model.TaskID]place.Order
	ends    map[attempt]proto.TaskEnd // reported, not yet committed
	next    batch                     // decisions of this round
	flying  uint64                    // number of the batch in flight, 0 for none
	placing map[attempt]struct{}      // assignments in flight
	stale   bool                      // the scheduler has to be made anew from the state
	known   map[model.JobID]bool      // services that the scheduler has
	expired clock.Millis              // when old records were last forgotten
	config  config
}

func newLead(r *runner, epoch model.Epoch, now clock.Millis) *lead {
	l := &lead{
		runner:  r,
		epoch:   epoch,
		place:   place.New(place.Config{Zone: r.options.Zone, Seed: r.options.Seed, Learned: r.learned}),
		keeper:  lease.NewKeeper(epoch, r.options.Lease),
		workers: map[model.WorkerID]*worker{},
		orders:  map[model.TaskID]place.Order{},
		ends:    map[attempt]proto.TaskEnd{},
		placing: map[attempt]struct{}{},
		known:   map[model.JobID]bool{},
	}
	l.options.Events.Record(trace.EpochChanged{Subject: trace.Subject{Zone: r.options.Zone}, Epoch: epoch})
	l.restore(now)
	return l
}

// restore hands the replicated state to the scheduler. Workers that hold tasks get a whole
// lease from now: an earlier leader may have answered them until just before.
func (l *lead) restore(now clock.Millis) {
	l.options.State.View(func(z *state.Zone) {
		z.Jobs(func(j *state.Job) { l.submit(now, j) })
		for id := range z.HeldWorkers() {
			z.Held(id, func(_ model.TaskID, t *state.Task) { l.keeper.Restore(now, id, t.Incarnation) })
		}
	})
	l.adoptConfig(now)
}

// submit hands the unfinished tasks of a job to the scheduler.
func (l *lead) submit(now clock.Millis, j *state.Job) {
	if j.Open == 0 {
		return
	}
	if j.Work.Service != nil {
		l.known[j.ID] = true
	}
	event := place.Submit{Job: j.ID, Work: j.Work.Work()}
	var dropped []int
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.IsEnded() {
			continue
		}
		event.Tasks = append(event.Tasks, placeTask(i, t))
		if j.Cancelled || t.Surplus {
			dropped = append(dropped, i)
		}
	}
	l.step(now, event)
	if len(dropped) > 0 {
		l.step(now, place.Cancel{Job: j.ID, Indexes: dropped})
	}
}

func placeTask(index int, t *state.Task) place.Task {
	task := place.Task{Index: index, Accepted: t.Queued, Attempt: t.Attempt, Saved: t.Saved}
	if t.IsHeld() {
		task.Placed = &place.Placed{Worker: t.Worker, Incarnation: t.Incarnation, Started: t.Started}
	}
	return task
}

// step drives the scheduler and collects its decisions.
func (l *lead) step(now clock.Millis, e place.Event) {
	for _, d := range l.place.Step(now, e) {
		l.decide(d)
	}
}

func (l *lead) decide(d place.Decision) {
	switch d := d.(type) {
	case place.Assign:
		l.next.assign(d)
	case place.Order:
		l.order(d)
	case place.Requeue:
		l.next.finish(state.TaskEnd{Task: d.Task, Attempt: d.Attempt, Next: proto.TaskWaiting, Reason: d.Reason, Saved: d.Saved})
		l.options.Events.Record(trace.Requeued{Subject: trace.Subject{Task: d.Task}, Attempt: d.Attempt, Reason: d.Reason})
	case place.Impossible:
		l.next.add(state.NoteJob{Job: d.Job, Reason: d.Reason})
	case place.Possible:
		l.next.add(state.NoteJob{Job: d.Job})
	case place.JobFailed:
		l.next.add(state.CancelJob{Job: d.Job, Reason: d.Reason, At: l.now(), Failed: true})
	case place.Suspended:
		l.options.Metrics.Suspended.Inc()
		l.options.Events.Record(trace.WorkerSuspended{Subject: trace.Subject{Worker: d.Worker}, Reason: d.Reason})
	case place.Resumed:
		l.options.Events.Record(trace.WorkerRestored{Subject: trace.Subject{Worker: d.Worker}})
	}
}

func (l *lead) order(d place.Order) {
	l.orders[d.Task] = d
	if w, ok := l.workers[d.Worker]; ok {
		l.note(w)
	}
	if d.Command != proto.CommandRun {
		l.options.Metrics.Orders.WithLabelValues(string(d.Command)).Inc()
		subject := trace.Subject{Task: d.Task, Worker: d.Worker}
		l.options.Events.Record(trace.Commanded{Subject: subject, Command: string(d.Command), Reason: d.Reason})
	}
}

func (l *lead) offer(now clock.Millis, job model.JobID, work model.Work) error {
	for _, d := range l.place.Step(now, place.Offer{Job: job, Work: work}) {
		refuse, ok := d.(place.Refuse)
		if !ok {
			l.decide(d)
			continue
		}
		l.options.Metrics.Refused.Inc()
		l.options.Events.Record(trace.Refused{Subject: trace.Subject{Job: job}, Reason: refuse.Reason})
		return Refusal{Reason: refuse.Reason, Retry: refuse.Retry}
	}
	return nil
}

// Refusal says that a job was not accepted; it is fault.ErrOverloaded.
type Refusal struct {
	Reason string
	Retry  clock.Millis // after which the job may be accepted
}

// Error returns the reason.
func (r Refusal) Error() string {
	return fmt.Sprintf("job refused: %s, retry in %s", r.Reason, r.Retry)
}

// RetryAfter returns when to try again, as a duration from now.
func (r Refusal) RetryAfter() clock.Millis { return r.Retry }

// Unwrap returns the sentinel.
func (Refusal) Unwrap() error { return fault.ErrOverloaded }

func (l *lead) tick(now clock.Millis) {
	l.loseWorkers(now)
	started := l.now()
	l.step(now, place.Tick{})
	l.options.Metrics.Round.Observe((l.now() - started).Std().Seconds())
	if now-l.expired >= expireEvery {
		l.expired = now
		l.next.add(state.Expire{At: now, Keep: l.config.runs})
	}
	l.measure()
	for _, w := range l.workers {
		if w.parked != nil && now-w.since >= holdSync {
			l.answer(now, w)
		}
	}
}

// settle proposes what was decided and answers the workers for whom there is news.
func (l *lead) settle(now clock.Millis) {
	l.propose()
	for _, w := range l.noted {
		if w.parked != nil && w.news {
			l.answer(now, w)
		}
	}
	l.noted = l.noted[:0]
}

// note marks that there is news for a worker, which it hears with its parked or next sync.
func (l *lead) note(w *worker) {
	w.news = true
	l.noted = append(l.noted, w)
}

func (l *lead) close() {
	for _, w := range l.workers {
		if w.parked != nil {
			w.parked.reply <- syncResult{err: fault.Wrap(fault.ErrNotLeader, "sync of worker %s", w.id)}
			w.parked = nil
		}
	}
}
