package admit

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

const (
	// initialCostMillis is the slot time assumed for a flow before its first request has ended.
	initialCostMillis = 10.0
	// smoothingFactor is the weight of a new sample in an exponential moving average.
	smoothingFactor = 0.1
	// flowRetention is how long a flow without requests still counts in the division of the
	// slots.
	flowRetention = 10 * clock.Second
	// reservedSlotsDivisor is the inverse of the fraction of slots that flows above their
	// share leave free for other flows, so that a request of a new flow does not have to wait
	// for the end of a long request.
	reservedSlotsDivisor = 8
	// minRetryAfter is the lower bound of the suggested retry delay of a refusal.
	minRetryAfter = 1 * clock.Second
	// refusedWaitLifetime is how long the wait of a request that was refused for its deadline
	// counts in the expected wait.
	refusedWaitLifetime = 1 * clock.Second
	// startMargin is the time that a request needs before its deadline to be started, as a
	// multiple of the average slot time of its flow. Most requests with less time would be cut
	// off by their deadline.
	startMargin = 2.0
	// maxRetryAfter is the upper bound of the suggested retry delay of a refusal.
	maxRetryAfter = 30 * clock.Second
)

// ID identifies a waiting request.
type ID uint64

// Flow identifies the requests of one caller and class. Slots are divided among flows.
type Flow struct {
	Caller model.Caller
	Class  model.Urgency
}

// ClassWeight returns the weight of a class. The weight of a flow is this times the share of
// its caller.
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

// Request is a request for a permit.
type Request struct {
	ID       ID
	Flow     Flow
	Share    int // weight of the caller
	Deadline clock.Millis
}

// Cause is the reason of a refusal.
type Cause string

// The causes of a refusal.
const (
	CauseQueueFull Cause = "queue"
	CauseDeadline  Cause = "deadline"
)

// Decision is the result of Queue.Enqueue: one of Queued, Displaced and Refused.
type Decision interface{ decision() }

// Queued means that the request waits.
type Queued struct{}

// Displaced means that the queue was full: the request waits, and Victim is refused instead.
type Displaced struct{ Victim Refusal }

// Refused means that the request was not queued.
type Refused struct{ Refusal }

// Refusal describes a refused request.
type Refusal struct {
	ID         ID
	Cause      Cause
	RetryAfter clock.Millis // suggested time before a retry
}

func (Queued) decision()    {}
func (Displaced) decision() {}
func (Refused) decision()   {}

type waitingRequest struct {
	Request
	arrivedAt clock.Millis
}

// latestStart returns the time from which on the request is not started any more. At least half
// of the time to its deadline is available for waiting, so that a request with a short deadline
// is not refused at once.
func (r waitingRequest) latestStart(f *flow) clock.Millis {
	return r.Deadline - min(clock.Millis(startMargin*f.avgCostMillis), (r.Deadline-r.arrivedAt)/2)
}

type flow struct {
	key           Flow
	weight        float64
	virtualStart  float64 // start tag of the next request, in virtual time
	avgCostMillis float64 // moving average of slot time
	waiting       []waitingRequest
	runningCount  int
	lastArrival   clock.Millis
}

// Queue holds the waiting requests of one service on one entry instance.
//
// It implements start-time fair queueing over flows: the flow with the smallest start tag is
// served next, and its start tag grows by the slot time divided by the weight of the flow.
type Queue struct {
	maxWaiting             int
	flows                  map[Flow]*flow
	flowList               []*flow // in the order of their first request
	virtualTime            float64
	waitingCount           int
	runningCount           int
	expired                []Refusal // removed by expireHead, returned by the next Expire
	lastDeadlineRefusal    clock.Millis
	refusedWait            clock.Millis // wait of the request refused at lastDeadlineRefusal
	avgStartIntervalMillis float64      // moving average of the time between starts while requests wait
	lastStart              clock.Millis
}

// New returns a queue in which at most limit requests wait.
func New(limit int) *Queue { return &Queue{maxWaiting: max(1, limit), flows: map[Flow]*flow{}} }

// SetLimit changes the maximum number of waiting requests.
func (q *Queue) SetLimit(n int) { q.maxWaiting = max(1, n) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waitingCount }

