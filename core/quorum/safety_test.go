package quorum

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// topology is a list of instances. The first ones, as many as voters says, are the initial voters.
type topology struct {
	peers  []Peer
	voters int
}

var topologies = []topology{
	{peersInOneZone("a", "b", "c"), 3},
	{peersInOneZone("a", "b", "c", "d", "e"), 3},
	{peersInOneZone("a", "b", "c", "d", "e", "f"), 5},
	{[]Peer{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}, {Name: "w", Zone: "y", Witness: true}}, 3},
	{peersInOneZone("a", "b"), 1},
}

// faultInjector applies faults drawn by rapid to a cluster.
type faultInjector struct {
	*cluster
	t *rapid.T
}

// pickReplica draws a replica. It draws the leader more often, because faults there are most likely
// to violate safety.
func (f faultInjector) pickReplica() *replica {
	if l := f.leader(); l != nil && rapid.IntRange(0, 2).Draw(f.t, "leader") == 0 {
		return l
	}
	return f.replicas[rapid.IntRange(0, len(f.replicas)-1).Draw(f.t, "replica")]
}

func (f faultInjector) drawPercent(name string, limit int) int {
	return rapid.IntRange(0, limit).Draw(f.t, name)
}

// passTime advances time, while every replica that considers itself leader gets reads and
// proposals.
func (f faultInjector) passTime() {
	rest := clock.Millis(rapid.IntRange(1, 3000).Draw(f.t, "time"))
	count := rapid.IntRange(0, 2).Draw(f.t, "proposals")
	for ; rest > 0; rest -= 40 {
		f.run(min(rest, 40))
		f.addLoadToLeaders(count)
	}
}

func (f faultInjector) addLoadToLeaders(count int) {
	for _, r := range f.replicas {
		if r.node == nil || r.node.role != leader {
			continue
		}
		f.read(r)
		for range count {
			if r.node.log.lastIndex() < r.node.commitIndex+50 {
				f.propose(r)
			}
		}
	}
}

func (f faultInjector) addLoad() {
	f.addLoadToLeaders(rapid.IntRange(1, 12).Draw(f.t, "proposals"))
	f.read(f.pickReplica())
}

func (f faultInjector) degradeNetwork() {
	f.links.lossPercent, f.links.duplicatePercent = f.drawPercent("loss", 40), f.drawPercent("dup", 40)
	f.links.maxDelay = clock.Millis(rapid.SampledFrom([]int{5, 50, 400, 1500}).Draw(f.t, "delay"))
}

func (f faultInjector) partitionNetwork() {
	f.links.partitions = map[model.Instance]int{}
	alone := f.pickReplica().name
	for _, p := range f.peers {
		if p.Name == alone || rapid.IntRange(0, 3).Draw(f.t, "side") == 0 {
			f.links.partitions[p.Name] = 1
		}
	}
}

func (f faultInjector) healFaults() {
	f.links = linkFaults{maxDelay: 5}
	for _, r := range f.replicas {
		if r.paused {
			r.resume()
		}
		if r.node == nil {
			r.start()
		}
	}
}

func (f faultInjector) crashOrStart() {
	r := f.pickReplica()
	if r.node == nil {
		r.start()
		return
	}
	r.crash(rapid.IntRange(0, 3).Draw(f.t, "survive"))
	if rapid.Bool().Draw(f.t, "restart") {
		r.start()
	}
}

// eraseRandomDisk erases a disk if the group can continue without it.
func (f faultInjector) eraseRandomDisk() {
	r := f.pickReplica()
	for _, other := range f.replicas {
		if !f.keepsMajorityWithout(other, r) {
			return
		}
	}
	if !f.isBootstrapped() {
		return
	}
	r.crash(0)
	r.eraseDisk()
	r.start()
}

// isBootstrapped reports whether all initial voters hold the initial membership. Before that,
// losing the disk of one of them may leave the others with a bootstrap that cannot complete.
func (f faultInjector) isBootstrapped() bool {
	for _, v := range f.voters {
		if f.replicaNamed(v).disk.hardState.BootstrapID == 0 {
			return false
		}
	}
	return true
}

// keepsMajorityWithout reports whether a majority of voters keeps its disks without lost, in every
// membership that other may use.
func (f faultInjector) keepsMajorityWithout(other, lost *replica) bool {
	sets := other.disk.membership().voterSets()
	if other.node != nil {
		sets = append(sets, other.node.inForce().sets...)
	}
	sets = slices.DeleteFunc(sets, func(voters []ID) bool { return len(voters) == 0 })
	return hasMajorities(sets, func(id ID) bool {
		r := f.replicaNamed(id.Name)
		return r != lost && r.incarnation == id.Incarnation
	})
}

// membership returns the newest membership on the disk.
func (d *diskContent) membership() membershipEntry {
	m := membershipEntry{members: d.snapshot.Meta.Members}
	for _, e := range d.entries {
		if e.Kind == EntryMembership {
			m, _ = decodeMembership(e.Data)
		}
	}
	return m
}

