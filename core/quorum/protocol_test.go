package quorum

import (
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

func (w *world) cut(names ...model.Instance) {
	w.net.parts = map[model.Instance]int{}
	for _, n := range names {
		w.net.parts[n] = 1
	}
}

// follower returns a live voter that does not lead and is no witness.
func (w *world) follower() *replica {
	for _, r := range w.nodes {
		if r.node != nil && r.node.role != leader && r.node.isVoter(r.node.cfg.Self) && !r.node.isWitness() {
			return r
		}
	}
	w.t.Fatalf("no follower:\n%s", w.dump())
	return nil
}

// commitAll proposes at the leader and waits until all that was proposed is committed.
func (w *world) commitAll(count int, each clock.Millis) {
	w.t.Helper()
	l := w.mustLead(10 * clock.Second)
	for range count {
		w.propose(l)
		w.run(each)
	}
	w.run(clock.Second)
	if l.node.commit != l.node.log.last() {
		w.t.Fatalf("committed %d of %d", l.node.commit, l.node.log.last())
	}
}

func witnessed() []Peer {
	return []Peer{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}, {Name: "w", Zone: "y", Witness: true}}
}

// Guards against a replica that was cut off and deposes a working leader when it is back.
func TestPreVoteKeepsLeader(t *testing.T) {
	w := newWorld(t, 1, plain("a", "b", "c"), 3)
	l := w.mustLead(5 * clock.Second)
	term := l.node.hard.Term
	w.cut(w.follower().name)
	w.run(30 * clock.Second)
	w.cut()
	w.run(5 * clock.Second)
	if w.leader() != l || l.node.hard.Term != term {
		t.Errorf("leader %s of term %d was replaced:\n%s", l.name, term, w.dump())
	}
}

// Guards against a leader that does not notice that it lost its majority, also while paused.
func TestCheckQuorum(t *testing.T) {
	w := newWorld(t, 1, plain("a", "b", "c"), 3)
	l := w.mustLead(5 * clock.Second)
	w.cut(l.name)
	w.run(w.timing.Election + 100)
	if l.node.role == leader {
		t.Errorf("%s leads although it was cut off for an election timeout", l.name)
	}
	w.cut()
	l = w.mustLead(5 * clock.Second)
	l.pause()
	w.run(4 * clock.Second)
	l.backup = nil
	answered := w.answered
	w.read(l)
	l.resume()
	if l.node.role == leader || w.answered != answered {
		t.Errorf("%s answers as leader after a pause of 4 s", l.name)
	}
}

// Guards against paid traffic to the witness while local voters answer, and against a group
// that stops when one of them does not.
func TestWitnessIsFedLazily(t *testing.T) {
	w := newWorld(t, 1, witnessed(), 3)
	w.limits = DefaultLimits()
	w.mustLead(5 * clock.Second)
	w.run(3 * clock.Second)
	local := w.follower().name
	before, beforeLocal := w.bytes["w"], w.bytes[local]
	w.commitAll(100, 200)
	got, all := w.bytes["w"]-before, w.bytes[local]-beforeLocal
	if got > all/5 {
		t.Errorf("the witness was sent %d bytes during 20 s of commits, a local voter %d", got, all)
	}
	w.run(w.timing.Lazy + 2*clock.Second)
	if got, want := w.at("w").node.log.last(), w.leader().node.log.last(); got != want {
		t.Errorf("the witness holds index %d of %d after a lazy interval", got, want)
	}
	w.follower().crash(0)
	w.run(clock.Second)
	w.commitAll(5, 10)
}

// Guards against a group that stays without a leader although its witness has all entries, and
// against a witness that keeps leadership.
func TestWitnessLeadsForAWhile(t *testing.T) {
	w := newWorld(t, 1, witnessed(), 3)
	l := w.mustLead(5 * clock.Second)
	stale := w.follower()
	stale.crash(0)
	w.run(clock.Second)
	w.commitAll(5, 10)
	l.crash(0)
	stale.start()
	led := false
	for range 1500 {
		w.run(10)
		led = led || w.at("w").node.role == leader
	}
	if !led || w.leader() != stale || stale.node.commit < l.applied {
		t.Errorf("witness led %t, then:\n%s", led, w.dump())
	}
}

// Guards against a witness that stands for election while a local voter can win, both while it is
// fed lazily and right after a stall.
func TestWitnessLetsLocalVotersStand(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(t, seed, witnessed(), 3)
		l := w.mustLead(5 * clock.Second)
		w.run(w.timing.Lazy)
		if seed%2 == 1 {
			f := w.follower()
			f.crash(0)
			w.run(clock.Second)
			w.propose(l)
			f.start()
			for f.node.log.last() < l.node.log.last() {
				w.run(1)
			}
		}
		l.crash(0)
		w.run(6 * clock.Second)
		for term, id := range w.leaders {
			if id.Name == "w" {
				t.Errorf("seed %d: the witness led term %d:\n%s", seed, term, w.dump())
			}
		}
		w.mustLead(clock.Second)
	}
}

