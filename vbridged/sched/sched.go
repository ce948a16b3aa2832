package sched

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/lease"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/proto"
	"vanillabridge/core/state"
)

// Scheduler places the tasks of a zone on workers while its instance leads the zone.
type Scheduler struct {
	options Options
	wake    chan struct{}

	workerCount atomic.Int64 // number of workers that sync with this leader

	mu    sync.Mutex
	queue []input
}

// input is an event in the queue of the scheduler's goroutine.
type input interface{ isInput() }

type syncInput struct {
	request proto.SyncRequest
	reply   chan<- syncResult
}

type syncResult struct {
	reply proto.SyncReply
	err   error
}

type admissionInput struct {
	job   model.JobID
	work  model.Work
	reply chan<- error
}

type changeInput struct{ change state.Change }

type roleInput struct {
	epoch   model.Epoch
	leading bool
}

type caughtUpInput struct {
	epoch model.Epoch
	err   error
}

type commitInput struct {
	epoch  model.Epoch
	batch  batch
	result state.Result
	err    error
}

func (syncInput) isInput()      {}
func (admissionInput) isInput() {}
func (changeInput) isInput()    {}
func (roleInput) isInput()      {}
func (caughtUpInput) isInput()  {}
func (commitInput) isInput()    {}

// New returns a scheduler, which handles no inputs before Run is called.
func New(options Options) *Scheduler {
	return &Scheduler{options: options, wake: make(chan struct{}, 1)}
}

// SetRole informs the scheduler that its instance has started or stopped leading the zone's group.
// The epoch is the term of the group.
func (s *Scheduler) SetRole(epoch model.Epoch, leading bool) {
	s.enqueue(roleInput{epoch: epoch, leading: leading})
}

// NotifyChange informs the scheduler of a committed change; it does not block.
func (s *Scheduler) NotifyChange(c state.Change) { s.enqueue(changeInput{change: c}) }

// Sync handles a worker's sync request and returns the reply. It fails with fault.ErrNotLeader on an
// instance that does not lead.
func (s *Scheduler) Sync(ctx context.Context, r proto.SyncRequest) (proto.SyncReply, error) {
	reply := make(chan syncResult, 1)
	s.enqueue(syncInput{request: r, reply: reply})
	select {
	case got := <-reply:
		return got.reply, got.err
	case <-ctx.Done():
		return proto.SyncReply{}, fault.Wrap(fault.ErrUnknown, "sync of worker %s ended without a reply: %v", r.Worker, ctx.Err())
	}
}

// CheckAdmission checks whether a job is admitted now; the error wraps fault.ErrOverloaded if it is
// not.
func (s *Scheduler) CheckAdmission(ctx context.Context, job model.JobID, work model.Work) error {
	reply := make(chan error, 1)
	s.enqueue(admissionInput{job: job, work: work, reply: reply})
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return fault.Wrap(fault.ErrUnavailable, "admission check of job %s ended without a result: %v", job, ctx.Err())
	}
}

// WorkerCount returns the number of workers that sync with this instance as their leader.
func (s *Scheduler) WorkerCount() int { return int(s.workerCount.Load()) }

// Run handles inputs and timers until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	r := &runner{Scheduler: s, ctx: ctx}
	defer r.stopLeading()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.tick()
		case <-s.wake:
			r.handleInputs(s.takeInputs())
		}
	}
}

func (s *Scheduler) enqueue(i input) {
	s.mu.Lock()
	s.queue = append(s.queue, i)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Scheduler) takeInputs() []input {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.queue
	s.queue = nil
	return list
}

// runner holds the state that only the scheduler's goroutine uses. The field leader is nil while the
// instance does not lead.
type runner struct {
	*Scheduler
	ctx          context.Context
	leader       *leaderState
	usageHistory place.UsageHistory // resource use and run times learned in earlier terms of this process
	lastBatch    uint64             // number of the last proposed batch
	leases       *lease.Tracker     // of the last epoch in which this process led
}

func (r *runner) now() clock.Millis { return r.options.Clock.Now() }

func (r *runner) handleInputs(inputs []input) {
	for _, i := range inputs {
		r.handleInput(i)
	}
	if r.leader == nil {
		return
	}
	if r.leader.needsReload {
		r.reloadState(r.leader.epoch)
		return
	}
	r.leader.proposeAndReply(r.now())
}

