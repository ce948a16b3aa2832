package quorum

import (
	"bytes"
	"fmt"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// replica simulates the process of one instance with its disk and clock. generation counts starts
// and crashes, so that callbacks of an earlier process do nothing.
type replica struct {
	cluster       *cluster
	name          model.Instance
	incarnation   model.Incarnation
	node          *Node
	generation    int
	paused        bool
	delayedInputs []func()
	clockRate     float64
	clockOffset   clock.Millis
	// unsynced holds the Persist outputs that are written but not synced.
	unsynced     []Persist
	disk         diskContent
	appliedIndex uint64
	lastReadID   uint64
	canBootstrap bool
	// isEarlierVersion makes the replica one that can't read joint memberships.
	isEarlierVersion bool
}

// diskContent is the durable state of a replica.
type diskContent struct {
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
}

func (r *replica) clock() clock.Millis {
	return r.clockOffset + clock.Millis(float64(r.cluster.now)*r.clockRate)
}

// setClockRate changes the rate of the clock without a jump in its time.
func (r *replica) setClockRate(rate float64) {
	r.clockOffset += clock.Millis(float64(r.cluster.now) * (r.clockRate - rate))
	r.clockRate = rate
}

// eraseDisk replaces the disk by an empty one, which gives the replica a new incarnation.
func (r *replica) eraseDisk() {
	r.cluster.lastIncarnation++
	r.incarnation = model.Incarnation(r.cluster.lastIncarnation)
	r.disk = diskContent{}
}

// start starts a process, whose clock has no relation to that of the process before.
func (r *replica) start() {
	r.clockOffset = clock.Millis(r.cluster.rng.IntN(1_000_000))
	cfg := Config{
		Group: "g", Self: NewID(r.name, r.incarnation), Peers: r.cluster.peers, InitialVoters: r.cluster.voters, TargetVoters: r.cluster.targetVoters, Bootstrap: r.canBootstrap,
		Timing: r.cluster.timing, Limits: r.cluster.limits, Seed: r.cluster.rng.Uint64(),
	}
	d := r.disk
	entries := slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index <= d.snapshot.Meta.Index })
	n, err := New(r.clock(), cfg, RestoredState{HardState: d.hardState, Meta: d.snapshot.Meta, Entries: entries})
	if err != nil {
		r.cluster.t.Fatalf("start %s: %v", r.name, err)
	}
	r.node, r.paused, r.appliedIndex, r.unsynced, r.lastReadID = n, false, d.snapshot.Meta.Index, nil, 0
	r.generation++
	r.scheduleTick(r.generation)
}

func (r *replica) scheduleTick(gen int) {
	r.cluster.schedule(1+clock.Millis(r.cluster.rng.IntN(50)), func() {
		if r.generation == gen {
			r.deliver(Tick{})
			r.scheduleTick(gen)
		}
	})
}

// crash ends the process. The first keptWrites unsynced writes become durable, the others
// are lost.
func (r *replica) crash(keptWrites int) {
	for _, p := range r.unsynced[:min(keptWrites, len(r.unsynced))] {
		r.disk.write(p)
	}
	r.node, r.unsynced, r.delayedInputs, r.paused = nil, nil, nil, false
	r.generation++
}

func (r *replica) pause() { r.paused = r.node != nil }

func (r *replica) resume() {
	r.paused = false
	waiting := r.delayedInputs
	r.delayedInputs = nil
	for _, do := range waiting {
		do()
	}
}

// deliver passes an input to the node, after resume if the replica is paused.
func (r *replica) deliver(in Input) {
	if m, ok := in.(Receive); ok && r.isEarlierVersion && m.Message.hasJointEntry() {
		return
	}
	gen := r.generation
	do := func() {
		if r.generation == gen && r.node != nil {
			r.handleOutputs(r.node.Step(r.clock(), in))
		}
	}
	if r.paused {
		r.delayedInputs = append(r.delayedInputs, do)
		return
	}
	do()
}

func (m Message) hasJointEntry() bool {
	return slices.ContainsFunc(m.Entries, func(e Entry) bool {
		content, err := decodeMembership(e.Data)
		return e.Kind == EntryMembership && err == nil && content.isJoint()
	})
}

