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

// pendingProposal is a proposal whose caller waits for the result.
type pendingProposal struct {
	id   uint64
	data []byte
	// inTerm is the term that the replica must lead, or 0. term is the term of the appended entry.
	inTerm, term uint64
	// claimed is set by claimProposal or by abandon, whichever comes first: either the proposal
	// goes to the node, or it is withdrawn and has no effect.
	claimed atomic.Bool
	done    chan struct{}
	// result and err are set before done is closed.
	result []byte
	err    error
}

func (p *pendingProposal) finish(result []byte, err error) {
	p.result, p.err = result, err
	close(p.done)
}

// Propose replicates a command and returns the result of Machine.Apply for it. As long as the
// command was certainly not appended, Propose retries until ctx ends, so ctx should have a
// deadline.
//
// The errors fault.ErrNotLeader, fault.ErrUnavailable, fault.ErrOverloaded, fault.ErrTooLarge and
// fault.ErrStopped mean that the command has no effect; fault.ErrUnknown means that it may have
// been applied or may be applied later. If another replica leads, the result is that of the
// leader's machine, and the machine of this replica may lag behind.
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	for {
		name, isLeader, err := g.awaitLeader(ctx)
		if err != nil {
			return nil, err
		}
		var res []byte
		if isLeader {
			res, err = g.ProposeLocal(ctx, data)
		} else {
			res, err = g.forward(ctx, name, data)
		}
		retryable := errors.Is(err, fault.ErrNotLeader) || errors.Is(err, fault.ErrUnavailable)
		if !retryable || !g.awaitRetry(ctx, name, isLeader) {
			return res, err
		}
	}
}

// ProposeLocal proposes a command at this replica without forwarding it. It serves proposals that
// other replicas forward.
func (g *Group) ProposeLocal(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > maxProposalBytes {
		return nil, fault.Wrap(fault.ErrTooLarge, "proposal of %d bytes to group %q", len(data), g.cfg.Group)
	}
	if err := g.checkAdmission(); err != nil {
		return nil, err
	}
	p := &pendingProposal{id: g.nextID.Add(1), data: data, done: make(chan struct{})}
	g.events.push(event{proposal: p})
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return g.abandon(p, context.Cause(ctx))
	case <-g.done:
		return g.abandon(p, g.Err())
	}
}

// ProposeAsync proposes a command at this replica, while it leads the given term, without waiting for the result.
// Commands are appended in the order of the calls. done is called once, from another goroutine, with the result that
// ProposeLocal would return.
func (g *Group) ProposeAsync(term uint64, data []byte, done func(result []byte, err error)) {
	if err := g.checkAdmission(); err != nil {
		go done(nil, err)
		return
	}
	p := &pendingProposal{id: g.nextID.Add(1), data: data, inTerm: term, done: make(chan struct{})}
	g.events.push(event{proposal: p})
	go func() {
		select {
		case <-p.done:
			done(p.result, p.err)
		case <-g.done:
			done(g.abandon(p, g.Err()))
		}
	}()
}

// checkAdmission returns an error if this replica has stopped or is too far behind in applying
// committed entries to accept proposals.
func (g *Group) checkAdmission() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return g.err
	}
	if g.state.CommitIndex > g.applied+g.cfg.MaxApplyBacklog {
		return fault.Wrap(fault.ErrOverloaded, "state machine of group %q is %d committed entries behind", g.cfg.Group, g.state.CommitIndex-g.applied)
	}
	return nil
}

// abandon gives up a proposal whose caller stops waiting, and returns what is known of its outcome.
func (g *Group) abandon(p *pendingProposal, cause error) ([]byte, error) {
	if p.claimed.CompareAndSwap(false, true) {
		return nil, fault.Wrap(fault.ErrUnavailable, "proposal to group %q was withdrawn before it was appended: %v", g.cfg.Group, cause)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.proposedByID, p.id)
	for i, other := range g.pendingByIndex {
		if other == p {
			delete(g.pendingByIndex, i)
		}
	}
	select {
	case <-p.done:
		return p.result, p.err
	default:
	}
	return nil, fault.Wrap(fault.ErrUnknown, "proposal to group %q was not confirmed: %v", g.cfg.Group, cause)
}

// claimProposal registers a proposal for the node. It returns false if the caller has abandoned it.
func (g *Group) claimProposal(p *pendingProposal) bool {
	if !p.claimed.CompareAndSwap(false, true) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proposedByID[p.id] = p
	return true
}

// handleAccepted records the index and term at which the node appended a proposal.
func (g *Group) handleAccepted(a quorum.Accepted) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.proposedByID[a.ID]
	if p == nil {
		return
	}
	delete(g.proposedByID, a.ID)
	if old := g.pendingByIndex[a.Index]; old != nil {
		old.finish(nil, fault.Wrap(fault.ErrNotLeader, "group %q replaced the entry at index %d", g.cfg.Group, a.Index))
	}
	p.term = a.Term
	g.pendingByIndex[a.Index] = p
}

// handleRejected answers a read or a proposal that the node rejected.
func (g *Group) handleRejected(r quorum.Rejected) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.IsRead {
		g.finishRead(r.ID, readResult{err: r.Err})
		return
	}
	if p := g.proposedByID[r.ID]; p != nil {
		delete(g.proposedByID, r.ID)
		p.finish(nil, r.Err)
	}
}

// forward sends a proposal to the leader. An error that is not known to mean that the proposal has
// no effect is returned as fault.ErrUnknown.
func (g *Group) forward(ctx context.Context, to model.Instance, data []byte) ([]byte, error) {
	if g.cfg.Forwarder == nil {
		return nil, fault.Wrap(fault.ErrUnavailable, "group %q is led by %q and has no forwarder", g.cfg.Group, to)
	}
	res, err := g.cfg.Forwarder.Propose(ctx, to, g.cfg.Group, data)
	if err == nil {
		return res, nil
	}
	if errors.Is(err, fault.ErrStopped) {
		return nil, fault.Wrap(fault.ErrUnavailable, "forward proposal to %q: %v", to, err)
	}
	for _, sentinel := range []error{fault.ErrNotLeader, fault.ErrUnavailable, fault.ErrOverloaded, fault.ErrTooLarge, fault.ErrUnknown} {
		if errors.Is(err, sentinel) {
			return nil, fault.Wrap(err, "forward proposal to %q", to)
		}
	}
	return nil, fault.Wrap(fault.ErrUnknown, "forward proposal to %q: %v", to, err)
}

// awaitLeader waits until a leader is known, and returns its name and whether it is this replica.
func (g *Group) awaitLeader(ctx context.Context) (name model.Instance, isLeader bool, err error) {
	for {
		g.mu.Lock()
		s, changed, err := g.state, g.stateChanged, g.err
		g.mu.Unlock()
		if err != nil {
			return "", false, err
		}
		if !s.LeaderID.IsZero() {
			return s.LeaderID.Name, s.IsLeader, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", false, fault.Wrap(fault.ErrUnavailable, "group %q has no known leader: %v", g.cfg.Group, context.Cause(ctx))
		}
	}
}

// awaitRetry waits until the leader changes from the one that rejected the proposal, given by name
// and isLeader, or for one heartbeat interval. It reports whether to retry.
func (g *Group) awaitRetry(ctx context.Context, name model.Instance, isLeader bool) bool {
	g.mu.Lock()
	s, changed := g.state, g.stateChanged
	g.mu.Unlock()
	if s.LeaderID.Name != name || s.IsLeader != isLeader {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(g.cfg.Timing.HeartbeatInterval.Duration())
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