func (f faultInjector) togglePause() {
	if r := f.pickReplica(); r.paused {
		r.resume()
	} else {
		r.pause()
	}
}

func (f faultInjector) changeClockRate() {
	limit := 48
	if !f.clocksBounded {
		limit = 900
	}
	f.pickReplica().setClockRate(1 + float64(rapid.IntRange(-limit, limit).Draw(f.t, "drift"))/1000)
}

func (f faultInjector) transferLeadership() { f.pickReplica().deliver(TransferLeadership{}) }

func checkUnderFaults(t *rapid.T, bounded bool) {
	top := rapid.SampledFrom(topologies).Draw(t, "topology")
	cl := newCluster(t, rapid.Uint64().Draw(t, "seed"), top.peers, top.voters)
	cl.clocksBounded = bounded
	// A short timeout makes membership changes frequent.
	cl.timing.VoterTimeout = 1500
	cl.timing.WitnessInterval = 5 * clock.Second
	f := faultInjector{cl, t}
	actions := []func(){
		f.passTime, f.passTime, f.passTime, f.addLoad, f.degradeNetwork, f.partitionNetwork, f.partitionNetwork, f.healFaults, f.crashOrStart, f.crashOrStart, f.eraseRandomDisk,
		f.togglePause, f.changeClockRate, f.transferLeadership,
	}
	if rapid.Bool().Draw(t, "calm start") {
		f.run(5 * clock.Second)
	}
	for range rapid.IntRange(10, 60).Draw(t, "actions") {
		rapid.SampledFrom(actions).Draw(t, "action")()
		f.run(clock.Millis(rapid.IntRange(0, 100).Draw(t, "gap")))
	}
	f.checkRecovery()
}

// checkRecovery ends all faults and checks that the group commits and all members catch up.
func (f faultInjector) checkRecovery() {
	f.healFaults()
	for _, r := range f.replicas {
		r.setClockRate(1)
	}
	f.run(40 * clock.Second)
	l := f.waitForLeader(20 * clock.Second)
	before := len(f.committed)
	f.propose(l)
	f.run(5 * clock.Second)
	if len(f.committed) <= before {
		f.t.Fatalf("a proposal at %s was not committed within 5 s without faults", l.name)
	}
	for _, r := range f.replicas {
		if m, ok := l.node.members().Find(r.node.cfg.Self); ok && !m.Witness && r.appliedIndex < uint64(before)+1 {
			f.t.Fatalf("%s applied only index %d after all faults ended; committed entries: %d", r.name, r.appliedIndex, len(f.committed))
		}
	}
}

// Guards against two leaders in a term, diverging logs, lost committed entries, stale lease reads,
// and groups that do not recover, with all kinds of faults at once.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkUnderFaults(t, true) })
}

// Guards against log safety that depends on clocks. Clock rates are far outside the drift bound, so
// only reads may be stale.
func TestSafetyBeyondClockDriftBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkUnderFaults(t, false) })
}

// Guards against stale reads at a leader that loses its majority while it still holds its lease: to
// a voter that was partitioned before, to one that restarts, or by a leadership transfer. Clock
// rates are at the ends of the drift bound.
func TestLeaseReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(t, rapid.Uint64().Draw(t, "seed"), peersInOneZone("a", "b", "c"), 3)
		for range 4 {
			cl.setPartition()
			cl.commitAll(3, 20)
			isolateLeaseHolder(t, cl)
			cl.run(5 * clock.Second)
		}
	})
}

// isolateLeaseHolder partitions a leader that holds a lease from its majority, and then reads at
// all replicas.
func isolateLeaseHolder(t *rapid.T, cl *cluster) {
	old := cl.leader()
	slow := rapid.Bool().Draw(t, "old leader is slow")
	var rest []*replica
	for _, r := range cl.replicas {
		fast := r != old
		if !slow {
			fast = rapid.Bool().Draw(t, "fast")
		}
		r.setClockRate(0.952)
		if fast {
			r.setClockRate(1.048)
		}
		if r != old {
			rest = append(rest, r)
		}
	}
	kind := rapid.SampledFrom([]string{"cut", "restart", "handover"}).Draw(t, "kind")
	if kind == "handover" {
		old.deliver(TransferLeadership{})
	} else {
		cl.setPartition(rest[0].name)
		cl.run(clock.Millis(rapid.IntRange(2000, 4000).Draw(t, "alone")))
	}
	cl.run(clock.Millis(rapid.IntRange(0, 120).Draw(t, "then")))
	cl.setPartition(old.name)
	if kind == "restart" {
		rest[1].crash(9)
		rest[1].start()
	}
	for range 300 {
		cl.read(old)
		for _, r := range rest {
			cl.read(r)
			if r.node.role == leader && r.node.log.lastIndex() < r.node.commitIndex+20 {
				cl.propose(r)
			}
		}
		cl.run(5)
	}
}
