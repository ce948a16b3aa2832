package quorum

import (
	"hash/crc32"

	"vanillabridge/core/clock"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum is the checksum of a whole snapshot in Chunk.Sum.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// transfer is a snapshot on its way to a follower.
type transfer struct {
	offset uint64
	asked  clock.Millis
}

// inbound is a snapshot that is being received.
type inbound struct {
	meta Meta
	size uint64
	sum  uint32
	data []byte
}

func (n *Node) startTransfer(id ID, p *progress) {
	if p.transfer != nil {
		return
	}
	p.transfer = &transfer{}
	n.load(id, p)
}

func (n *Node) load(id ID, p *progress) {
	p.transfer.asked = n.now
	n.out = append(n.out, Load{To: id, Offset: p.transfer.offset, Limit: uint64(n.cfg.Limits.Chunk)})
}

// retryTransfer repeats a chunk that was not answered, before the follower
// misses its leader.
func (n *Node) retryTransfer(id ID, p *progress) {
	if p.transfer != nil && n.now-p.transfer.asked >= 2*n.cfg.Timing.Heartbeat {
		n.load(id, p)
	}
}

func (n *Node) loaded(in Loaded) {
	p := n.peers[in.To]
	if n.role != leader || p == nil || p.transfer == nil {
		return
	}
	if in.Chunk.Meta.Index == 0 {
		p.transfer = nil
		return
	}
	p.lastSend = n.now
	n.send(Message{Kind: KindChunk, To: in.To, Sent: n.now, Chunk: &in.Chunk, Lazy: n.lazyFor(p)})
}

func (n *Node) onChunkReply(m Message) {
	p := n.peers[m.From]
	if n.role != leader || m.Term != n.hard.Term || p == nil {
		return
	}
	p.sentAcked = max(p.sentAcked, m.Sent)
	if p.transfer == nil || m.Hint == p.transfer.offset {
		return
	}
	p.transfer.offset = m.Hint
	n.load(m.From, p)
}

func (n *Node) onChunk(m Message) {
	if m.Term < n.hard.Term {
		n.send(Message{Kind: KindAppendReply, To: m.From, Sent: m.Sent, Reject: true})
		return
	}
	n.follow(m)
	c := m.Chunk
	if term, ok := n.log.term(c.Meta.Index); c.Meta.Index <= n.commit || (ok && term == c.Meta.Term) {
		// Entries after the snapshot were confirmed and must be kept.
		n.commit = max(n.commit, c.Meta.Index)
		n.sendSynced(Message{Kind: KindAppendReply, To: m.From, Sent: m.Sent, Index: n.commit})
		return
	}
	if !n.collect(c) {
		n.send(Message{Kind: KindChunkReply, To: m.From, Sent: m.Sent, Hint: uint64(len(n.inbound.data))})
		return
	}
	n.install(m)
}

// collect adds a chunk and reports whether the snapshot is whole.
func (n *Node) collect(c *Chunk) bool {
	in := &n.inbound
	same := in.meta.Index == c.Meta.Index && in.meta.Term == c.Meta.Term && in.size == c.Size && in.sum == c.Sum
	if !same {
		*in = inbound{meta: c.Meta, size: c.Size, sum: c.Sum}
	}
	if c.Size > uint64(n.cfg.Limits.Snapshot) || c.Offset != uint64(len(in.data)) || c.Offset+uint64(len(c.Data)) > c.Size {
		return false
	}
	in.data = append(in.data, c.Data...)
	if uint64(len(in.data)) < in.size {
		return false
	}
	if Checksum(in.data) != in.sum {
		*in = inbound{}
		return false
	}
	return true
}

// install replaces the log by the received snapshot; the machine follows once it is durable.
func (n *Node) install(m Message) {
	meta := n.inbound.meta
	n.disk.snapshot = &Snapshot{Meta: meta, Data: n.inbound.data}
	n.inbound = inbound{}
	n.log.reset(meta.Index, meta.Term)
	n.configs = []placed{{meta.Index, meta.Members}}
	n.commit = meta.Index
	n.disk.forget()
	n.adopt(meta.Found)
	n.sendSynced(Message{Kind: KindAppendReply, To: m.From, Sent: m.Sent, Index: meta.Index})
}

// forget drops what is known about the durability of a log that a snapshot replaces.
func (d *disk) forget() {
	d.stable, d.dirtyFrom = 0, 0
	for i := range d.marks {
		d.marks[i].index = 0
		d.marks[i].install = nil
	}
}

func (n *Node) installed(s Snapshot) {
	if s.Meta.Index <= n.applied {
		return
	}
	n.applied = s.Meta.Index
	n.out = append(n.out, Install{Snapshot: s})
}

// snapshotted drops entries that a durable snapshot covers, except some for slow followers.
func (n *Node) snapshotted(meta Meta) {
	if meta.Index <= n.log.base || meta.Index > n.applied {
		return
	}
	if meta.Index <= n.cfg.Limits.Trail {
		return
	}
	n.log.compact(meta.Index - n.cfg.Limits.Trail)
	n.trimConfigs()
}
