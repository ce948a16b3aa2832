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
	// Time is the length of a lease unless the settings give another.
	Time = 10 * clock.Second
	// drift is how much slower than the leader's clock a worker's clock may run, in percent.
	drift = 5
	// slack covers the time that a worker needs to kill a process.
	slack = clock.Second
)

// Silence returns the time after the last answer to a worker from which a lease of the given
// length has surely ended.
func Silence(length clock.Millis) clock.Millis { return length + length.Percent(drift) + slack }

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
	silence clock.Millis
	workers map[model.WorkerID]*record
}

// record is what is known of a worker. Its lives are listed in the order in which they were first
// heard of. A life that is heard of after a later one of the same worker is dead already; it gets
// no answer and hence never carries this epoch. So every life before the present one is over.
type record struct {
	lives    []model.Incarnation
	present  int // index of the present life; -1 if none is proved
	seq      uint64
	answered clock.Millis
	leased   bool
}

// NewKeeper returns a Keeper without workers for the leader of the epoch, which grants leases
// of the given length.
func NewKeeper(epoch model.Epoch, length clock.Millis) *Keeper {
	return &Keeper{epoch: epoch, silence: Silence(length), workers: make(map[model.WorkerID]*record)}
}

// Restore adds a worker that holds tasks according to durable state. A new leader calls it at its
// election, because the last leader may have answered the worker until then.
func (k *Keeper) Restore(now clock.Millis, w model.WorkerID, incarnation model.Incarnation) {
	r, ok := k.workers[w]
	if !ok {
		r = &record{}
		k.workers[w] = r
	}
	r.answered, r.leased = now, true
	if !slices.Contains(r.lives, incarnation) {
		r.lives = append(r.lives, incarnation)
	}
}

// Receive judges a request.
func (k *Keeper) Receive(now clock.Millis, req proto.SyncRequest) Verdict {
	if req.Epoch > k.epoch {
		return Stale
	}
	r, ok := k.workers[req.Worker]
	if !ok {
		r = &record{present: -1}
		k.workers[req.Worker] = r
	}
	at := slices.Index(r.lives, req.Incarnation)
	switch {
	case at < 0:
		r.lives = append(r.lives, req.Incarnation)
		return Greet
	case at < r.present, at == r.present && req.Seq <= r.seq:
		return Stale
	case at > r.present && req.Epoch != k.epoch:
		return Greet
	}
	if !r.leased || at != r.present {
		r.leased, r.answered = true, now
	}
	r.present, r.seq = at, req.Seq
	return Current
}

// Answered notes that an answer with tasks is sent to the worker.
func (k *Keeper) Answered(now clock.Millis, w model.WorkerID) {
	if r, ok := k.workers[w]; ok {
		r.answered = now
	}
}

// Gone returns the workers whose lease has surely ended since the last call. Their lives stay
// known, so that delayed requests of them are recognised.
func (k *Keeper) Gone(now clock.Millis) []model.WorkerID {
	var gone []model.WorkerID
	for w, r := range k.workers {
		if r.leased && now-r.answered > k.silence {
			gone = append(gone, w)
			r.leased = false
		}
	}
	slices.Sort(gone)
	return gone
}

func compare(a, b model.TaskID) int {
	return cmp.Or(strings.Compare(string(a.Job), string(b.Job)), cmp.Compare(a.Index, b.Index))
}
