package quorum

import (
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// restoredJointNode returns a node for replica a under a joint membership that exchanges b and c for d and e.
func restoredJointNode(t *testing.T) *nodeHarness {
	t.Helper()
	h := restoredNode(t)
	m := membershipEntry{previousVoters: []ID{firstID("a"), firstID("b"), firstID("c")}}
	for _, name := range []model.Instance{"a", "b", "c", "d", "e"} {
		m.members = m.members.With(Member{ID: firstID(name), Zone: "z", Voter: name != "b" && name != "c"})
	}
	h.receive(Message{Kind: KindAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2, Kind: EntryMembership, Data: m.encode()}}})
	h.now += 10 * clock.Second
	h.sent = nil
	return h
}

// startCampaign makes the node a candidate with the consent of one replica of each set of voters.
func (h *nodeHarness) startCampaign() {
	h.step(Tick{})
	for _, name := range []model.Instance{"b", "d"} {
		h.receive(Message{Kind: KindPreVoteReply, From: firstID(name), Term: h.node.hardState.Term + 1})
	}
	if h.node.role != candidate {
		h.t.Fatalf("role is %d with the consent of a majority of both sets of voters, want candidate", h.node.role)
	}
}

// electJoint makes the node leader with the votes of itself, b and d.
func (h *nodeHarness) electJoint() {
	h.startCampaign()
	for _, name := range []model.Instance{"b", "d"} {
		h.receive(Message{Kind: KindVoteReply, From: firstID(name), Term: h.node.hardState.Term})
	}
	if h.node.role != leader {
		h.t.Fatalf("role is %d with a majority of both sets of voters, want leader", h.node.role)
	}
}

// majorityOfOne lists replicas that with a are a majority of one set of voters under restoredJointNode, and not of the other.
var majorityOfOne = map[string][]model.Instance{"new voters": {"d", "e"}, "previous voters": {"b", "c"}}

// Guards against two leaders during a change of voters, each elected by a majority of one set.
func TestElectionUnderJointMembershipNeedsBothMajorities(t *testing.T) {
	for set, names := range majorityOfOne {
		h := restoredJointNode(t)
		h.step(Tick{})
		for _, name := range names {
			h.receive(Message{Kind: KindPreVoteReply, From: firstID(name), Term: h.node.hardState.Term + 1})
		}
		if h.node.role != preCandidate {
			t.Errorf("role is %d with the consent of the %s only, want a pre-candidate", h.node.role, set)
		}
		h = restoredJointNode(t)
		h.startCampaign()
		for _, name := range names {
			h.receive(Message{Kind: KindVoteReply, From: firstID(name), Term: h.node.hardState.Term})
		}
		if h.node.role != candidate {
			t.Errorf("role is %d with the votes of the %s only, want a candidate", h.node.role, set)
		}
	}
}

// Guards against an entry that is committed by a majority of one set of voters during a change, and that a leader which is
// elected by the other may lack; and against a change that ends before it is committed.
func TestCommitUnderJointMembershipNeedsBothMajorities(t *testing.T) {
	for set, names := range majorityOfOne {
		h := restoredJointNode(t)
		h.electJoint()
		last := h.node.log.lastIndex()
		for _, name := range names {
			h.ack(name, last)
		}
		h.now += h.node.cfg.Timing.HeartbeatInterval
		h.step(Tick{})
		if h.node.commitIndex != 0 || h.node.log.lastIndex() != last {
			t.Errorf("commit index is %d and last index %d with the %s only, want 0 and %d", h.node.commitIndex, h.node.log.lastIndex(), set, last)
		}
		for _, name := range []model.Instance{"b", "d"} {
			h.ack(name, last)
		}
		if h.node.commitIndex != last {
			t.Errorf("commit index is %d with a majority of both sets, want %d", h.node.commitIndex, last)
		}
		h.now += h.node.cfg.Timing.HeartbeatInterval
		h.step(Tick{})
		if h.node.inForce().isJoint() {
			t.Error("the joint membership is committed, and the change not completed")
		}
	}
}

// Guards against stale reads and a leader that stays, during a change of voters, while only one set of them answers: the
// other may have let another leader be elected.
func TestLeaseUnderJointMembershipNeedsBothMajorities(t *testing.T) {
	for set, names := range majorityOfOne {
		h := restoredJointNode(t)
		h.electJoint()
		for _, name := range names {
			h.ack(name, 0)
		}
		if h.node.hasLease() {
			t.Errorf("the leader has a lease with answers of the %s only", set)
		}
		for range 3 {
			h.now += h.node.cfg.Timing.ElectionTimeout / 2
			for _, name := range names {
				h.ack(name, 0)
			}
		}
		if h.node.role == leader {
			t.Errorf("it still leads after 1.5 election timeouts with answers of the %s only", set)
		}
	}
	h := restoredJointNode(t)
	h.electJoint()
	h.ack("b", 0)
	h.ack("d", 0)
	if !h.node.hasLease() {
		t.Error("the leader has no lease with answers of a majority of both sets")
	}
}

// Guards against a leader that ends a change of voters which it has begun before a majority of both sets holds it.
func TestChangeEndsOnceCommitted(t *testing.T) {
	h := restoredNode(t, 2)
	h.elect()
	h.ack("b", h.node.log.lastIndex())
	h.node.appendMembership(membershipEntry{members: h.node.members(), previousVoters: h.node.members().Voters()})
	last := h.node.log.lastIndex()
	h.now += h.node.cfg.Timing.HeartbeatInterval
	h.step(Tick{})
	if got := h.node.log.lastIndex(); got != last {
		t.Errorf("last index is %d before the joint membership is committed, want %d", got, last)
	}
}
