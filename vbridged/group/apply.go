package group

import (
	"k8s.io/klog/v2"

	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
)

type applyItem struct {
	entries []quorum.Entry
	install *quorum.Snapshot
}

// applier counts the log since the last snapshot.
type applier struct {
	entries uint64
	bytes   uint64
}

// apply owns the machine.
func (g *Group) apply() {
	var a applier
	for {
		select {
		case <-g.done:
			return
		case <-g.applies.ready:
		}
		for _, it := range g.applies.take() {
			if err := g.applyItem(&a, it); err != nil {
				klog.ErrorS(err, "replica stops because its machine failed", "group", g.cfg.Group, "self", g.self.String())
				g.fail(err)
				return
			}
		}
		if g.snapshotDue(a) {
			if err := g.snapshot(); err != nil {
				klog.ErrorS(err, "replica stops because a snapshot failed", "group", g.cfg.Group, "self", g.self.String())
				g.fail(err)
				return
			}
			a = applier{}
		}
	}
}

// snapshotDue puts a snapshot off while an older one is being sent, because the transfer would
// start again, but not without a bound on the log.
func (g *Group) snapshotDue(a applier) bool {
	times := uint64(1)
	g.mu.Lock()
	if g.state.Sending {
		times = maxPostponed
	}
	g.mu.Unlock()
	return a.entries >= times*g.cfg.SnapshotEntries || a.bytes >= times*g.cfg.SnapshotBytes
}

// maxPostponed is how many times longer than usual the log may grow during a transfer.
const maxPostponed = 4

func (g *Group) applyItem(a *applier, it applyItem) error {
	if it.install != nil {
		if err := g.cfg.Machine.Restore(it.install.Data); err != nil {
			return fault.Wrap(err, "restore machine from received snapshot at index %d", it.install.Meta.Index)
		}
		*a = applier{}
		g.installed(it.install.Meta.Index)
		return nil
	}
	for _, e := range it.entries {
		var result []byte
		if e.Kind == quorum.EntryData {
			result = g.cfg.Machine.Apply(e.Index, e.Data)
		}
		a.entries++
		a.bytes += uint64(len(e.Data))
		g.settle(e, result)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake()
	return nil
}

// settle answers the proposal at the index of an applied entry.
func (g *Group) settle(e quorum.Entry, result []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applied = e.Index
	w := g.pending[e.Index]
	if w == nil {
		return
	}
	delete(g.pending, e.Index)
	if w.term != e.Term {
		w.finish(nil, fault.Wrap(fault.ErrNotLeader, "group %q committed another entry at index %d", g.cfg.Group, e.Index))
		return
	}
	w.finish(result, nil)
}

// installed answers proposals whose entries a snapshot hides.
func (g *Group) installed(index uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applied = index
	for i, w := range g.pending {
		if i <= index {
			delete(g.pending, i)
			w.finish(nil, fault.Wrap(fault.ErrUnknown, "group %q skipped index %d by a snapshot", g.cfg.Group, i))
		}
	}
	g.wake()
}

// snapshot stores the state of the machine and lets the log shrink.
func (g *Group) snapshot() error {
	g.mu.Lock()
	index := g.applied
	g.mu.Unlock()
	meta, ok := g.metaAt(index)
	if !ok {
		return nil
	}
	data, err := g.cfg.Machine.Snapshot()
	if err != nil {
		return fault.Wrap(err, "snapshot machine at index %d", index)
	}
	if err := g.store.Save(quorum.Snapshot{Meta: meta, Data: data}); err != nil {
		return err
	}
	g.events.push(event{call: func(n *quorum.Node) {
		g.step(quorum.Snapshotted{Meta: meta})
		g.writes.push(writeItem{compact: n.State().First - 1})
	}})
	return nil
}

// metaAt asks the node to describe the log at index.
func (g *Group) metaAt(index uint64) (quorum.Meta, bool) {
	type answer struct {
		meta quorum.Meta
		ok   bool
	}
	c := make(chan answer, 1)
	g.events.push(event{call: func(n *quorum.Node) {
		m, ok := n.MetaAt(index)
		c <- answer{m, ok}
	}})
	select {
	case a := <-c:
		return a.meta, a.ok
	case <-g.done:
		return quorum.Meta{}, false
	}
}
