package place_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
)

// timed measures the processor time of the steps of a policy.
type timed struct {
	policy
	steps     []float64 // µs of the steps that returned decisions
	total     time.Duration
	decisions int
}

func (p *timed) Step(now clock.Millis, e place.Event) []place.Decision {
	begin := time.Now()
	out := p.policy.Step(now, e)
	took := time.Since(begin)
	p.total += took
	for _, d := range out {
		if _, ok := d.(place.Assign); ok {
			p.decisions++
		}
	}
	if len(out) > 0 {
		p.steps = append(p.steps, float64(took)/float64(time.Microsecond)/float64(len(out)))
	}
	return out
}

func policies() map[string]func() policy {
	return map[string]func() policy{
		"place": func() policy { return place.New(place.Config{Seed: 1}) },
		"fifo":  func() policy { return &fifo{} },
	}
}

const benchSeed = 1

// play runs a mix for a minute unmeasured and then for some time, and returns the fleet.
func play(p policy, size model.Size, load float64, flood [3]int, d clock.Millis) *fleet {
	f := newFleet(p, benchSeed, 50, size)
	m := newMix(f, benchSeed, load)
	f.run(clock.Minute, m.arrive)
	f.stats = stats{}
	m.flood = flood
	f.run(d, m.arrive)
	return f
}

// BenchmarkMix measures waiting time, packing, overloads and lost work on 50 workers.
func BenchmarkMix(b *testing.B) {
	for _, size := range []model.Size{small, large} {
		for _, load := range []float64{0.6, 0.9} {
			for _, name := range []string{"place", "fifo"} {
				b.Run(fmt.Sprintf("cores=%d/load=%.1f/%s", size.CPU/1000, load, name), func(b *testing.B) {
					for range b.N {
						p := &timed{policy: policies()[name]()}
						f := play(p, size, load, [3]int{}, 4*clock.Minute)
						reportMix(b, f, p)
					}
				})
			}
		}
	}
}

func reportMix(b *testing.B, f *fleet, p *timed) {
	s := &f.stats
	for _, u := range model.Urgencies() {
		b.ReportMetric(quantile(s.waits[u], 0.5), u.String()+"-p50-ms")
		b.ReportMetric(quantile(s.waits[u], 0.99), u.String()+"-p99-ms")
	}
	b.ReportMetric(quantile(s.turns, 0.99), "done-p99-ms")
	b.ReportMetric(s.used/float64(max(s.samples, 1)), "packing")
	b.ReportMetric(float64(s.overloads), "overloads")
	b.ReportMetric(s.thrown/1000, "thrown-core-s")
	b.ReportMetric((s.goodput[0]+s.goodput[1]+s.goodput[2])/1000, "done-core-s")
	b.ReportMetric(float64(s.stopped), "stops")
	b.ReportMetric(quantile(p.steps, 0.5), "decision-p50-µs")
	b.ReportMetric(quantile(p.steps, 0.99), "decision-p99-µs")
	b.ReportMetric(float64(p.total.Microseconds())/float64(max(p.decisions, 1)), "µs/start")
}

// BenchmarkFlood measures the goodput of the other classes during a flood of one class, relative
// to a run without it.
func BenchmarkFlood(b *testing.B) {
	for _, u := range []model.Urgency{model.Low, model.Urgent} {
		for _, name := range []string{"place", "fifo"} {
			b.Run(fmt.Sprintf("of=%s/%s", u, name), func(b *testing.B) {
				for range b.N {
					var flood [3]int
					flood[u] = 4
					calm := play(policies()[name](), small, 0.5, [3]int{}, 4*clock.Minute)
					f := play(policies()[name](), small, 0.5, flood, 4*clock.Minute)
					reportFlood(b, calm, f, u)
				}
			})
		}
	}
}

func reportFlood(b *testing.B, calm, f *fleet, u model.Urgency) {
	for _, o := range model.Urgencies() {
		if o != u {
			b.ReportMetric(100*f.stats.goodput[o]/calm.stats.goodput[o], o.String()+"-retention-%")
			b.ReportMetric(quantile(f.stats.waits[o], 0.99), o.String()+"-p99-ms")
		}
	}
	b.ReportMetric(100*f.mixGoodput(u)/calm.mixGoodput(u), "own-retention-%")
	b.ReportMetric(float64(f.stats.overloads), "overloads")
	b.ReportMetric(f.stats.thrown/1000, "thrown-core-s")
	b.ReportMetric(float64(f.stats.refused[u]), "refused")
}

// mixGoodput is the work done in a class without that of the flood.
func (f *fleet) mixGoodput(u model.Urgency) float64 {
	sum := 0.0
	for _, j := range f.jobs {
		if j.base.Urgency != u || strings.Contains(j.base.Name, "flood") {
			continue
		}
		for _, t := range j.tasks {
			if t.over {
				sum += t.need * float64(t.use.CPU) / 1000
			}
		}
	}
	return sum
}
