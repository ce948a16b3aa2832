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
	// DefaultDuration is the default duration of a lease.
	DefaultDuration = 10 * clock.Second
	// maxClockDriftPercent bounds how much slower than the leader's clock a worker's clock may run.
	maxClockDriftPercent = 5
	// killAllowance covers the time that a worker needs to kill a process.
	killAllowance = clock.Second
)

// ExpiryTimeout returns the time after the last answer to a worker from which a lease of the given
// duration has certainly ended on the worker, allowing for clock drift and the killing of processes.
func ExpiryTimeout(duration clock.Millis) clock.Millis {
	return duration + duration.Percent(maxClockDriftPercent) + killAllowance
}

// Verdict states how the leader treats a sync request.
type Verdict uint8

// The verdicts.
const (
	// Stale requests are not answered: the worker has a later request, incarnation or epoch.
	Stale Verdict = iota
	// Unconfirmed requests are answered without tasks. Only a request that carries this leader's
	// epoch confirms the worker's incarnation; one without it may be a delayed request of an earlier
	// one.
	Unconfirmed
	// Current requests are reported to the scheduler and answered with the assigned tasks.
	Current
)

// Tracker tracks the leases that a leader grants during one epoch: it decides which requests are
// current and which leases have certainly ended. There must be only one for an epoch: a second one would
// not know in which order the incarnations that have learned the epoch ran. It is not safe for concurrent use.
type Tracker struct {
	epoch         model.Epoch
	expiryTimeout clock.Millis
	workers       map[model.WorkerID]*workerRecord
}

// workerRecord is the state of a worker. Its incarnations are in the order in which the leader first
// received a request from them, which may differ from the order of their starts. An incarnation that
// no longer runs receives no answer and never learns this epoch, so it cannot become current.
// Hence every incarnation before the current one has ended.
type workerRecord struct {
	incarnations []model.Incarnation
	current      int // index of the confirmed incarnation; -1 if none is confirmed
	lastSeq      uint64
	answeredAt   clock.Millis
	leased       bool
}

// NewTracker returns a Tracker without workers for the leader of an epoch that grants leases of the
// given duration.
func NewTracker(epoch model.Epoch, duration clock.Millis) *Tracker {
	return &Tracker{epoch: epoch, expiryTimeout: ExpiryTimeout(duration), workers: make(map[model.WorkerID]*workerRecord)}
}

// Epoch returns the epoch of the leader.
func (t *Tracker) Epoch() model.Epoch { return t.epoch }

// Restore adds a worker that holds tasks according to durable state. A new leader calls it when it is
// elected: the previous leader may have renewed the worker's lease up to that moment. A leader that reads
// its state anew may call it again.
func (t *Tracker) Restore(now clock.Millis, w model.WorkerID, incarnation model.Incarnation) {
	r, ok := t.workers[w]
	if !ok {
		r = &workerRecord{}
		t.workers[w] = r
	}
	r.answeredAt, r.leased = now, true
	if !slices.Contains(r.incarnations, incarnation) {
		r.incarnations = append(r.incarnations, incarnation)
	}
}

// Receive classifies a request and records it when it is current.
func (t *Tracker) Receive(now clock.Millis, req proto.SyncRequest) Verdict {
	if req.Epoch > t.epoch {
		return Stale
	}
	r, ok := t.workers[req.Worker]
	if !ok {
		r = &workerRecord{current: -1}
		t.workers[req.Worker] = r
	}
	i := slices.Index(r.incarnations, req.Incarnation)
	switch {
	case i < 0:
		r.incarnations = append(r.incarnations, req.Incarnation)
		return Unconfirmed
	case i < r.current, i == r.current && req.Seq <= r.lastSeq:
		return Stale
	case i > r.current && req.Epoch != t.epoch:
		return Unconfirmed
	}
	if !r.leased || i != r.current {
		r.leased, r.answeredAt = true, now
	}
	r.current, r.lastSeq = i, req.Seq
	return Current
}

// RecordAnswer records that an answer with tasks, which renews the lease, is sent to the worker.
func (t *Tracker) RecordAnswer(now clock.Millis, w model.WorkerID) {
	if r, ok := t.workers[w]; ok {
		r.answeredAt = now
	}
}

// ExpireLeases returns the workers whose lease has certainly ended, each once per lease. Their
// incarnations are kept, so that delayed requests from them are recognized.
func (t *Tracker) ExpireLeases(now clock.Millis) []model.WorkerID {
	var expired []model.WorkerID
	for w, r := range t.workers {
		if r.leased && now-r.answeredAt > t.expiryTimeout {
			expired = append(expired, w)
			r.leased = false
		}
	}
	slices.Sort(expired)
	return expired
}

func compareTaskIDs(a, b model.TaskID) int {
	return cmp.Or(strings.Compare(string(a.Job), string(b.Job)), cmp.Compare(a.Index, b.Index))
}
