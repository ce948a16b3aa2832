package store

import (
	"errors"
	"slices"

	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
)

// loadLog restores the hard state and the entries from all segment files, and truncates a torn last
// frame.
func (d *Disk) loadLog(names []string) error {
	segments := filterPrefix(names, "log-")
	d.restored.Meta = d.restoredSnapshot.Meta
	d.hardState.BootstrapID = d.restoredSnapshot.Meta.BootstrapID
	for i, name := range segments {
		b, err := d.fs.Read(name)
		if err != nil {
			return err
		}
		s, err := decodeSegment(b)
		if err != nil {
			return fault.Wrap(err, "decode log file %s", name)
		}
		if err := d.addSegment(name, s, i == len(segments)-1); err != nil {
			return fault.Wrap(err, "replay log file %s", name)
		}
	}
	d.restored.HardState = d.hardState
	mismatch := d.trimRestoredEntries()
	if len(d.segments) > 0 && len(d.restored.Entries) > 0 && d.restored.Entries[0].Index > d.restored.Meta.Index+1 {
		return fault.Wrap(fault.ErrCorrupt, "restore log: first entry has index %d, but the snapshot ends at index %d", d.restored.Entries[0].Index, d.restored.Meta.Index)
	}
	if err := d.openLastSegment(); err != nil || !mismatch {
		return err
	}
	return d.resetLog(d.hardState)
}

func (d *Disk) addSegment(name string, s segment, last bool) error {
	if s.torn && !last {
		return fault.Wrap(fault.ErrCorrupt, "frame %d is damaged, but a later log file exists", s.nextFrame)
	}
	if d.nextFrame != 0 && s.firstFrame != d.nextFrame {
		return fault.Wrap(fault.ErrCorrupt, "first frame has number %d, want %d", s.firstFrame, d.nextFrame)
	}
	info := segmentInfo{name: name, size: s.intactSize}
	for _, r := range s.records {
		if err := d.replayRecord(r); err != nil {
			return err
		}
		for _, e := range r.Entries {
			info.lastIndex = max(info.lastIndex, e.Index)
		}
	}
	d.nextFrame, d.salt = s.nextFrame, s.salt
	d.segments = append(d.segments, info)
	d.counters.DiskBytes += uint64(s.intactSize)
	return nil
}

// replayRecord applies one log record to the state restored so far.
func (d *Disk) replayRecord(r record) error {
	d.hardState = r.HardState
	if r.ResetsLog {
		d.restored.Entries = nil
	}
	if len(r.Entries) == 0 {
		return nil
	}
	for i, e := range r.Entries {
		if e.Index != r.Entries[0].Index+uint64(i) {
			return fault.Wrap(fault.ErrCorrupt, "log record: entry has index %d, want %d", e.Index, r.Entries[0].Index+uint64(i))
		}
	}
	kept := d.restored.Entries
	if len(kept) > 0 {
		first := kept[0].Index
		switch at := r.Entries[0].Index; {
		case at <= first:
			kept = nil
		case at-first <= uint64(len(kept)):
			kept = kept[:at-first]
		default:
			return fault.Wrap(fault.ErrCorrupt, "log record: first entry has index %d, but the log ends at index %d", at, first+uint64(len(kept))-1)
		}
	}
	d.restored.Entries = append(kept, r.Entries...)
	return nil
}

// trimRestoredEntries removes the entries that the snapshot covers. It reports whether the log ends
// before the snapshot or differs from it in term, which happens if the process died after it stored
// a received snapshot and before it reset the log.
func (d *Disk) trimRestoredEntries() bool {
	base := d.restored.Meta.Index
	e := d.restored.Entries
	if len(e) == 0 || e[0].Index > base {
		return false
	}
	at := base - e[0].Index
	if e[len(e)-1].Index < base || e[at].Term != d.restored.Meta.Term {
		d.restored.Entries = nil
		return true
	}
	d.restored.Entries = slices.Clone(e[at+1:])
	return false
}

// openLastSegment opens the last segment file for appending, or starts the first one.
func (d *Disk) openLastSegment() error {
	if len(d.segments) == 0 {
		d.nextFrame = 1
		return d.startSegment(record{})
	}
	s := d.segments[len(d.segments)-1]
	f, err := d.fs.Append(s.name, s.size)
	if err != nil {
		return err
	}
	d.segmentFile = f
	// The truncation of a torn frame must be durable before anything is appended.
	return f.Sync()
}

