package group

import (
	"errors"

	"k8s.io/klog/v2"

	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
	"vanillabridge/core/store"
)

type applyItem struct {
	entries []quorum.Entry
	install *quorum.Snapshot
}

// logGrowth is the size of the log entries applied since the last snapshot.
type logGrowth struct {
	entries uint64
	bytes   uint64
}

// runApplier is the loop of the goroutine that owns the machine.
func (g *Group) runApplier() {
	var growth logGrowth
	for {
		select {
		case <-g.done:
			return
		case <-g.applies.ready:
		}
		for _, it := range g.applies.takeAll() {
			if err := g.applyItem(&growth, it); err != nil {
				klog.ErrorS(err, "stopping replica: state machine failed", "group", g.cfg.Group, "self", g.self.String())
				g.stopWithError(err)
				return
			}
		}
		if g.snapshotDue(growth) {
			taken, err := g.takeSnapshot()
			full := errors.Is(err, store.ErrFull)
			if full {
				klog.InfoS("snapshot not saved: disk is full", "group", g.cfg.Group, "self", g.self.String())
			} else if err != nil {
				klog.ErrorS(err, "stopping replica: snapshot failed", "group", g.cfg.Group, "self", g.self.String())
				g.stopWithError(err)
				return
			}
			// While the disk is full the log grows; the next attempt is made after as much growth again.
			if taken || full {
				growth = logGrowth{}
			}
		}
	}
}

// snapshotDue reports whether the log has grown enough for a snapshot. While an older snapshot is
// being sent the threshold is higher, because a new snapshot would restart the transfer; it stays
// finite so that the log stays bounded.
func (g *Group) snapshotDue(growth logGrowth) bool {
	factor := uint64(1)
	g.mu.Lock()
	if g.state.SendingSnapshot {
		factor = maxSnapshotDelayFactor
	}
	g.mu.Unlock()
	return growth.entries >= factor*g.cfg.SnapshotEntries || growth.bytes >= factor*g.cfg.SnapshotBytes
}

// maxSnapshotDelayFactor multiplies the snapshot threshold while a snapshot is being sent.
const maxSnapshotDelayFactor = 4

func (g *Group) applyItem(growth *logGrowth, it applyItem) error {
	if it.install != nil {
		if err := g.cfg.Machine.Restore(it.install.Data); err != nil {
			return fault.Wrap(err, "restore state machine from received snapshot at index %d", it.install.Meta.Index)
		}
		*growth = logGrowth{}
		g.advanceToSnapshot(it.install.Meta.Index)
		return nil
	}
	for _, e := range it.entries {
		var result []byte
		if e.Kind == quorum.EntryData {
			result = g.cfg.Machine.Apply(e.Index, e.Data)
		}
		growth.entries++
		growth.bytes += uint64(len(e.Data))
		g.completeProposal(e, result)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wakeWaiters()
	return nil
}

// completeProposal records that e is applied and answers the proposal pending at its index.
func (g *Group) completeProposal(e quorum.Entry, result []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applied = e.Index
	p := g.pendingByIndex[e.Index]
	if p == nil {
		return
	}
	delete(g.pendingByIndex, e.Index)
	if p.term != e.Term {
		p.finish(nil, fault.Wrap(fault.ErrNotLeader, "group %q committed another entry at index %d", g.cfg.Group, e.Index))
		return
	}
	p.finish(result, nil)
}

// advanceToSnapshot records that a snapshot was installed. Pending proposals that it covers return
// fault.ErrUnknown, because the snapshot doesn't show which entries were committed at their
// indexes.
func (g *Group) advanceToSnapshot(index uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applied = index
	for i, p := range g.pendingByIndex {
		if i <= index {
			delete(g.pendingByIndex, i)
			p.finish(nil, fault.Wrap(fault.ErrUnknown, "group %q installed a snapshot that covers index %d", g.cfg.Group, i))
		}
	}
	g.wakeWaiters()
}

// takeSnapshot saves a snapshot of the machine and requests compaction of the log. It reports false if none is possible
// at the last applied entry.
func (g *Group) takeSnapshot() (bool, error) {
	g.mu.Lock()
	index := g.applied
	g.mu.Unlock()
	meta, ok := g.snapshotMetaAt(index)
	if !ok {
		return false, nil
	}
	data, err := g.cfg.Machine.Snapshot()
	if err != nil {
		return false, fault.Wrap(err, "snapshot state machine at index %d", index)
	}
	if err := g.store.SaveSnapshot(quorum.Snapshot{Meta: meta, Data: data}); err != nil {
		return false, err
	}
	g.events.push(event{call: func(n *quorum.Node) {
		g.stepNode(quorum.SnapshotPersisted{Meta: meta})
		g.writes.push(writeItem{compact: n.State().FirstIndex - 1})
	}})
	return true, nil
}

// snapshotMetaAt asks the node for the snapshot metadata at index.
func (g *Group) snapshotMetaAt(index uint64) (quorum.SnapshotMeta, bool) {
	type answer struct {
		meta quorum.SnapshotMeta
		ok   bool
	}
	c := make(chan answer, 1)
	g.events.push(event{call: func(n *quorum.Node) {
		m, ok := n.SnapshotMetaAt(index)
		c <- answer{m, ok}
	}})
	select {
	case a := <-c:
		return a.meta, a.ok
	case <-g.done:
		return quorum.SnapshotMeta{}, false
	}
}
