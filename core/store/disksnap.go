package store

import (
	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
)

func (d *Disk) openSnap(names []string) error {
	snaps := withPrefix(names, "snap-")
	if len(snaps) == 0 {
		return nil
	}
	// The log before the newest snapshot may be gone, so an older one is no replacement for it.
	name := snaps[len(snaps)-1]
	b, err := d.fs.Read(name)
	if err != nil {
		return err
	}
	s, err := decodeSnap(b)
	if err != nil {
		return fault.Wrap(err, "snapshot file %s", name)
	}
	for _, old := range snaps[:len(snaps)-1] {
		if err := d.fs.Remove(old); err != nil {
			return err
		}
	}
	d.snapshot = s
	d.setSnap(s, int64(len(b)-len(s.Data)))
	return nil
}

func (d *Disk) setSnap(s quorum.Snapshot, head int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.DiskBytes += uint64(head) + uint64(len(s.Data))
	d.counters.DiskBytes -= uint64(d.snap.head) + d.snap.size
	d.snap = snapInfo{
		meta: s.Meta, name: snapName(s.Meta.Index), head: head,
		size: uint64(len(s.Data)), sum: quorum.SnapshotChecksum(s.Data),
	}
}

// Save makes a snapshot of the machine durable; it may run beside Write.
func (d *Disk) Save(s quorum.Snapshot) error {
	d.saving.Lock()
	defer d.saving.Unlock()
	if err := d.failure(); err != nil {
		return err
	}
	d.mu.Lock()
	old := d.snap
	d.mu.Unlock()
	if s.Meta.Index <= old.meta.Index {
		return nil
	}
	head, err := encodeSnap(s)
	if err != nil {
		return d.fail(err, "encode snapshot")
	}
	if err := writeFile(d.fs, snapName(s.Meta.Index), head, s.Data); err != nil {
		return d.fail(err, "write snapshot")
	}
	d.setSnap(s, int64(len(head)))
	d.count(func(c *Counters) { c.SnapshotBytes += uint64(len(head) + len(s.Data)) })
	if old.name == "" {
		return nil
	}
	if err := d.fs.Remove(old.name); err != nil {
		return d.fail(err, "remove old snapshot")
	}
	return nil
}

// replace stores a received snapshot in place of the log.
func (d *Disk) replace(p quorum.Persist) error {
	if err := d.Save(*p.Snapshot); err != nil {
		return err
	}
	return d.reset(p.HardState)
}

// reset starts the log anew behind the newest snapshot.
func (d *Disk) reset(h quorum.HardState) error {
	if err := d.roll(record{Hard: h, Reset: true}); err != nil {
		return d.fail(err, "start log file")
	}
	return d.Compact(^uint64(0))
}

// Chunk returns a part of the newest snapshot, or a zero Chunk if there is none.
func (d *Disk) Chunk(offset, limit uint64) (quorum.SnapshotChunk, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.snap
	if s.name == "" {
		return quorum.SnapshotChunk{}, nil
	}
	offset = min(offset, s.size)
	c := quorum.SnapshotChunk{Meta: s.meta, Offset: offset, TotalSize: s.size, Checksum: s.sum}
	c.Data = make([]byte, min(limit, s.size-offset))
	if err := d.fs.ReadAt(s.name, c.Data, s.head+int64(offset)); err != nil {
		return quorum.SnapshotChunk{}, fault.Wrap(fault.ErrCorrupt, "read snapshot %s: %v", s.name, err)
	}
	return c, nil
}
