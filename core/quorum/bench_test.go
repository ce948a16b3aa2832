package quorum

import (
	"testing"

	"vanillabridge/core/clock"
)

// BenchmarkFailover measures the simulated time from the loss of the leader, or the start of a
// handover, until another one can commit, over many seeds, with messages that take up to 5 ms.
func BenchmarkFailover(b *testing.B) {
	for name, end := range map[string]func(*replica){
		"loss":     func(r *replica) { r.crash(0) },
		"handover": func(r *replica) { r.feed(Handover{}) },
	} {
		b.Run(name, func(b *testing.B) {
			var sum, worst clock.Millis
			for i := range b.N {
				w := newWorld(b, uint64(i), plain("a", "b", "c"), 3)
				w.limits = DefaultLimits()
				w.commitAll(3, 20)
				old, start := w.leader(), w.now
				end(old)
				for l := old; l == old || l == nil || l.node.commit < l.node.lead.first; l = w.leader() {
					w.run(1)
				}
				sum, worst = sum+w.now-start, max(worst, w.now-start)
			}
			b.ReportMetric(float64(sum)/float64(b.N), "mean-ms")
			b.ReportMetric(float64(worst), "worst-ms")
		})
	}
}

// BenchmarkQuiet measures the encoded bytes that a group sends in a simulated second without
// proposals, for three local voters, and for two with a witness.
func BenchmarkQuiet(b *testing.B) {
	for name, peers := range map[string][]Peer{"local": plain("a", "b", "c"), "witness": witnessed()} {
		b.Run(name, func(b *testing.B) {
			all, witness := 0, 0
			const seconds = 300
			for i := range b.N {
				w := newWorld(b, uint64(i), peers, 3)
				w.limits = DefaultLimits()
				w.commitAll(3, 20)
				before, beforeWitness := w.total(), w.bytes["w"]
				w.run(seconds * clock.Second)
				all += w.total() - before
				witness += w.bytes["w"] - beforeWitness
			}
			b.ReportMetric(float64(all)/seconds/float64(b.N), "B/s")
			b.ReportMetric(float64(witness)/seconds/float64(b.N), "witness-B/s")
		})
	}
}

func (w *world) total() int {
	sum := 0
	for _, n := range w.bytes {
		sum += n
	}
	return sum
}
