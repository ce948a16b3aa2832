package group

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
)

// waiter is a proposal whose caller waits.
type waiter struct {
	id    uint64
	data  []byte
	term  uint64
	taken atomic.Bool
	done  chan struct{}
	// result and err are set before done is closed.
	result []byte
	err    error
}

func (w *waiter) finish(result []byte, err error) {
	w.result, w.err = result, err
	close(w.done)
}

// Propose replicates a command and returns what Machine.Apply returned for it. While the command
// is surely not appended, it tries again until ctx ends, so ctx should have a deadline.
//
// fault.ErrNotLeader, fault.ErrUnavailable, fault.ErrOverloaded, fault.ErrTooLarge and
// fault.ErrStopped say that the command surely has no effect; fault.ErrUnknown says that it may
// have one, now or later. Where another replica leads, the result is that of the leader's machine;
// the machine of this replica may lag behind.
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	for {
		name, mine, err := g.awaitLeader(ctx)
		if err != nil {
			return nil, err
		}
		var res []byte
		if mine {
			res, err = g.ProposeHere(ctx, data)
		} else {
			res, err = g.forward(ctx, name, data)
		}
		again := errors.Is(err, fault.ErrNotLeader) || errors.Is(err, fault.ErrUnavailable)
		if !again || !g.pause(ctx, name, mine) {
			return res, err
		}
	}
}

// ProposeHere proposes at this replica only, for proposals that others forward.
func (g *Group) ProposeHere(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > maxProposal {
		return nil, fault.Wrap(fault.ErrTooLarge, "proposal of %d bytes to group %q", len(data), g.cfg.Group)
	}
	if err := g.refusal(); err != nil {
		return nil, err
	}
	w := &waiter{id: g.nextID.Add(1), data: data, done: make(chan struct{})}
	g.events.push(event{proposal: w})
	select {
	case <-w.done:
		return w.result, w.err
	case <-ctx.Done():
		return g.abandon(w, context.Cause(ctx))
	case <-g.done:
		return g.abandon(w, g.Err())
	}
}

// Offer proposes at this replica without waiting; offers are appended in the order of the calls.
// done is called once, from another goroutine, with what ProposeHere would return.
func (g *Group) Offer(data []byte, done func(result []byte, err error)) {
	if err := g.refusal(); err != nil {
		go done(nil, err)
		return
	}
	w := &waiter{id: g.nextID.Add(1), data: data, done: make(chan struct{})}
	g.events.push(event{proposal: w})
	go func() {
		select {
		case <-w.done:
			done(w.result, w.err)
		case <-g.done:
			done(g.abandon(w, g.Err()))
		}
	}()
}

// refusal says why this replica takes no proposals, or returns nil.
func (g *Group) refusal() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return g.err
	}
	if g.state.Commit > g.applied+g.cfg.Backlog {
		return fault.Wrap(fault.ErrOverloaded, "machine of group %q is %d entries behind", g.cfg.Group, g.state.Commit-g.applied)
	}
	return nil
}

// abandon tells what is known about a proposal whose caller stops waiting.
func (g *Group) abandon(w *waiter, cause error) ([]byte, error) {
	if w.taken.CompareAndSwap(false, true) {
		return nil, fault.Wrap(fault.ErrUnavailable, "proposal to group %q was withdrawn: %v", g.cfg.Group, cause)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.proposed, w.id)
	for i, p := range g.pending {
		if p == w {
			delete(g.pending, i)
		}
	}
	select {
	case <-w.done:
		return w.result, w.err
	default:
	}
	return nil, fault.Wrap(fault.ErrUnknown, "proposal to group %q: %v", g.cfg.Group, cause)
}

// admit takes a proposal from its caller, unless the caller has given up.
func (g *Group) admit(w *waiter) bool {
	if !w.taken.CompareAndSwap(false, true) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proposed[w.id] = w
	return true
}

func (g *Group) accepted(a quorum.Accepted) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.proposed[a.ID]
	if w == nil {
		return
	}
	delete(g.proposed, a.ID)
	if old := g.pending[a.Index]; old != nil {
		old.finish(nil, fault.Wrap(fault.ErrNotLeader, "group %q replaced the entry at index %d", g.cfg.Group, a.Index))
	}
	w.term = a.Term
	g.pending[a.Index] = w
}

func (g *Group) refused(r quorum.Refuse) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Read {
		g.finishRead(r.ID, readResult{err: r.Err})
		return
	}
	if w := g.proposed[r.ID]; w != nil {
		delete(g.proposed, r.ID)
		w.finish(nil, r.Err)
	}
}

// forward proposes at the leader.
func (g *Group) forward(ctx context.Context, to model.Instance, data []byte) ([]byte, error) {
	if g.cfg.Forwarder == nil {
		return nil, fault.Wrap(fault.ErrUnavailable, "group %q is led by %q and has no forwarder", g.cfg.Group, to)
	}
	res, err := g.cfg.Forwarder.Propose(ctx, to, g.cfg.Group, data)
	if err == nil {
		return res, nil
	}
	if errors.Is(err, fault.ErrStopped) {
		return nil, fault.Wrap(fault.ErrUnavailable, "forward to %q: %v", to, err)
	}
	for _, sure := range []error{fault.ErrNotLeader, fault.ErrUnavailable, fault.ErrOverloaded, fault.ErrTooLarge, fault.ErrUnknown} {
		if errors.Is(err, sure) {
			return nil, fault.Wrap(err, "forward to %q", to)
		}
	}
	return nil, fault.Wrap(fault.ErrUnknown, "forward to %q: %v", to, err)
}

// awaitLeader waits until a leader is known.
func (g *Group) awaitLeader(ctx context.Context) (name model.Instance, mine bool, err error) {
	for {
		g.mu.Lock()
		s, changed, err := g.state, g.changed, g.err
		g.mu.Unlock()
		if err != nil {
			return "", false, err
		}
		if !s.Known.IsZero() {
			return s.Known.Name, s.Leader, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", false, fault.Wrap(fault.ErrUnavailable, "group %q has no known leader: %v", g.cfg.Group, context.Cause(ctx))
		}
	}
}

// pause waits until another leader is known than the one that refused, or for a heartbeat. It
// reports whether to try again.
func (g *Group) pause(ctx context.Context, name model.Instance, mine bool) bool {
	g.mu.Lock()
	s, changed := g.state, g.changed
	g.mu.Unlock()
	if s.Known.Name != name || s.Leader != mine {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(g.cfg.Timing.Heartbeat.Std())
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-g.done:
		return false
	}
}
