package fleet

import (
	"context"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/outbox"
	"vanillabridge/core/plan"
)

// Time that an order may wait for its turn. A start order that is sent later would probably expire on
// its way; a stop order is repeated by the planner.
const (
	startSendTimeout = clock.Second
	stopSendTimeout  = 500 * clock.Millisecond
)

// queueOrder adds a start or stop order to the outbox of the session.
func queueOrder(s *session, worker flow.Incarnation, task flow.Task, attempt int, sendBefore clock.Millis, urgent bool, order plan.Decision) {
	s.orders.Add(outbox.Order[plan.Decision]{
		Worker: worker, Key: task.String() + "#" + strconv.Itoa(attempt), Urgent: urgent, SendBefore: sendBefore, Payload: order,
	})
}

// sendOrders sends the orders whose turn has come, and reports to the planner those that were not
// sent. The caller holds mu.
func (d *Domain) sendOrders(s *session) {
	call := d.workerCall(s)
	workers := len(d.state.Workers())
	s.orders.SetMaxPerWorker(s.budget.OrdersPerWorker(workers))
	keptPerWorker := max(1, s.budget.KeptPerWorker(workers))
	if s.relays.isActive() {
		// The orders use descriptors of several cores, which send one at a time to a worker.
		keptPerWorker = s.budget.OrdersPerWorker(1)
		s.orders.SetMaxInProgress(max(workers, s.budget.Orders))
		s.orders.SetMaxPerWorker(keptPerWorker)
	}
	for d.mayAct(s) {
		order, ok := s.orders.Next(d.now())
		if !ok {
			break
		}
		go d.sendOrder(s, Call{Fence: call.Fence, CloseConn: call.CloseConn || order.Beside >= keptPerWorker}, order.Payload)
	}
	for _, order := range s.orders.TakeUnsent() {
		d.executeDecisions(s, s.planner.Step(d.now(), d.orderAnswer(s, order.Payload, plan.VerdictNotSent, 0, 0)))
	}
}

// workerCalls counts the calls to workers of a session.
type workerCalls struct{ holds, orders, waitingOrders int }

// countWorkerCalls returns the present calls to workers. The caller holds mu.
func (s *session) countWorkerCalls() workerCalls {
	return workerCalls{holds: len(s.holdSlots), orders: s.orders.InProgress(), waitingOrders: s.orders.Waiting()}
}

// mayAct reports whether this core certainly still leads, so that no other one can call workers. A process that
// was paused learns only some time after it wakes that another leader has taken over; until then it would renew
// leases, and repeat orders, that the other leader counts as over. The caller holds mu.
func (d *Domain) mayAct(s *session) bool {
	until, term := d.leaderLease()
	return term == s.term && d.now() < until
}

// workerCall returns the conditions of a call to a worker made now. The caller holds mu.
func (d *Domain) workerCall(s *session) Call {
	return Call{Fence: s.term, CloseConn: !s.relays.isActive() && !s.budget.KeepsConnections(len(d.state.Workers()))}
}

// sendOrder sends an order and passes the answer to the planner.
func (d *Domain) sendOrder(s *session, call Call, order plan.Decision) {
	timeout := orderTimeout
	if s.relays.isActive() {
		timeout += relayGrace
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout.Duration())
	defer cancel()
	start := time.Now()
	var verdict plan.Verdict
	var workerClock clock.Millis
	var worker flow.Incarnation
	switch x := order.(type) {
	case plan.Start:
		verdict, workerClock = s.workers.Start(ctx, call, x)
		worker = x.Worker.Incarnation()
	case plan.Stop:
		verdict, workerClock = s.workers.Stop(ctx, call, x)
		worker = x.Worker.Incarnation()
	}
	answer := d.orderAnswer(s, order, verdict, workerClock, time.Since(start))
	d.mu.Lock()
	defer d.mu.Unlock()
	s.orders.Finish(worker)
	if d.session == s {
		d.executeDecisions(s, s.planner.Step(d.now(), answer))
	}
}

// orderAnswer logs and counts the outcome of an order, and returns it as an event for the planner.
func (d *Domain) orderAnswer(s *session, order plan.Decision, v plan.Verdict, workerClock clock.Millis, took time.Duration) plan.OrderAnswered {
	var w flow.Worker
	var expires clock.Millis
	answer := plan.OrderAnswered{Verdict: v, Clock: workerClock}
	kind := "start"
	switch x := order.(type) {
	case plan.Start:
		w, answer.Task, answer.Attempt, expires = x.Worker, x.Task, x.Attempt, x.Expires
	case plan.Stop:
		kind = "stop"
		w, answer.Task, answer.Attempt, answer.Stop = x.Worker, x.Task, x.Attempt, true
	}
	answer.Worker = w.Incarnation()
	d.metrics.observeOrder(kind, v, took)
	if v != plan.VerdictDone { // the decision to place the task is logged already
		klog.InfoS("order", "kind", kind, "task", answer.Task.String(), "attempt", answer.Attempt, "worker", w.ID, "born", int64(w.StartedAt), "verdict", v.String(),
			"expires", int64(expires), "clock", int64(workerClock), "took", took.Milliseconds(), "term", s.term)
	}
	return answer
}
