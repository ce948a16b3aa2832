package sched

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/proto"
	"vanillabridge/core/state"
)

// Scheduler runs placement while its instance leads the zone.
type Scheduler struct {
	options Options
	wake    chan struct{}

	workers atomic.Int64 // that report to this leader

	mu    sync.Mutex
	queue []input
}

// input is what the goroutine of the scheduler reacts to.
type input interface{ input() }

type syncInput struct {
	request proto.SyncRequest
	reply   chan<- syncResult
}

type syncResult struct {
	reply proto.SyncReply
	err   error
}

type offerInput struct {
	job   model.JobID
	work  model.Work
	reply chan<- error
}

type changeInput struct{ change state.Change }

type leadInput struct {
	epoch   model.Epoch
	leading bool
}

type caughtUp struct {
	epoch model.Epoch
	err   error
}

type committed struct {
	epoch  model.Epoch
	batch  batch
	result state.Result
	err    error
}

func (syncInput) input()   {}
func (offerInput) input()  {}
func (changeInput) input() {}
func (leadInput) input()   {}
func (caughtUp) input()    {}
func (committed) input()   {}

// New returns a scheduler that does nothing until Run.
func New(options Options) *Scheduler {
	return &Scheduler{options: options, wake: make(chan struct{}, 1)}
}

// Lead tells the scheduler that its instance leads the zone's group in a term, or no longer.
func (s *Scheduler) Lead(epoch model.Epoch, leading bool) {
	s.push(leadInput{epoch: epoch, leading: leading})
}

// Changed tells the scheduler of a committed change; it does not block.
func (s *Scheduler) Changed(c state.Change) { s.push(changeInput{change: c}) }

// Sync answers a worker. It fails with fault.ErrNotLeader on an instance that does not lead.
func (s *Scheduler) Sync(ctx context.Context, r proto.SyncRequest) (proto.SyncReply, error) {
	reply := make(chan syncResult, 1)
	s.push(syncInput{request: r, reply: reply})
	select {
	case got := <-reply:
		return got.reply, got.err
	case <-ctx.Done():
		return proto.SyncReply{}, fault.Wrap(fault.ErrUnknown, "sync of worker %s: %v", r.Worker, ctx.Err())
	}
}

// Offer asks whether a job may be accepted now; the error is fault.ErrOverloaded if not.
func (s *Scheduler) Offer(ctx context.Context, job model.JobID, work model.Work) error {
	reply := make(chan error, 1)
	s.push(offerInput{job: job, work: work, reply: reply})
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return fault.Wrap(fault.ErrUnavailable, "offer of job %s: %v", job, ctx.Err())
	}
}

// Workers returns the number of workers that report to this instance as their leader.
func (s *Scheduler) Workers() int { return int(s.workers.Load()) }

// Run serves until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery.Std())
	defer ticker.Stop()
	r := &runner{Scheduler: s, ctx: ctx}
	defer r.follow()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.tick()
		case <-s.wake:
			r.handle(s.take())
		}
	}
}

func (s *Scheduler) push(i input) {
	s.mu.Lock()
	s.queue = append(s.queue, i)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Scheduler) take() []input {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.queue
	s.queue = nil
	return list
}

// runner is the state of the goroutine; lead is nil while the instance does not lead.
type runner struct {
	*Scheduler
	ctx     context.Context
	lead    *lead
	learned place.Learned // by earlier leaderships of this process
	batches uint64        // number of the last batch
}

func (r *runner) now() clock.Millis { return r.options.Clock.Now() }

func (r *runner) handle(inputs []input) {
	for _, i := range inputs {
		r.handleOne(i)
	}
	if r.lead == nil {
		return
	}
	if r.lead.stale {
		r.restart(r.lead.epoch)
		return
	}
	r.lead.settle(r.now())
}

func (r *runner) handleOne(i input) {
	switch i := i.(type) {
	case leadInput:
		r.changeRole(i)
	case caughtUp:
		r.begin(i)
	case syncInput:
		r.sync(i)
	case offerInput:
		r.offer(i)
	case changeInput:
		if r.lead != nil {
			r.lead.changed(r.now(), i.change)
		}
	case committed:
		r.committed(i)
	}
}

func (r *runner) tick() {
	if r.lead == nil {
		return
	}
	if _, leading := r.options.Leadership.Leading(); !leading {
		return // the lease may come back; a lost leadership arrives as leadInput
	}
	r.lead.tick(r.now())
	r.lead.settle(r.now())
}

func (r *runner) changeRole(i leadInput) {
	r.follow()
	if !i.leading {
		return
	}
	klog.InfoS("leads the zone", "zone", r.options.Zone, "epoch", i.epoch)
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout.Std())
		defer cancel()
		// This entry follows everything that earlier leaders, or an earlier proposal whose
		// outcome is not known, have left in the log; it changes nothing itself.
		_, err := r.options.Log.Propose(ctx, state.Expire{})
		r.push(caughtUp{epoch: i.epoch, err: err})
	}()
}

// begin starts placing once the replica has caught up with what earlier leaders committed.
func (r *runner) begin(i caughtUp) {
	epoch, leading := r.options.Leadership.Leading()
	if !leading || epoch != i.epoch {
		return
	}
	if i.err != nil {
		klog.ErrorS(i.err, "catch up with the zone log failed, trying again", "epoch", i.epoch)
		r.changeRole(leadInput{epoch: epoch, leading: true})
		return
	}
	r.lead = newLead(r, epoch, r.now())
}

// follow drops all that only a leader knows; workers find the new leader with their next sync.
func (r *runner) follow() {
	if r.lead == nil {
		return
	}
	r.lead.close()
	r.learned = r.lead.place.Learned()
	r.lead = nil
	r.workers.Store(0)
}

// restart reads the state anew after a proposal whose outcome is not known.
func (r *runner) restart(epoch model.Epoch) {
	r.changeRole(leadInput{epoch: epoch, leading: true})
}

func (r *runner) sync(i syncInput) {
	epoch, leading := r.options.Leadership.Leading()
	if r.lead == nil || !leading || epoch != r.lead.epoch {
		i.reply <- syncResult{err: fault.Wrap(fault.ErrNotLeader, "sync of worker %s", i.request.Worker)}
		return
	}
	if i.request.Zone != r.options.Zone {
		i.reply <- syncResult{err: fault.Wrap(fault.ErrInvalid, "zone %q of worker %s is not %q", i.request.Zone, i.request.Worker, r.options.Zone)}
		return
	}
	if i.request.Epoch > epoch {
		i.reply <- syncResult{err: fault.Wrap(fault.ErrNotLeader, "worker %s has seen epoch %d, this is %d", i.request.Worker, i.request.Epoch, epoch)}
		return
	}
	r.lead.sync(r.now(), i)
}

func (r *runner) offer(i offerInput) {
	if r.lead == nil {
		i.reply <- fault.Wrap(fault.ErrNotLeader, "offer of job %s", i.job)
		return
	}
	i.reply <- r.lead.offer(r.now(), i.job, i.work)
}

func (r *runner) committed(i committed) {
	if r.lead == nil || r.lead.epoch != i.epoch || r.lead.flying != i.batch.number {
		return
	}
	if i.err != nil {
		klog.ErrorS(i.err, "commit of placements failed, reading the state anew", "epoch", i.epoch)
		r.restart(i.epoch)
		return
	}
	r.lead.committed(r.now(), i.batch, i.result)
}
