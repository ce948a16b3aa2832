package quorum

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// repairGroup is a group that tolerates the loss of lostDisks disks. The first initialVoters peers vote at first.
type repairGroup struct {
	name          string
	peers         []Peer
	initialVoters int
	targetVoters  int
	lostDisks     int
}

var (
	threeCores          = repairGroup{"three", peersInOneZone("a", "b", "c"), 3, 3, 1}
	fourCores           = repairGroup{"four", peersInOneZone("a", "b", "c", "d"), 3, 3, 1}
	fiveCores           = repairGroup{"five with three voters", peersInOneZone("a", "b", "c", "d", "e"), 3, 3, 1}
	fiveVoters          = repairGroup{"five", peersInOneZone("a", "b", "c", "d", "e"), 5, 5, 2}
	sixCores            = repairGroup{"six", peersInOneZone("a", "b", "c", "d", "e", "f"), 5, 5, 2}
	sevenCores          = repairGroup{"seven", peersInOneZone("a", "b", "c", "d", "e", "f", "g"), 5, 5, 2}
	withWitness         = repairGroup{"witness", peersWithWitness(), 3, 0, 1}
	withWitnessAndSpare = repairGroup{"witness and spare", append(peersWithWitness(), Peer{Name: "x", Zone: "z"}), 3, 0, 1}
	repairGroups        = []repairGroup{threeCores, fourCores, fiveCores, fiveVoters, sixCores, sevenCores, withWitness, withWitnessAndSpare}
)

// maxRecovery is the time after the end of all faults within which a group has to serve again.
const maxRecovery = 12 * clock.Second

// newRepairCluster returns a running cluster with the times that the programs of a domain use.
func newRepairCluster(t fataler, seed uint64, g repairGroup) *cluster {
	cl := newCluster(t, seed, g.peers, g.initialVoters)
	cl.timing.VoterTimeout, cl.timing.JoinInterval, cl.timing.WitnessInterval = 2500, 250, 5*clock.Second
	cl.targetVoters = g.targetVoters
	for _, r := range cl.replicas {
		r.restart()
	}
	cl.commitAll(5, 50)
	cl.waitForFullGroup(g)
	for _, r := range cl.replicas {
		r.canBootstrap = false
	}
	cl.links.partitions = map[model.Instance]int{}
	return cl
}

func (r *replica) restart() {
	r.crash(0)
	r.start()
}

// loseDisk ends a replica together with its disk. It starts again after the given time.
func (r *replica) loseDisk(down clock.Millis) {
	r.crash(0)
	r.eraseDisk()
	r.cluster.schedule(down, r.startIfDown)
}

func (r *replica) startIfDown() {
	if r.node == nil {
		r.start()
	}
}

// stopFor ends a replica, which starts again with its disk after the given time.
func (r *replica) stopFor(down clock.Millis) {
	r.crash(r.cluster.rng.IntN(3))
	r.cluster.schedule(down, r.startIfDown)
}

// runWithLoad advances time while each leader gets proposals.
func (cl *cluster) runWithLoad(d clock.Millis) {
	for end := cl.now + d; cl.now < end; {
		cl.run(min(100, end-cl.now))
		for _, r := range cl.replicas {
			if r.node != nil && r.node.role == leader && r.node.log.lastIndex() < r.node.commitIndex+20 {
				cl.propose(r)
			}
		}
	}
}

// waitForFullGroup waits until as many voters as intended have a vote, and each is a running replica.
func (cl *cluster) waitForFullGroup(g repairGroup) {
	cl.t.Helper()
	want := g.initialVoters
	if g.targetVoters > 0 {
		want = g.targetVoters
	}
	for end := cl.now + 30*clock.Second; cl.now < end; cl.run(50) {
		l := cl.leader()
		if l == nil || l.node.commitIndex < l.node.log.lastIndex() {
			continue
		}
		voters := l.node.voters()
		if len(voters) == want && !slices.ContainsFunc(voters, func(id ID) bool { return cl.replicaNamed(id.Name).incarnation != id.Incarnation }) {
			return
		}
	}
	cl.t.Fatalf("30 s without faults didn't make the group whole:\n%s", cl.dump())
}

// checkServesAgain ends all faults and checks that the group commits maxRecovery later.
func (cl *cluster) checkServesAgain() {
	cl.t.Helper()
	clear(cl.links.partitions)
	for _, r := range cl.replicas {
		r.startIfDown()
	}
	cl.runWithLoad(maxRecovery)
	before := len(cl.committed)
	cl.runWithLoad(2 * clock.Second)
	if len(cl.committed) < before+5 {
		cl.t.Fatalf("%d entries were committed in the 2 s after all replicas had been back for %v, want at least 5:\n%s", len(cl.committed)-before, maxRecovery, cl.dump())
	}
}

// playLosses loses up to as many disks as the group tolerates, and stops or cuts off other replicas. All happens at
// drawn moments; in half of the plays the losses come about when the replicas that were stopped before are replaced.
func (cl *cluster) playLosses(g repairGroup) {
	window, earliest := 6*clock.Second, clock.Millis(0)
	if cl.rng.IntN(2) == 0 {
		window, earliest = 800, cl.timing.VoterTimeout-400
	}
	duration := func() clock.Millis { return 100 + clock.Millis(cl.rng.Int64N(4000)) }
	replicas := slices.Clone(cl.replicas)
	cl.rng.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	for _, r := range replicas[:g.lostDisks] {
		cl.schedule(earliest+clock.Millis(cl.rng.Int64N(int64(window))), func() { r.loseDisk(duration()) })
	}
	others := replicas[g.lostDisks:]
	for _, r := range others[:cl.rng.IntN(len(others))] {
		from := clock.Millis(cl.rng.Int64N(int64(window)))
		if cl.rng.IntN(2) == 0 {
			cl.schedule(from, func() { r.stopFor(duration()) })
		} else {
			cl.cutOff(r, from, duration())
		}
	}
	cl.runWithLoad(11 * clock.Second)
}

// cutOff takes a replica to another part of the network for some time.
func (cl *cluster) cutOff(r *replica, from, lasting clock.Millis) {
	part := 1 + cl.rng.IntN(2)
	cl.schedule(from, func() { cl.links.partitions[r.name] = part })
	cl.schedule(from+lasting, func() { delete(cl.links.partitions, r.name) })
}

// Guards against a group that never commits again though no more disks are lost than it tolerates, because a membership
// in force needs a replica whose disk is lost. Other replicas may be stopped or cut off at the same time. The losses are
// repeated once the group is whole again, so that a repair that leaves the group weaker shows.
func TestServesAgainAfterLostDisks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := rapid.SampledFrom(repairGroups).Draw(t, "group")
		cl := newRepairCluster(t, rapid.Uint64().Draw(t, "seed"), g)
		for range 3 {
			cl.playLosses(g)
			cl.checkServesAgain()
			cl.waitForFullGroup(g)
		}
	})
}
