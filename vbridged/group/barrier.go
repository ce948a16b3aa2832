package group

import (
	"context"
	"errors"
	"time"

	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
)

type readResult struct {
	index uint64
	err   error
}

// Barrier returns once the machine of this replica has applied everything that was committed
// when Barrier was called, so that a read of it is linearizable. It asks the leader again until
// ctx ends, and then returns fault.ErrUnavailable.
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
		case <-time.After(g.cfg.Timing.Heartbeat.Std()):
		case <-ctx.Done():
		}
	}
}

// readIndex asks once; an answer that was lost counts as none after an election timeout.
func (g *Group) readIndex(ctx context.Context) (uint64, error) {
	id := g.nextID.Add(1)
	c := make(chan readResult, 1)
	g.mu.Lock()
	g.reads[id] = c
	g.mu.Unlock()
	g.events.push(event{in: quorum.Read{ID: id}})
	timer := time.NewTimer(g.cfg.Timing.Election.Std())
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
	delete(g.reads, id)
	return 0, fault.Wrap(fault.ErrUnavailable, "read of group %q is not confirmed: %v", g.cfg.Group, cause)
}

func (g *Group) ready(r quorum.Ready) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finishRead(r.ID, readResult{index: r.Index})
}

func (g *Group) finishRead(id uint64, r readResult) {
	if c := g.reads[id]; c != nil {
		delete(g.reads, id)
		c <- r
	}
}

func (g *Group) awaitApplied(ctx context.Context, index uint64) error {
	for {
		g.mu.Lock()
		applied, changed, err := g.applied, g.changed, g.err
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
			return fault.Wrap(fault.ErrUnavailable, "group %q applied index %d, not yet %d: %v", g.cfg.Group, applied, index, context.Cause(ctx))
		}
	}
}

// Handover passes leadership to another voter and returns once this replica does not lead.
func (g *Group) Handover(ctx context.Context) error {
	if _, _, mine := g.Leader(); !mine {
		return fault.Wrap(fault.ErrNotLeader, "hand over group %q", g.cfg.Group)
	}
	ticker := time.NewTicker(g.cfg.Timing.Heartbeat.Std())
	defer ticker.Stop()
	for {
		g.events.push(event{in: quorum.Handover{}})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fault.Wrap(fault.ErrUnavailable, "no voter took over group %q: %v", g.cfg.Group, context.Cause(ctx))
		}
		if err := g.Err(); err != nil {
			return err
		}
		if _, _, mine := g.Leader(); !mine {
			return nil
		}
	}
}
