package lease

import (
	"cmp"
	"slices"
	"strings"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

const (
	// Time is the length of the lease that a leader grants with an answer.
	Time = 10 * clock.Second
	// drift is how much slower than the leader's clock a worker's clock may run, in percent.
	drift = 5
	// slack covers the time that a worker needs to kill a process.
	slack = clock.Second
)

// Silence is the time after the last answer to a worker from which its lease has surely ended.
const Silence = Time + Time*drift/100 + slack

// Verdict says how the leader treats a sync request.
type Verdict uint8

// The verdicts.
const (
	// Stale requests are not answered: a later request or a later life of the worker was seen.
	Stale Verdict = iota
	// Greet asks for an answer without tasks. The worker's life is proved only by a request that
	// carries this leader's epoch; until then the request may be a delayed one of an earlier life.
	Greet
	// Current requests are reported to the scheduler and answered with the assigned tasks.
	Current
)

// Keeper is the leader's side of the leases, for one epoch: it tells which requests are current
// and which workers have surely lost their lease. It is not safe for concurrent use.
type Keeper struct {
	epoch   model.Epoch
	workers map[model.WorkerID]*life
	dead    map[model.WorkerID][]model.Incarnation
}

type life struct {
	incarnation model.Incarnation
	seq         uint64
	answered    clock.Millis
}

// NewKeeper returns a Keeper without workers for the leader of the epoch.
func NewKeeper(epoch model.Epoch) *Keeper {
	return &Keeper{
		epoch:   epoch,
		workers: make(map[model.WorkerID]*life),
		dead:    make(map[model.WorkerID][]model.Incarnation),
	}
}

// Restore adds a worker that holds tasks according to durable state. A new leader calls it at its
// election, because the last leader may have answered the worker until then.
func (k *Keeper) Restore(now clock.Millis, w model.WorkerID, incarnation model.Incarnation) {
	k.workers[w] = &life{incarnation: incarnation, answered: now}
}

// Receive judges a request.
func (k *Keeper) Receive(now clock.Millis, req proto.SyncRequest) Verdict {
	if req.Epoch > k.epoch || slices.Contains(k.dead[req.Worker], req.Incarnation) {
		return Stale
	}
	l, ok := k.workers[req.Worker]
	switch {
	case ok && l.incarnation == req.Incarnation:
		if req.Seq <= l.seq {
			return Stale
		}
		l.seq = req.Seq
		return Current
	case req.Epoch != k.epoch:
		return Greet
	case ok:
		k.dead[req.Worker] = append(k.dead[req.Worker], l.incarnation)
	}
	k.workers[req.Worker] = &life{incarnation: req.Incarnation, seq: req.Seq, answered: now}
	return Current
}

// Answered notes that an answer with tasks is sent to the worker.
func (k *Keeper) Answered(now clock.Millis, w model.WorkerID) {
	if l, ok := k.workers[w]; ok {
		l.answered = now
	}
}

// Gone returns and forgets the workers whose lease has surely ended.
func (k *Keeper) Gone(now clock.Millis) []model.WorkerID {
	var gone []model.WorkerID
	for w, l := range k.workers {
		if now-l.answered > Silence {
			gone = append(gone, w)
			delete(k.workers, w)
		}
	}
	slices.Sort(gone)
	return gone
}

func compare(a, b model.TaskID) int {
	return cmp.Or(strings.Compare(string(a.Job), string(b.Job)), cmp.Compare(a.Index, b.Index))
}
