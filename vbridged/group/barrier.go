package group

import (
	"context"
	"errors"
	"time"

	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
)

// readResult is the outcome of a read-index request: the index that the machine must have applied
// before the read, or an error.
type readResult struct {
	index uint64
	err   error
}

// Barrier returns once the machine of this replica has applied everything that was committed
// when Barrier was called, so that a following read of the machine is linearizable. It retries
// until ctx ends, and then returns fault.ErrUnavailable.
func (g *Group) Barrier(ctx context.Context) error {
	for {
		if _, _, err := g.awaitLeader(ctx); err != nil {
			return err
		}
		index, err := g.readIndex(ctx)
		if err == nil {
			return g.awaitApplied(ctx, index)
		}
		if !errors.Is(err, fault.ErrUnavailable) || ctx.Err() != nil {
			return err
		}
		select {
		case <-time.After(g.cfg.Timing.HeartbeatInterval.Duration()):
		case <-ctx.Done():
		}
	}
}

// readIndex requests the current commit index from the leader once. It gives up after an election
// timeout, since the answer may have been lost.
func (g *Group) readIndex(ctx context.Context) (uint64, error) {
	id := g.nextID.Add(1)
	c := make(chan readResult, 1)
	g.mu.Lock()
	g.pendingReads[id] = c
	g.mu.Unlock()
	g.events.push(event{input: quorum.ReadIndex{ID: id}})
	timer := time.NewTimer(g.cfg.Timing.ElectionTimeout.Duration())
	defer timer.Stop()
	var cause error
	select {
	case r := <-c:
		return r.index, r.err
	case <-timer.C:
		cause = fault.ErrUnavailable
	case <-ctx.Done():
		cause = context.Cause(ctx)
	case <-g.done:
		return 0, g.Err()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pendingReads, id)
	return 0, fault.Wrap(fault.ErrUnavailable, "read of group %q was not confirmed by the leader: %v", g.cfg.Group, cause)
}

func (g *Group) handleReadConfirmed(r quorum.ReadConfirmed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finishRead(r.ID, readResult{index: r.Index})
}

// finishRead answers a pending read. The caller must hold mu.
func (g *Group) finishRead(id uint64, r readResult) {
	if c := g.pendingReads[id]; c != nil {
		delete(g.pendingReads, id)
		c <- r
	}
}

func (g *Group) awaitApplied(ctx context.Context, index uint64) error {
	for {
		g.mu.Lock()
		applied, changed, err := g.applied, g.stateChanged, g.err
		g.mu.Unlock()
		if err != nil {
			return err
		}
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap(fault.ErrUnavailable, "group %q has applied index %d but not index %d: %v", g.cfg.Group, applied, index, context.Cause(ctx))
		}
	}
}

// TransferLeadership transfers leadership to another voter. It returns once this replica is no
// longer leader.
func (g *Group) TransferLeadership(ctx context.Context) error {
	if _, _, isLeader := g.Leader(); !isLeader {
		return fault.Wrap(fault.ErrNotLeader, "transfer leadership of group %q", g.cfg.Group)
	}
	ticker := time.NewTicker(g.cfg.Timing.HeartbeatInterval.Duration())
	defer ticker.Stop()
	for {
		g.events.push(event{input: quorum.TransferLeadership{}})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fault.Wrap(fault.ErrUnavailable, "transfer leadership of group %q: no voter took over: %v", g.cfg.Group, context.Cause(ctx))
		}
		if err := g.Err(); err != nil {
			return err
		}
		if _, _, isLeader := g.Leader(); !isLeader {
			return nil
		}
	}
}