// ExpectedWait returns the expected wait of a request of average weight that arrives now.
func (q *Queue) ExpectedWait(now clock.Millis) clock.Millis {
	wait := clock.Millis(0)
	if q.waitingCount > 0 {
		wait = clock.Millis(float64(q.waitingCount) * q.startIntervalMillis(now))
	}
	if q.refusedWait > 0 && now-q.lastDeadlineRefusal < refusedWaitLifetime {
		wait = max(wait, q.refusedWait)
	}
	return wait
}

// Enqueue adds a request or refuses it.
func (q *Queue) Enqueue(now clock.Millis, r Request) Decision {
	f := q.touchFlow(now, r)
	w := waitingRequest{Request: r, arrivedAt: now}
	if wait := q.expectedFlowWait(now, f); wait > 0 && now+wait >= w.latestStart(f) {
		q.lastDeadlineRefusal, q.refusedWait = now, wait
		return Refused{Refusal{ID: r.ID, Cause: CauseDeadline, RetryAfter: retryAfter(wait)}}
	}
	if q.waitingCount < q.maxWaiting {
		q.push(now, f, w)
		return Queued{}
	}
	longest := q.longestFlow(f)
	after := retryAfter(clock.Millis(float64(q.waitingCount) * q.startIntervalMillis(now)))
	if longest == f {
		return Refused{Refusal{ID: r.ID, Cause: CauseQueueFull, RetryAfter: after}}
	}
	last := len(longest.waiting) - 1
	victim := longest.waiting[last]
	longest.waiting = longest.waiting[:last]
	q.waitingCount--
	q.push(now, f, w)
	return Displaced{Victim: Refusal{ID: victim.ID, Cause: CauseQueueFull, RetryAfter: after}}
}

// Contended reports whether more than one flow is active. Only then does Next keep some slots
// free for flows below their share.
func (q *Queue) Contended(now clock.Millis) bool {
	n := 0
	for _, f := range q.flowList {
		if f.runningCount > 0 || now-f.lastArrival <= flowRetention {
			n++
		}
	}
	return n > 1
}

// Ready reports whether Next would return a request.
func (q *Queue) Ready(now clock.Millis, free int) bool { return q.chooseFlow(now, free) != nil }

// Next removes and returns the request that gets one of the free slots. It skips requests that
// are too late to start, which the next Expire returns.
func (q *Queue) Next(now clock.Millis, free int) (Request, bool) {
	f := q.chooseFlow(now, free)
	if f == nil {
		return Request{}, false
	}
	r := f.waiting[0]
	f.waiting = f.waiting[1:]
	q.waitingCount--
	q.recordStart(now)
	q.virtualTime = max(q.virtualTime, f.virtualStart)
	f.virtualStart += f.avgCostMillis / f.weight
	f.runningCount++
	q.runningCount++
	return r.Request, true
}

// Release frees the slot of a request that Next returned. The flow is charged with held, the
// time for which the request had the slot.
func (q *Queue) Release(key Flow, held clock.Millis) {
	f, ok := q.flows[key]
	if !ok {
		return
	}
	f.runningCount--
	q.runningCount--
	used := max(1, float64(held))
	f.virtualStart += (used - f.avgCostMillis) / f.weight
	f.avgCostMillis += smoothingFactor * (used - f.avgCostMillis)
}

// Cancel removes a waiting request and reports whether it was there.
func (q *Queue) Cancel(key Flow, id ID) bool {
	f, ok := q.flows[key]
	if !ok {
		return false
	}
	at := slices.IndexFunc(f.waiting, func(r waitingRequest) bool { return r.ID == id })
	if at < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, at, at+1)
	q.waitingCount--
	return true
}

// Expire removes and returns the requests that are too late to start, and deletes idle flows.
func (q *Queue) Expire(now clock.Millis) []Refusal {
	out := q.expired
	q.expired = nil
	alreadyExpired := len(out)
	for _, f := range q.flowList {
		f.waiting = slices.DeleteFunc(f.waiting, func(r waitingRequest) bool {
			if now < r.latestStart(f) {
				return false
			}
			q.lastDeadlineRefusal, q.refusedWait = now, now-r.arrivedAt
			out = append(out, Refusal{ID: r.ID, Cause: CauseDeadline, RetryAfter: minRetryAfter})
			return true
		})
	}
	q.waitingCount -= len(out) - alreadyExpired
	q.flowList = slices.DeleteFunc(q.flowList, func(f *flow) bool {
		old := f.runningCount == 0 && len(f.waiting) == 0 && now-f.lastArrival > flowRetention
		if old {
			delete(q.flows, f.key)
		}
		return old
	})
	return out
}

