package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"vanillabridge/core/fault"
	"vanillabridge/core/quorum"
)

// storeState is the state that a store holds or should hold.
type storeState struct {
	HardState quorum.HardState
	Snapshot  quorum.Snapshot
	Entries   []quorum.Entry
}

func (s storeState) lastIndex() uint64 { return s.Snapshot.Meta.Index + uint64(len(s.Entries)) }

func (s storeState) write(p quorum.Persist) storeState {
	s.HardState = p.HardState
	if p.Snapshot != nil {
		s.Snapshot, s.Entries = *p.Snapshot, nil
	}
	if len(p.Entries) > 0 {
		keep := p.Entries[0].Index - s.Snapshot.Meta.Index - 1
		s.Entries = append(slices.Clone(s.Entries[:keep]), p.Entries...)
	}
	return s
}

func (s storeState) save(snap quorum.Snapshot) storeState {
	s.Entries = slices.Clone(s.Entries[snap.Meta.Index-s.Snapshot.Meta.Index:])
	s.Snapshot = snap
	return s
}

// statesAfterCrash returns the states that a crash during a write of the batch may leave. The last
// one is the state after the whole batch.
func (s storeState) statesAfterCrash(batch []quorum.Persist) []storeState {
	out := []storeState{s}
	for _, p := range batch {
		if p.Snapshot != nil {
			// The snapshot becomes durable before the HardState of the same Persist.
			out = append(out, storeState{HardState: s.HardState, Snapshot: *p.Snapshot})
		}
		s = s.write(p)
		out = append(out, s)
	}
	return out
}

var equateStates = cmp.Options{cmpopts.EquateEmpty(), cmpopts.IgnoreUnexported(quorum.ID{}, quorum.HardState{}, quorum.SnapshotMeta{}, quorum.Entry{}, quorum.Member{})}

func restoredState(d *Disk) storeState {
	r, snap := d.Restored()
	return storeState{HardState: r.HardState, Snapshot: snap, Entries: r.Entries}
}

func mustOpen(t rapid.TB, fs FS, segmentBytes int64) *Disk {
	t.Helper()
	d, err := Open(fs, Limits{SegmentBytes: segmentBytes}, 7)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return d
}

// randomWriter draws the writes of a replica.
type randomWriter struct {
	t       *rapid.T
	term    uint64
	written int
}

func (w *randomWriter) entries(from uint64) []quorum.Entry {
	var out []quorum.Entry
	for i := range rapid.IntRange(1, 5).Draw(w.t, "entries") {
		w.written++
		data := bytes.Repeat([]byte(fmt.Sprint(w.written)), rapid.IntRange(0, 30).Draw(w.t, "size"))
		out = append(out, quorum.Entry{Index: from + uint64(i), Term: w.term, Data: data})
	}
	return out
}

func (w *randomWriter) snapshot(index uint64) quorum.Snapshot {
	w.written++
	return quorum.Snapshot{Meta: quorum.SnapshotMeta{Index: index, Term: w.term, BootstrapID: 1}, Data: []byte(fmt.Sprint("snap", w.written))}
}

func (w *randomWriter) persistOutput(s storeState) quorum.Persist {
	switch rapid.IntRange(0, 6).Draw(w.t, "persist") {
	case 0:
		w.term++
		return quorum.Persist{HardState: quorum.HardState{Term: w.term, Vote: quorum.NewID("a", 1), BootstrapID: 1}}
	case 1:
		w.term++
		snap := w.snapshot(s.lastIndex() + rapid.Uint64Range(1, 5).Draw(w.t, "ahead"))
		return quorum.Persist{HardState: quorum.HardState{Term: w.term, BootstrapID: 1}, Snapshot: &snap}
	case 2:
		w.term++
		from := rapid.Uint64Range(s.Snapshot.Meta.Index+1, s.lastIndex()+1).Draw(w.t, "replace from")
		return quorum.Persist{HardState: quorum.HardState{Term: w.term, BootstrapID: 1}, Entries: w.entries(from)}
	}
	return quorum.Persist{HardState: s.HardState, Entries: w.entries(s.lastIndex() + 1)}
}

