package admit

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

const (
	// firstCost is the slot time charged for the first request of a flow, which has no
	// measured one.
	firstCost = 10.0
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.1
	// recentTime is how long a flow counts in the division after its last request.
	recentTime = 10 * clock.Second
	// reserveDivisor sets the part of the slots that flows above their share leave free for
	// the others, so that a newcomer doesn't wait for a long request to end.
	reserveDivisor = 8
	// minPause and maxPause bound the hint when to try again.
	minPause = 1 * clock.Second
	// refusedTime is how long a refusal for its deadline counts as a wait.
	refusedTime = 1 * clock.Second
	// margin is the time to its deadline, in average slot times, below which a request that
	// has waited isn't started: most such requests would be cut off in the middle.
	margin   = 2.0
	maxPause = 30 * clock.Second
)

// ID names a waiting request.
type ID uint64

// Flow is what fair shares are divided among.
type Flow struct {
	Caller model.Caller
	Class  model.Urgency
}

// ClassWeight returns the weight of a class, which its callers' shares multiply.
func ClassWeight(u model.Urgency) int {
	switch u {
	case model.Urgent:
		return 5
	case model.Normal:
		return 3
	default:
		return 2
	}
}

// Request is a request that asks for a permit.
type Request struct {
	ID       ID
	Flow     Flow
	Share    int // of the caller
	Deadline clock.Millis
}

// Cause says why a request was refused.
type Cause string

// The causes of a refusal.
const (
	CauseQueue    Cause = "queue"
	CauseDeadline Cause = "deadline"
)

// Verdict is one of Queued, Displaced and Refused.
type Verdict interface{ verdict() }

// Queued says that the request waits.
type Queued struct{}

// Displaced says that the request waits in place of another one, which is refused.
type Displaced struct{ Victim Refusal }

// Refused says that the request doesn't wait.
type Refused struct{ Refusal }

// Refusal describes a refused request.
type Refusal struct {
	ID    ID
	Cause Cause
	After clock.Millis // hint when to try again
}

func (Queued) verdict()    {}
func (Displaced) verdict() {}
func (Refused) verdict()   {}

type item struct {
	Request
	arrived clock.Millis
}

// last returns the last instant at which the request is worth starting. Half of its time is
// always left for waiting, so that a short deadline is tried rather than refused.
func (i item) last(f *flow) clock.Millis {
	return i.Deadline - min(clock.Millis(margin*f.cost), (i.Deadline-i.arrived)/2)
}

type flow struct {
	name    Flow
	weight  float64
	tag     float64 // virtual time at which the next request starts
	cost    float64 // moving average of slot time, in milliseconds
	waiting []item
	running int
	seen    clock.Millis
}

// Queue holds the waiting requests of one service on one entry instance.
//
// It is start-time fair queueing over flows, charged with slot time: the flow with the
// smallest virtual time is next, and its virtual time grows by the slot time over its weight.
type Queue struct {
	limit   int
	flows   map[Flow]*flow
	list    []*flow // in the order of their first request
	virtual float64
	waiting int
	running int
	late    []Refusal    // became too late at the head of a flow
	refused clock.Millis // last refusal for a deadline
	missed  clock.Millis // the wait that it would have had
	gap     float64      // moving average of the time between starts while requests wait, in ms
	last    clock.Millis // last start
}

// New returns a queue in which at most limit requests wait.
func New(limit int) *Queue { return &Queue{limit: max(1, limit), flows: map[Flow]*flow{}} }

// SetLimit changes the bound.
func (q *Queue) SetLimit(n int) { q.limit = max(1, n) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Wait returns the expected wait of a request of average weight that arrives now.
func (q *Queue) Wait(now clock.Millis) clock.Millis {
	wait := clock.Millis(0)
	if q.waiting > 0 {
		wait = clock.Millis(float64(q.waiting) * q.interval(now))
	}
	if q.missed > 0 && now-q.refused < refusedTime {
		wait = max(wait, q.missed)
	}
	return wait
}

// Arrive adds a request or refuses it.
func (q *Queue) Arrive(now clock.Millis, r Request) Verdict {
	f := q.flow(now, r)
	w := item{Request: r, arrived: now}
	if wait := q.expect(now, f); wait > 0 && now+wait >= w.last(f) {
		q.refused, q.missed = now, wait
		return Refused{Refusal{ID: r.ID, Cause: CauseDeadline, After: pause(wait)}}
	}
	if q.waiting < q.limit {
		q.push(now, f, w)
		return Queued{}
	}
	longest := q.longest(f)
	after := pause(clock.Millis(float64(q.waiting) * q.interval(now)))
	if longest == f {
		return Refused{Refusal{ID: r.ID, Cause: CauseQueue, After: after}}
	}
	last := len(longest.waiting) - 1
	victim := longest.waiting[last]
	longest.waiting = longest.waiting[:last]
	q.waiting--
	q.push(now, f, w)
	return Displaced{Victim: Refusal{ID: victim.ID, Cause: CauseQueue, After: after}}
}

// Contended reports whether several flows divide the slots, so that the number of free
// slots matters to Next.
func (q *Queue) Contended(now clock.Millis) bool {
	n := 0
	for _, f := range q.list {
		if f.running > 0 || now-f.seen <= recentTime {
			n++
		}
	}
	return n > 1
}

// Ready reports whether Next would return a request.
func (q *Queue) Ready(now clock.Millis, free int) bool { return q.choose(now, free) != nil }

// Next returns the request that gets one of the free slots. Requests that are too late
// are left to Expire.
func (q *Queue) Next(now clock.Millis, free int) (Request, bool) {
	f := q.choose(now, free)
	if f == nil {
		return Request{}, false
	}
	r := f.waiting[0]
	f.waiting = f.waiting[1:]
	q.waiting--
	q.started(now)
	q.virtual = max(q.virtual, f.tag)
	f.tag += f.cost / f.weight
	f.running++
	q.running++
	return r.Request, true
}

// Ended returns the slot of a request that Next started, with the time that it was held.
func (q *Queue) Ended(name Flow, held clock.Millis) {
	f, ok := q.flows[name]
	if !ok {
		return
	}
	f.running--
	q.running--
	used := max(1, float64(held))
	f.tag += (used - f.cost) / f.weight
	f.cost += smoothing * (used - f.cost)
}

// Cancel removes a waiting request and reports whether it was there.
func (q *Queue) Cancel(name Flow, id ID) bool {
	f, ok := q.flows[name]
	if !ok {
		return false
	}
	at := slices.IndexFunc(f.waiting, func(r item) bool { return r.ID == id })
	if at < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, at, at+1)
	q.waiting--
	return true
}

