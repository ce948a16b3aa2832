package quorum

import (
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

func (cl *cluster) setPartition(names ...model.Instance) {
	cl.links.partitions = map[model.Instance]int{}
	for _, n := range names {
		cl.links.partitions[n] = 1
	}
}

// pickFollower returns a running voter that is neither leader nor witness.
func (cl *cluster) pickFollower() *replica {
	for _, r := range cl.replicas {
		if r.node != nil && r.node.role != leader && r.node.isVoter(r.node.cfg.Self) && !r.node.isWitness() {
			return r
		}
	}
	cl.t.Fatalf("no follower:\n%s", cl.dump())
	return nil
}

// commitAll proposes count commands at the leader and fails unless all entries are committed then.
func (cl *cluster) commitAll(count int, interval clock.Millis) {
	cl.t.Helper()
	l := cl.waitForLeader(10 * clock.Second)
	for range count {
		cl.propose(l)
		cl.run(interval)
	}
	cl.run(clock.Second)
	if l.node.commitIndex != l.node.log.lastIndex() {
		cl.t.Fatalf("leader committed index %d, want the last index %d", l.node.commitIndex, l.node.log.lastIndex())
	}
}

func peersWithWitness() []Peer {
	return []Peer{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}, {Name: "w", Zone: "y", Witness: true}}
}

// Guards against a replica that deposes a working leader when its partition heals, because its
// term increased meanwhile.
func TestPreVoteKeepsLeader(t *testing.T) {
	cl := newCluster(t, 1, peersInOneZone("a", "b", "c"), 3)
	l := cl.waitForLeader(5 * clock.Second)
	term := l.node.hardState.Term
	cl.setPartition(cl.pickFollower().name)
	cl.run(30 * clock.Second)
	cl.setPartition()
	cl.run(5 * clock.Second)
	if cl.leader() != l || l.node.hardState.Term != term {
		t.Errorf("leader %s of term %d was replaced:\n%s", l.name, term, cl.dump())
	}
}

// Guards against a leader that does not step down after it lost contact with its majority, by a
// partition or by a pause of its process.
func TestCheckQuorum(t *testing.T) {
	cl := newCluster(t, 1, peersInOneZone("a", "b", "c"), 3)
	l := cl.waitForLeader(5 * clock.Second)
	cl.setPartition(l.name)
	cl.run(cl.timing.ElectionTimeout + 100)
	if l.node.role == leader {
		t.Errorf("%s is still leader after it was partitioned for an election timeout", l.name)
	}
	cl.setPartition()
	l = cl.waitForLeader(5 * clock.Second)
	l.pause()
	cl.run(4 * clock.Second)
	l.delayedInputs = nil
	answered := cl.readsAnswered
	cl.read(l)
	l.resume()
	if l.node.role == leader || cl.readsAnswered != answered {
		t.Errorf("%s is leader or answered a read after a pause of 4 s", l.name)
	}
}

// Guards against replication to the witness while all local voters answer, because traffic to its
// zone is paid for, and against a group that cannot commit when one of them fails.
func TestLazyWitnessReplication(t *testing.T) {
	cl := newCluster(t, 1, peersWithWitness(), 3)
	cl.limits = DefaultLimits()
	cl.waitForLeader(5 * clock.Second)
	cl.run(3 * clock.Second)
	local := cl.pickFollower().name
	before, beforeLocal := cl.bytesTo["w"], cl.bytesTo[local]
	cl.commitAll(100, 200)
	witnessBytes, localBytes := cl.bytesTo["w"]-before, cl.bytesTo[local]-beforeLocal
	if witnessBytes > localBytes/5 {
		t.Errorf("the witness was sent %d bytes during 20 s of commits, a local voter %d; want at most a fifth", witnessBytes, localBytes)
	}
	cl.run(cl.timing.WitnessInterval + 2*clock.Second)
	if got, want := cl.replicaNamed("w").node.log.lastIndex(), cl.leader().node.log.lastIndex(); got != want {
		t.Errorf("last index of the witness is %d after WitnessInterval, want %d", got, want)
	}
	cl.pickFollower().crash(0)
	cl.run(clock.Second)
	cl.commitAll(5, 10)
}

// Guards against a group that stays without a leader although its witness has all entries, and
// against a witness that does not transfer leadership once a local voter is caught up.
func TestWitnessTransfersLeadership(t *testing.T) {
	cl := newCluster(t, 1, peersWithWitness(), 3)
	l := cl.waitForLeader(5 * clock.Second)
	stale := cl.pickFollower()
	stale.crash(0)
	cl.run(clock.Second)
	cl.commitAll(5, 10)
	l.crash(0)
	stale.start()
	witnessLed := false
	for range 1500 {
		cl.run(10)
		witnessLed = witnessLed || cl.replicaNamed("w").node.role == leader
	}
	if !witnessLed || cl.leader() != stale || stale.node.commitIndex < l.appliedIndex {
		t.Errorf("witness was leader: %t, want leadership transferred from it to the local voter:\n%s", witnessLed, cl.dump())
	}
}

// Guards against a witness that starts an election while a local voter can win one, both during
// lazy replication and right after a local voter was down.
func TestLocalVoterIsElectedBeforeWitness(t *testing.T) {
	for seed := range uint64(40) {
		cl := newCluster(t, seed, peersWithWitness(), 3)
		l := cl.waitForLeader(5 * clock.Second)
		cl.run(cl.timing.WitnessInterval)
		if seed%2 == 1 {
			f := cl.pickFollower()
			f.crash(0)
			cl.run(clock.Second)
			cl.propose(l)
			f.start()
			for f.node.log.lastIndex() < l.node.log.lastIndex() {
				cl.run(1)
			}
		}
		l.crash(0)
		cl.run(6 * clock.Second)
		for term, id := range cl.leaders {
			if id.Name == "w" {
				t.Errorf("seed %d: the witness was leader of term %d:\n%s", seed, term, cl.dump())
			}
		}
		cl.waitForLeader(clock.Second)
	}
}