func (q *Queue) touchFlow(now clock.Millis, r Request) *flow {
	f, ok := q.flows[r.Flow]
	if !ok {
		f = &flow{key: r.Flow, avgCostMillis: initialCostMillis}
		q.flows[r.Flow] = f
		q.flowList = append(q.flowList, f)
	}
	f.weight = float64(max(1, r.Share) * ClassWeight(r.Flow.Class))
	f.lastArrival = now
	return f
}

func (q *Queue) push(now clock.Millis, f *flow, r waitingRequest) {
	if len(f.waiting) == 0 {
		// A flow gets no credit for the time in which it was idle.
		f.virtualStart = max(f.virtualStart, q.virtualTime)
	}
	if q.waitingCount == 0 {
		q.lastStart = now
	}
	f.waiting = append(f.waiting, r)
	q.waitingCount++
}

// expectedFlowWait returns the expected wait of another request of a flow: the smaller of the
// time to start all waiting requests, and the time to start those of the flow at its share.
func (q *Queue) expectedFlowWait(now clock.Millis, f *flow) clock.Millis {
	if q.waitingCount == 0 {
		return 0
	}
	totalWeight := f.weight
	for _, o := range q.flowList {
		if o != f && len(o.waiting) > 0 {
			totalWeight += o.weight
		}
	}
	startsAtShare := float64(len(f.waiting)+1) * totalWeight / f.weight
	return clock.Millis(min(startsAtShare, float64(q.waitingCount+1)) * q.startIntervalMillis(now))
}

// startIntervalMillis returns the expected time between starts. It is at least the time since
// the last start, so that the estimate grows while no slot is released.
func (q *Queue) startIntervalMillis(now clock.Millis) float64 {
	return max(q.avgStartIntervalMillis, float64(now-q.lastStart))
}

func (q *Queue) recordStart(now clock.Millis) {
	if q.waitingCount > 0 {
		q.avgStartIntervalMillis += smoothingFactor * (float64(now-q.lastStart) - q.avgStartIntervalMillis)
	}
	q.lastStart = now
}

func (q *Queue) chooseFlow(now clock.Millis, free int) *flow {
	if free <= 0 || q.waitingCount == 0 {
		return nil
	}
	slots := float64(q.runningCount + free)
	totalWeight := 0.0
	activeFlows := 0
	for _, f := range q.flowList {
		if f.runningCount > 0 || now-f.lastArrival <= flowRetention {
			totalWeight += f.weight
			activeFlows++
		}
	}
	reserve := 0
	if activeFlows > 1 {
		reserve = (q.runningCount + free) / reservedSlotsDivisor
	}
	var best *flow
	for _, f := range q.flowList {
		q.expireHead(now, f)
		if len(f.waiting) == 0 || (best != nil && f.virtualStart >= best.virtualStart) {
			continue
		}
		if free <= reserve && float64(f.runningCount) >= slots*f.weight/totalWeight {
			continue
		}
		best = f
	}
	return best
}

// expireHead moves requests that are too late to start from the head of a flow to expired.
func (q *Queue) expireHead(now clock.Millis, f *flow) {
	for len(f.waiting) > 0 && now >= f.waiting[0].latestStart(f) {
		q.lastDeadlineRefusal, q.refusedWait = now, now-f.waiting[0].arrivedAt
		q.expired = append(q.expired, Refusal{ID: f.waiting[0].ID, Cause: CauseDeadline, RetryAfter: minRetryAfter})
		f.waiting = f.waiting[1:]
		q.waitingCount--
	}
}

// longestFlow returns the flow with the most waiting requests relative to its weight, counting
// the arriving request for its flow.
func (q *Queue) longestFlow(arriving *flow) *flow {
	best := arriving
	most := float64(len(arriving.waiting)+1) / arriving.weight
	for _, f := range q.flowList {
		if n := float64(len(f.waiting)) / f.weight; f != arriving && n > most {
			best, most = f, n
		}
	}
	return best
}

func retryAfter(wait clock.Millis) clock.Millis { return min(max(wait, minRetryAfter), maxRetryAfter) }