// Guards against confirmed state that is lost, and state that was never written, after a crash at
// any write that tears or loses unsynced bytes and directory changes.
func TestCrashAtEveryWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemFS(rapid.Uint64().Draw(t, "seed"))
		d := mustOpen(t, fs, 400)
		w := &randomWriter{t: t, term: 1}
		want := restoredState(d)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			fs.callsUntilCrash = rapid.IntRange(-40, 8).Draw(t, "crash in")
			allowed, err := w.writeRandom(d, want)
			if err == nil {
				want = allowed[len(allowed)-1]
			}
			fs.callsUntilCrash = -1
			if err == nil && rapid.IntRange(0, 5).Draw(t, "stop") > 0 {
				continue
			}
			fs.crash()
			d = mustOpen(t, fs, 400)
			got := restoredState(d)
			if err == nil {
				allowed = []storeState{want}
			}
			if !slices.ContainsFunc(allowed, func(s storeState) bool { return cmp.Equal(s, got, equateStates) }) {
				t.Fatalf("restored state is none of %d allowed states; difference from the last one: %s", len(allowed), cmp.Diff(allowed[len(allowed)-1], got, equateStates))
			}
			want = got
		}
	})
}

// writeRandom performs a drawn write and returns the states that a crash during it may leave. The
// last one is the state after the write.
func (w *randomWriter) writeRandom(d *Disk, s storeState) ([]storeState, error) {
	if len(s.Entries) > 0 && rapid.IntRange(0, 3).Draw(w.t, "save") == 0 {
		e := s.Entries[rapid.IntRange(0, len(s.Entries)-1).Draw(w.t, "at")]
		snap := w.snapshot(e.Index)
		snap.Meta.Term = e.Term
		next := s.save(snap)
		err := d.SaveSnapshot(snap)
		if err == nil {
			err = d.Compact(e.Index)
		}
		return []storeState{s, next}, err
	}
	var batch []quorum.Persist
	next := s
	for range rapid.IntRange(1, 3).Draw(w.t, "batch") {
		p := w.persistOutput(next)
		batch = append(batch, p)
		next = next.write(p)
	}
	return s.statesAfterCrash(batch), d.Write(batch)
}

func fillStore(t *testing.T, fs *memFS, count uint64) storeState {
	t.Helper()
	d := mustOpen(t, fs, 200)
	s := storeState{}
	for i := range count {
		p := quorum.Persist{HardState: quorum.HardState{Term: 1 + i/4, BootstrapID: 1}, Entries: []quorum.Entry{{Index: i + 1, Term: 1 + i/4, Data: []byte(fmt.Sprint("entry", i))}}}
		if err := d.Write([]quorum.Persist{p}); err != nil {
			t.Fatal(err)
		}
		s = s.write(p)
	}
	snap := quorum.Snapshot{Meta: quorum.SnapshotMeta{Index: 5, Term: 2, BootstrapID: 1}, Data: []byte("five")}
	if err := errors.Join(d.SaveSnapshot(snap), d.Compact(5)); err != nil {
		t.Fatal(err)
	}
	return s.save(snap)
}

// Guards against damaged data that is returned: every byte of every file is changed in turn. Only
// damage to the last record may look like a torn write, after which that record is missing.
func TestDamagedDataIsNotReturned(t *testing.T) {
	// With 12 entries the last log file holds one record, with 14 it holds several.
	if tornCount := countUndetectedDamage(t, 12); tornCount != 0 {
		t.Errorf("damage to %d bytes was taken for a torn write, want 0 because the first record of a file cannot be torn", tornCount)
	}
	if tornCount := countUndetectedDamage(t, 14); tornCount == 0 || tornCount > 80 {
		t.Errorf("damage to %d bytes was taken for a torn last record, want 1 to 80", tornCount)
	}
}

