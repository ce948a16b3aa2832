package quorum

import (
	"hash/crc32"

	"vanillabridge/core/clock"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// SnapshotChecksum returns the checksum of the whole data of a snapshot, as in
// SnapshotChunk.Checksum.
func SnapshotChecksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// outgoingSnapshot is a snapshot transfer to a follower. offset is the number of bytes that the
// follower has received, and requestedAt when the next chunk was last requested from the store.
type outgoingSnapshot struct {
	offset      uint64
	requestedAt clock.Millis
}

// incomingSnapshot is a snapshot of which data has been received so far.
type incomingSnapshot struct {
	meta      SnapshotMeta
	totalSize uint64
	checksum  uint32
	data      []byte
}

func (n *Node) startSnapshotTransfer(id ID, p *progress) {
	if p.outgoingSnapshot != nil {
		return
	}
	p.outgoingSnapshot = &outgoingSnapshot{}
	n.requestSnapshotChunk(id, p)
}

func (n *Node) requestSnapshotChunk(id ID, p *progress) {
	p.outgoingSnapshot.requestedAt = n.now
	n.outputs = append(n.outputs, LoadSnapshotChunk{To: id, Offset: p.outgoingSnapshot.offset, Limit: uint64(n.cfg.Limits.ChunkBytes)})
}

// retrySnapshotChunk sends a chunk again that was not answered, before the follower's election
// timeout ends.
func (n *Node) retrySnapshotChunk(id ID, p *progress) {
	if p.outgoingSnapshot != nil && n.now-p.outgoingSnapshot.requestedAt >= 2*n.cfg.Timing.HeartbeatInterval {
		n.requestSnapshotChunk(id, p)
	}
}

func (n *Node) sendSnapshotChunk(in SnapshotChunkLoaded) {
	p := n.progress[in.To]
	if n.role != leader || p == nil || p.outgoingSnapshot == nil {
		return
	}
	if in.Chunk.Meta.Index == 0 {
		p.outgoingSnapshot = nil
		return
	}
	p.lastSentAt = n.now
	n.send(Message{Kind: KindSnapshotChunk, To: in.To, SentAt: n.now, Chunk: &in.Chunk, LazyReplication: n.replicatesLazily(p)})
}

func (n *Node) handleSnapshotChunkReply(m Message) {
	p := n.progress[m.From]
	if n.role != leader || m.Term != n.hardState.Term || p == nil {
		return
	}
	n.recordContact(p, m)
	if p.outgoingSnapshot == nil || m.Hint == p.outgoingSnapshot.offset {
		return
	}
	p.outgoingSnapshot.offset = m.Hint
	n.requestSnapshotChunk(m.From, p)
}

func (n *Node) handleSnapshotChunk(m Message) {
	if m.Term < n.hardState.Term {
		n.rejectEarlierTerm(m)
		return
	}
	n.followLeader(m)
	c := m.Chunk
	if term, ok := n.log.term(c.Meta.Index); c.Meta.Index <= n.commitIndex || (ok && term == c.Meta.Term) {
		// This log already covers the snapshot. It may hold later entries that were acknowledged
		// and must be kept.
		n.commitIndex = max(n.commitIndex, c.Meta.Index)
		n.sendAfterLogSync(Message{Kind: KindAppendReply, To: m.From, SentAt: m.SentAt, Index: n.commitIndex})
		return
	}
	if !n.addSnapshotChunk(c) {
		n.send(Message{Kind: KindSnapshotChunkReply, To: m.From, SentAt: m.SentAt, Hint: uint64(len(n.incomingSnapshot.data))})
		return
	}
	n.installSnapshot(m)
}

// addSnapshotChunk appends a chunk to the incoming snapshot and reports whether the snapshot is
// complete and has the right checksum.
func (n *Node) addSnapshotChunk(c *SnapshotChunk) bool {
	in := &n.incomingSnapshot
	same := in.meta.Index == c.Meta.Index && in.meta.Term == c.Meta.Term && in.totalSize == c.TotalSize && in.checksum == c.Checksum
	if !same {
		*in = incomingSnapshot{meta: c.Meta, totalSize: c.TotalSize, checksum: c.Checksum}
	}
	if c.TotalSize > uint64(n.cfg.Limits.SnapshotBytes) || c.Offset != uint64(len(in.data)) || c.Offset+uint64(len(c.Data)) > c.TotalSize {
		return false
	}
	in.data = append(in.data, c.Data...)
	if uint64(len(in.data)) < in.totalSize {
		return false
	}
	if SnapshotChecksum(in.data) != in.checksum {
		*in = incomingSnapshot{}
		return false
	}
	return true
}

// installSnapshot replaces the log by the received snapshot. The state machine is replaced once the
// snapshot is durable.
func (n *Node) installSnapshot(m Message) {
	meta := n.incomingSnapshot.meta
	n.persistence.unsavedSnapshot = &Snapshot{Meta: meta, Data: n.incomingSnapshot.data}
	n.incomingSnapshot = incomingSnapshot{}
	n.log.reset(meta.Index, meta.Term)
	n.memberships = []indexedMembership{newIndexedMembership(meta.Index, membershipEntry{members: meta.Members})}
	n.commitIndex = meta.Index
	n.persistence.resetForSnapshot()
	n.adoptBootstrapID(meta.BootstrapID)
	n.sendAfterLogSync(Message{Kind: KindAppendReply, To: m.From, SentAt: m.SentAt, Index: meta.Index})
}

// resetForSnapshot discards the durability state of a log that a snapshot replaces.
func (p *persistence) resetForSnapshot() {
	p.stableIndex, p.dirtyFromIndex = 0, 0
	for i := range p.inFlight {
		p.inFlight[i].lastIndex = 0
		p.inFlight[i].snapshot = nil
	}
}

func (n *Node) emitInstallSnapshot(s Snapshot) {
	if s.Meta.Index <= n.appliedIndex {
		return
	}
	n.appliedIndex = s.Meta.Index
	n.outputs = append(n.outputs, InstallSnapshot{Snapshot: s})
}

// compactLog removes the entries that a durable snapshot covers, except the last
// Limits.TrailingEntries, which slow followers may need.
func (n *Node) compactLog(meta SnapshotMeta) {
	if meta.Index <= n.log.baseIndex || meta.Index > n.appliedIndex {
		return
	}
	if meta.Index <= n.cfg.Limits.TrailingEntries {
		return
	}
	n.log.compact(meta.Index - n.cfg.Limits.TrailingEntries)
	n.compactMemberships()
}
