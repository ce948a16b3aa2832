package quorum

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// nodeHarness steps a single node. Its Persist outputs are confirmed as durable at once unless
// manualSync is set.
type nodeHarness struct {
	t              *testing.T
	node           *Node
	now            clock.Millis
	sent           []Message
	applied        []Entry
	confirmed      []ReadConfirmed
	rejected       []uint64
	lastPersistSeq uint64
	manualSync     bool
}

// firstID returns the identity of the first incarnation of a replica.
func firstID(name model.Instance) ID { return NewID(name, 1) }

// restoredNode returns a node for replica a of a, b and c. Its log holds the membership and then
// entries of the given terms.
func restoredNode(t *testing.T, terms ...uint64) *nodeHarness {
	t.Helper()
	return restoredProcess(t, 0, terms...)
}

// restoredProcess is restoredNode for a process with the given seed.
func restoredProcess(t *testing.T, seed uint64, terms ...uint64) *nodeHarness {
	t.Helper()
	var m Membership
	for _, n := range []model.Instance{"a", "b", "c"} {
		m = m.With(Member{ID: firstID(n), Zone: "z", Voter: true})
	}
	r := RestoredState{HardState: HardState{Term: 1, BootstrapID: 9}, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Data: membershipEntry{members: m}.encode()}}}
	for i, term := range terms {
		r.Entries = append(r.Entries, Entry{Index: uint64(i) + 2, Term: term})
		r.HardState.Term = term
	}
	cfg := Config{Group: "g", Self: firstID("a"), Peers: peersInOneZone("a", "b", "c", "d", "e"), InitialVoters: []model.Instance{"a", "b", "c"}, Timing: DefaultTiming(), Limits: DefaultLimits(), Seed: seed}
	n, err := New(0, cfg, r)
	if err != nil {
		t.Fatal(err)
	}
	return &nodeHarness{t: t, node: n, now: 10 * clock.Second}
}

func (h *nodeHarness) step(in Input) {
	for _, o := range h.node.Step(h.now, in) {
		switch o := o.(type) {
		case Send:
			h.sent = append(h.sent, o.Message)
		case Apply:
			h.applied = append(h.applied, o.Entries...)
		case ReadConfirmed:
			h.confirmed = append(h.confirmed, o)
		case Rejected:
			h.rejected = append(h.rejected, o.ID)
		case Persist:
			h.lastPersistSeq = o.Seq
		}
	}
	if !h.manualSync && h.node.persistence.syncedSeq < h.lastPersistSeq {
		h.step(Persisted{h.lastPersistSeq})
	}
}

func (h *nodeHarness) receive(m Message) {
	m.Group, m.To, m.BootstrapID = "g", firstID("a"), 9
	if m.From.IsZero() {
		m.From = firstID("b")
	}
	h.step(Receive{m})
}

// elect makes the node leader with the votes of itself and b.
func (h *nodeHarness) elect() {
	h.step(Tick{})
	h.receive(Message{Kind: KindPreVoteReply, Term: h.node.hardState.Term + 1})
	h.receive(Message{Kind: KindVoteReply, Term: h.node.hardState.Term})
	if h.node.role != leader {
		h.t.Fatalf("role is %d after winning an election, want leader", h.node.role)
	}
}

func (h *nodeHarness) ack(from model.Instance, index uint64) {
	h.receive(Message{Kind: KindAppendReply, From: firstID(from), Term: h.node.hardState.Term, Index: index, SentAt: h.now, ReadsJoint: true})
}

// Guards against an entry of an earlier term that is committed by counting replicas: the leader of
// a term in between may still replace it.
func TestCommitNeedsEntryOfCurrentTerm(t *testing.T) {
	h := restoredNode(t, 2, 2)
	h.elect()
	h.ack("b", 3)
	if h.node.commitIndex != 0 {
		t.Errorf("commit index is %d although a majority holds only entries of earlier terms, want 0", h.node.commitIndex)
	}
	h.ack("b", 4)
	if h.node.commitIndex != 4 {
		t.Errorf("commit index is %d, want 4", h.node.commitIndex)
	}
}

