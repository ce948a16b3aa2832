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

// state is what a store should hold.
type state struct {
	Hard    quorum.HardState
	Snap    quorum.Snapshot
	Entries []quorum.Entry
}

func (s state) last() uint64 { return s.Snap.Meta.Index + uint64(len(s.Entries)) }

func (s state) write(p quorum.Persist) state {
	s.Hard = p.HardState
	if p.Snapshot != nil {
		s.Snap, s.Entries = *p.Snapshot, nil
	}
	if len(p.Entries) > 0 {
		keep := p.Entries[0].Index - s.Snap.Meta.Index - 1
		s.Entries = append(slices.Clone(s.Entries[:keep]), p.Entries...)
	}
	return s
}

func (s state) save(snap quorum.Snapshot) state {
	s.Entries = slices.Clone(s.Entries[snap.Meta.Index-s.Snap.Meta.Index:])
	s.Snap = snap
	return s
}

// outcomes returns the states that a crash during a write may leave.
func (s state) outcomes(batch []quorum.Persist) []state {
	out := []state{s}
	for _, p := range batch {
		if p.Snapshot != nil {
			// The snapshot is durable before the Hard that came with it.
			out = append(out, state{Hard: s.Hard, Snap: *p.Snapshot})
		}
		s = s.write(p)
		out = append(out, s)
	}
	return out
}

var same = cmp.Options{cmpopts.EquateEmpty(), cmpopts.IgnoreUnexported(quorum.ID{}, quorum.HardState{}, quorum.Meta{}, quorum.Entry{}, quorum.Member{})}

func observe(d *Disk) state {
	r, snap := d.Restored()
	return state{Hard: r.HardState, Snap: snap, Entries: r.Entries}
}

func mustOpen(t rapid.TB, fs FS, segment int64) *Disk {
	t.Helper()
	d, err := Open(fs, Limits{Segment: segment}, 7)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return d
}

// script draws what a replica writes.
type script struct {
	t     *rapid.T
	term  uint64
	count int
}

func (c *script) entries(from uint64) []quorum.Entry {
	var out []quorum.Entry
	for i := range rapid.IntRange(1, 5).Draw(c.t, "entries") {
		c.count++
		data := bytes.Repeat([]byte(fmt.Sprint(c.count)), rapid.IntRange(0, 30).Draw(c.t, "size"))
		out = append(out, quorum.Entry{Index: from + uint64(i), Term: c.term, Data: data})
	}
	return out
}

func (c *script) snapshot(index uint64) quorum.Snapshot {
	c.count++
	return quorum.Snapshot{Meta: quorum.Meta{Index: index, Term: c.term, BootstrapID: 1}, Data: []byte(fmt.Sprint("snap", c.count))}
}

func (c *script) persist(s state) quorum.Persist {
	switch rapid.IntRange(0, 6).Draw(c.t, "persist") {
	case 0:
		c.term++
		return quorum.Persist{HardState: quorum.HardState{Term: c.term, Vote: quorum.NewID("a", 1), BootstrapID: 1}}
	case 1:
		c.term++
		snap := c.snapshot(s.last() + rapid.Uint64Range(1, 5).Draw(c.t, "ahead"))
		return quorum.Persist{HardState: quorum.HardState{Term: c.term, BootstrapID: 1}, Snapshot: &snap}
	case 2:
		c.term++
		from := rapid.Uint64Range(s.Snap.Meta.Index+1, s.last()+1).Draw(c.t, "replace from")
		return quorum.Persist{HardState: quorum.HardState{Term: c.term, BootstrapID: 1}, Entries: c.entries(from)}
	}
	return quorum.Persist{HardState: s.Hard, Entries: c.entries(s.last() + 1)}
}