func (r *runner) handleInput(i input) {
	switch i := i.(type) {
	case roleInput:
		r.handleRole(i)
	case caughtUpInput:
		r.startLeading(i)
	case syncInput:
		r.handleSync(i)
	case admissionInput:
		r.handleAdmission(i)
	case changeInput:
		if r.leader != nil {
			r.leader.applyChange(r.now(), i.change)
		}
	case commitInput:
		r.handleCommit(i)
	}
}

func (r *runner) tick() {
	if r.leader == nil {
		return
	}
	if _, leading := r.options.Leadership.Leading(); !leading {
		return // the leader lease may be renewed; the loss of leadership arrives as a roleInput
	}
	r.leader.tick(r.now())
	r.leader.proposeAndReply(r.now())
}

func (r *runner) handleRole(i roleInput) {
	r.stopLeading()
	if !i.leading {
		return
	}
	klog.InfoS("leading the zone; catching up with the zone log", "zone", r.options.Zone, "epoch", i.epoch)
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout.Duration())
		defer cancel()
		// This entry follows all entries that earlier leaders, or an earlier proposal with
		// unknown outcome, left in the log. Once it is applied, the replica has caught up. It
		// changes nothing itself.
		_, err := r.options.Log.Propose(ctx, state.Expire{})
		r.enqueue(caughtUpInput{epoch: i.epoch, err: err})
	}()
}

// startLeading starts the placement of tasks once the replica has applied all that earlier leaders
// committed.
func (r *runner) startLeading(i caughtUpInput) {
	epoch, leading := r.options.Leadership.Leading()
	if !leading || epoch != i.epoch {
		return
	}
	if i.err != nil {
		klog.ErrorS(i.err, "catching up with the zone log failed; retrying", "epoch", i.epoch)
		r.handleRole(roleInput{epoch: epoch, leading: true})
		return
	}
	r.leader = newLeaderState(r, epoch, r.now())
}

// stopLeading drops the state that only a leader has and rejects the open syncs, so that workers find
// the new leader with their next sync.
func (r *runner) stopLeading() {
	if r.leader == nil {
		return
	}
	r.leader.close()
	r.usageHistory = r.leader.placement.UsageHistory()
	r.leader = nil
	r.workerCount.Store(0)
}

// reloadState discards the placement state and builds it again from the replicated state, as after a
// proposal with unknown outcome.
func (r *runner) reloadState(epoch model.Epoch) {
	r.handleRole(roleInput{epoch: epoch, leading: true})
}

func (r *runner) handleSync(i syncInput) {
	epoch, leading := r.options.Leadership.Leading()
	if r.leader == nil || !leading || epoch != r.leader.epoch {
		i.reply <- syncResult{err: fault.Wrap(fault.ErrNotLeader, "sync of worker %s refused", i.request.Worker)}
		return
	}
	if i.request.Zone != r.options.Zone {
		i.reply <- syncResult{err: fault.Wrap(fault.ErrInvalid, "zone %q in sync of worker %s is wrong: this leader serves zone %q", i.request.Zone, i.request.Worker, r.options.Zone)}
		return
	}
	if i.request.Epoch > epoch {
		i.reply <- syncResult{err: fault.Wrap(fault.ErrNotLeader, "sync of worker %s refused: the worker has seen epoch %d, this leader has the older epoch %d", i.request.Worker, i.request.Epoch, epoch)}
		return
	}
	r.leader.handleSync(r.now(), i)
}

func (r *runner) handleAdmission(i admissionInput) {
	if r.leader == nil {
		i.reply <- fault.Wrap(fault.ErrNotLeader, "admission check of job %s refused", i.job)
		return
	}
	i.reply <- r.leader.checkAdmission(r.now(), i.job, i.work)
}

func (r *runner) handleCommit(i commitInput) {
	if r.leader == nil || r.leader.epoch != i.epoch || r.leader.batchInFlight != i.batch.number {
		return
	}
	if i.err != nil {
		klog.ErrorS(i.err, "commit of placement decisions failed; reloading the replicated state", "epoch", i.epoch)
		r.reloadState(i.epoch)
		return
	}
	r.leader.handleCommitResult(r.now(), i.batch, i.result)
}
