package store

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
)

// Store is the durable state of one replica.
type Store interface {
	// Incarnation identifies this life of the replica.
	Incarnation() model.Incarnation
	// Restored returns what was durable when the store was opened. The snapshot is zero if
	// there is none.
	Restored() (quorum.RestoredState, quorum.Snapshot)
	// Write makes a batch durable, in order, with one sync. After an error the store stays failed.
	Write(batch []quorum.Persist) error
	// Save makes a snapshot of the machine durable; it may run beside Write.
	Save(s quorum.Snapshot) error
	// Compact removes log files that hold nothing after index.
	Compact(index uint64) error
	// Chunk returns a part of the newest snapshot, or a zero Chunk if there is none.
	Chunk(offset, limit uint64) (quorum.SnapshotChunk, error)
	// Counters returns what was written so far.
	Counters() Counters
	Close() error
}

// Counters are totals since the store was opened.
type Counters struct {
	// LogBytes and SnapshotBytes were written, Syncs were requested of the log files.
	LogBytes      uint64
	SnapshotBytes uint64
	Syncs         uint64
	// DiskBytes is the present size of all log files and of the newest snapshot.
	DiskBytes uint64
}

// Limits bounds the files, in bytes.
type Limits struct {
	// Segment is the size at which a new log file is started.
	Segment int64
}

// DefaultLimits returns the limits used unless set otherwise.
func DefaultLimits() Limits { return Limits{Segment: 16 << 20} }

// Disk is a Store in files.
type Disk struct {
	fs       FS
	limits   Limits
	lock     io.Closer
	inc      model.Incarnation
	restored quorum.RestoredState
	snapshot quorum.Snapshot

	// The fields up to segments belong to the goroutine that calls Write and Compact.
	hard     quorum.HardState
	file     File
	salt     uint64
	next     uint64
	segments []span

	// saving serialises Save, which the writer and the applier of a replica both call.
	saving sync.Mutex

	mu       sync.Mutex
	failed   error
	snap     snapInfo
	counters Counters
}

// span describes a segment file.
type span struct {
	name string
	size int64
	// last is the highest index of an entry in the file.
	last uint64
}

// snapInfo describes the newest snapshot file.
type snapInfo struct {
	meta quorum.Meta
	name string
	head int64
	size uint64
	sum  uint32
}

// Open reads the state in a folder, or starts a new life of the replica in an empty one. The
// random number becomes the incarnation of a new life; it must not be 0.
func Open(fs FS, limits Limits, random uint64) (*Disk, error) {
	lock, err := fs.Lock()
	if err != nil {
		return nil, fault.Wrap(err, "open store")
	}
	d := &Disk{fs: fs, limits: limits, lock: lock, salt: random}
	if err := d.open(random); err != nil {
		_ = lock.Close()
		return nil, fault.Wrap(err, "open store")
	}
	return d, nil
}

func (d *Disk) open(random uint64) error {
	names, err := d.list()
	if err != nil {
		return err
	}
	if err := d.openIdent(names, random); err != nil {
		return err
	}
	if err := d.openSnap(names); err != nil {
		return err
	}
	return d.openLog(names)
}

// list removes files that were being written when the process died.
func (d *Disk) list() ([]string, error) {
	names, err := d.fs.List()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	var kept []string
	for _, n := range names {
		if !strings.HasSuffix(n, tmpSuffix) {
			kept = append(kept, n)
			continue
		}
		if err := d.fs.Remove(n); err != nil {
			return nil, err
		}
	}
	return kept, nil
}

func withPrefix(names []string, prefix string) []string {
	var out []string
	for _, n := range names {
		if strings.HasPrefix(n, prefix) {
			out = append(out, n)
		}
	}
	return out
}

func (d *Disk) openIdent(names []string, random uint64) error {
	if slices.Contains(names, identName) {
		b, err := d.fs.Read(identName)
		if err != nil {
			return err
		}
		d.inc, err = decodeIdent(b)
		return err
	}
	if len(withPrefix(names, "log-"))+len(withPrefix(names, "snap-")) > 0 {
		return fault.Wrap(fault.ErrCorrupt, "data folder has a log but no identity file")
	}
	d.inc = model.Incarnation(random)
	return writeFile(d.fs, identName, encodeIdent(d.inc))
}

// Incarnation identifies this life of the replica.
func (d *Disk) Incarnation() model.Incarnation { return d.inc }

// Restored returns what was durable when the store was opened, once.
func (d *Disk) Restored() (quorum.RestoredState, quorum.Snapshot) {
	r, s := d.restored, d.snapshot
	d.restored, d.snapshot = quorum.RestoredState{}, quorum.Snapshot{}
	return r, s
}

// Counters returns what was written so far.
func (d *Disk) Counters() Counters {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counters
}

// Close releases the folder. Everything written is already durable.
func (d *Disk) Close() error {
	var err error
	if d.file != nil {
		err = d.file.Close()
	}
	if unlock := d.lock.Close(); err == nil {
		err = unlock
	}
	return err
}

// fail makes an error permanent: after a failed sync the kernel may have dropped the pages, so
// a later sync that succeeds proves nothing.
func (d *Disk) fail(err error, what string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failed == nil {
		d.failed = fault.Wrap(fault.ErrStopped, "store stopped: %s: %v", what, err)
	}
	return d.failed
}

func (d *Disk) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failed
}

func (d *Disk) count(f func(c *Counters)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.counters)
}

func segmentName(first uint64) string { return fmt.Sprintf("log-%016x", first) }
