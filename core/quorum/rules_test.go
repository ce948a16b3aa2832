package quorum

import (
	"slices"
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// bench drives one node by hand. Everything that it persists is durable at once unless lazy.
type bench struct {
	t    *testing.T
	node *Node
	now  clock.Millis
	sent []Message
	done []Entry
	seq  uint64
	lazy bool
}

func id(name model.Instance) ID { return NewID(name, 1) }

// restoredNode returns replica a of a, b and c with entries of the given terms after the membership.
func restoredNode(t *testing.T, terms ...uint64) *bench {
	t.Helper()
	var m Membership
	for _, n := range []model.Instance{"a", "b", "c"} {
		m = m.With(Member{ID: id(n), Zone: "z", Voter: true})
	}
	r := Restored{Hard: Hard{Term: 1, Found: 9}, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: encodeMembers(m)}}}
	for i, term := range terms {
		r.Entries = append(r.Entries, Entry{Index: uint64(i) + 2, Term: term})
		r.Hard.Term = term
	}
	cfg := Config{Group: "g", Self: id("a"), Peers: plain("a", "b", "c", "d", "e"), Founders: []model.Instance{"a", "b", "c"}, Timing: DefaultTiming(), Limits: DefaultLimits()}
	n, err := New(0, cfg, r)
	if err != nil {
		t.Fatal(err)
	}
	return &bench{t: t, node: n, now: 10 * clock.Second}
}

func (b *bench) step(in Input) {
	for _, o := range b.node.Step(b.now, in) {
		switch o := o.(type) {
		case Send:
			b.sent = append(b.sent, o.Message)
		case Apply:
			b.done = append(b.done, o.Entries...)
		case Persist:
			b.seq = o.Seq
		}
	}
	if !b.lazy && b.node.disk.synced < b.seq {
		b.step(Persisted{b.seq})
	}
}

func (b *bench) receive(m Message) {
	m.Group, m.To, m.Found = "g", id("a"), 9
	if m.From.IsZero() {
		m.From = id("b")
	}
	b.step(Receive{m})
}

// elect makes the node leader.
func (b *bench) elect() {
	b.step(Tick{})
	b.receive(Message{Kind: KindPreVoteReply, Term: b.node.hard.Term + 1})
	b.receive(Message{Kind: KindVoteReply, Term: b.node.hard.Term})
	if b.node.role != leader {
		b.t.Fatalf("role %d after an election", b.node.role)
	}
}

func (b *bench) ack(from model.Instance, index uint64) {
	b.receive(Message{Kind: KindAppendReply, From: id(from), Term: b.node.hard.Term, Index: index, Sent: b.now})
}

// Guards against an entry of an earlier term that is committed by counting replicas, which a
// leader of a term in between may still replace.
func TestCommitNeedsOwnTerm(t *testing.T) {
	b := restoredNode(t, 2, 2)
	b.elect()
	b.ack("b", 3)
	if b.node.commit != 0 {
		t.Errorf("committed %d with entries of an earlier term only", b.node.commit)
	}
	b.ack("b", 4)
	if b.node.commit != 4 {
		t.Errorf("committed %d, want 4", b.node.commit)
	}
}

// Guards against a leader that lacks committed entries.
func TestVoteNeedsLog(t *testing.T) {
	for _, end := range []Message{{Index: 99, LogTerm: 2}, {Index: 2, LogTerm: 3}} {
		b := restoredNode(t, 3, 3)
		b.receive(Message{Kind: KindVote, Term: 8, Index: end.Index, LogTerm: end.LogTerm})
		if last := b.sent[len(b.sent)-1]; last.Kind != KindVoteReply || !last.Reject {
			t.Errorf("vote for a log that ends at %d of term %d: %+v", end.Index, end.LogTerm, last)
		}
	}
}

func (b *bench) countMembers() int {
	count := 0
	for _, e := range b.node.log.entries {
		if e.Kind == EntryMembers {
			count++
		}
	}
	return count
}

// Guards against two membership changes at once, whose majorities need not overlap, and a change
// before the leader's first commit, which may overlap with one of an earlier leader.
func TestOneChangeAtATime(t *testing.T) {
	b := restoredNode(t)
	b.receive(Message{Kind: KindAppend, Term: 1, Index: 1, LogTerm: 1, Commit: 1})
	b.now += 10 * clock.Second
	b.elect()
	join := func(name model.Instance) {
		b.receive(Message{Kind: KindJoin, From: id(name)})
		b.now += b.node.cfg.Timing.Heartbeat
		b.step(Tick{})
	}
	join("d")
	if got := b.countMembers(); got != 1 {
		t.Errorf("%d memberships in the log before the first commit, want 1", got)
	}
	b.ack("b", 2)
	join("d")
	join("e")
	if got := b.countMembers(); got != 2 {
		t.Errorf("%d memberships in the log, want 2 while the second is not committed", got)
	}
	b.ack("b", 3)
	join("e")
	if got := b.countMembers(); got != 3 {
		t.Errorf("%d memberships in the log, want 3", got)
	}
}

