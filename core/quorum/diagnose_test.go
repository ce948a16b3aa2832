package quorum

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"vanillabridge/core/clock"
)

// Guards against a group that can't commit and whose status doesn't tell which voters are missing, since when, and
// whether they have lost their disks or refuse their vote.
func TestCommitStatusNamesMissingVoters(t *testing.T) {
	cl := newCluster(t, 1, peersInOneZone("a", "b", "c"), 3)
	cl.commitAll(5, 50)
	stopped, erased := cl.pickFollower(), cl.leader()
	var rest *replica
	for _, r := range cl.replicas {
		if r != stopped && r != erased {
			rest = r
		}
	}
	stoppedID, erasedID := stopped.node.cfg.Self, erased.node.cfg.Self
	stopped.crash(0)
	erased.crash(0)
	erased.eraseDisk()
	erased.canBootstrap = false
	erased.start()
	lostAt := rest.clock()
	cl.run(5 * clock.Second)
	s := rest.node.CommitStatus()
	got := map[ID]ID{}
	for _, m := range s.MissingVoters {
		got[m.ID] = m.SucceededBy
		if silent := m.Since - lostAt; silent < -cl.timing.HeartbeatInterval || silent > 100 {
			t.Errorf("%s is missing since %v after its loss, want about 0", m.ID, silent)
		}
	}
	want := map[ID]ID{stoppedID: {}, erasedID: erased.node.cfg.Self}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(ID{})); diff != "" {
		t.Errorf("missing voters and their later identities (-want +got):\n%s", diff)
	}
	if s.CommittedIndex != s.MembershipIndex || len(s.Committed.Voters()) != 3 {
		t.Errorf("membership of index %d is in force and that of %d with voters %v committed, want the same with three voters", s.MembershipIndex, s.CommittedIndex, s.Committed.Voters())
	}

	stopped.start()
	cl.run(10 * clock.Second)
	s = cl.waitForLeader(clock.Second).node.CommitStatus()
	if len(s.MissingVoters) > 0 || len(s.RefusingVoters) > 0 {
		t.Errorf("once the group is complete again, the leader misses %v and %v refuse, want none", s.MissingVoters, s.RefusingVoters)
	}
}

// Guards against a replica that is refused votes and doesn't show by whom.
func TestCommitStatusNamesRefusingVoters(t *testing.T) {
	h := restoredNode(t, 2)
	h.step(Tick{})
	h.receive(Message{Kind: KindPreVoteReply, From: firstID("c"), Term: 2, Reject: true})
	if diff := cmp.Diff([]ID{firstID("c")}, h.node.CommitStatus().RefusingVoters, cmp.AllowUnexported(ID{})); diff != "" {
		t.Errorf("refusing voters (-want +got):\n%s", diff)
	}
}

// Guards against replicas that seem to miss commits in a calm group: a witness learns late, by design, that its entries are
// committed.
func TestCalmReplicasExpectNoCommitForLong(t *testing.T) {
	cl := newCluster(t, 1, peersWithWitness(), 3)
	cl.limits = DefaultLimits()
	cl.waitForLeader(5 * clock.Second)
	cl.run(cl.timing.WitnessInterval + 5*clock.Second)
	l := cl.waitForLeader(clock.Second)
	calmAt, committed := map[*replica]clock.Millis{}, map[*replica]uint64{}
	lagged := false
	for end := cl.now + 100*clock.Second; cl.now < end; cl.run(10) {
		cl.propose(l)
		for _, r := range cl.replicas {
			s := r.node.State()
			lagged = lagged || s.LastIndex > s.CommitIndex
			if !s.ExpectsCommit || s.CommitIndex != committed[r] {
				calmAt[r], committed[r] = cl.now, s.CommitIndex
			}
			if cl.now-calmAt[r] >= 2*cl.timing.ElectionTimeout {
				t.Fatalf("%s has expected a commit for %v in a calm group:\n%s", r.name, cl.now-calmAt[r], cl.dump())
			}
		}
	}
	if !lagged {
		t.Error("no replica was behind with its commit index, so the test shows nothing")
	}
}
