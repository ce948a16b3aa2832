package group

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/quorum"
	"vanillabridge/core/store"
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
		err := g.persist(batch, compact)
		if errors.Is(err, store.ErrFull) {
			err = g.awaitSpace(batch, compact)
		}
		if err != nil {
			klog.ErrorS(err, "stopping replica: store failed", "group", g.cfg.Group, "self", g.self.String())
			g.stopWithError(err)
			return
		}
	}
}

// Timing while the disk is full.
const (
	// fullRetryInterval is the pause between two attempts to write.
	fullRetryInterval = 200 * clock.Millisecond
	// fullTransferTimeout bounds the transfer of leadership to a replica that can still write.
	fullTransferTimeout = 2 * clock.Second
)

// awaitSpace writes a batch again until the disk has space. Nothing of the batch is acknowledged before.
// A leader hands over meanwhile: without its own disk it needs the acknowledgements of more distant
// replicas, and tolerates one failure less.
func (g *Group) awaitSpace(batch []quorum.Persist, compact uint64) error {
	start := g.cfg.Clock.Now()
	klog.InfoS("disk is full, writes wait", "group", g.cfg.Group, "self", g.self.String())
	if _, _, isLeader := g.Leader(); isLeader {
		g.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), fullTransferTimeout.Duration())
			defer cancel()
			if err := g.TransferLeadership(ctx); err != nil {
				klog.InfoS("leadership transfer because of a full disk failed", "group", g.cfg.Group, "error", err.Error())
			}
		})
	}
	for {
		select {
		case <-g.done:
			return nil
		case <-time.After(fullRetryInterval.Duration()):
		}
		err := g.persist(batch, compact)
		if errors.Is(err, store.ErrFull) {
			continue
		}
		klog.InfoS("disk has space again", "group", g.cfg.Group, "self", g.self.String(), "after", int64(g.cfg.Clock.Now()-start))
		return err
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