// startSegment starts a new segment file and closes the old one. With ErrFull it has changed nothing. The first frame of each file holds the
// hard state, because older files may be removed.
func (d *Disk) startSegment(r record) error {
	frame, err := encodeFrame(d.salt, d.nextFrame, r)
	if err != nil {
		return err
	}
	name, size := segmentName(d.nextFrame), int64(segmentHeaderSize+len(frame))
	// The file is created atomically with its header and first frame, so that damage to these can
	// be distinguished from a torn write.
	if err := writeFileAtomically(d.fs, name, encodeSegmentHeader(d.salt, d.nextFrame), frame); err != nil {
		return err
	}
	if d.segmentFile != nil {
		if err := d.segmentFile.Close(); err != nil {
			return err
		}
	}
	if d.segmentFile, err = d.fs.Append(name, size); err != nil {
		return err
	}
	d.nextFrame++
	d.hardState = r.HardState
	d.segments = append(d.segments, segmentInfo{name: name, size: size})
	d.updateCounters(func(c *Counters) {
		c.DiskBytes += uint64(size)
		c.LogBytesWritten += uint64(size)
		c.LogSyncs++
	})
	return nil
}

// Write makes a batch of Persist outputs durable in order, with one sync of the log for all outputs
// up to a snapshot or the end. With ErrFull a part of the batch may be durable; the whole batch may be
// written again.
func (d *Disk) Write(batch []quorum.Persist) error {
	if err := d.checkFailure(); err != nil {
		return err
	}
	r := record{HardState: d.hardState}
	for _, p := range batch {
		if p.Snapshot != nil {
			if err := d.writeRecord(r); err != nil {
				return err
			}
			r.Entries = nil
			if err := d.replaceLog(p); err != nil {
				return err
			}
		}
		r.HardState = p.HardState
		if len(p.Entries) > 0 {
			r.Entries = mergeEntries(r.Entries, p.Entries)
		}
	}
	return d.writeRecord(r)
}

// mergeEntries returns the entries of a, with those from the index of the first entry of b on
// replaced by b.
func mergeEntries(a, b []quorum.Entry) []quorum.Entry {
	if len(a) == 0 || b[0].Index <= a[0].Index {
		return slices.Clone(b)
	}
	return append(a[:b[0].Index-a[0].Index], b...)
}

func (d *Disk) writeRecord(r record) error {
	if r.HardState == d.hardState && len(r.Entries) == 0 {
		return nil
	}
	b, err := encodeFrame(d.salt, d.nextFrame, r)
	if err != nil {
		return d.setFailure(err, "encode log record")
	}
	if _, err := d.segmentFile.Write(b); err != nil {
		if err = asFull(err, "write log"); !errors.Is(err, ErrFull) {
			return d.setFailure(err, "write log")
		}
		if discardErr := d.discardPartialFrame(); discardErr != nil {
			return d.setFailure(discardErr, "cut off a partial log record")
		}
		return err
	}
	if err := d.segmentFile.Sync(); err != nil {
		return d.setFailure(err, "sync log")
	}
	d.nextFrame++
	d.hardState = r.HardState
	s := &d.segments[len(d.segments)-1]
	s.size += int64(len(b))
	if n := len(r.Entries); n > 0 {
		s.lastIndex = max(s.lastIndex, r.Entries[n-1].Index)
	}
	d.updateCounters(func(c *Counters) {
		c.LogBytesWritten += uint64(len(b))
		c.DiskBytes += uint64(len(b))
		c.LogSyncs++
	})
	if s.size >= d.limits.SegmentBytes {
		// On a full disk the log goes on in the present file, and the next write tries again.
		if err := d.startSegment(record{HardState: d.hardState}); err != nil && !errors.Is(err, ErrFull) {
			return d.setFailure(err, "start log file")
		}
	}
	return nil
}

// Compact removes the oldest log files as long as they hold no entry after index.
func (d *Disk) Compact(index uint64) error {
	if err := d.checkFailure(); err != nil {
		return err
	}
	removed := false
	for len(d.segments) > 1 && d.segments[0].lastIndex <= index {
		s := d.segments[0]
		if err := d.fs.Remove(s.name); err != nil {
			return d.setFailure(err, "remove log file")
		}
		d.segments = d.segments[1:]
		d.updateCounters(func(c *Counters) { c.DiskBytes -= uint64(s.size) })
		removed = true
	}
	if !removed {
		return nil
	}
	if err := d.fs.SyncDir(); err != nil {
		return d.setFailure(err, "sync data directory")
	}
	return nil
}
