package quorum

import (
	"encoding/hex"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// What the version before joint memberships wrote for the same membership, as a log entry and in a snapshot.
const (
	earlierEntry    = "848482616101617af5f48482616202617af5f48482616303617af4f484826177046179f5f5"
	earlierSnapshot = "84070209848482616101617af5f48482616202617af5f48482616303617af4f484826177046179f5f5"
)

var (
	earlierMembers = Membership{
		{ID: NewID("a", 1), Zone: "z", Voter: true},
		{ID: NewID("b", 2), Zone: "z", Voter: true},
		{ID: NewID("c", 3), Zone: "z"},
		{ID: NewID("w", 4), Zone: "y", Voter: true, Witness: true},
	}
	equateMembers = cmp.Options{cmpopts.IgnoreUnexported(ID{}, Member{}, SnapshotMeta{}), cmpopts.EquateEmpty()}
)

func decodeHex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against a folder of the version before that doesn't start, and against a membership that isn't joint and that
// the version before can't read.
func TestMembershipsOfEarlierVersionAreRead(t *testing.T) {
	m, err := decodeMembership(decodeHex(t, earlierEntry))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(earlierMembers, m.members, equateMembers); diff != "" || m.isJoint() {
		t.Errorf("membership entry is joint: %t, members (-want +got):\n%s", m.isJoint(), diff)
	}
	if got := hex.EncodeToString(membershipEntry{members: earlierMembers}.encode()); got != earlierEntry {
		t.Errorf("a membership that isn't joint is encoded as\n%s, want as before:\n%s", got, earlierEntry)
	}
	var meta SnapshotMeta
	if err := decoder.Unmarshal(decodeHex(t, earlierSnapshot), &meta); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(SnapshotMeta{Index: 7, Term: 2, BootstrapID: 9, Members: earlierMembers}, meta, equateMembers); diff != "" {
		t.Errorf("snapshot metadata (-want +got):\n%s", diff)
	}
}

// Guards against an earlier version that reads a joint membership as another one, and so commits with a majority of the
// wrong voters: it has to fail to decode it, as this does.
func TestEarlierVersionRejectsJointMembership(t *testing.T) {
	joint := membershipEntry{members: earlierMembers, previousVoters: []ID{NewID("a", 1), NewID("c", 3), NewID("w", 4)}}
	var asBefore Membership
	if err := decoder.Unmarshal(joint.encode(), &asBefore); err == nil {
		t.Errorf("a joint membership was decoded as the plain membership %v", asBefore)
	}
	got, err := decodeMembership(joint.encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(joint, got, cmp.AllowUnexported(membershipEntry{}), equateMembers); diff != "" {
		t.Errorf("decoded joint membership (-want +got):\n%s", diff)
	}
}

// Guards against a joint membership that names previous voters which the leader doesn't replicate to.
func TestMalformedJointMembershipIsRejected(t *testing.T) {
	for name, m := range map[string]encodedJoint{
		"previous voter is no member": {earlierMembers, []ID{NewID("x", 1)}},
		"no previous voters":          {earlierMembers, nil},
	} {
		if got, err := decodeMembership(marshal(m)); err == nil {
			t.Errorf("%s: decoded as %+v, want an error", name, got)
		}
	}
}

// Guards against an entry that a member of an earlier version can't read, and so never acknowledges: the leader starts a
// joint change only once every member that answers it can read it. One that is lost, here b, doesn't hold it up.
func TestJointChangeWaitsForMembersOfEarlierVersion(t *testing.T) {
	h := electedWithLostVoter(t)
	n := h.node
	n.progress[firstID("b")].readsJoint = false
	for _, readsJoint := range []bool{false, true} {
		for _, name := range []model.Instance{"c", "d"} {
			p := n.progress[firstID(name)]
			p.ackedSentAt, p.matchIndex, p.readsJoint = h.now, n.log.lastIndex(), readsJoint || name == "c"
		}
		next, ok := n.nextMembership()
		if ok != readsJoint || ok && !next.isJoint() {
			t.Errorf("d reads joint memberships: %t, got change: %t to %+v", readsJoint, ok, next)
		}
	}
}

// Guards against a snapshot that stores a joint membership as a plain one.
func TestNoSnapshotUnderJointMembership(t *testing.T) {
	h := restoredNode(t, 2)
	h.elect()
	n := h.node
	joint := membershipEntry{members: n.members(), previousVoters: n.members().Voters()}
	n.appendMembership(joint)
	n.appendMembership(membershipEntry{members: joint.members})
	h.ack("b", n.log.lastIndex())
	last := n.log.lastIndex()
	for index, want := range map[uint64]bool{last - 2: true, last - 1: false, last: true} {
		if _, ok := n.SnapshotMetaAt(index); ok != want {
			t.Errorf("snapshot at index %d of %d is possible: %t, want %t", index, last, ok, want)
		}
	}
}

// Guards against a replica of an earlier version that commits under another rule, or harms the group, when it is back in the
// middle of a joint change that needs it: the group may have to wait, but only until that replica is upgraded.
func TestGroupServesOnceEarlierVersionIsUpgraded(t *testing.T) {
	cl := newRepairCluster(t, 1, fourCores)
	leader := cl.leader()
	followers := leader.node.otherVoters()
	earlier, lost := cl.replicaNamed(followers[0].Name), cl.replicaNamed(followers[1].Name)
	earlier.crash(0)
	cl.runWithLoad(cl.timing.VoterTimeout - 400)
	lost.loseDisk(clock.Second)
	cl.runWithLoad(clock.Second)
	earlier.isEarlierVersion = true
	earlier.start()
	cl.runWithLoad(20 * clock.Second)
	if earlier.node.inForce().isJoint() || !leader.node.inForce().isJoint() {
		t.Fatalf("the group is not in the middle of a joint change that %s can't read:\n%s", earlier.name, cl.dump())
	}
	earlier.isEarlierVersion = false
	earlier.restart()
	cl.checkServesAgain()
}