// countUndetectedDamage changes each byte of each file in turn, and returns for how many of them
// the store opens without its last record.
func countUndetectedDamage(t *testing.T, count uint64) int {
	t.Helper()
	clean := newMemFS(1)
	want := fillStore(t, clean, count)
	names, _ := clean.List()
	withoutLast := want
	withoutLast.Entries = want.Entries[:len(want.Entries)-1]
	tornCount := 0
	for _, name := range names {
		for at := range clean.files[name].data {
			fs := newMemFS(1)
			fillStore(t, fs, count)
			fs.files[name].data[at] ^= 0x10
			d, err := Open(fs, Limits{SegmentBytes: 200}, 7)
			if errors.Is(err, fault.ErrCorrupt) {
				continue
			}
			if err != nil {
				t.Fatalf("open with damage to %s at byte %d: %v, want ErrCorrupt", name, at, err)
			}
			tornCount++
			if diff := cmp.Diff(withoutLast, restoredState(d), equateStates); diff != "" {
				t.Fatalf("damage to %s at byte %d was returned: %s", name, at, diff)
			}
		}
	}
	return tornCount
}

// Guards against a missing file that is not reported as damage.
func TestMissingFile(t *testing.T) {
	clean := newMemFS(1)
	fillStore(t, clean, 14)
	names, _ := clean.List()
	slices.Sort(names)
	lastLog := names[slices.IndexFunc(names, func(n string) bool { return n >= "snap" })-1]
	for _, name := range names {
		fs := newMemFS(1)
		fillStore(t, fs, 14)
		delete(fs.files, name)
		// Nothing refers to the last log file, so its loss cannot be detected.
		if _, err := Open(fs, Limits{SegmentBytes: 200}, 7); !errors.Is(err, fault.ErrCorrupt) && name != lastLog {
			t.Errorf("open without %s: %v, want ErrCorrupt", name, err)
		}
	}
	// The loss of a file that holds only hard states leaves no gap between entries.
	fs := newMemFS(1)
	d := mustOpen(t, fs, 100)
	for i := range uint64(8) {
		if err := d.Write([]quorum.Persist{{HardState: quorum.HardState{Term: i + 1}}}); err != nil {
			t.Fatal(err)
		}
	}
	delete(fs.files, d.segments[1].name)
	if _, err := Open(fs, Limits{SegmentBytes: 100}, 7); !errors.Is(err, fault.ErrCorrupt) {
		t.Errorf("open without a file of hard states: %v, want ErrCorrupt", err)
	}
}

// Guards against a store that accepts writes after a failed sync or write: a later sync may succeed
// although bytes are lost.
func TestFailureIsFinal(t *testing.T) {
	fs := newMemFS(1)
	d := mustOpen(t, fs, 400)
	p := quorum.Persist{HardState: quorum.HardState{Term: 1}}
	fs.injectedErr = errors.New("input/output error")
	for range 2 {
		if err := d.Write([]quorum.Persist{p}); !errors.Is(err, fault.ErrStopped) {
			t.Fatalf("write during or after a failure: %v, want ErrStopped", err)
		}
		fs.injectedErr = nil
	}
	if err := d.SaveSnapshot(quorum.Snapshot{Meta: quorum.SnapshotMeta{Index: 1}}); !errors.Is(err, fault.ErrStopped) {
		t.Errorf("save after a failure: %v, want ErrStopped", err)
	}
}

