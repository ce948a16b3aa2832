package fleet

import (
	"context"
	"errors"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
	"vanillabridge/core/relay"
)

// Start sends a start order on the way of the worker's calls.
func (r *relays) Start(ctx context.Context, call Call, s plan.Start) (plan.Verdict, clock.Millis) {
	order := &carriedOrder{Task: s.Task, Attempt: s.Attempt, Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket}
	return r.order(ctx, s.Worker, relay.ClassStart, s.Expires, order, call, func(direct Call) (plan.Verdict, clock.Millis) {
		return r.direct.Start(ctx, direct, s)
	})
}

// Stop sends a stop order on the way of the worker's calls.
func (r *relays) Stop(ctx context.Context, call Call, s plan.Stop) (plan.Verdict, clock.Millis) {
	order := &carriedOrder{Task: s.Task, Attempt: s.Attempt, Reason: s.Reason}
	return r.order(ctx, s.Worker, relay.ClassStop, 0, order, call, func(direct Call) (plan.Verdict, clock.Millis) {
		return r.direct.Stop(ctx, direct, s)
	})
}

func (r *relays) order(ctx context.Context, w flow.Worker, class relay.Class, expires clock.Millis, order *carriedOrder, call Call, direct func(Call) (plan.Verdict, clock.Millis)) (plan.Verdict, clock.Millis) {
	way := r.route(w.Incarnation())
	call.CloseConn = call.CloseConn || way.closeConn
	if way.link == nil {
		if r.isActive() {
			if !r.lanes.enter(ctx, w.Incarnation()) {
				return plan.VerdictNotSent, 0
			}
			defer r.lanes.leave(w.Incarnation())
			call.CloseConn = call.CloseConn || (way.closeOrders && r.lanes.isLast(w.Incarnation()))
		}
		select {
		case r.directOrders <- struct{}{}:
			defer func() { <-r.directOrders }()
			return direct(call)
		case <-ctx.Done():
			return plan.VerdictNotSent, 0
		}
	}
	a, err := r.call(ctx, way.link, carriedCall{
		Class: class, CloseConn: call.CloseConn, CloseLast: way.closeOrders, Timeout: orderTimeout, Worker: w.ID, StartedAt: w.StartedAt, Address: w.Address, Expires: expires, Order: order,
	})
	switch {
	case err == nil:
		return a.Verdict, a.Clock
	case errors.Is(err, errCallNotSent):
		return plan.VerdictNotSent, 0
	}
	return plan.VerdictUnknown, 0
}

// Hold sends a hold on the way of the worker's calls.
func (r *relays) Hold(ctx context.Context, call Call, h plan.Hold) (plan.HoldAnswered, plan.Failure, error) {
	w := h.Worker
	way := r.route(w.Incarnation())
	if call.way != nil {
		way = *call.way
	}
	call.CloseConn = call.CloseConn || way.closeConn
	if way.link == nil {
		report, failure, err := r.direct.Hold(ctx, call, h)
		r.noteDirectHold(w.Incarnation(), err == nil)
		return report, failure, err
	}
	c := carriedCall{
		Class: relay.ClassHold, CloseConn: call.CloseConn, Timeout: h.MaxWait + holdReplyGrace, Worker: w.ID, StartedAt: w.StartedAt, Address: w.Address,
		Expires: h.Expires, AckedThrough: h.AckedThrough, MaxWait: h.MaxWait, Base: r.baseOf(w.Incarnation(), way.link.name),
	}
	a, err := r.call(ctx, way.link, c)
	switch {
	case err != nil:
		a = carriedAnswer{Failure: plan.FailureNoAnswer, Error: err.Error()}
	case a.Report == nil && a.Failure == 0:
		a.Failure, a.Error = plan.FailureNoAnswer, "not sent by the relay"
	}
	if a.Failure == 0 {
		if report, ok := r.decode(w.Incarnation(), way.link.name, *a.Report); ok {
			return report, 0, nil
		}
		a.Failure, a.Error = plan.FailureNoAnswer, "report differs from an unknown one"
	}
	if err == nil && a.Verdict == 0 && a.Failure == plan.FailureNoAnswer {
		r.noteRelayFailure(w.Incarnation())
	}
	return plan.HoldAnswered{}, a.Failure, fault.Wrap(fault.ErrUnknown, "hold of %s through %s: %s", w.ID, way.link.name, a.Error)
}

// baseOf returns the number of the last report of a process that a relay has sent, or 0.
func (r *relays) baseOf(process flow.Incarnation, name model.Instance) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.memories[process]; m.relay == name {
		return m.memory.Number()
	}
	return 0
}

func (r *relays) decode(process flow.Incarnation, name model.Instance, d relay.Delta) (plan.HoldAnswered, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.memories[process]
	if m.relay != name {
		m = reportMemory{relay: name}
	}
	report, memory, ok := m.memory.Decode(d)
	if !ok {
		delete(r.memories, process)
		return report, false
	}
	r.memories[process] = reportMemory{relay: name, memory: memory}
	delete(r.troubles, process)
	return report, true
}

// noteRelayFailure has the leader send the next hold itself, because the relay got no answer from the worker.
func (r *relays) noteRelayFailure(process flow.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.troubles[process] = trouble{tryDirect: true}
}

// noteDirectHold keeps a worker that its relay did not reach with the leader for a while, if the leader reaches it.
func (r *relays) noteDirectHold(process flow.Incarnation, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, known := r.troubles[process]
	switch {
	case !known || !t.tryDirect:
		return
	case ok:
		r.troubles[process] = trouble{directUntil: r.clock.Now() + directTime}
	default:
		delete(r.troubles, process)
	}
}
