package group

import (
	"k8s.io/klog/v2"

	"vanillabridge/core/quorum"
)

// writeItem is a Persist output of the node, or a request to compact the log.
type writeItem struct {
	persist *quorum.Persist
	// compact is the last index that is no longer needed, or 0.
	compact uint64
}

// runWriter makes Persist outputs durable. All queued outputs share one sync.
func (g *Group) runWriter() {
	for {
		select {
		case <-g.done:
			return
		case <-g.writes.ready:
		}
		var batch []quorum.Persist
		var compact uint64
		for _, w := range g.writes.takeAll() {
			compact = max(compact, w.compact)
			if w.persist != nil {
				batch = append(batch, *w.persist)
			}
		}
		if err := g.persist(batch, compact); err != nil {
			klog.ErrorS(err, "stopping replica: store failed", "group", g.cfg.Group, "self", g.self.String())
			g.stopWithError(err)
			return
		}
	}
}

func (g *Group) persist(batch []quorum.Persist, compact uint64) error {
	if len(batch) > 0 {
		if err := g.store.Write(batch); err != nil {
			return err
		}
		g.events.push(event{input: quorum.Persisted{Seq: batch[len(batch)-1].Seq}})
	}
	if compact > 0 {
		return g.store.Compact(compact)
	}
	return nil
}

func (g *Group) loadSnapshotChunk(l quorum.LoadSnapshotChunk) {
	c, err := g.store.ReadSnapshotChunk(l.Offset, l.Limit)
	if err != nil {
		klog.ErrorS(err, "read snapshot chunk failed, chunk not sent", "group", g.cfg.Group)
		return
	}
	g.events.push(event{input: quorum.SnapshotChunkLoaded{To: l.To, Chunk: c}})
}
