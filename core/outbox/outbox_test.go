package outbox_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
	"vanillabridge/core/outbox"
)

type order = outbox.Order[int]

func drain(o *outbox.Outbox[int], now clock.Millis) []int {
	var list []int
	for {
		next, ok := o.Next(now)
		if !ok {
			return list
		}
		list = append(list, next.Payload)
	}
}

func payloads(list []order) []int {
	var out []int
	for _, x := range list {
		out = append(out, x.Payload)
	}
	return out
}

// process returns the first process of a worker.
func process(id model.WorkerID) flow.Incarnation { return flow.Incarnation{ID: id, StartedAt: 1} }

// Guards against orders for a worker that has started again that wait for the answer of its earlier process, or behind
// orders for it, and against these being sent all the same.
func TestOrdersForEarlierProcessHoldUpNoLaterOnes(t *testing.T) {
	o := outbox.New[int](10)
	earlier := process("a")
	o.Add(order{Worker: earlier, Key: "1", SendBefore: 1000, Payload: 1})
	drain(o, 0) // the earlier process doesn't answer this one
	o.Add(order{Worker: earlier, Key: "2", SendBefore: 1000, Payload: 2})
	o.Add(order{Worker: flow.Incarnation{ID: "a", StartedAt: 2}, Key: "1", Urgent: true, SendBefore: 1000, Payload: 3})
	if diff := cmp.Diff([]int{3}, drain(o, 100)); diff != "" {
		t.Errorf("sent while an order for the earlier process has no answer (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{2}, payloads(o.TakeUnsent())); diff != "" {
		t.Errorf("withdrawn since the later process is known (-want +got):\n%s", diff)
	}
	o.Finish(earlier)
	if n := o.InProgress(); n != 1 {
		t.Errorf("%d orders in progress after the answer of the earlier process, want 1", n)
	}
}

// Guards against orders to one worker that overtake each other on several connections: they are sent
// one at a time, stops first.
func TestOrdersOfOneWorkerAreSentInSequence(t *testing.T) {
	o := outbox.New[int](10)
	o.Add(order{Worker: process("a"), Key: "1", SendBefore: 100, Payload: 1})
	o.Add(order{Worker: process("a"), Key: "2", SendBefore: 100, Payload: 2})
	o.Add(order{Worker: process("b"), Key: "3", SendBefore: 100, Payload: 3})
	o.Add(order{Worker: process("a"), Key: "4", Urgent: true, SendBefore: 100, Payload: 4})
	var got [][]int
	for range 4 {
		got = append(got, drain(o, 0))
		o.Finish(process("a"))
		o.Finish(process("b"))
	}
	if diff := cmp.Diff([][]int{{4, 3}, {1}, {2}, nil}, got); diff != "" {
		t.Errorf("orders sent, by round (-want +got):\n%s", diff)
	}
}

// Guards against a start that is sent although its attempt was stopped, and against starts that a
// silent worker holds up until they are useless: both are certain not to have been sent.
func TestStoppedAndExpiredOrdersAreNotSent(t *testing.T) {
	o := outbox.New[int](10)
	o.Add(order{Worker: process("a"), Key: "1", SendBefore: 1000, Payload: 1})
	drain(o, 0) // the worker doesn't answer this one
	o.Add(order{Worker: process("a"), Key: "2", SendBefore: 500, Payload: 2})
	o.Add(order{Worker: process("a"), Key: "3", SendBefore: 1000, Payload: 3})
	o.Add(order{Worker: process("a"), Key: "3", Urgent: true, SendBefore: 1000, Payload: 4})
	if diff := cmp.Diff([]int{3}, payloads(o.TakeUnsent())); diff != "" {
		t.Errorf("withdrawn by the stop (-want +got):\n%s", diff)
	}
	o.Expire(500)
	if diff := cmp.Diff([]int{2}, payloads(o.TakeUnsent())); diff != "" {
		t.Errorf("expired (-want +got):\n%s", diff)
	}
	o.Finish(process("a"))
	if diff := cmp.Diff([]int{4}, drain(o, 600)); diff != "" {
		t.Errorf("sent after the answer (-want +got):\n%s", diff)
	}
}

// Guards against more connections than descriptors, orders that are lost or sent twice, and workers
// that wait for ever behind others, with 1,100 workers of which some are slow or silent and room for
// 1,024 descriptors.
func TestOrdersAreSentOnceWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		budget := outbox.DivideDescriptors(1024)
		o := outbox.New[int](budget.Orders)
		perWorker := rapid.IntRange(1, 3).Draw(rt, "orders per worker")
		o.SetMaxPerWorker(perWorker)
		inProgress := map[flow.Incarnation]int{}
		const ttl, restartPeriod = 1500, 1000
		silent := rapid.IntRange(0, 300).Draw(rt, "silent")
		answersAt := map[clock.Millis][]flow.Incarnation{}
		outcome := map[int]string{}
		added := 0
		var last order
		settle := func(list []order, how string) {
			for _, x := range list {
				if outcome[x.Payload] != "" {
					rt.Fatalf("order %d is %s after it was %s", x.Payload, how, outcome[x.Payload])
				}
				outcome[x.Payload] = how
			}
		}
		perTick := rapid.IntRange(1, 40).Draw(rt, "orders per tick")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		for now := clock.Millis(0); now < 8000; now += 20 {
			if now < 4000 {
				for range perTick {
					added++
					x := order{Worker: process(model.WorkerID(fmt.Sprint(rng.IntN(1100)))), Key: fmt.Sprint(added), SendBefore: now + ttl, Payload: added}
					x.Worker.StartedAt += now / restartPeriod
					if added%10 == 0 { // a stop of the start before
						x.Worker, x.Key, x.Urgent = last.Worker, last.Key, true
					}
					o.Add(x)
					last = x
				}
			}
			for _, id := range answersAt[now] {
				o.Finish(id)
				inProgress[id]--
			}
			o.Expire(now)
			settle(o.TakeUnsent(), "unsent")
			for {
				next, ok := o.Next(now)
				if !ok {
					break
				}
				settle([]order{next}, "sent")
				if inProgress[next.Worker]++; inProgress[next.Worker] > perWorker {
					rt.Fatalf("%d orders for worker %v are in progress, want at most %d", inProgress[next.Worker], next.Worker, perWorker)
				}
				if now >= next.SendBefore {
					rt.Fatalf("order %d is sent %d ms too late", next.Payload, now-next.SendBefore)
				}
				takes := clock.Millis(60)
				if n, err := strconv.Atoi(string(next.Worker.ID)); err != nil || n < silent {
					takes = 600
				}
				answersAt[now+takes] = append(answersAt[now+takes], next.Worker)
			}
			settle(o.TakeUnsent(), "unsent")
			if o.InProgress() > budget.Orders {
				rt.Fatalf("%d orders are in progress, want at most %d", o.InProgress(), budget.Orders)
			}
		}
		if len(outcome) != added || o.Waiting() != 0 || o.InProgress() != 0 {
			rt.Fatalf("%d of %d orders are settled, %d wait and %d are in progress", len(outcome), added, o.Waiting(), o.InProgress())
		}
	})
}

