package admit_test

import (
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/admit"
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

const deadline = 5 * clock.Second

// lane is a flow with its load: a request every pace, each of the given slot time.
type lane struct {
	flow   admit.Flow
	share  int
	pace   clock.Millis
	cost   clock.Millis
	burst  int
	used   clock.Millis // slot time
	done   int
	worst  clock.Millis
	waited clock.Millis
}

type arrival struct {
	at   clock.Millis
	lane *lane
}

// simulate runs lanes over a queue and reports the number of requests without a verdict.
func simulate(t interface{ Fatalf(string, ...any) }, slots, limit int, length clock.Millis, lanes []*lane) int {
	q := admit.New(limit)
	waiting := map[admit.ID]arrival{}
	ends := map[clock.Millis][]*lane{} // running requests by their end
	busy := 0
	var id admit.ID
	for now := clock.Millis(0); now < length; now++ {
		for _, l := range ends[now] {
			q.Ended(l.flow, l.cost)
			busy--
		}
		delete(ends, now)
		for _, l := range lanes {
			if now%l.pace != 0 {
				continue
			}
			for range l.burst {
				id++
				r := admit.Request{ID: id, Flow: l.flow, Share: l.share, Deadline: now + deadline}
				switch v := q.Arrive(now, r).(type) {
				case admit.Refused:
					continue
				case admit.Displaced:
					delete(waiting, v.Victim.ID)
				}
				waiting[id] = arrival{at: now, lane: l}
			}
		}
		for r, ok := q.Next(now, slots-busy); ok; r, ok = q.Next(now, slots-busy) {
			a, known := waiting[r.ID]
			if !known || now-a.at >= deadline {
				t.Fatalf("request %d started after its verdict or deadline", r.ID)
			}
			delete(waiting, r.ID)
			l := a.lane
			l.worst = max(l.worst, now-a.at)
			l.waited += now - a.at
			l.done++
			l.used += l.cost
			ends[now+l.cost] = append(ends[now+l.cost], l)
			busy++
		}
		if now%50 == 0 {
			for _, bad := range q.Expire(now) {
				delete(waiting, bad.ID)
			}
		}
	}
	expired := len(q.Expire(length))
	return len(waiting) - expired - q.Waiting()
}

// Guards against a flood that takes the share of other work, or lets it wait without bound,
// and against requests that are lost or started late.
func TestFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(8, 40).Draw(t, "slots")
		cost := clock.Millis(rapid.IntRange(5, 100).Draw(t, "cost"))
		long := clock.Millis(rapid.IntRange(5, 400).Draw(t, "flood cost"))
		classes := model.Urgencies()
		flood := &lane{
			flow: admit.Flow{Caller: "flood", Class: rapid.SampledFrom(classes[:]).Draw(t, "flood class")}, share: 1,
			pace: 1, cost: long, burst: rapid.IntRange(1, 5).Draw(t, "burst"),
		}
		modest := make([]*lane, rapid.IntRange(1, 4).Draw(t, "others"))
		total := admit.ClassWeight(flood.flow.Class)
		for i := range modest {
			class := rapid.SampledFrom(classes[:]).Draw(t, "class")
			modest[i] = &lane{flow: admit.Flow{Caller: model.Caller(rune('a' + i)), Class: class}, share: 1, cost: cost, burst: 1}
			total += admit.ClassWeight(class)
		}
		for _, l := range modest {
			// Its load is two thirds of its share of the slots.
			l.pace = cost*clock.Millis(3*total)/clock.Millis(2*slots*admit.ClassWeight(l.flow.Class)) + 1
		}
		length := 10 * clock.Second
		if lost := simulate(t, slots, 1000, length, append([]*lane{flood}, modest...)); lost != 0 {
			t.Fatalf("%d requests have no verdict", lost)
		}
		for _, l := range modest {
			offered := int(length / l.pace)
			if l.done*100 < offered*95 {
				t.Fatalf("%v: %d of %d requests started", l.flow, l.done, offered)
			}
			// One request of the flood ends at least every long/slots on average; a newcomer
			// waits for a few of them.
			if bound := 2*max(long, cost) + 20; l.worst > bound {
				t.Fatalf("%v: waited %v, bound %v", l.flow, l.worst, bound)
			}
		}
	})
}