// Guards against anything that was confirmed and is lost, and anything that is invented, by a
// crash at any write with torn or lost unsynced bytes and directory changes.
func TestCrashAtEveryWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemFS(rapid.Uint64().Draw(t, "seed"))
		d := mustOpen(t, fs, 400)
		c := &script{t: t, term: 1}
		want := observe(d)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			fs.crashIn = rapid.IntRange(-40, 8).Draw(t, "crash in")
			may, err := c.step(d, want)
			if err == nil {
				want = may[len(may)-1]
			}
			fs.crashIn = -1
			if err == nil && rapid.IntRange(0, 5).Draw(t, "stop") > 0 {
				continue
			}
			fs.crash()
			d = mustOpen(t, fs, 400)
			got := observe(d)
			if err == nil {
				may = []state{want}
			}
			if !slices.ContainsFunc(may, func(s state) bool { return cmp.Equal(s, got, same) }) {
				t.Fatalf("restored state differs from the last of %d allowed ones: %s", len(may), cmp.Diff(may[len(may)-1], got, same))
			}
			want = got
		}
	})
}

// step performs one drawn operation and returns the states that it may leave, the intended last.
func (c *script) step(d *Disk, s state) ([]state, error) {
	if len(s.Entries) > 0 && rapid.IntRange(0, 3).Draw(c.t, "save") == 0 {
		e := s.Entries[rapid.IntRange(0, len(s.Entries)-1).Draw(c.t, "at")]
		snap := c.snapshot(e.Index)
		snap.Meta.Term = e.Term
		next := s.save(snap)
		err := d.Save(snap)
		if err == nil {
			err = d.Compact(e.Index)
		}
		return []state{s, next}, err
	}
	var batch []quorum.Persist
	now := s
	for range rapid.IntRange(1, 3).Draw(c.t, "batch") {
		p := c.persist(now)
		batch = append(batch, p)
		now = now.write(p)
	}
	return s.outcomes(batch), d.Write(batch)
}

func filled(t *testing.T, fs *memFS, count uint64) state {
	t.Helper()
	d := mustOpen(t, fs, 200)
	s := state{}
	for i := range count {
		p := quorum.Persist{HardState: quorum.HardState{Term: 1 + i/4, BootstrapID: 1}, Entries: []quorum.Entry{{Index: i + 1, Term: 1 + i/4, Data: []byte(fmt.Sprint("entry", i))}}}
		if err := d.Write([]quorum.Persist{p}); err != nil {
			t.Fatal(err)
		}
		s = s.write(p)
	}
	snap := quorum.Snapshot{Meta: quorum.Meta{Index: 5, Term: 2, BootstrapID: 1}, Data: []byte("five")}
	if err := errors.Join(d.Save(snap), d.Compact(5)); err != nil {
		t.Fatal(err)
	}
	return s.save(snap)
}

// Guards against damaged bytes that are served: every byte of every file is changed in turn. Only
// damage to the last record may look like a torn write, which costs that record.
func TestDamageIsNeverServed(t *testing.T) {
	// The last file holds one record in the first case, and several in the second.
	if cuts := damage(t, 12); cuts != 0 {
		t.Errorf("damage to %d bytes of a first record passed for a torn write", cuts)
	}
	if cuts := damage(t, 14); cuts == 0 || cuts > 80 {
		t.Errorf("damage to %d bytes passed for a torn last record", cuts)
	}
}

// damage returns for how many bytes the store opens without its last record.
func damage(t *testing.T, count uint64) int {
	t.Helper()
	clean := newMemFS(1)
	want := filled(t, clean, count)
	names, _ := clean.List()
	short := want
	short.Entries = want.Entries[:len(want.Entries)-1]
	cuts := 0
	for _, name := range names {
		for at := range clean.files[name].data {
			fs := newMemFS(1)
			filled(t, fs, count)
			fs.files[name].data[at] ^= 0x10
			d, err := Open(fs, Limits{Segment: 200}, 7)
			if errors.Is(err, fault.ErrCorrupt) {
				continue
			}
			if err != nil {
				t.Fatalf("%s byte %d: %v", name, at, err)
			}
			cuts++
			if diff := cmp.Diff(short, observe(d), same); diff != "" {
				t.Fatalf("%s byte %d is served: %s", name, at, diff)
			}
		}
	}
	return cuts
}

