package admit_test

import (
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/admit"
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

const requestTimeout = 5 * clock.Second

// flowLoad is the load of a flow, burst requests every interval, each with a slot time of cost, and
// the results of a simulation.
type flowLoad struct {
	flow      admit.Flow
	share     int
	interval  clock.Millis
	cost      clock.Millis
	burst     int
	slotTime  clock.Millis // total of the started requests
	started   int
	maxWait   clock.Millis
	totalWait clock.Millis
}

type arrival struct {
	arrivedAt clock.Millis
	load      *flowLoad
}

// simulate runs loads against a queue and returns the number of requests that were neither started
// nor refused and do not wait.
func simulate(t interface{ Fatalf(string, ...any) }, slots, limit int, length clock.Millis, loads []*flowLoad) int {
	q := admit.New(limit)
	waiting := map[admit.ID]arrival{}
	ends := map[clock.Millis][]*flowLoad{} // flows of running requests by end time
	busy := 0
	var id admit.ID
	for now := clock.Millis(0); now < length; now++ {
		for _, l := range ends[now] {
			q.Release(l.flow, l.cost)
			busy--
		}
		delete(ends, now)
		for _, l := range loads {
			if now%l.interval != 0 {
				continue
			}
			for range l.burst {
				id++
				r := admit.Request{ID: id, Flow: l.flow, Share: l.share, Deadline: now + requestTimeout}
				switch v := q.Enqueue(now, r).(type) {
				case admit.Refused:
					continue
				case admit.Displaced:
					delete(waiting, v.Victim.ID)
				}
				waiting[id] = arrival{arrivedAt: now, load: l}
			}
		}
		for r, ok := q.Next(now, slots-busy); ok; r, ok = q.Next(now, slots-busy) {
			a, known := waiting[r.ID]
			if !known || now-a.arrivedAt >= requestTimeout {
				t.Fatalf("request %d started after its refusal or deadline", r.ID)
			}
			delete(waiting, r.ID)
			l := a.load
			l.maxWait = max(l.maxWait, now-a.arrivedAt)
			l.totalWait += now - a.arrivedAt
			l.started++
			l.slotTime += l.cost
			ends[now+l.cost] = append(ends[now+l.cost], l)
			busy++
		}
		if now%50 == 0 {
			for _, refusal := range q.Expire(now) {
				delete(waiting, refusal.ID)
			}
		}
	}
	expired := len(q.Expire(length))
	return len(waiting) - expired - q.Waiting()
}

// Guards against a flood of one flow that takes the share of other flows or makes them wait
// without bound, and against requests that are lost or started after their deadline.
func TestFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(8, 40).Draw(t, "slots")
		cost := clock.Millis(rapid.IntRange(5, 100).Draw(t, "cost"))
		long := clock.Millis(rapid.IntRange(5, 400).Draw(t, "flood cost"))
		classes := model.Urgencies()
		flood := &flowLoad{
			flow: admit.Flow{Caller: "flood", Class: rapid.SampledFrom(classes[:]).Draw(t, "flood class")}, share: 1,
			interval: 1, cost: long, burst: rapid.IntRange(1, 5).Draw(t, "burst"),
		}
		modest := make([]*flowLoad, rapid.IntRange(1, 4).Draw(t, "others"))
		total := admit.ClassWeight(flood.flow.Class)
		for i := range modest {
			class := rapid.SampledFrom(classes[:]).Draw(t, "class")
			modest[i] = &flowLoad{flow: admit.Flow{Caller: model.Caller(rune('a' + i)), Class: class}, share: 1, cost: cost, burst: 1}
			total += admit.ClassWeight(class)
		}
		for _, l := range modest {
			// The load is two thirds of the share of the flow.
			l.interval = cost*clock.Millis(3*total)/clock.Millis(2*slots*admit.ClassWeight(l.flow.Class)) + 1
		}
		length := 10 * clock.Second
		if lost := simulate(t, slots, 1000, length, append([]*flowLoad{flood}, modest...)); lost != 0 {
			t.Fatalf("%d requests were neither started nor refused", lost)
		}
		for _, l := range modest {
			offered := int(length / l.interval)
			if l.started*100 < offered*95 {
				t.Fatalf("flow %v: %d of %d requests started, want 95%%", l.flow, l.started, offered)
			}
			// A request of the flood ends every long/slots on average; a request of another flow
			// waits for a few of them.
			if bound := 2*max(long, cost) + 20; l.maxWait > bound {
				t.Fatalf("flow %v: longest wait is %v, want at most %v", l.flow, l.maxWait, bound)
			}
		}
	})
}