// Guards against a silent voter that is never replaced, or replaced too early.
func TestSilentVoterIsReplaced(t *testing.T) {
	w := newWorld(t, 1, plain("a", "b", "c", "d"), 3)
	w.commitAll(20, 50)
	w.run(5 * clock.Second)
	lost := w.follower()
	id := lost.node.cfg.Self
	lost.crash(0)
	w.run(w.timing.Silent - clock.Second)
	l := w.mustLead(clock.Second)
	if !l.node.isVoter(id) {
		t.Errorf("%s was replaced before it was silent for %v", id, w.timing.Silent)
	}
	w.run(4 * clock.Second)
	if l.node.isVoter(id) || len(l.node.voters()) != 3 {
		t.Errorf("%s was not replaced:\n%s", id, w.dump())
	}
	// A second loss right after the repair must find a full set of voters.
	w.follower().crash(0)
	w.run(3 * clock.Second)
	w.commitAll(5, 10)
}

// Guards against entries and snapshots that exceed what one message or the follower's window may hold.
func TestFlowControl(t *testing.T) {
	w := newWorld(t, 1, plain("a", "b", "c"), 3)
	l := w.mustLead(5 * clock.Second)
	slow := w.follower()
	w.commitAll(5, 50)
	w.every = 1 << 30
	slow.pause()
	before := w.sent[KindAppend]
	for range 200 {
		w.propose(l)
	}
	other := 200
	if sent := w.sent[KindAppend] - before; sent > other+w.limits.Window+1 {
		t.Errorf("%d messages with entries were sent at once", sent)
	}
	for _, r := range w.nodes {
		if p := l.node.peers[r.node.cfg.Self]; p != nil && len(p.flight) > w.limits.Window {
			t.Errorf("%d messages in flight to %s, limit %d", len(p.flight), r.name, w.limits.Window)
		}
	}
	slow.resume()
	w.run(clock.Second)
	if over := 150; w.largest > w.limits.Message+over {
		t.Errorf("a message has %d bytes, limit %d for its entries and %d for the rest", w.largest, w.limits.Message, over)
	}
	l.node.cfg.Limits.Pending = 100
	if err := pendingErr(l, make([]byte, 200)); err == nil {
		t.Error("a proposal beyond the pending limit was accepted")
	}
}

func pendingErr(r *replica, data []byte) error {
	for _, o := range r.node.Step(r.clock(), Propose{[]Proposal{{ID: 1, Data: data}}}) {
		if o, ok := o.(Refuse); ok {
			return o.Err
		}
	}
	return nil
}

// Guards against a follower that is too far behind for the log and never catches up, and
// against chunks above the limit.
func TestSnapshotInChunks(t *testing.T) {
	w := newWorld(t, 1, plain("a", "b", "c"), 3)
	w.mustLead(5 * clock.Second)
	slow := w.follower()
	slow.crash(0)
	w.commitAll(50, 20)
	before := w.sent[KindChunk]
	slow.start()
	w.run(10 * clock.Second)
	if slow.applied != uint64(len(w.committed)) {
		t.Errorf("%s applied %d of %d", slow.name, slow.applied, len(w.committed))
	}
	// The test machine's snapshot has 160 bytes.
	if got := w.sent[KindChunk] - before; got < 160/w.limits.Chunk+1 {
		t.Errorf("the snapshot came in %d chunks", got)
	}
}

// Guards against a planned stop that costs an election timeout.
func TestHandoverIsFast(t *testing.T) {
	w := newWorld(t, 1, plain("a", "b", "c"), 3)
	w.commitAll(5, 50)
	old := w.leader()
	old.feed(Handover{})
	w.run(300)
	if l := w.leader(); l == nil || l == old {
		t.Errorf("no new leader 300 ms after a handover:\n%s", w.dump())
	}
}

// Guards against a second founding by a founder that lost its disk, while a group exists.
func TestNoSecondFounding(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, plain("a", "b", "c"), 3)
		w.mustLead(5 * clock.Second)
		// The third founder has not heard of the group and could take part in another one.
		for _, r := range w.nodes {
			r.crash(0)
		}
		w.at("c").erase()
		w.at("a").erase()
		w.at("a").start()
		w.at("c").start()
		w.run(5 * clock.Second)
		if l := w.leader(); l != nil {
			t.Fatalf("seed %d: %s founded another group:\n%s", seed, l.name, w.dump())
		}
	}
}