// Guards against a missing file that goes unnoticed.
func TestMissingFile(t *testing.T) {
	clean := newMemFS(1)
	filled(t, clean, 14)
	names, _ := clean.List()
	slices.Sort(names)
	last := names[slices.IndexFunc(names, func(n string) bool { return n >= "snap" })-1]
	for _, name := range names {
		fs := newMemFS(1)
		filled(t, fs, 14)
		delete(fs.files, name)
		// Nothing refers to the last log file; its loss cannot be told from a file never written.
		if _, err := Open(fs, Limits{Segment: 200}, 7); !errors.Is(err, fault.ErrCorrupt) && name != last {
			t.Errorf("open without %s: %v, want ErrCorrupt", name, err)
		}
	}
	// A file with votes only leaves no gap between entries.
	fs := newMemFS(1)
	d := mustOpen(t, fs, 100)
	for i := range uint64(8) {
		if err := d.Write([]quorum.Persist{{HardState: quorum.HardState{Term: i + 1}}}); err != nil {
			t.Fatal(err)
		}
	}
	delete(fs.files, d.segments[1].name)
	if _, err := Open(fs, Limits{Segment: 100}, 7); !errors.Is(err, fault.ErrCorrupt) {
		t.Errorf("open without a file of votes: %v, want ErrCorrupt", err)
	}
}

// Guards against a replica that goes on after a failed sync or a full disk, when a later sync may
// succeed although bytes are lost.
func TestFailureIsFinal(t *testing.T) {
	fs := newMemFS(1)
	d := mustOpen(t, fs, 400)
	p := quorum.Persist{HardState: quorum.HardState{Term: 1}}
	fs.failing = errors.New("no space left on device")
	for range 2 {
		if err := d.Write([]quorum.Persist{p}); !errors.Is(err, fault.ErrStopped) {
			t.Fatalf("write: %v, want ErrStopped", err)
		}
		fs.failing = nil
	}
	if err := d.Save(quorum.Snapshot{Meta: quorum.Meta{Index: 1}}); !errors.Is(err, fault.ErrStopped) {
		t.Errorf("save after a failure: %v, want ErrStopped", err)
	}
}

// Guards against a sync for each proposal, and against files that grow without end.
func TestGroupCommitAndBound(t *testing.T) {
	fs := newMemFS(1)
	d := mustOpen(t, fs, 4096)
	before := fs.syncs
	var batch []quorum.Persist
	for i := range uint64(100) {
		batch = append(batch, quorum.Persist{HardState: quorum.HardState{Term: 1}, Entries: []quorum.Entry{{Index: i + 1, Term: 1}}})
	}
	if err := d.Write(batch); err != nil {
		t.Fatal(err)
	}
	if got := fs.syncs - before; got != 1 {
		t.Errorf("100 writes took %d syncs, want 1", got)
	}
	for i := uint64(101); i < 20_000; i++ {
		p := quorum.Persist{HardState: quorum.HardState{Term: 1}, Entries: []quorum.Entry{{Index: i, Term: 1, Data: make([]byte, 20)}}}
		if err := d.Write([]quorum.Persist{p}); err != nil {
			t.Fatal(err)
		}
		if i%200 == 0 {
			snap := quorum.Snapshot{Meta: quorum.Meta{Index: i, Term: 1}, Data: make([]byte, 100)}
			if err := errors.Join(d.Save(snap), d.Compact(i)); err != nil {
				t.Fatal(err)
			}
		}
	}
	size := uint64(0)
	for name, f := range fs.files {
		if name != identName {
			size += uint64(len(f.data))
		}
	}
	if got := d.Counters().DiskBytes; got != size || size > 30_000 {
		t.Errorf("files hold %d bytes, counted %d, want at most 30000", size, got)
	}
}

// Guards against two processes in one folder, an identity that changes without a loss, and torn
// bytes that stay in the file in front of the next record.
func TestFolder(t *testing.T) {
	dir, err := OpenDir(t.TempDir() + "/data")
	if err != nil {
		t.Fatal(err)
	}
	first, err := Open(dir, DefaultLimits(), 7)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, DefaultLimits(), 8); !errors.Is(err, fault.ErrConflict) {
		t.Errorf("second open: %v, want ErrConflict", err)
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
		if got := observe(again).Hard.Term; got != term {
			t.Errorf("term %d after a restart, want %d", got, term)
		}
		if err := errors.Join(again.Write([]quorum.Persist{{HardState: quorum.HardState{Term: term + 1}}}), again.Close()); err != nil {
			t.Fatal(err)
		}
	}
	if again.Incarnation() != 7 {
		t.Errorf("incarnation %d after a restart, was 7", again.Incarnation())
	}
}
