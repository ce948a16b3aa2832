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

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	task   model.TaskID
	number int
}

// leaderState is the state that the leader of a zone keeps in addition to the replicated state.
type leaderState struct {
	*runner
	epoch               model.Epoch
	placement           *place.Scheduler
	leases              *lease.Tracker
	workers             map[model.WorkerID]*worker
	changedWorkers      []*worker // marked by markChanged since the last proposeAndReply
	orders              map[model.TaskID]place.Order
	reportedEnds        map[attemptKey]proto.TaskEnd // reported by workers, not yet committed
	pending             batch                        // decisions not yet proposed
	batchInFlight       uint64                       // number of the proposed batch without a result, 0 for none
	assignmentsInFlight map[attemptKey]struct{}      // proposed, without a result
	needsReload         bool                         // placement differs from the replicated state
	knownServices       map[model.JobID]bool         // services that were submitted to placement
	lastExpiry          clock.Millis                 // time of the last Expire command
	config              appliedConfig
}

func newLeaderState(r *runner, epoch model.Epoch, now clock.Millis) *leaderState {
	l := &leaderState{
		runner:              r,
		epoch:               epoch,
		placement:           place.New(place.Config{Zone: r.options.Zone, Seed: r.options.Seed, UsageHistory: r.usageHistory}),
		leases:              r.leasesOf(epoch),
		workers:             map[model.WorkerID]*worker{},
		orders:              map[model.TaskID]place.Order{},
		reportedEnds:        map[attemptKey]proto.TaskEnd{},
		assignmentsInFlight: map[attemptKey]struct{}{},
		knownServices:       map[model.JobID]bool{},
	}
	l.options.Events.Record(trace.EpochChanged{Subject: trace.Subject{Zone: r.options.Zone}, Epoch: epoch})
	l.restoreFromState(now)
	return l
}

// leasesOf returns the leases of an epoch. They are kept when the state is reloaded, because they tell the present
// incarnation of a worker from ended ones that have learned the epoch too.
func (r *runner) leasesOf(epoch model.Epoch) *lease.Tracker {
	if r.leases == nil || r.leases.Epoch() != epoch {
		r.leases = lease.NewTracker(epoch, r.options.Lease)
	}
	return r.leases
}

// restoreFromState builds the placement state from the replicated state. Workers that hold tasks get a
// full lease from now, because an earlier leader may have renewed their lease until just before.
func (l *leaderState) restoreFromState(now clock.Millis) {
	l.options.State.View(func(z *state.Zone) {
		z.ForEachJob(func(j *state.Job) { l.submitJob(now, j) })
		for id := range z.ActiveTaskCounts() {
			z.ForEachActiveTask(id, func(_ model.TaskID, t *state.Task) { l.leases.Restore(now, id, t.Incarnation) })
		}
	})
	l.applyConfig(now)
}

// submitJob submits the unfinished tasks of a job to the placement scheduler.
func (l *leaderState) submitJob(now clock.Millis, j *state.Job) {
	if j.OpenTasks == 0 {
		return
	}
	if j.Work.Service != nil {
		l.knownServices[j.ID] = true
	}
	event := place.Submit{Job: j.ID, Work: j.Work.Decode()}
	var cancelled []int
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.IsEnded() {
			continue
		}
		event.Tasks = append(event.Tasks, toPlaceTask(now, i, t))
		if j.Cancelled || t.Surplus {
			cancelled = append(cancelled, i)
		}
	}
	l.stepPlacement(now, event)
	if len(cancelled) > 0 {
		l.stepPlacement(now, place.Cancel{Job: j.ID, Indexes: cancelled})
	}
}

// toPlaceTask returns a task with times of this process's clock. Another process, whose clock may have been ahead, recorded
// those of the state.
func toPlaceTask(now clock.Millis, index int, t *state.Task) place.Task {
	task := place.Task{Index: index, AcceptedAt: min(t.QueuedAt, now), Attempt: t.Attempt, CheckpointPercent: t.CheckpointPercent}
	if t.IsActive() {
		task.Assignment = &place.Assignment{Worker: t.Worker, Incarnation: t.Incarnation, StartedAt: min(t.StartedAt, now)}
	}
	return task
}

// stepPlacement passes an event to the placement scheduler and applies its decisions.
func (l *leaderState) stepPlacement(now clock.Millis, e place.Event) {
	for _, d := range l.placement.Step(now, e) {
		l.applyDecision(d)
	}
}