// Guards against the election of a leader that lacks committed entries.
func TestVoteNeedsUpToDateLog(t *testing.T) {
	for _, end := range []Message{{Index: 99, LogTerm: 2}, {Index: 2, LogTerm: 3}} {
		h := restoredNode(t, 3, 3)
		h.receive(Message{Kind: KindVote, Term: 8, Index: end.Index, LogTerm: end.LogTerm})
		if last := h.sent[len(h.sent)-1]; last.Kind != KindVoteReply || !last.Reject {
			t.Errorf("candidate's log ends at index %d of term %d: got %+v, want a rejected vote", end.Index, end.LogTerm, last)
		}
	}
}

func (h *nodeHarness) countMemberships() int {
	count := 0
	for _, e := range h.node.log.entries {
		if e.Kind == EntryMembership {
			count++
		}
	}
	return count
}

// Guards against two concurrent membership changes, whose majorities need not overlap, and against
// a change before the leader's first commit, which may overlap with a change of an earlier leader.
func TestOneMembershipChangeAtATime(t *testing.T) {
	h := restoredNode(t)
	h.receive(Message{Kind: KindAppend, Term: 1, Index: 1, LogTerm: 1, Commit: 1})
	h.now += 10 * clock.Second
	h.elect()
	join := func(name model.Instance) {
		h.receive(Message{Kind: KindJoin, From: firstID(name)})
		h.now += h.node.cfg.Timing.HeartbeatInterval
		h.step(Tick{})
	}
	join("d")
	if got := h.countMemberships(); got != 1 {
		t.Errorf("%d memberships in the log before the first commit, want 1", got)
	}
	h.ack("b", 2)
	join("d")
	join("e")
	if got := h.countMemberships(); got != 2 {
		t.Errorf("%d memberships in the log, want 2 while the second is not committed", got)
	}
	h.ack("b", 3)
	join("e")
	if got := h.countMemberships(); got != 3 {
		t.Errorf("%d memberships in the log, want 3", got)
	}
}

// Guards against a delayed snapshot that removes entries which the replica has acknowledged.
func TestSnapshotKeepsConfirmedEntries(t *testing.T) {
	h := restoredNode(t, 2, 2, 2, 2)
	data := []byte("state")
	c := &SnapshotChunk{Meta: SnapshotMeta{Index: 3, Term: 2, BootstrapID: 9}, TotalSize: uint64(len(data)), Checksum: SnapshotChecksum(data), Data: data}
	h.receive(Message{Kind: KindSnapshotChunk, Term: 2, Chunk: c})
	if got := h.node.log.lastIndex(); got != 5 {
		t.Errorf("last index is %d after a snapshot of index 3, want 5", got)
	}
}

// Guards against a follower that commits entries of its own log beyond the last one that is known
// to match the leader's log.
func TestCommitOnlyMatchingEntries(t *testing.T) {
	h := restoredNode(t, 1, 2, 2)
	h.receive(Message{Kind: KindAppend, Term: 3, Index: 2, LogTerm: 1, Commit: 4})
	if h.node.commitIndex != 2 {
		t.Errorf("commit index is %d, want 2", h.node.commitIndex)
	}
}

// Guards against a replacement entry that counts as durable because the entry that it replaced was.
func TestReplacedEntryIsNotDurable(t *testing.T) {
	h := restoredNode(t)
	h.manualSync = true
	h.receive(Message{Kind: KindAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}}})
	first := h.lastPersistSeq
	h.receive(Message{Kind: KindAppend, Term: 3, Index: 1, LogTerm: 1, Commit: 2, Entries: []Entry{{Index: 2, Term: 3}}})
	h.step(Persisted{first})
	if len(h.applied) != 1 {
		t.Errorf("applied %v before the replacement entry was synced, want only the first entry", h.applied)
	}
	h.step(Persisted{h.lastPersistSeq})
	if len(h.applied) != 2 {
		t.Errorf("applied %v after the sync, want two entries", h.applied)
	}
}