// Guards against shares that follow the number of requests rather than the slot time, or
// that ignore the share of a caller.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lanes := make([]*lane, rapid.IntRange(2, 4).Draw(t, "lanes"))
		total := 0
		for i := range lanes {
			lanes[i] = &lane{
				flow: admit.Flow{Caller: model.Caller(rune('a' + i)), Class: model.Normal}, pace: 1, burst: 2,
				share: rapid.IntRange(1, 4).Draw(t, "share"), cost: clock.Millis(rapid.IntRange(5, 60).Draw(t, "cost")),
			}
			total += lanes[i].share
		}
		simulate(t, 16, 400, 6*clock.Second, lanes)
		used := clock.Millis(0)
		for _, l := range lanes {
			used += l.used
		}
		for _, l := range lanes {
			got, want := float64(l.used)/float64(used), float64(l.share)/float64(total)
			if got < want*0.85 || got > want*1.15 {
				t.Fatalf("%v got %.3f of the slot time, its share is %.3f", l.flow, got, want)
			}
		}
	})
}

// Guards against a request that waits although its deadline cannot be met, and a hint
// outside its bounds.
func TestEarlyRefusal(t *testing.T) {
	q := admit.New(1000)
	f := admit.Flow{Caller: "a", Class: model.Normal}
	now, id := clock.Millis(0), admit.ID(0)
	refused := 0
	for ; now < 10*clock.Second; now += 10 {
		id++
		v := q.Arrive(now, admit.Request{ID: id, Flow: f, Share: 1, Deadline: now + clock.Second})
		if r, ok := v.(admit.Refused); ok {
			refused++
			if r.Cause != admit.CauseDeadline || r.After < clock.Second || r.After > 30*clock.Second {
				t.Fatalf("refusal %+v", r)
			}
		}
		if now%100 == 0 {
			q.Next(now, 1)
			q.Ended(f, 100)
		}
		if n := len(q.Expire(now)); n > 2 && now > 5*clock.Second {
			t.Fatalf("%d requests expired at %v: they waited in vain", n, now)
		}
	}
	if refused < 700 {
		t.Fatalf("%d of %d requests refused early", refused, id)
	}
}

// Guards against a flow that saves up its share while idle and then shuts out the others.
func TestIdleFlowSavesNothing(t *testing.T) {
	q := admit.New(1000)
	busy, idle := admit.Flow{Caller: "a", Class: model.Normal}, admit.Flow{Caller: "b", Class: model.Normal}
	arrive := func(f admit.Flow, id admit.ID) {
		q.Arrive(0, admit.Request{ID: id, Flow: f, Share: 1, Deadline: clock.Hour})
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
		q.Ended(r.Flow, 10)
		started[r.Flow == busy]++
	}
	if started[true] < 15 {
		t.Fatalf("%d of 40 starts for the flow that was busy all the time", started[true])
	}
}

// BenchmarkFlood measures, in simulated time, how much of the goodput of other work remains
// when a flood of one class comes at ten times the capacity, with the floor of a class as
// its ordinary load. Goodput counts requests that start before their deadline.
func BenchmarkFlood(b *testing.B) {
	for _, class := range model.Urgencies() {
		b.Run("flood="+class.String(), func(b *testing.B) {
			for b.Loop() {
				calm, flooded := others(), others()
				simulate(b, 32, 1000, 20*clock.Second, calm)
				flood := &lane{flow: admit.Flow{Caller: "flood", Class: class}, share: 1, pace: 1, cost: 20, burst: 16}
				simulate(b, 32, 1000, 20*clock.Second, append(flooded, flood))
				for i, l := range flooded {
					b.ReportMetric(100*float64(l.done)/float64(calm[i].done), l.flow.Class.String()+"-kept-%")
					b.ReportMetric(float64(l.worst), l.flow.Class.String()+"-max-wait-ms")
				}
			}
		})
	}
}

// others load 32 slots of 20 ms, which carry 1.6 requests/ms, to 60%.
func others() []*lane {
	return []*lane{
		{flow: admit.Flow{Caller: "a", Class: model.Urgent}, share: 1, pace: 2, cost: 20, burst: 1},
		{flow: admit.Flow{Caller: "b", Class: model.Normal}, share: 1, pace: 4, cost: 20, burst: 1},
		{flow: admit.Flow{Caller: "c", Class: model.Low}, share: 1, pace: 5, cost: 20, burst: 1},
	}
}
