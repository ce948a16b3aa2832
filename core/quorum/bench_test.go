package quorum

import (
	"slices"
	"testing"

	"vanillabridge/core/clock"
)

// BenchmarkFailover measures the simulated time from the crash of the leader, or the start of a
// leadership transfer, until the next leader can commit. Messages take up to 5 ms; each iteration
// uses another seed.
func BenchmarkFailover(b *testing.B) {
	for name, endLeadership := range map[string]func(*replica){
		"loss":     func(r *replica) { r.crash(0) },
		"handover": func(r *replica) { r.deliver(TransferLeadership{}) },
	} {
		b.Run(name, func(b *testing.B) {
			var sum, worst clock.Millis
			for i := range b.N {
				cl := newCluster(b, uint64(i), peersInOneZone("a", "b", "c"), 3)
				cl.limits = DefaultLimits()
				cl.commitAll(3, 20)
				old, start := cl.leader(), cl.now
				endLeadership(old)
				for l := old; l == old || l == nil || l.node.commitIndex < l.node.leaderState.noOpIndex; l = cl.leader() {
					cl.run(1)
				}
				sum, worst = sum+cl.now-start, max(worst, cl.now-start)
			}
			b.ReportMetric(float64(sum)/float64(b.N), "mean-ms")
			b.ReportMetric(float64(worst), "worst-ms")
		})
	}
}

// BenchmarkQuiet measures the encoded bytes that an idle group sends in a simulated second, with
// three local voters, and with two local voters and a witness.
func BenchmarkQuiet(b *testing.B) {
	for name, peers := range map[string][]Peer{"local": peersInOneZone("a", "b", "c"), "witness": peersWithWitness()} {
		b.Run(name, func(b *testing.B) {
			all, witness := 0, 0
			const seconds = 300
			for i := range b.N {
				cl := newCluster(b, uint64(i), peers, 3)
				cl.limits = DefaultLimits()
				cl.commitAll(3, 20)
				before, beforeWitness := cl.totalBytes(), cl.bytesTo["w"]
				cl.run(seconds * clock.Second)
				all += cl.totalBytes() - before
				witness += cl.bytesTo["w"] - beforeWitness
			}
			b.ReportMetric(float64(all)/seconds/float64(b.N), "B/s")
			b.ReportMetric(float64(witness)/seconds/float64(b.N), "witness-B/s")
		})
	}
}

func (cl *cluster) totalBytes() int {
	sum := 0
	for _, n := range cl.bytesTo {
		sum += n
	}
	return sum
}

// BenchmarkReplacement measures the simulated time from the loss of a voter until a membership without it and with as many
// voters as before is committed: with a spare replica if the voter stays away, or by its own instance, which is back with an
// empty disk after a second.
func BenchmarkReplacement(b *testing.B) {
	for name, lose := range map[string]func(*replica){
		"spare":    func(r *replica) { r.crash(0) },
		"instance": func(r *replica) { r.loseDisk(clock.Second) },
	} {
		b.Run(name, func(b *testing.B) {
			var sum, worst clock.Millis
			for i := range b.N {
				cl := newRepairCluster(b, uint64(i), repairGroup{peers: peersInOneZone("a", "b", "c", "d"), initialVoters: 3, targetVoters: 3})
				lost, start := cl.pickFollower(), cl.now
				id := lost.node.cfg.Self
				lose(lost)
				for isReplaced := false; !isReplaced; cl.run(10) {
					if l := cl.leader(); l != nil {
						s := l.node.CommitStatus()
						voters := s.Committed.Voters()
						isReplaced = s.CommittedIndex == s.MembershipIndex && len(s.PreviousVoters) == 0 && len(voters) == 3 && !slices.Contains(voters, id)
					}
				}
				sum, worst = sum+cl.now-start, max(worst, cl.now-start)
			}
			b.ReportMetric(float64(sum)/float64(b.N), "mean-ms")
			b.ReportMetric(float64(worst), "worst-ms")
		})
	}
}