// Guards against a reply that is sent before the state that it depends on is synced.
func TestNothingIsSentBeforeSync(t *testing.T) {
	h := restoredNode(t)
	h.manualSync = true
	h.receive(Message{Kind: KindAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}})
	h.receive(Message{Kind: KindVote, From: firstID("c"), Term: 3, Index: 9, LogTerm: 2, IgnoreLease: true})
	if len(h.sent) > 0 {
		t.Errorf("sent before the sync: %+v, want nothing", h.sent)
	}
	h.step(Persisted{h.lastPersistSeq})
	if len(h.sent) != 2 {
		t.Errorf("sent after the sync: %+v, want two replies", h.sent)
	}
}

// Guards against entries that reach the wrong log: from a group bootstrapped separately under the
// same name, from another group in the process, or meant for another incarnation of the instance.
func TestMessagesOfOtherGroupsAreIgnored(t *testing.T) {
	for _, m := range []Message{
		{Group: "g", To: firstID("a"), BootstrapID: 8},
		{Group: "other", To: firstID("a"), BootstrapID: 9},
		{Group: "g", To: NewID("a", 2), BootstrapID: 9},
	} {
		h := restoredNode(t)
		m.Kind, m.From, m.Term, m.Index, m.LogTerm = KindAppend, firstID("b"), 5, 1, 1
		h.step(Receive{m})
		if h.node.hardState.Term != 1 {
			t.Errorf("term is %d after message %+v, want 1 because it must be ignored", h.node.hardState.Term, m)
		}
	}
}

// electedWithLostVoter returns a leader under voters a, b and c and learner d that b has not answered for 20 s.
func electedWithLostVoter(t *testing.T) *nodeHarness {
	h := restoredNode(t, 2, 2)
	h.elect()
	h.ack("b", 4)
	n := h.node
	h.now += 20 * clock.Second
	n.now = h.now
	n.appendMembership(membershipEntry{members: n.members().With(Member{ID: firstID("d"), Zone: "z"})})
	n.cfg.Limits.LearnerLag = 0
	return h
}

// Guards against the removal of a lost voter while no majority of the remaining voters is caught
// up.
func TestRemovalNeedsMajority(t *testing.T) {
	for _, behind := range []bool{true, false} {
		h := electedWithLostVoter(t)
		n := h.node
		for _, x := range []model.Instance{"c", "d"} {
			n.progress[firstID(x)].ackedSentAt, n.progress[firstID(x)].readsJoint = h.now, true
			n.progress[firstID(x)].matchIndex = n.log.lastIndex()
		}
		if behind {
			n.progress[firstID("c")].matchIndex = 1
		}
		next, ok := n.nextMembership()
		if ok == behind {
			t.Errorf("c behind: %t, got membership change: %t to %v", behind, ok, next)
		}
	}
}