// Guards against a late snapshot that removes entries which this replica confirmed.
func TestSnapshotKeepsConfirmedEntries(t *testing.T) {
	b := restoredNode(t, 2, 2, 2, 2)
	data := []byte("state")
	c := &Chunk{Meta: Meta{Index: 3, Term: 2, Found: 9}, Size: uint64(len(data)), Sum: Checksum(data), Data: data}
	b.receive(Message{Kind: KindChunk, Term: 2, Chunk: c})
	if got := b.node.log.last(); got != 5 {
		t.Errorf("the log ends at %d after a snapshot of index 3, want 5", got)
	}
}

// Guards against a follower that commits own entries which the leader did not confirm.
func TestCommitOnlyWhatAgrees(t *testing.T) {
	b := restoredNode(t, 1, 2, 2)
	b.receive(Message{Kind: KindAppend, Term: 3, Index: 2, LogTerm: 1, Commit: 4})
	if b.node.commit != 2 {
		t.Errorf("committed %d, want 2", b.node.commit)
	}
}

// Guards against a replacement entry that counts as durable because the replaced one was.
func TestReplacedEntryIsNotDurable(t *testing.T) {
	b := restoredNode(t)
	b.lazy = true
	b.receive(Message{Kind: KindAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}}})
	first := b.seq
	b.receive(Message{Kind: KindAppend, Term: 3, Index: 1, LogTerm: 1, Commit: 2, Entries: []Entry{{Index: 2, Term: 3}}})
	b.step(Persisted{first})
	if len(b.done) != 1 {
		t.Errorf("applied %v, want only the first entry", b.done)
	}
	b.step(Persisted{b.seq})
	if len(b.done) != 2 {
		t.Errorf("applied %v, want two entries", b.done)
	}
}

// Guards against an answer that depends on unsynced state.
func TestNothingIsSentBeforeSync(t *testing.T) {
	b := restoredNode(t)
	b.lazy = true
	b.receive(Message{Kind: KindAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}})
	b.receive(Message{Kind: KindVote, From: id("c"), Term: 3, Index: 9, LogTerm: 2, Force: true})
	if len(b.sent) > 0 {
		t.Errorf("sent before the sync: %+v", b.sent)
	}
	b.step(Persisted{b.seq})
	if len(b.sent) != 2 {
		t.Errorf("sent after the sync: %+v", b.sent)
	}
}

// Guards against logs that mix: of two foundings, of two groups in one process, and of two lives
// of an instance.
func TestForeignMessages(t *testing.T) {
	for _, m := range []Message{
		{Group: "g", To: id("a"), Found: 8},
		{Group: "other", To: id("a"), Found: 9},
		{Group: "g", To: NewID("a", 2), Found: 9},
	} {
		b := restoredNode(t)
		m.Kind, m.From, m.Term, m.Index, m.LogTerm = KindAppend, id("b"), 5, 1, 1
		b.step(Receive{m})
		if b.node.hard.Term != 1 {
			t.Errorf("term %d after a foreign message %+v", b.node.hard.Term, m)
		}
	}
}

// Guards against the removal of a lost voter while the rest has no majority that is caught up.
func TestRemovalNeedsMajority(t *testing.T) {
	for _, behind := range []bool{true, false} {
		b := restoredNode(t, 2, 2)
		b.elect()
		b.ack("b", 4)
		n := b.node
		b.now += 20 * clock.Second
		n.now = b.now
		n.appendMembers(n.members().With(Member{ID: id("d"), Zone: "z"}))
		n.cfg.Limits.Lag = 0
		for _, x := range []model.Instance{"c", "d"} {
			n.peers[id(x)].sentAcked = b.now
			n.peers[id(x)].match = n.log.last()
		}
		if behind {
			n.peers[id("c")].match = 1
		}
		next, ok := n.nextMembers()
		if ok == behind {
			t.Errorf("with c behind %t: change %t to %v", behind, ok, next)
		}
	}
}

// Guards against preset timings that the configuration check refuses.
func TestPresetTimings(t *testing.T) {
	for _, timing := range []Timing{DefaultTiming(), WideTiming()} {
		cfg := Config{Group: "g", Self: id("a"), Peers: plain("a"), Timing: timing, Limits: DefaultLimits()}
		if _, err := New(0, cfg, Restored{}); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a read at a follower that waits for the next tick to learn of a commit, and
// against a message of its own for each commit.
func TestCommitIsAnnounced(t *testing.T) {
	b := restoredNode(t, 2)
	b.elect()
	b.ack("c", 2)
	b.sent = nil
	b.ack("b", 3)
	if len(b.sent) > 0 {
		t.Errorf("sent because of a commit alone: %+v", b.sent)
	}
	b.receive(Message{Kind: KindRead, From: id("c"), Term: b.node.hard.Term, Seq: 1})
	told := func(m Message) bool { return m.Kind == KindAppend && m.To == id("c") && m.Commit == 3 }
	answer := func(m Message) bool { return m.Kind == KindReadReply && !m.Reject && m.Index == 3 }
	if !slices.ContainsFunc(b.sent, told) || !slices.ContainsFunc(b.sent, answer) {
		t.Errorf("sent after a read: %+v", b.sent)
	}
	b.sent = nil
	b.step(Tick{})
	if len(b.sent) != 1 || b.sent[0].To != id("b") || b.sent[0].Commit != 3 {
		t.Errorf("sent at a tick: %+v", b.sent)
	}
}
