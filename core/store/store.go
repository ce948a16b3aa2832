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
	// Incarnation returns the incarnation of the replica, which changes when its disk is lost.
	Incarnation() model.Incarnation
	// Restored returns the state that was durable when the store was opened. The snapshot is zero
	// if there was none.
	Restored() (quorum.RestoredState, quorum.Snapshot)
	// Write makes a batch of Persist outputs durable in order, with one sync of the log for all
	// outputs up to a snapshot or the end. After an error all further writes fail.
	Write(batch []quorum.Persist) error
	// SaveSnapshot makes a snapshot of the state machine durable. It may run concurrently with
	// Write.
	SaveSnapshot(s quorum.Snapshot) error
	// Compact removes the oldest log files as long as they hold no entry after index.
	Compact(index uint64) error
	// ReadSnapshotChunk returns up to limit bytes of the newest snapshot from offset on, or a zero
	// chunk if there is no snapshot.
	ReadSnapshotChunk(offset, limit uint64) (quorum.SnapshotChunk, error)
	// Counters returns the counters of the store.
	Counters() Counters
	Close() error
}

// Counters holds totals since the store was opened, and the present size on disk.
type Counters struct {
	// LogBytesWritten and SnapshotBytesWritten count the bytes written to log and snapshot files.
	// LogSyncs counts the syncs of log files.
	LogBytesWritten      uint64
	SnapshotBytesWritten uint64
	LogSyncs             uint64
	// DiskBytes is the present size of all log files and of the newest snapshot file.
	DiskBytes uint64
}

// Limits bounds the sizes of files.
type Limits struct {
	// SegmentBytes is the size at which a log file is closed and a new one is started.
	SegmentBytes int64
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits { return Limits{SegmentBytes: 16 << 20} }

// Disk is a Store that keeps its state in files.
type Disk struct {
	fs               FS
	limits           Limits
	lock             io.Closer
	incarnation      model.Incarnation
	restored         quorum.RestoredState
	restoredSnapshot quorum.Snapshot

	// The fields from hardState to segments are accessed only by the goroutine that calls Write and
	// Compact.
	hardState   quorum.HardState
	segmentFile File
	// salt is a random number that the checksum of each frame covers.
	salt      uint64
	nextFrame uint64 // number of the next frame
	segments  []segmentInfo

	// saveMu serializes calls of SaveSnapshot, which come from the goroutine that writes and from
	// the one that applies entries.
	saveMu sync.Mutex

	mu sync.Mutex
	// failureErr is the error of the first failed write. It makes all later writes fail.
	failureErr     error
	newestSnapshot snapshotInfo
	counters       Counters
}

// segmentInfo describes a segment file.
type segmentInfo struct {
	name string
	size int64
	// lastIndex is the highest index of an entry in the file.
	lastIndex uint64
}

// snapshotInfo describes a snapshot file: headSize bytes of header and metadata, then dataSize
// bytes of data with the given checksum.
type snapshotInfo struct {
	meta     quorum.SnapshotMeta
	name     string
	headSize int64
	dataSize uint64
	checksum uint32
}

// Open opens the store in a directory and restores its state. In an empty directory it starts a new
// incarnation of the replica, identified by the random number, which must not be 0.
func Open(fs FS, limits Limits, random uint64) (*Disk, error) {
	lock, err := fs.Lock()
	if err != nil {
		return nil, fault.Wrap(err, "open store")
	}
	d := &Disk{fs: fs, limits: limits, lock: lock, salt: random}
	if err := d.restore(random); err != nil {
		_ = lock.Close()
		return nil, fault.Wrap(err, "open store")
	}
	return d, nil
}

func (d *Disk) restore(random uint64) error {
	names, err := d.removeTempFiles()
	if err != nil {
		return err
	}
	if err := d.loadIdentity(names, random); err != nil {
		return err
	}
	if err := d.loadSnapshot(names); err != nil {
		return err
	}
	return d.loadLog(names)
}

// removeTempFiles removes temporary files, whose writing was interrupted by a crash, and returns
// the sorted names of all other files.
func (d *Disk) removeTempFiles() ([]string, error) {
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

func filterPrefix(names []string, prefix string) []string {
	var out []string
	for _, n := range names {
		if strings.HasPrefix(n, prefix) {
			out = append(out, n)
		}
	}
	return out
}

func (d *Disk) loadIdentity(names []string, random uint64) error {
	if slices.Contains(names, identityName) {
		b, err := d.fs.Read(identityName)
		if err != nil {
			return err
		}
		d.incarnation, err = decodeIdentity(b)
		return err
	}
	if len(filterPrefix(names, "log-"))+len(filterPrefix(names, "snap-")) > 0 {
		return fault.Wrap(fault.ErrCorrupt, "data directory holds a log or a snapshot but no identity file")
	}
	d.incarnation = model.Incarnation(random)
	return writeFileAtomically(d.fs, identityName, encodeIdentity(d.incarnation))
}

// Incarnation returns the incarnation of the replica.
func (d *Disk) Incarnation() model.Incarnation { return d.incarnation }

// Restored returns the state that was durable when the store was opened. Further calls return empty
// state.
func (d *Disk) Restored() (quorum.RestoredState, quorum.Snapshot) {
	r, s := d.restored, d.restoredSnapshot
	d.restored, d.restoredSnapshot = quorum.RestoredState{}, quorum.Snapshot{}
	return r, s
}

// Counters returns the counters of the store.
func (d *Disk) Counters() Counters {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counters
}

// Close closes the log file and releases the lock. All writes are already durable.
func (d *Disk) Close() error {
	var err error
	if d.segmentFile != nil {
		err = d.segmentFile.Close()
	}
	if unlockErr := d.lock.Close(); err == nil {
		err = unlockErr
	}
	return err
}

// setFailure makes an error permanent and returns the first one. After a failed sync the kernel may
// have dropped the dirty pages, so a later successful sync does not prove that they are durable.
func (d *Disk) setFailure(err error, operation string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failureErr == nil {
		d.failureErr = fault.Wrap(fault.ErrStopped, "store stopped: %s failed: %v", operation, err)
	}
	return d.failureErr
}

func (d *Disk) checkFailure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failureErr
}

func (d *Disk) updateCounters(f func(c *Counters)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.counters)
}

func segmentName(firstFrame uint64) string { return fmt.Sprintf("log-%016x", firstFrame) }
