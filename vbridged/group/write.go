package group

import (
	"k8s.io/klog/v2"

	"vanillabridge/core/quorum"
)

// writeItem is a Persist output, or a request to remove log files.
type writeItem struct {
	persist *quorum.Persist
	// compact is the index up to which entries are no longer needed, or 0.
	compact uint64
}

// write makes Persist outputs durable; all that wait share one sync.
func (g *Group) write() {
	for {
		select {
		case <-g.done:
			return
		case <-g.writes.ready:
		}
		var batch []quorum.Persist
		var compact uint64
		for _, w := range g.writes.take() {
			compact = max(compact, w.compact)
			if w.persist != nil {
				batch = append(batch, *w.persist)
			}
		}
		if err := g.persist(batch, compact); err != nil {
			klog.ErrorS(err, "replica stops because its store failed", "group", g.cfg.Group, "self", g.self.String())
			g.fail(err)
			return
		}
	}
}

func (g *Group) persist(batch []quorum.Persist, compact uint64) error {
	if len(batch) > 0 {
		if err := g.store.Write(batch); err != nil {
			return err
		}
		g.events.push(event{in: quorum.Persisted{Seq: batch[len(batch)-1].Seq}})
	}
	if compact > 0 {
		return g.store.Compact(compact)
	}
	return nil
}

func (g *Group) load(l quorum.Load) {
	c, err := g.store.Chunk(l.Offset, l.Limit)
	if err != nil {
		klog.ErrorS(err, "snapshot cannot be read for sending", "group", g.cfg.Group)
		return
	}
	g.events.push(event{in: quorum.Loaded{To: l.To, Chunk: c}})
}
