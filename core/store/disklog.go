package store

import (
	"slices"

	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
)

// openLog reads all segments and cuts off a torn last frame.
func (d *Disk) openLog(names []string) error {
	segments := withPrefix(names, "log-")
	d.restored.Meta = d.snapshot.Meta
	d.hard.BootstrapID = d.snapshot.Meta.BootstrapID
	for i, name := range segments {
		b, err := d.fs.Read(name)
		if err != nil {
			return err
		}
		s, err := decodeSegment(b)
		if err != nil {
			return fault.Wrap(err, "log file %s", name)
		}
		if err := d.addSegment(name, s, i == len(segments)-1); err != nil {
			return fault.Wrap(err, "log file %s", name)
		}
	}
	d.restored.HardState = d.hard
	broken := d.trimRestored()
	if len(d.segments) > 0 && len(d.restored.Entries) > 0 && d.restored.Entries[0].Index > d.restored.Meta.Index+1 {
		return fault.Wrap(fault.ErrCorrupt, "log starts at index %d after a snapshot at %d", d.restored.Entries[0].Index, d.restored.Meta.Index)
	}
	if err := d.reopen(); err != nil || !broken {
		return err
	}
	return d.reset(d.hard)
}

func (d *Disk) addSegment(name string, s segment, last bool) error {
	if s.torn && !last {
		return fault.Wrap(fault.ErrCorrupt, "frame %d is damaged and a later file exists", s.next)
	}
	if d.next != 0 && s.first != d.next {
		return fault.Wrap(fault.ErrCorrupt, "first frame is %d, expected %d", s.first, d.next)
	}
	info := span{name: name, size: s.size}
	for _, r := range s.records {
		if err := d.replay(r); err != nil {
			return err
		}
		for _, e := range r.Entries {
			info.last = max(info.last, e.Index)
		}
	}
	d.next, d.salt = s.next, s.salt
	d.segments = append(d.segments, info)
	d.counters.DiskBytes += uint64(s.size)
	return nil
}

// replay applies one record to the entries read so far.
func (d *Disk) replay(r record) error {
	d.hard = r.Hard
	if r.Reset {
		d.restored.Entries = nil
	}
	if len(r.Entries) == 0 {
		return nil
	}
	for i, e := range r.Entries {
		if e.Index != r.Entries[0].Index+uint64(i) {
			return fault.Wrap(fault.ErrCorrupt, "entry %d in place of %d", e.Index, r.Entries[0].Index+uint64(i))
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
			return fault.Wrap(fault.ErrCorrupt, "entry %d after %d", at, first+uint64(len(kept))-1)
		}
	}
	d.restored.Entries = append(kept, r.Entries...)
	return nil
}

// trimRestored drops entries that the snapshot covers. It reports whether the log ends before the
// snapshot or contradicts it, which is so if the process died while it replaced the log.
func (d *Disk) trimRestored() bool {
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

// reopen continues the last segment, or starts the first.
func (d *Disk) reopen() error {
	if len(d.segments) == 0 {
		d.next = 1
		return d.roll(record{})
	}
	s := d.segments[len(d.segments)-1]
	f, err := d.fs.Append(s.name, s.size)
	if err != nil {
		return err
	}
	d.file = f
	// The cut must be durable before anything follows it.
	return f.Sync()
}

// roll starts a new segment file. Its first frame repeats Hard, because older files may be removed.
func (d *Disk) roll(r record) error {
	if d.file != nil {
		if err := d.file.Close(); err != nil {
			return err
		}
		d.file = nil
	}
	frame, err := encodeFrame(d.salt, d.next, r)
	if err != nil {
		return err
	}
	name, size := segmentName(d.next), int64(segmentHead+len(frame))
	// The file appears whole or not at all, so a damaged head is never mistaken for a torn one.
	if err := writeFile(d.fs, name, encodeHead(d.salt, d.next), frame); err != nil {
		return err
	}
	if d.file, err = d.fs.Append(name, size); err != nil {
		return err
	}
	d.next++
	d.hard = r.Hard
	d.segments = append(d.segments, span{name: name, size: size})
	d.count(func(c *Counters) {
		c.DiskBytes += uint64(size)
		c.LogBytes += uint64(size)
		c.Syncs++
	})
	return nil
}

// Write makes a batch durable, in order, with one sync.
func (d *Disk) Write(batch []quorum.Persist) error {
	if err := d.failure(); err != nil {
		return err
	}
	r := record{Hard: d.hard}
	for _, p := range batch {
		if p.Snapshot != nil {
			if err := d.flush(r); err != nil {
				return err
			}
			r.Entries = nil
			if err := d.replace(p); err != nil {
				return err
			}
		}
		r.Hard = p.HardState
		if len(p.Entries) > 0 {
			r.Entries = merge(r.Entries, p.Entries)
		}
	}
	return d.flush(r)
}

// merge returns the entries after the second batch replaced the end of the first.
func merge(a, b []quorum.Entry) []quorum.Entry {
	if len(a) == 0 || b[0].Index <= a[0].Index {
		return slices.Clone(b)
	}
	return append(a[:b[0].Index-a[0].Index], b...)
}

func (d *Disk) flush(r record) error {
	if r.Hard == d.hard && len(r.Entries) == 0 {
		return nil
	}
	b, err := encodeFrame(d.salt, d.next, r)
	if err != nil {
		return d.fail(err, "encode log record")
	}
	if _, err := d.file.Write(b); err != nil {
		return d.fail(err, "write log")
	}
	if err := d.file.Sync(); err != nil {
		return d.fail(err, "sync log")
	}
	d.next++
	d.hard = r.Hard
	s := &d.segments[len(d.segments)-1]
	s.size += int64(len(b))
	if n := len(r.Entries); n > 0 {
		s.last = max(s.last, r.Entries[n-1].Index)
	}
	d.count(func(c *Counters) {
		c.LogBytes += uint64(len(b))
		c.DiskBytes += uint64(len(b))
		c.Syncs++
	})
	if s.size >= d.limits.Segment {
		if err := d.roll(record{Hard: d.hard}); err != nil {
			return d.fail(err, "start log file")
		}
	}
	return nil
}

// Compact removes log files that hold nothing after index.
func (d *Disk) Compact(index uint64) error {
	if err := d.failure(); err != nil {
		return err
	}
	removed := false
	for len(d.segments) > 1 && d.segments[0].last <= index {
		s := d.segments[0]
		if err := d.fs.Remove(s.name); err != nil {
			return d.fail(err, "remove log file")
		}
		d.segments = d.segments[1:]
		d.count(func(c *Counters) { c.DiskBytes -= uint64(s.size) })
		removed = true
	}
	if !removed {
		return nil
	}
	if err := d.fs.SyncDir(); err != nil {
		return d.fail(err, "sync data folder")
	}
	return nil
}