// Guards against one use of descriptors that takes those of the others.
func TestDescriptorsAreDivided(t *testing.T) {
	var got []outbox.Budget
	for _, n := range []int{0, 3, 1024, 4124} {
		b := outbox.DivideDescriptors(n)
		if sum := b.Inbound + b.Holds + b.Orders; n > 10 && sum > n*9/10 {
			t.Errorf("%d descriptors: %d are given away, want a tenth left", n, sum)
		}
		got = append(got, b)
	}
	want := []outbox.Budget{
		{Inbound: 13107, Holds: 22937, Orders: 19660},
		{Inbound: 1, Holds: 1, Orders: 1},
		{Inbound: 204, Holds: 358, Orders: 307},
		{Inbound: 824, Holds: 1443, Orders: 1237},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("budgets (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{8, 8, 8, 6, 1, 1, 1, 0}, []int{
		got[3].OrdersPerWorker(48), got[3].KeptPerWorker(48), got[3].OrdersPerWorker(350), got[3].KeptPerWorker(350),
		got[3].OrdersPerWorker(1100), got[3].KeptPerWorker(1100), got[3].OrdersPerWorker(5000), got[3].KeptPerWorker(5000),
	}); diff != "" {
		t.Errorf("orders for one worker at a time and connections kept, for 48, 350, 1,100 and 5,000 workers (-want +got):\n%s", diff)
	}
	for workers := 1; got[3].KeptPerWorker(workers) > 0; workers++ {
		b := got[3]
		if open := workers * (1 + b.KeptPerWorker(workers)); open > b.Holds+b.Orders && workers <= b.Holds {
			t.Fatalf("%d workers have %d connections, want %d at most", workers, open, b.Holds+b.Orders)
		}
	}
	if !got[3].KeepsConnections(1100) || got[2].KeepsConnections(1100) {
		t.Error("connections to 1,100 workers: want them kept with 4,124 descriptors and not with 1,024")
	}
}