func (l *leaderState) applyDecision(d place.Decision) {
	switch d := d.(type) {
	case place.Assign:
		l.pending.addAssignments(d)
	case place.Order:
		l.recordOrder(d)
	case place.Requeue:
		l.pending.addEnd(state.TaskEnd{Task: d.Task, Attempt: d.Attempt, NextPhase: proto.TaskWaiting, Reason: d.Reason, CheckpointPercent: d.CheckpointPercent})
		l.options.Events.Record(trace.Requeued{Subject: trace.Subject{Task: d.Task}, Attempt: d.Attempt, Reason: d.Reason})
	case place.Impossible:
		l.pending.addCommand(state.SetJobReason{Job: d.Job, Reason: d.Reason})
	case place.Possible:
		l.pending.addCommand(state.SetJobReason{Job: d.Job})
	case place.JobFailed:
		l.pending.addCommand(state.CancelJob{Job: d.Job, Reason: d.Reason, At: l.now(), Failed: true})
	case place.Suspended:
		l.options.Metrics.WorkersSuspended.Inc()
		l.options.Events.Record(trace.WorkerSuspended{Subject: trace.Subject{Worker: d.Worker}, Reason: d.Reason})
	case place.Resumed:
		l.options.Events.Record(trace.WorkerRestored{Subject: trace.Subject{Worker: d.Worker}})
	}
}

func (l *leaderState) recordOrder(d place.Order) {
	l.orders[d.Task] = d
	if w, ok := l.workers[d.Worker]; ok {
		l.markChanged(w)
	}
	if d.Command != proto.CommandRun {
		l.options.Metrics.Orders.WithLabelValues(string(d.Command)).Inc()
		subject := trace.Subject{Task: d.Task, Worker: d.Worker}
		l.options.Events.Record(trace.Commanded{Subject: subject, Command: string(d.Command), Reason: d.Reason})
	}
}

func (l *leaderState) checkAdmission(now clock.Millis, job model.JobID, work model.Work) error {
	for _, d := range l.placement.Step(now, place.Offer{Job: job, Work: work}) {
		refuse, ok := d.(place.Refuse)
		if !ok {
			l.applyDecision(d)
			continue
		}
		l.options.Metrics.JobsRefused.Inc()
		l.options.Events.Record(trace.Refused{Subject: trace.Subject{Job: job}, Reason: refuse.Reason})
		return Refusal{Reason: refuse.Reason, Delay: refuse.RetryAfter}
	}
	return nil
}

// Refusal is the error for a job that was not admitted; it wraps fault.ErrOverloaded.
type Refusal struct {
	Reason string
	Delay  clock.Millis // time to wait before the job may be admitted
}

// Error returns the reason and the time to wait before a retry.
func (r Refusal) Error() string {
	return fmt.Sprintf("job refused: %s, retry in %s", r.Reason, r.Delay)
}

// RetryAfter returns the time to wait before a retry.
func (r Refusal) RetryAfter() clock.Millis { return r.Delay }

// Unwrap returns fault.ErrOverloaded.
func (Refusal) Unwrap() error { return fault.ErrOverloaded }

func (l *leaderState) tick(now clock.Millis) {
	l.removeExpiredWorkers(now)
	started := l.now()
	l.stepPlacement(now, place.Tick{})
	l.options.Metrics.RoundDuration.Observe((l.now() - started).Duration().Seconds())
	if now-l.lastExpiry >= expiryInterval {
		l.lastExpiry = now
		l.pending.addCommand(state.Expire{At: now, KeepJobs: l.config.configuredRuns})
	}
	l.updateGauges()
	for _, w := range l.workers {
		if w.parkedSync != nil && now-w.parkedAt >= maxParkedTime {
			l.replyToParked(now, w)
		}
	}
}

// proposeAndReply proposes the pending decisions and answers the open syncs of workers that have
// changes.
func (l *leaderState) proposeAndReply(now clock.Millis) {
	l.proposePending()
	for _, w := range l.changedWorkers {
		if w.parkedSync != nil && w.hasChanges {
			l.replyToParked(now, w)
		}
	}
	l.changedWorkers = l.changedWorkers[:0]
}

// markChanged records that a worker has changes to receive, with its parked sync or its next one.
func (l *leaderState) markChanged(w *worker) {
	w.hasChanges = true
	l.changedWorkers = append(l.changedWorkers, w)
}

// close rejects the parked syncs of all workers.
func (l *leaderState) close() {
	for _, w := range l.workers {
		if w.parkedSync != nil {
			w.parkedSync.reply <- syncResult{err: fault.Wrap(fault.ErrNotLeader, "sync of worker %s ended: this instance stopped leading or reloads its state", w.id)}
			w.parkedSync = nil
		}
	}
}