// Guards against a failed voter that is never replaced, or replaced before Timing.VoterTimeout ends.
func TestTimedOutVoterIsReplaced(t *testing.T) {
	cl := newCluster(t, 1, peersInOneZone("a", "b", "c", "d"), 3)
	cl.commitAll(20, 50)
	cl.run(5 * clock.Second)
	lost := cl.pickFollower()
	id := lost.node.cfg.Self
	lost.crash(0)
	cl.run(cl.timing.VoterTimeout - clock.Second)
	l := cl.waitForLeader(clock.Second)
	if !l.node.isVoter(id) {
		t.Errorf("%s was replaced before the voter timeout of %v", id, cl.timing.VoterTimeout)
	}
	cl.run(4 * clock.Second)
	if l.node.isVoter(id) || len(l.node.voters()) != 3 {
		t.Errorf("%s was not replaced by a third voter:\n%s", id, cl.dump())
	}
	// The group must survive a second loss right after the replacement.
	cl.pickFollower().crash(0)
	cl.run(3 * clock.Second)
	cl.commitAll(5, 10)
}

// Guards against messages that exceed the size limit, more messages in flight than the limit
// allows, and proposals beyond the limit of uncommitted bytes.
func TestFlowControl(t *testing.T) {
	cl := newCluster(t, 1, peersInOneZone("a", "b", "c"), 3)
	l := cl.waitForLeader(5 * clock.Second)
	slow := cl.pickFollower()
	cl.commitAll(5, 50)
	cl.snapshotEvery = 1 << 30
	slow.pause()
	before := cl.sentByKind[KindAppend]
	for range 200 {
		cl.propose(l)
	}
	toOtherFollower := 200
	if sent := cl.sentByKind[KindAppend] - before; sent > toOtherFollower+cl.limits.MaxInflight+1 {
		t.Errorf("%d messages with entries were sent while one follower was paused", sent)
	}
	for _, r := range cl.replicas {
		if p := l.node.progress[r.node.cfg.Self]; p != nil && len(p.inflight) > cl.limits.MaxInflight {
			t.Errorf("%d messages in flight to %s, limit %d", len(p.inflight), r.name, cl.limits.MaxInflight)
		}
	}
	slow.resume()
	cl.run(clock.Second)
	if overhead := 150; cl.largestMessage > cl.limits.MessageBytes+overhead {
		t.Errorf("largest message has %d bytes, limit %d for its entries and %d for the rest", cl.largestMessage, cl.limits.MessageBytes, overhead)
	}
	l.node.cfg.Limits.UncommittedBytes = 100
	if err := proposalRejection(l, make([]byte, 200)); err == nil {
		t.Error("a proposal beyond the limit of uncommitted bytes was accepted")
	}
}

func proposalRejection(r *replica, data []byte) error {
	for _, o := range r.node.Step(r.clock(), Propose{[]Proposal{{ID: 1, Data: data}}}) {
		if o, ok := o.(Rejected); ok {
			return o.Err
		}
	}
	return nil
}

// Guards against a follower that never catches up after the log was compacted beyond its last
// index, and against chunks above the size limit.
func TestSnapshotInChunks(t *testing.T) {
	cl := newCluster(t, 1, peersInOneZone("a", "b", "c"), 3)
	cl.waitForLeader(5 * clock.Second)
	slow := cl.pickFollower()
	slow.crash(0)
	cl.commitAll(50, 20)
	before := cl.sentByKind[KindSnapshotChunk]
	slow.start()
	cl.run(10 * clock.Second)
	if slow.appliedIndex != uint64(len(cl.committed)) {
		t.Errorf("%s applied index %d, want %d", slow.name, slow.appliedIndex, len(cl.committed))
	}
	// The snapshot of the test's state machine has 160 bytes.
	if got := cl.sentByKind[KindSnapshotChunk] - before; got < 160/cl.limits.ChunkBytes+1 {
		t.Errorf("the snapshot was sent in %d chunks, too few for the chunk limit", got)
	}
}

// Guards against a planned stop of the leader that leaves the group without a leader for an
// election timeout.
func TestLeadershipTransferIsFast(t *testing.T) {
	cl := newCluster(t, 1, peersInOneZone("a", "b", "c"), 3)
	cl.commitAll(5, 50)
	old := cl.leader()
	old.deliver(TransferLeadership{})
	cl.run(300)
	if l := cl.leader(); l == nil || l == old {
		t.Errorf("no new leader 300 ms after the start of a leadership transfer:\n%s", cl.dump())
	}
}

// Guards against a second bootstrap of an existing group by initial voters that lost their disks.
func TestNoSecondBootstrap(t *testing.T) {
	for seed := range uint64(20) {
		cl := newCluster(t, seed, peersInOneZone("a", "b", "c"), 3)
		cl.waitForLeader(5 * clock.Second)
		// Initial voters a and c lose their disks and could take part in another bootstrap, while b
		// holds the disk of the existing one but stays down.
		for _, r := range cl.replicas {
			r.crash(0)
		}
		cl.replicaNamed("c").eraseDisk()
		cl.replicaNamed("a").eraseDisk()
		cl.replicaNamed("a").start()
		cl.replicaNamed("c").start()
		cl.run(5 * clock.Second)
		if l := cl.leader(); l != nil {
			t.Fatalf("seed %d: %s bootstrapped another group:\n%s", seed, l.name, cl.dump())
		}
	}
}
