package store

import (
	"errors"

	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
)

func (d *Disk) loadSnapshot(names []string) error {
	snaps := filterPrefix(names, "snap-")
	if len(snaps) == 0 {
		return nil
	}
	// The log up to the newest snapshot may be compacted, so an older snapshot cannot replace it.
	name := snaps[len(snaps)-1]
	b, err := d.fs.Read(name)
	if err != nil {
		return err
	}
	s, err := decodeSnapshot(b)
	if err != nil {
		return fault.Wrap(err, "decode snapshot file %s", name)
	}
	for _, old := range snaps[:len(snaps)-1] {
		if err := d.fs.Remove(old); err != nil {
			return err
		}
	}
	d.restoredSnapshot = s
	d.setNewestSnapshot(s, int64(len(b)-len(s.Data)))
	return nil
}

func (d *Disk) setNewestSnapshot(s quorum.Snapshot, headSize int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.DiskBytes += uint64(headSize) + uint64(len(s.Data))
	d.counters.DiskBytes -= uint64(d.newestSnapshot.headSize) + d.newestSnapshot.dataSize
	d.newestSnapshot = snapshotInfo{
		meta: s.Meta, name: snapshotName(s.Meta.Index), headSize: headSize,
		dataSize: uint64(len(s.Data)), checksum: quorum.SnapshotChecksum(s.Data),
	}
}

// SaveSnapshot makes a snapshot of the state machine durable and removes the previous one. It may
// run concurrently with Write. With ErrFull the previous snapshot stays.
func (d *Disk) SaveSnapshot(s quorum.Snapshot) error {
	d.saveMu.Lock()
	defer d.saveMu.Unlock()
	if err := d.checkFailure(); err != nil {
		return err
	}
	d.mu.Lock()
	old := d.newestSnapshot
	d.mu.Unlock()
	if s.Meta.Index <= old.meta.Index {
		return nil
	}
	head, err := encodeSnapshotHead(s)
	if err != nil {
		return d.setFailure(err, "encode snapshot")
	}
	if err := writeFileAtomically(d.fs, snapshotName(s.Meta.Index), head, s.Data); errors.Is(err, ErrFull) {
		return err
	} else if err != nil {
		return d.setFailure(err, "write snapshot")
	}
	d.setNewestSnapshot(s, int64(len(head)))
	d.updateCounters(func(c *Counters) { c.SnapshotBytesWritten += uint64(len(head) + len(s.Data)) })
	if old.name == "" {
		return nil
	}
	if err := d.fs.Remove(old.name); err != nil {
		return d.setFailure(err, "remove old snapshot")
	}
	return nil
}

// replaceLog stores a received snapshot and removes all entries of the log.
func (d *Disk) replaceLog(p quorum.Persist) error {
	if err := d.SaveSnapshot(*p.Snapshot); err != nil {
		return err
	}
	return d.resetLog(p.HardState)
}

// resetLog starts an empty log after the newest snapshot and removes all older segment files.
func (d *Disk) resetLog(h quorum.HardState) error {
	if err := d.startSegment(record{HardState: h, ResetsLog: true}); errors.Is(err, ErrFull) {
		return err
	} else if err != nil {
		return d.setFailure(err, "start log file")
	}
	return d.Compact(^uint64(0))
}

// ReadSnapshotChunk returns up to limit bytes of the newest snapshot from offset on, or a zero chunk
// if there is no snapshot.
func (d *Disk) ReadSnapshotChunk(offset, limit uint64) (quorum.SnapshotChunk, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.newestSnapshot
	if s.name == "" {
		return quorum.SnapshotChunk{}, nil
	}
	offset = min(offset, s.dataSize)
	c := quorum.SnapshotChunk{Meta: s.meta, Offset: offset, TotalSize: s.dataSize, Checksum: s.checksum}
	c.Data = make([]byte, min(limit, s.dataSize-offset))
	if err := d.fs.ReadAt(s.name, c.Data, s.headSize+int64(offset)); err != nil {
		return quorum.SnapshotChunk{}, fault.Wrap(fault.ErrCorrupt, "read snapshot file %s: %v", s.name, err)
	}
	return c, nil
}
