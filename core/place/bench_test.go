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

// timedPolicy measures the time that the steps of a policy take.
type timedPolicy struct {
	policy
	decisionMicros []float64 // µs per decision, for each step that returned decisions
	stepTime       time.Duration
	assigns        int
}

func (p *timedPolicy) Step(now clock.Millis, e place.Event) []place.Decision {
	begin := time.Now()
	out := p.policy.Step(now, e)
	took := time.Since(begin)
	p.stepTime += took
	for _, d := range out {
		if _, ok := d.(place.Assign); ok {
			p.assigns++
		}
	}
	if len(out) > 0 {
		p.decisionMicros = append(p.decisionMicros, float64(took)/float64(time.Microsecond)/float64(len(out)))
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

// runMix runs a mix for a warm-up minute without statistics and then for d, and returns the fleet.
func runMix(p policy, size model.Size, load float64, flood [3]int, d clock.Millis) *fleet {
	f := newFleet(p, benchSeed, 50, size)
	m := newMix(f, benchSeed, load)
	f.run(clock.Minute, m.submitArrivals)
	f.stats = stats{}
	m.floodRate = flood
	f.run(d, m.submitArrivals)
	return f
}

// BenchmarkMix measures wait times, utilization, overloads and lost work on 50 workers.
func BenchmarkMix(b *testing.B) {
	for _, size := range []model.Size{smallWorker, largeWorker} {
		for _, load := range []float64{0.6, 0.9} {
			for _, name := range []string{"place", "fifo"} {
				b.Run(fmt.Sprintf("cores=%d/load=%.1f/%s", size.CPU/1000, load, name), func(b *testing.B) {
					for range b.N {
						p := &timedPolicy{policy: policies()[name]()}
						f := runMix(p, size, load, [3]int{}, 4*clock.Minute)
						reportMix(b, f, p)
					}
				})
			}
		}
	}
}

func reportMix(b *testing.B, f *fleet, p *timedPolicy) {
	s := &f.stats
	for _, u := range model.Urgencies() {
		b.ReportMetric(quantile(s.waitMillis[u], 0.5), u.String()+"-p50-ms")
		b.ReportMetric(quantile(s.waitMillis[u], 0.99), u.String()+"-p99-ms")
	}
	b.ReportMetric(quantile(s.turnaroundMillis, 0.99), "done-p99-ms")
	b.ReportMetric(s.usedShareSum/float64(max(s.samples, 1)), "packing")
	b.ReportMetric(float64(s.overloadedSteps), "overloads")
	b.ReportMetric(s.lostCoreMillis/1000, "thrown-core-s")
	b.ReportMetric((s.goodputCoreMillis[0]+s.goodputCoreMillis[1]+s.goodputCoreMillis[2])/1000, "done-core-s")
	b.ReportMetric(float64(s.stopOrders), "stops")
	b.ReportMetric(quantile(p.decisionMicros, 0.5), "decision-p50-µs")
	b.ReportMetric(quantile(p.decisionMicros, 0.99), "decision-p99-µs")
	b.ReportMetric(float64(p.stepTime.Microseconds())/float64(max(p.assigns, 1)), "µs/start")
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
					calm := runMix(policies()[name](), smallWorker, 0.5, [3]int{}, 4*clock.Minute)
					f := runMix(policies()[name](), smallWorker, 0.5, flood, 4*clock.Minute)
					reportFlood(b, calm, f, u)
				}
			})
		}
	}
}

func reportFlood(b *testing.B, calm, f *fleet, u model.Urgency) {
	for _, o := range model.Urgencies() {
		if o != u {
			b.ReportMetric(100*f.stats.goodputCoreMillis[o]/calm.stats.goodputCoreMillis[o], o.String()+"-retention-%")
			b.ReportMetric(quantile(f.stats.waitMillis[o], 0.99), o.String()+"-p99-ms")
		}
	}
	b.ReportMetric(100*f.mixGoodput(u)/calm.mixGoodput(u), "own-retention-%")
	b.ReportMetric(float64(f.stats.overloadedSteps), "overloads")
	b.ReportMetric(f.stats.lostCoreMillis/1000, "thrown-core-s")
	b.ReportMetric(float64(f.stats.refusedTasks[u]), "refused")
}

// mixGoodput returns the work done in a class, without the jobs of the flood.
func (f *fleet) mixGoodput(u model.Urgency) float64 {
	sum := 0.0
	for _, j := range f.jobs {
		if j.base.Urgency != u || strings.Contains(j.base.Name, "flood") {
			continue
		}
		for _, t := range j.tasks {
			if t.finished {
				sum += t.runMillis * float64(t.trueUse.CPU) / 1000
			}
		}
	}
	return sum
}
