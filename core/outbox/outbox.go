package outbox

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
)

// Order is an order for one process of a worker. Its payload is opaque to the outbox.
type Order[P any] struct {
	Worker flow.Incarnation
	// Key identifies what the order is about. An urgent order withdraws the waiting orders with its key.
	Key string
	// Urgent orders are sent before the others of their worker: stops free capacity that starts need.
	Urgent bool
	// SendBefore is the time from which on the order is no longer sent.
	SendBefore clock.Millis
	// Beside is the number of other orders for the worker that are in progress. It is set by Next.
	Beside  int
	Payload P
}

// Outbox holds the orders that wait to be sent. It is not safe for concurrent use.
type Outbox[P any] struct {
	maxInProgress int
	maxPerWorker  int
	inProgress    int
	lanes         map[model.WorkerID][]*lane[P] // one for each process with orders
	// ready holds the lanes with a waiting order that may be sent, those that wait longest first.
	ready   []*lane[P]
	waiting int
	unsent  []Order[P] // expired or withdrawn since the last call of TakeUnsent
}

// lane holds the orders for one process of a worker. Those for an earlier process, which may get no answer any more, don't
// hold it up.
type lane[P any] struct {
	worker         flow.Incarnation
	urgent, normal []Order[P]
	inProgress     int
	queued         bool // listed in Outbox.ready
}

// New returns an outbox that has at most maxInProgress orders in progress, and one for each worker.
func New[P any](maxInProgress int) *Outbox[P] {
	return &Outbox[P]{maxInProgress: max(maxInProgress, 1), maxPerWorker: 1, lanes: map[model.WorkerID][]*lane[P]{}}
}

// SetMaxPerWorker sets the number of orders for one worker that may be in progress at a time, at least 1.
func (o *Outbox[P]) SetMaxPerWorker(n int) { o.maxPerWorker = max(n, 1) }

// SetMaxInProgress sets the number of orders that may be in progress at a time, at least 1.
func (o *Outbox[P]) SetMaxInProgress(n int) { o.maxInProgress = max(n, 1) }

// Waiting returns the number of orders that wait to be sent.
func (o *Outbox[P]) Waiting() int { return o.waiting }

// InProgress returns the number of orders that were sent and are not finished.
func (o *Outbox[P]) InProgress() int { return o.inProgress }

// lane returns the lane of a process, or nil.
func (o *Outbox[P]) lane(worker flow.Incarnation) *lane[P] {
	for _, l := range o.lanes[worker.ID] {
		if l.worker == worker {
			return l
		}
	}
	return nil
}

// Add adds an order. It withdraws those that wait for an earlier process of the worker, which has ended.
func (o *Outbox[P]) Add(order Order[P]) {
	for _, other := range o.lanes[order.Worker.ID] {
		if order.Worker.IsLaterThan(other.worker) {
			other.urgent = o.withdraw(other.urgent, func(Order[P]) bool { return true })
			other.normal = o.withdraw(other.normal, func(Order[P]) bool { return true })
		}
	}
	l := o.lane(order.Worker)
	if l == nil {
		l = &lane[P]{worker: order.Worker}
		o.lanes[order.Worker.ID] = append(o.lanes[order.Worker.ID], l)
	}
	if order.Urgent {
		l.normal = o.withdraw(l.normal, func(other Order[P]) bool { return other.Key == order.Key })
	}
	if order.Urgent {
		l.urgent = append(l.urgent, order)
	} else {
		l.normal = append(l.normal, order)
	}
	o.waiting++
	o.enqueue(l)
}

// Next returns the next order to send, and marks it as in progress until Finish is called. It reports
// false if no order may be sent now.
func (o *Outbox[P]) Next(now clock.Millis) (Order[P], bool) {
	for len(o.ready) > 0 && o.inProgress < o.maxInProgress {
		l := o.ready[0]
		o.ready = o.ready[1:]
		l.queued = false
		o.expireLane(now, l)
		if l.isEmpty() {
			o.discardIdle(l)
			continue
		}
		l.inProgress++
		o.inProgress++
		o.waiting--
		order := l.pop()
		order.Beside = l.inProgress - 1
		o.enqueue(l)
		return order, true
	}
	return Order[P]{}, false
}

// Finish ends an order in progress for a process of a worker.
func (o *Outbox[P]) Finish(worker flow.Incarnation) {
	l := o.lane(worker)
	if l == nil || l.inProgress == 0 {
		return
	}
	l.inProgress--
	o.inProgress--
	o.discardIdle(l)
	o.enqueue(l)
}

// discardIdle forgets a lane without orders.
func (o *Outbox[P]) discardIdle(l *lane[P]) {
	if !l.isEmpty() || l.inProgress > 0 || l.queued {
		return
	}
	id := l.worker.ID
	o.lanes[id] = slices.DeleteFunc(o.lanes[id], func(other *lane[P]) bool { return other == l })
	if len(o.lanes[id]) == 0 {
		delete(o.lanes, id)
	}
}

// enqueue lists a lane as ready if it has a waiting order that may be sent and is not listed already.
func (o *Outbox[P]) enqueue(l *lane[P]) {
	if l.isEmpty() || l.inProgress >= o.maxPerWorker || l.queued {
		return
	}
	l.queued = true
	o.ready = append(o.ready, l)
}

// Expire withdraws all orders that have waited too long.
func (o *Outbox[P]) Expire(now clock.Millis) {
	if o.waiting == 0 {
		return
	}
	for _, list := range o.lanes {
		for _, l := range list {
			o.expireLane(now, l)
		}
	}
}

// TakeUnsent returns the orders that expired or were withdrawn since the last call. It is certain that
// they were not sent.
func (o *Outbox[P]) TakeUnsent() []Order[P] {
	unsent := o.unsent
	o.unsent = nil
	return unsent
}

func (o *Outbox[P]) expireLane(now clock.Millis, l *lane[P]) {
	hasExpired := func(order Order[P]) bool { return now >= order.SendBefore }
	l.urgent = o.withdraw(l.urgent, hasExpired)
	l.normal = o.withdraw(l.normal, hasExpired)
}

// withdraw removes the matching orders from a list.
func (o *Outbox[P]) withdraw(list []Order[P], match func(Order[P]) bool) []Order[P] {
	return slices.DeleteFunc(list, func(order Order[P]) bool {
		if !match(order) {
			return false
		}
		o.waiting--
		o.unsent = append(o.unsent, order)
		return true
	})
}

func (l *lane[P]) isEmpty() bool { return len(l.urgent) == 0 && len(l.normal) == 0 }

// pop removes the next order of a lane that is not empty.
func (l *lane[P]) pop() Order[P] {
	list := &l.urgent
	if len(*list) == 0 {
		list = &l.normal
	}
	order := (*list)[0]
	*list = (*list)[1:]
	return order
}
