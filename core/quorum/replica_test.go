package quorum

import (
	"bytes"
	"fmt"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// replica is one instance in its present life.
type replica struct {
	w      *world
	name   model.Instance
	inc    model.Incarnation
	node   *Node
	gen    int
	paused bool
	backup []func()
	rate   float64
	offset clock.Millis
	// pending is what was written but not synced.
	pending []Persist
	disk    durable
	applied uint64
	boot    bool
}

// durable is the content of a disk.
type durable struct {
	hard    Hard
	snap    Snapshot
	entries []Entry
}

func (r *replica) clock() clock.Millis {
	return r.offset + clock.Millis(float64(r.w.now)*r.rate)
}

// setRate changes how fast the clock runs, without a jump.
func (r *replica) setRate(rate float64) {
	r.offset += clock.Millis(float64(r.w.now) * (r.rate - rate))
	r.rate = rate
}

// erase puts an empty disk under a new life.
func (r *replica) erase() {
	r.w.incs++
	r.inc = model.Incarnation(r.w.incs)
	r.disk = durable{}
}

func (r *replica) start() {
	cfg := Config{
		Group: "g", Self: NewID(r.name, r.inc), Peers: r.w.peers, Founders: r.w.voters, Boot: r.boot,
		Timing: r.w.timing, Limits: r.w.limits, Seed: r.w.rng.Uint64(),
	}
	d := r.disk
	entries := slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index <= d.snap.Meta.Index })
	n, err := New(r.clock(), cfg, Restored{Hard: d.hard, Meta: d.snap.Meta, Entries: entries})
	if err != nil {
		r.w.t.Fatalf("start %s: %v", r.name, err)
	}
	r.node, r.paused, r.applied, r.pending = n, false, d.snap.Meta.Index, nil
	r.gen++
	r.tick(r.gen)
}

func (r *replica) tick(gen int) {
	r.w.after(1+clock.Millis(r.w.rng.IntN(50)), func() {
		if r.gen == gen {
			r.feed(Tick{})
			r.tick(gen)
		}
	})
}

// crash ends the process; a prefix of what was written but not synced survives.
func (r *replica) crash(survive int) {
	for _, p := range r.pending[:min(survive, len(r.pending))] {
		r.disk.write(p)
	}
	r.node, r.pending, r.backup, r.paused = nil, nil, nil, false
	r.gen++
}

func (r *replica) pause() { r.paused = r.node != nil }

func (r *replica) resume() {
	r.paused = false
	waiting := r.backup
	r.backup = nil
	for _, do := range waiting {
		do()
	}
}

// feed steps the node, or does so when it is resumed.
func (r *replica) feed(in Input) {
	gen := r.gen
	do := func() {
		if r.gen == gen && r.node != nil {
			r.perform(r.node.Step(r.clock(), in))
		}
	}
	if r.paused {
		r.backup = append(r.backup, do)
		return
	}
	do()
}

func (r *replica) perform(out []Output) {
	for _, o := range out {
		switch o := o.(type) {
		case Send:
			r.w.send(r, o)
		case Persist:
			r.pending = append(r.pending, o)
			r.later(1+clock.Millis(r.w.rng.Int64N(int64(r.w.fsync))), func() { r.sync(o.Seq) })
		case Apply:
			r.apply(o.Entries)
		case Install:
			r.install(o.Snapshot)
		case Role:
			r.w.lead(r, o)
		case Ready:
			r.w.checkRead(r, o)
		case Load:
			r.later(1, func() { r.feed(Loaded{To: o.To, Chunk: r.disk.chunk(o)}) })
		}
	}
}

func (r *replica) later(d clock.Millis, do func()) {
	gen := r.gen
	r.w.after(d, func() {
		if r.gen == gen {
			do()
		}
	})
}

// sync makes everything up to a Persist durable.
func (r *replica) sync(seq uint64) {
	for len(r.pending) > 0 && r.pending[0].Seq <= seq {
		r.disk.write(r.pending[0])
		r.pending = r.pending[1:]
	}
	r.feed(Persisted{seq})
}

func (d *durable) write(p Persist) {
	d.hard = p.Hard
	if p.Snapshot != nil {
		d.snap, d.entries = *p.Snapshot, nil
	}
	if len(p.Entries) > 0 {
		at := p.Entries[0].Index
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index >= at })
		d.entries = append(d.entries, p.Entries...)
	}
}

func (d *durable) chunk(l Load) Chunk {
	size := uint64(len(d.snap.Data))
	off := min(l.Offset, size)
	return Chunk{Meta: d.snap.Meta, Offset: off, Size: size, Sum: Checksum(d.snap.Data), Data: d.snap.Data[off:min(size, off+l.Limit)]}
}

// apply checks agreement with all other replicas and takes snapshots.
func (r *replica) apply(entries []Entry) {
	w := r.w
	for _, e := range entries {
		if e.Index != r.applied+1 {
			w.t.Fatalf("%s applies index %d after %d", r.name, e.Index, r.applied)
		}
		r.applied = e.Index
		if e.Index > uint64(len(w.committed)) {
			w.committed = append(w.committed, e)
		}
		c := w.committed[e.Index-1]
		if c.Term != e.Term || c.Kind != e.Kind || !bytes.Equal(c.Data, e.Data) {
			w.t.Fatalf("%s applies %q of term %d at index %d, where %q of term %d is committed", r.name, e.Data, e.Term, e.Index, c.Data, c.Term)
		}
	}
	meta, ok := r.node.MetaAt(r.applied)
	if !ok || r.applied < r.disk.snap.Meta.Index+w.every {
		return
	}
	s := Snapshot{Meta: meta, Data: bytes.Repeat([]byte(fmt.Sprintf("%08d", r.applied)), 20)}
	r.later(5, func() {
		if s.Meta.Index > r.disk.snap.Meta.Index {
			r.disk.snap = s
			r.feed(Snapshotted{s.Meta})
		}
	})
}

func (r *replica) install(s Snapshot) {
	if want := fmt.Sprintf("%08d", s.Meta.Index); len(s.Data) != 160 || string(s.Data[152:]) != want {
		r.w.t.Fatalf("%s installs a snapshot of index %d with content %q", r.name, s.Meta.Index, s.Data)
	}
	if s.Meta.Index > uint64(len(r.w.committed)) || r.w.committed[s.Meta.Index-1].Term != s.Meta.Term {
		r.w.t.Fatalf("%s installs a snapshot of index %d that is not committed", r.name, s.Meta.Index)
	}
	r.applied = s.Meta.Index
}
