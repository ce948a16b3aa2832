package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
	"vanillabridge/core/relay"
)

// relayLink is the leader's side of a relay.
type relayLink struct {
	name     model.Instance
	live     bool
	conns    int
	heardAt  clock.Millis
	echo     clock.Millis // newest known reading of the clock of the relay's process
	usableAt clock.Millis // after a loss
	queue    relay.Queue[*pendingCall]
	pending  map[uint64]*pendingCall // calls that wait or were sent
	wake     chan struct{}
	batches  int
}

// pendingCall is a call that waits for its turn or for an answer.
type pendingCall struct {
	call   carriedCall
	sent   bool
	over   bool
	answer chan carriedAnswer
}

// noteClock takes over the reading of the relay's clock in a report, unless another report has overtaken it. A process that
// has just started has no permission, and its clock may be behind that of the former one. A report that is overtaken is
// at most reportTimeout older.
func (l *relayLink) noteClock(r relayReport) {
	if !r.HasPermit || r.Clock > l.echo || l.echo-r.Clock > reportTimeout {
		l.echo = r.Clock
	}
}

// outcomes of a call without an answer of a relay.
var (
	errCallNotSent    = errors.New("call not sent")
	errCallUnanswered = errors.New("call without an answer")
)

// failAll ends the calls of a relay that is lost.
func (r *relays) failAll(l *relayLink) {
	l.queue.Drain()
	for number, p := range l.pending {
		v := plan.VerdictNotSent
		if p.sent {
			v = plan.VerdictUnknown
		}
		l.finish(number, carriedAnswer{Verdict: v, Failure: plan.FailureNoAnswer, Error: "relay lost"})
	}
}

// finish passes an answer to the call that waits for it, if one does.
func (l *relayLink) finish(number uint64, answer carriedAnswer) {
	if p := l.pending[number]; p != nil {
		delete(l.pending, number)
		p.over = true
		p.answer <- answer
	}
}

// sendBatches sends the calls of a relay until the session ends.
func (r *relays) sendBatches(l *relayLink) {
	ticker := time.NewTicker(holdLinger.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-l.wake:
		case <-ticker.C:
		}
		for {
			batch := r.takeBatch(l)
			if len(batch) == 0 {
				break
			}
			go r.sendBatch(l, batch)
		}
	}
}

func (r *relays) takeBatch(l *relayLink) []*pendingCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		batch := l.queue.Next()
		if batch == nil {
			return nil
		}
		batch = slices.DeleteFunc(batch, func(p *pendingCall) bool { return p.over })
		if len(batch) > 0 {
			for _, p := range batch {
				p.sent = true
			}
			return batch
		}
		l.queue.Done()
	}
}

// sendBatch sends calls to a relay. If the relay certainly did not take them over, they count as not sent.
func (r *relays) sendBatch(l *relayLink, batch []*pendingCall) {
	ctx, cancel := context.WithTimeout(r.ctx, batchTimeout.Duration())
	defer cancel()
	r.mu.Lock()
	b := carryBatch{Term: r.term, Echo: l.echo}
	r.mu.Unlock()
	for _, p := range batch {
		b.Calls = append(b.Calls, p.call)
	}
	err := r.send(ctx, l.name, b)
	r.mu.Lock()
	defer r.mu.Unlock()
	l.queue.Done()
	if err == nil {
		return
	}
	verdict := plan.VerdictUnknown
	if isRefusedBatch(err) {
		verdict = plan.VerdictNotSent
	}
	klog.InfoS("batch to a relay failed", "relay", l.name, "calls", len(batch), "term", r.term, "error", fault.Text(err))
	for _, p := range batch {
		l.finish(p.call.Number, carriedAnswer{Verdict: verdict, Failure: plan.FailureNoAnswer, Error: "batch failed"})
	}
}

// isRefusedBatch reports whether an error guarantees that the relay makes no call of the batch.
func isRefusedBatch(err error) bool {
	return errors.Is(err, fault.ErrNotLeader) || errors.Is(err, fault.ErrUnavailable) || errors.Is(err, fault.ErrOverloaded)
}

// call has a relay make a call, and waits for the answer until ctx ends.
func (r *relays) call(ctx context.Context, l *relayLink, call carriedCall) (carriedAnswer, error) {
	p := &pendingCall{call: call, answer: make(chan carriedAnswer, 1)}
	r.mu.Lock()
	r.lastNumber++
	p.call.Number = r.lastNumber
	if !l.live || !l.queue.Add(call.Class, call.size(), p) {
		r.mu.Unlock()
		return carriedAnswer{}, errCallNotSent
	}
	l.pending[p.call.Number] = p
	r.mu.Unlock()
	if call.Class != relay.ClassHold {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
	select {
	case a := <-p.answer:
		return a, nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.over {
		return <-p.answer, nil
	}
	p.over = true
	delete(l.pending, p.call.Number)
	if p.sent {
		return carriedAnswer{}, errCallUnanswered
	}
	return carriedAnswer{}, errCallNotSent
}