// Guards against a division by number of requests instead of slot time, and against one that
// ignores the shares of the callers.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := make([]*flowLoad, rapid.IntRange(2, 4).Draw(t, "flows"))
		total := 0
		for i := range loads {
			loads[i] = &flowLoad{
				flow: admit.Flow{Caller: model.Caller(rune('a' + i)), Class: model.Normal}, interval: 1, burst: 2,
				share: rapid.IntRange(1, 4).Draw(t, "share"), cost: clock.Millis(rapid.IntRange(5, 60).Draw(t, "cost")),
			}
			total += loads[i].share
		}
		simulate(t, 16, 400, 6*clock.Second, loads)
		used := clock.Millis(0)
		for _, l := range loads {
			used += l.slotTime
		}
		for _, l := range loads {
			got, want := float64(l.slotTime)/float64(used), float64(l.share)/float64(total)
			if got < want*0.85 || got > want*1.15 {
				t.Fatalf("flow %v got %.3f of the slot time, want %.3f", l.flow, got, want)
			}
		}
	})
}

// Guards against queueing requests whose deadline cannot be met, and against retry hints
// outside their bounds.
func TestEarlyRefusal(t *testing.T) {
	q := admit.New(1000)
	f := admit.Flow{Caller: "a", Class: model.Normal}
	now, id := clock.Millis(0), admit.ID(0)
	refused := 0
	for ; now < 10*clock.Second; now += 10 {
		id++
		v := q.Enqueue(now, admit.Request{ID: id, Flow: f, Share: 1, Deadline: now + clock.Second})
		if r, ok := v.(admit.Refused); ok {
			refused++
			if r.Cause != admit.CauseDeadline || r.RetryAfter < clock.Second || r.RetryAfter > 30*clock.Second {
				t.Fatalf("refusal is %+v, want cause deadline and a retry hint of 1 s to 30 s", r)
			}
		}
		if now%100 == 0 {
			q.Next(now, 1)
			q.Release(f, 100)
		}
		if n := len(q.Expire(now)); n > 2 && now > 5*clock.Second {
			t.Fatalf("%d requests expired at %v, want at most 2: the others should have been refused on arrival", n, now)
		}
	}
	if refused < 700 {
		t.Fatalf("%d of %d requests were refused on arrival, want at least 700", refused, id)
	}
}

// Guards against a flow that accumulates credit while idle and then starves the other flows.
func TestIdleFlowAccumulatesNoCredit(t *testing.T) {
	q := admit.New(1000)
	busy, idle := admit.Flow{Caller: "a", Class: model.Normal}, admit.Flow{Caller: "b", Class: model.Normal}
	arrive := func(f admit.Flow, id admit.ID) {
		q.Enqueue(0, admit.Request{ID: id, Flow: f, Share: 1, Deadline: clock.Hour})
	}
	for id := admit.ID(1); id <= 400; id++ {
		arrive(busy, id)
	}
	arrive(idle, 1000)
	started := map[bool]int{}
	for i := range 240 {
		if i == 200 {
			for id := admit.ID(1001); id < 1200; id++ {
				arrive(idle, id)
			}
			clear(started)
		}
		r, _ := q.Next(0, 1)
		q.Release(r.Flow, 10)
		started[r.Flow == busy]++
	}
	if started[true] < 15 {
		t.Fatalf("the flow that was always busy got %d of 40 starts, want at least 15", started[true])
	}
}

// BenchmarkFlood measures, in simulated time, which part of their goodput other flows keep
// during a flood of one class at ten times the capacity. The ordinary load of a class is its
// floor. Goodput counts requests that start before their deadline.
func BenchmarkFlood(b *testing.B) {
	for _, class := range model.Urgencies() {
		b.Run("flood="+class.String(), func(b *testing.B) {
			for b.Loop() {
				calm, flooded := moderateLoads(), moderateLoads()
				simulate(b, 32, 1000, 20*clock.Second, calm)
				flood := &flowLoad{flow: admit.Flow{Caller: "flood", Class: class}, share: 1, interval: 1, cost: 20, burst: 16}
				simulate(b, 32, 1000, 20*clock.Second, append(flooded, flood))
				for i, l := range flooded {
					b.ReportMetric(100*float64(l.started)/float64(calm[i].started), l.flow.Class.String()+"-kept-%")
					b.ReportMetric(float64(l.maxWait), l.flow.Class.String()+"-max-wait-ms")
				}
			}
		})
	}
}

// moderateLoads returns loads that use 60% of 32 slots, which serve 1.6 requests/ms at 20 ms each.
func moderateLoads() []*flowLoad {
	return []*flowLoad{
		{flow: admit.Flow{Caller: "a", Class: model.Urgent}, share: 1, interval: 2, cost: 20, burst: 1},
		{flow: admit.Flow{Caller: "b", Class: model.Normal}, share: 1, interval: 4, cost: 20, burst: 1},
		{flow: admit.Flow{Caller: "c", Class: model.Low}, share: 1, interval: 5, cost: 20, burst: 1},
	}
}