// Guards against a replica that is lost for good because its disk was full for a while: the store keeps
// what was acknowledged, acknowledges nothing while there is no space, and goes on once there is some,
// also after a crash in between and when the log file or the snapshot is due to be replaced.
func TestFullDiskIsRetried(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fs := newMemFS(rapid.Uint64().Draw(rt, "seed"))
		limits := Limits{SegmentBytes: 300}
		d, err := Open(fs, limits, 7)
		if err != nil {
			rt.Fatal(err)
		}
		durable := uint64(0)
		for step := range rapid.IntRange(5, 60).Draw(rt, "steps") {
			fs.full = rapid.IntRange(0, 2).Draw(rt, "full") == 0
			p := quorum.Persist{HardState: quorum.HardState{Term: 1 + uint64(step)}, Entries: []quorum.Entry{{Index: durable + 1, Term: 1, Data: make([]byte, 40)}}}
			switch err := d.Write([]quorum.Persist{p}); {
			case err == nil:
				durable++
			case !fs.full || !errors.Is(err, ErrFull):
				rt.Fatalf("write with a full disk %v: %v", fs.full, err)
			}
			if rapid.IntRange(0, 5).Draw(rt, "snapshot") == 0 && durable > 0 {
				err := d.SaveSnapshot(quorum.Snapshot{Meta: quorum.SnapshotMeta{Index: durable, Term: 1}, Data: make([]byte, 100)})
				if err == nil {
					err = d.Compact(durable)
				} else if fs.full && errors.Is(err, ErrFull) {
					err = nil
				}
				if err != nil {
					rt.Fatalf("snapshot with a full disk %v: %v", fs.full, err)
				}
			}
			if rapid.IntRange(0, 9).Draw(rt, "crash") > 0 {
				continue
			}
			fs.full = false
			fs.crash()
			if d, err = Open(fs, limits, 7); err != nil {
				rt.Fatalf("open after a crash: %v", err)
			}
			r, _ := d.Restored()
			last := r.Meta.Index
			if n := len(r.Entries); n > 0 {
				last = r.Entries[n-1].Index
			}
			if last < durable {
				rt.Fatalf("the log ends at %d after a crash, want at least %d", last, durable)
			}
			durable = last
		}
	})
}

// Guards against a separate sync for each Persist output of a batch, and against files that grow
// without bound.
func TestGroupCommitAndBound(t *testing.T) {
	fs := newMemFS(1)
	d := mustOpen(t, fs, 4096)
	before := fs.syncCount
	var batch []quorum.Persist
	for i := range uint64(100) {
		batch = append(batch, quorum.Persist{HardState: quorum.HardState{Term: 1}, Entries: []quorum.Entry{{Index: i + 1, Term: 1}}})
	}
	if err := d.Write(batch); err != nil {
		t.Fatal(err)
	}
	if got := fs.syncCount - before; got != 1 {
		t.Errorf("a batch of 100 Persist outputs took %d syncs, want 1", got)
	}
	for i := uint64(101); i < 20_000; i++ {
		p := quorum.Persist{HardState: quorum.HardState{Term: 1}, Entries: []quorum.Entry{{Index: i, Term: 1, Data: make([]byte, 20)}}}
		if err := d.Write([]quorum.Persist{p}); err != nil {
			t.Fatal(err)
		}
		if i%200 == 0 {
			snap := quorum.Snapshot{Meta: quorum.SnapshotMeta{Index: i, Term: 1}, Data: make([]byte, 100)}
			if err := errors.Join(d.SaveSnapshot(snap), d.Compact(i)); err != nil {
				t.Fatal(err)
			}
		}
	}
	size := uint64(0)
	for name, f := range fs.files {
		if name != identityName {
			size += uint64(len(f.data))
		}
	}
	if got := d.Counters().DiskBytes; got != size || size > 30_000 {
		t.Errorf("files hold %d bytes, DiskBytes is %d, want equal and at most 30000", size, got)
	}
}

// Guards against two processes in one directory, an incarnation that changes although the disk was
// not lost, and torn bytes that stay in the file before the next record.
func TestReopenDir(t *testing.T) {
	dir, err := OpenDir(t.TempDir() + "/data")
	if err != nil {
		t.Fatal(err)
	}
	first, err := Open(dir, DefaultLimits(), 7)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, DefaultLimits(), 8); !errors.Is(err, fault.ErrConflict) {
		t.Errorf("open a locked directory: %v, want ErrConflict", err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(dir.path(segmentName(1)), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = f.WriteString("torn")
	_ = f.Close()
	var again *Disk
	for term := range uint64(2) {
		if again, err = Open(dir, DefaultLimits(), 8); err != nil {
			t.Fatal(err)
		}
		if got := restoredState(again).HardState.Term; got != term {
			t.Errorf("term is %d after a restart, want %d", got, term)
		}
		if err := errors.Join(again.Write([]quorum.Persist{{HardState: quorum.HardState{Term: term + 1}}}), again.Close()); err != nil {
			t.Fatal(err)
		}
	}
	if again.Incarnation() != 7 {
		t.Errorf("incarnation is %d after a restart, want 7", again.Incarnation())
	}
}