func (r *replica) handleOutputs(out []Output) {
	for _, o := range out {
		switch o := o.(type) {
		case Send:
			o.Message.ReadsJoint = o.Message.ReadsJoint && !r.isEarlierVersion
			r.cluster.send(r, o)
		case Persist:
			r.unsynced = append(r.unsynced, o)
			r.scheduleUnlessRestarted(1+clock.Millis(r.cluster.rng.Int64N(int64(r.cluster.maxSyncTime))), func() { r.completeSync(o.Seq) })
		case Apply:
			r.apply(o.Entries)
		case InstallSnapshot:
			r.installSnapshot(o.Snapshot)
		case RoleChange:
			r.cluster.checkLeader(r, o)
		case ReadConfirmed:
			r.cluster.checkRead(r, o)
		case LoadSnapshotChunk:
			r.scheduleUnlessRestarted(1, func() { r.deliver(SnapshotChunkLoaded{To: o.To, Chunk: r.disk.chunk(o)}) })
		}
	}
}

func (r *replica) scheduleUnlessRestarted(d clock.Millis, do func()) {
	gen := r.generation
	r.cluster.schedule(d, func() {
		if r.generation == gen {
			do()
		}
	})
}

// completeSync makes all Persist outputs up to the one numbered seq durable.
func (r *replica) completeSync(seq uint64) {
	for len(r.unsynced) > 0 && r.unsynced[0].Seq <= seq {
		r.disk.write(r.unsynced[0])
		r.unsynced = r.unsynced[1:]
	}
	r.deliver(Persisted{seq})
}

func (d *diskContent) write(p Persist) {
	d.hardState = p.HardState
	if p.Snapshot != nil {
		d.snapshot, d.entries = *p.Snapshot, nil
	}
	if len(p.Entries) > 0 {
		at := p.Entries[0].Index
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index >= at })
		d.entries = append(d.entries, p.Entries...)
	}
}

func (d *diskContent) chunk(l LoadSnapshotChunk) SnapshotChunk {
	size := uint64(len(d.snapshot.Data))
	off := min(l.Offset, size)
	return SnapshotChunk{Meta: d.snapshot.Meta, Offset: off, TotalSize: size, Checksum: SnapshotChecksum(d.snapshot.Data), Data: d.snapshot.Data[off:min(size, off+l.Limit)]}
}

// apply checks that the entries are the same as those applied by other replicas, and takes a
// snapshot if one is due.
func (r *replica) apply(entries []Entry) {
	cl := r.cluster
	for _, e := range entries {
		if e.Index != r.appliedIndex+1 {
			cl.t.Fatalf("%s applies index %d after %d", r.name, e.Index, r.appliedIndex)
		}
		r.appliedIndex = e.Index
		if e.Index > uint64(len(cl.committed)) {
			cl.committed = append(cl.committed, e)
		}
		c := cl.committed[e.Index-1]
		if c.Term != e.Term || c.Kind != e.Kind || !bytes.Equal(c.Data, e.Data) {
			cl.t.Fatalf("%s applies %q of term %d at index %d, where %q of term %d is committed", r.name, e.Data, e.Term, e.Index, c.Data, c.Term)
		}
	}
	meta, ok := r.node.SnapshotMetaAt(r.appliedIndex)
	if !ok || r.appliedIndex < r.disk.snapshot.Meta.Index+cl.snapshotEvery {
		return
	}
	s := Snapshot{Meta: meta, Data: bytes.Repeat([]byte(fmt.Sprintf("%08d", r.appliedIndex)), 20)}
	r.scheduleUnlessRestarted(5, func() {
		if s.Meta.Index > r.disk.snapshot.Meta.Index {
			r.disk.snapshot = s
			r.deliver(SnapshotPersisted{s.Meta})
		}
	})
}

func (r *replica) installSnapshot(s Snapshot) {
	if want := fmt.Sprintf("%08d", s.Meta.Index); len(s.Data) != 160 || string(s.Data[152:]) != want {
		r.cluster.t.Fatalf("%s installs a snapshot of index %d with content %q", r.name, s.Meta.Index, s.Data)
	}
	if s.Meta.Index > uint64(len(r.cluster.committed)) || r.cluster.committed[s.Meta.Index-1].Term != s.Meta.Term {
		r.cluster.t.Fatalf("%s installs a snapshot of index %d that is not committed", r.name, s.Meta.Index)
	}
	r.appliedIndex = s.Meta.Index
}