// Guards against predefined timings that the validation of the configuration rejects.
func TestPresetTimings(t *testing.T) {
	for _, timing := range []Timing{DefaultTiming(), WANTiming()} {
		cfg := Config{Group: "g", Self: firstID("a"), Peers: peersInOneZone("a"), Timing: timing, Limits: DefaultLimits()}
		if _, err := New(0, cfg, RestoredState{}); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a read at a follower that waits until the next tick for the new commit index, and
// against a separate message for each commit.
func TestCommitIsAnnounced(t *testing.T) {
	h := restoredNode(t, 2)
	h.elect()
	h.ack("c", 2)
	h.sent = nil
	h.ack("b", 3)
	if len(h.sent) > 0 {
		t.Errorf("sent because of a commit alone: %+v, want nothing", h.sent)
	}
	h.receive(Message{Kind: KindReadIndex, From: firstID("c"), Term: h.node.hardState.Term, RequestID: 1})
	carriesCommit := func(m Message) bool { return m.Kind == KindAppend && m.To == firstID("c") && m.Commit == 3 }
	isReadReply := func(m Message) bool { return m.Kind == KindReadIndexReply && !m.Reject && m.Index == 3 }
	if !slices.ContainsFunc(h.sent, carriesCommit) || !slices.ContainsFunc(h.sent, isReadReply) {
		t.Errorf("sent after a read: %+v, want the commit index and the read index", h.sent)
	}
	h.sent = nil
	h.step(Tick{})
	if len(h.sent) != 1 || h.sent[0].To != firstID("b") || h.sent[0].Commit != 3 {
		t.Errorf("sent at a tick: %+v, want only the commit index to b", h.sent)
	}
}

// Guards against a leader that keeps its lease without a majority: a follower answers a late request of the former
// process of its instance, whose clock was ahead.
func TestRequestOfFormerProcessIsNoContact(t *testing.T) {
	for name, sentAt := range map[string]clock.Millis{"clock ahead": clock.Hour, "clock behind": 3 * clock.Second} {
		h := restoredNode(t, 2)
		h.elect()
		h.receive(Message{Kind: KindAppendReply, Term: h.node.hardState.Term, Reject: true, SentAt: sentAt})
		if h.node.hasLease() {
			t.Errorf("%s: the leader has a lease though nobody has answered it", name)
		}
		h.now += 2 * DefaultTiming().ElectionTimeout
		h.step(Tick{})
		if h.node.role == leader {
			t.Errorf("%s: it still leads two election timeouts later", name)
		}
	}
}

// Guards against a follower that repeats the time of a request of an earlier term: another process sent it, whose clock
// the leader of the present term can't know.
func TestRequestOfEarlierTermIsAnsweredWithoutTime(t *testing.T) {
	meta := SnapshotMeta{Index: 9, Term: 2}
	for _, m := range []Message{{Kind: KindAppend}, {Kind: KindSnapshotChunk, Chunk: &SnapshotChunk{Meta: meta}}} {
		h := restoredNode(t, 3)
		m.Term, m.SentAt = 2, h.now
		h.receive(m)
		if last := h.sent[len(h.sent)-1]; !last.Reject || last.SentAt != 0 || last.Term != 3 {
			t.Errorf("answer to a request of kind %d of an earlier term is %+v, want a rejection in term 3 without a time", m.Kind, last)
		}
	}
}

// Guards against a stale read: the leader's late answer to a read of the former process of an instance confirms a read of
// the process that follows it.
func TestReadOfFormerProcessConfirmsNoOther(t *testing.T) {
	var h *nodeHarness
	var requests []Message
	for seed := range uint64(2) {
		h = restoredProcess(t, seed, 2)
		h.receive(Message{Kind: KindAppend, Term: 2, Index: 2, LogTerm: 2})
		h.step(ReadIndex{ID: 1})
		requests = append(requests, h.sent[len(h.sent)-1])
	}
	for i, r := range requests {
		h.receive(Message{Kind: KindReadIndexReply, Term: 2, RequestID: r.RequestID, Index: uint64(i) + 1})
	}
	if diff := cmp.Diff([]ReadConfirmed{{ID: 1, Index: 2}}, h.confirmed); diff != "" {
		t.Errorf("confirmed reads of the second process (-want +got):\n%s", diff)
	}
}

// Guards against a decision of a leader that is appended in a later term of the same instance: another leader may have
// decided otherwise in between.
func TestProposalOfEarlierTermIsRejected(t *testing.T) {
	h := restoredNode(t, 2)
	h.elect()
	term, last := h.node.hardState.Term, h.node.log.lastIndex()
	h.step(Propose{[]Proposal{{ID: 1, Term: term - 1}, {ID: 2, Term: term}, {ID: 3}}})
	if diff := cmp.Diff([]uint64{1}, h.rejected); diff != "" {
		t.Errorf("rejected proposals (-want +got):\n%s", diff)
	}
	if got, want := h.node.log.lastIndex(), last+2; got != want {
		t.Errorf("last index %d, want %d", got, want)
	}
}
