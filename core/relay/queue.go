package relay

// Class is the kind of a call, in the order in which waiting calls are sent.
type Class uint8

// Classes of calls.
const (
	ClassStop Class = iota
	ClassStart
	ClassHold
	classes
)

// Limits of the calls that wait for a relay or are on their way to it.
const (
	// MaxWaiting is the number of calls that a queue holds, and that a relay has in hand.
	MaxWaiting = 16_384
	// maxBatchCalls and maxBatchBytes bound a batch, maxBatches those that aren't acknowledged.
	maxBatchCalls = 256
	maxBatchBytes = 128 << 10
	maxBatches    = 4
	// holdShare is the part of a batch that is kept for holds that wait: one in so many.
	holdShare = 4
)

// Queue holds the calls that wait to be sent to a relay. It is not safe for concurrent use.
type Queue[P any] struct {
	lists    [classes][]queued[P]
	waiting  int
	inFlight int
}

type queued[P any] struct {
	payload P
	size    int
}

// Add adds a call of about size bytes. It reports false if the queue is full.
func (q *Queue[P]) Add(c Class, size int, payload P) bool {
	if q.waiting >= MaxWaiting {
		return false
	}
	q.waiting++
	q.lists[c] = append(q.lists[c], queued[P]{payload, size})
	return true
}

// Waiting returns the number of calls that wait.
func (q *Queue[P]) Waiting() int { return q.waiting }

// Next returns the next batch, which counts as on its way until Done, or nil if none may be sent now.
func (q *Queue[P]) Next() []P {
	if q.waiting == 0 || q.inFlight >= maxBatches {
		return nil
	}
	var batch []P
	bytes := 0
	take := func(c Class, limit int) {
		for len(batch) < limit && len(q.lists[c]) > 0 {
			next := q.lists[c][0]
			if len(batch) > 0 && bytes+next.size > maxBatchBytes {
				return
			}
			q.lists[c] = q.lists[c][1:]
			q.waiting--
			bytes += next.size
			batch = append(batch, next.payload)
		}
	}
	reserved := min(len(q.lists[ClassHold]), maxBatchCalls/holdShare)
	take(ClassHold, reserved)
	take(ClassStop, maxBatchCalls)
	take(ClassStart, maxBatchCalls)
	take(ClassHold, maxBatchCalls)
	q.inFlight++
	return batch
}

// Done ends a batch on its way.
func (q *Queue[P]) Done() { q.inFlight = max(q.inFlight-1, 0) }

// Drain removes and returns all calls that wait.
func (q *Queue[P]) Drain() []P {
	var list []P
	for c := range q.lists {
		for _, x := range q.lists[c] {
			list = append(list, x.payload)
		}
		q.lists[c] = nil
	}
	q.waiting = 0
	return list
}