// Expire removes the requests that are too late to start and forgets old flows.
func (q *Queue) Expire(now clock.Millis) []Refusal {
	out := q.late
	q.late = nil
	before := len(out)
	for _, f := range q.list {
		f.waiting = slices.DeleteFunc(f.waiting, func(r item) bool {
			if now < r.last(f) {
				return false
			}
			q.refused, q.missed = now, now-r.arrived
			out = append(out, Refusal{ID: r.ID, Cause: CauseDeadline, After: minPause})
			return true
		})
	}
	q.waiting -= len(out) - before
	q.list = slices.DeleteFunc(q.list, func(f *flow) bool {
		old := f.running == 0 && len(f.waiting) == 0 && now-f.seen > recentTime
		if old {
			delete(q.flows, f.name)
		}
		return old
	})
	return out
}

func (q *Queue) flow(now clock.Millis, r Request) *flow {
	f, ok := q.flows[r.Flow]
	if !ok {
		f = &flow{name: r.Flow, cost: firstCost}
		q.flows[r.Flow] = f
		q.list = append(q.list, f)
	}
	f.weight = float64(max(1, r.Share) * ClassWeight(r.Flow.Class))
	f.seen = now
	return f
}

func (q *Queue) push(now clock.Millis, f *flow, r item) {
	if len(f.waiting) == 0 {
		// A flow that was idle gets no credit for it.
		f.tag = max(f.tag, q.virtual)
	}
	if q.waiting == 0 {
		q.last = now
	}
	f.waiting = append(f.waiting, r)
	q.waiting++
}

// expect returns the expected wait of another request of a flow: no longer than all that
// wait take, nor than its own queue takes at its share.
func (q *Queue) expect(now clock.Millis, f *flow) clock.Millis {
	if q.waiting == 0 {
		return 0
	}
	total := f.weight
	for _, o := range q.list {
		if o != f && len(o.waiting) > 0 {
			total += o.weight
		}
	}
	own := float64(len(f.waiting)+1) * total / f.weight
	return clock.Millis(min(own, float64(q.waiting+1)) * q.interval(now))
}

// interval returns the time between starts. When none happens, the wait since the last one
// counts, so that the estimate grows while all slots are stuck.
func (q *Queue) interval(now clock.Millis) float64 {
	return max(q.gap, float64(now-q.last))
}

func (q *Queue) started(now clock.Millis) {
	if q.waiting > 0 {
		q.gap += smoothing * (float64(now-q.last) - q.gap)
	}
	q.last = now
}

func (q *Queue) choose(now clock.Millis, free int) *flow {
	if free <= 0 || q.waiting == 0 {
		return nil
	}
	slots := float64(q.running + free)
	total := 0.0
	others := 0
	for _, f := range q.list {
		if f.running > 0 || now-f.seen <= recentTime {
			total += f.weight
			others++
		}
	}
	reserve := 0
	if others > 1 {
		reserve = (q.running + free) / reserveDivisor
	}
	var best *flow
	for _, f := range q.list {
		q.dropLate(now, f)
		if len(f.waiting) == 0 || (best != nil && f.tag >= best.tag) {
			continue
		}
		if free <= reserve && float64(f.running) >= slots*f.weight/total {
			continue
		}
		best = f
	}
	return best
}

// dropLate moves requests that are too late to start from the head of a flow to the late ones.
func (q *Queue) dropLate(now clock.Millis, f *flow) {
	for len(f.waiting) > 0 && now >= f.waiting[0].last(f) {
		q.refused, q.missed = now, now-f.waiting[0].arrived
		q.late = append(q.late, Refusal{ID: f.waiting[0].ID, Cause: CauseDeadline, After: minPause})
		f.waiting = f.waiting[1:]
		q.waiting--
	}
}

// longest returns the flow with the most waiting requests for its weight, counting one more
// for the flow that a request arrives on.
func (q *Queue) longest(arriving *flow) *flow {
	best := arriving
	most := float64(len(arriving.waiting)+1) / arriving.weight
	for _, f := range q.list {
		if n := float64(len(f.waiting)) / f.weight; f != arriving && n > most {
			best, most = f, n
		}
	}
	return best
}

func pause(wait clock.Millis) clock.Millis { return min(max(wait, minPause), maxPause) }
