package relay_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
	"vanillabridge/core/relay"
)

// newCores returns cores in two zones of each of three regions, and the regions of the zones.
func newCores(perZone int) ([]relay.Core, map[model.Zone]model.Region) {
	var list []relay.Core
	regions := map[model.Zone]model.Region{}
	for _, r := range []string{"r0", "r1", "r2"} {
		for _, z := range []string{"a", "b"} {
			zone := model.Zone(r + z)
			regions[zone] = model.Region(r)
			for i := range perZone {
				list = append(list, relay.Core{Instance: model.Instance(fmt.Sprintf("%s-%d", zone, i)), Zone: zone, Region: model.Region(r), Live: true})
			}
		}
	}
	return list, regions
}

func assign(m relay.Map, workers int) map[model.WorkerID]model.Instance {
	zones := []model.Zone{"r0a", "r0b", "r1a", "r1b", "r2a", "r2b"}
	list := map[model.WorkerID]model.Instance{}
	for i := range workers {
		id := model.WorkerID(fmt.Sprintf("i-%05d", i))
		if name, ok := m.Relay(id, zones[i%len(zones)]); ok {
			list[id] = name
		}
	}
	return list
}

// Guards against shares that are out of balance, workers that move although their core is well, and shares that do not
// come back: each of the cores of 10,000 workers is lost and replaced in turn.
func TestLossMovesOnlyItsOwnShare(t *testing.T) {
	const workers = 10_000
	for _, perZone := range []int{1, 2, 3} {
		cores, regions := newCores(perZone)
		before := assign(relay.NewMap(cores, regions), workers)
		shares := map[model.Instance]int{}
		for _, name := range before {
			shares[name]++
		}
		fair := workers / len(cores)
		for name, n := range shares {
			if n < fair*85/100 || n > fair*115/100 {
				t.Errorf("%d cores a zone: %s has %d workers, want within 15%% of %d", perZone, name, n, fair)
			}
		}
		for i := range cores {
			lost := slices.Clone(cores)
			lost[i].Live = false
			for id, name := range assign(relay.NewMap(lost, regions), workers) {
				isOwn := before[id] == cores[i].Instance
				if !isOwn && name != before[id] {
					t.Fatalf("the loss of %s moves %s from %s to %s", cores[i].Instance, id, before[id], name)
				}
				if isOwn && regionOf(cores, name) != cores[i].Region {
					t.Fatalf("%s moves from %s to %s in another region", id, before[id], name)
				}
			}
			lost[i].Live = true
			if diff := cmp.Diff(before, assign(relay.NewMap(lost, regions), workers)); diff != "" {
				t.Fatalf("after the return of %s (-before +after):\n%s", cores[i].Instance, diff)
			}
			lost[i].Instance += "new"
			for id, name := range assign(relay.NewMap(lost, regions), workers) {
				if name != before[id] && name != lost[i].Instance && before[id] != cores[i].Instance {
					t.Fatalf("the replacement of %s moves %s from %s to %s", cores[i].Instance, id, before[id], name)
				}
			}
		}
	}
	if _, ok := (relay.Map{}).Relay("w", "z"); ok {
		t.Error("an empty map assigns a worker")
	}
}

func regionOf(cores []relay.Core, name model.Instance) model.Region {
	i := slices.IndexFunc(cores, func(c relay.Core) bool { return c.Instance == name })
	return cores[i].Region
}

// Guards against a permission that outlives the leader's lease, that of a term which is over, and batches that a relay
// carries out long after it got them.
func TestPermitEndsBeforeLease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// The relay's clock is off by any amount and slow by up to 2%; true time is that of the leader's clock.
		offset := clock.Millis(rapid.Int64Range(-1e9, 1e9).Draw(rt, "offset"))
		slow := clock.Millis(rapid.Int64Range(0, 2).Draw(rt, "slow"))
		relayClock := func(at clock.Millis) clock.Millis { return offset + at*(100-slow)/100 }
		var p relay.Permit
		var leaseEnd clock.Millis
		now, term := clock.Millis(1000), uint64(1)
		for range 30 {
			if rapid.IntRange(0, 9).Draw(rt, "change") == 0 {
				now = max(now, leaseEnd) + 1 // the next leader begins after the lease of the former
				term++
			}
			askedAt := now
			heardAt := askedAt + clock.Millis(rapid.Int64Range(0, 500).Draw(rt, "there"))
			remaining := clock.Millis(rapid.Int64Range(0, 960).Draw(rt, "remaining"))
			leaseEnd = max(leaseEnd, heardAt+remaining)
			now = heardAt + clock.Millis(rapid.Int64Range(0, 3000).Draw(rt, "back"))
			p = p.Extend(term, relayClock(askedAt), remaining)
			for at := now; at < now+2000; at += 50 {
				if p.Allows(term, relayClock(at)) && at > leaseEnd+1 {
					rt.Fatalf("allowed %d ms after the lease", at-leaseEnd)
				}
				if p.Allows(term-1, relayClock(at)) {
					rt.Fatalf("term %d is allowed in term %d", term-1, term)
				}
			}
		}
		if old := p.Extend(term-1, relayClock(now), 900); old != p {
			rt.Fatalf("a reply of a lower term changes %+v to %+v", p, old)
		}
	})
	if !relay.IsStale(5000, 3999) || relay.IsStale(5000, 4000) {
		t.Error("IsStale does not change at 1 s")
	}
}

// Guards against a leader that takes an attempt for gone or running, or an end for that of an earlier process, because a
// report was lost, came from a relay or a worker that has started again, or was a difference to another report than the
// leader remembers; and against progress that comes later than the detection of stalls allows.
func TestDifferencesStandForReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var atRelay, atLeader relay.Memory
		number, now := uint64(100), clock.Millis(1000)
		running := map[int]int{} // progress by index
		changedAt := map[int]clock.Millis{}
		var workerClock clock.Millis // less that of the relay
		process := 1
		for range rapid.IntRange(1, 40).Draw(rt, "reports") {
			now += clock.Millis(rapid.Int64Range(25, 900).Draw(rt, "pause"))
			if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
				// The next process of the worker has another clock, and its ends have the same numbers.
				process++
				workerClock = clock.Millis(rapid.Int64Range(-int64(now), 1e7).Draw(rt, "clock"))
				clear(running)
			}
			report := plan.HoldAnswered{Clock: now + workerClock}
			for i := range 6 {
				switch rapid.IntRange(0, 5).Draw(rt, "event") {
				case 0:
					delete(running, i)
				case 1:
					running[i], changedAt[i] = 0, now
				case 2:
					if p, ok := running[i]; ok && p < 100 {
						running[i], changedAt[i] = p+1, now
					}
				}
				if p, ok := running[i]; ok {
					report.Running = append(report.Running, plan.RunningAttempt{Task: flow.Task{Job: "j", Index: i}, Attempt: process, Percent: p})
				} else if i%2 == 0 {
					report.Finished = append(report.Finished, plan.EndedAttempt{EndNumber: int64(i), Task: flow.Task{Job: "j", Index: i}, Attempt: process, End: ledger.EndDone})
				}
			}
			switch rapid.IntRange(0, 9).Draw(rt, "fault") {
			case 0:
				atRelay = relay.Memory{} // started again
			case 1:
				atLeader = relay.Memory{} // another leader
			}
			number++
			var d relay.Delta
			d, atRelay = atRelay.Encode(now, number, atLeader.Number(), report)
			if rapid.IntRange(0, 4).Draw(rt, "lost") == 0 {
				continue
			}
			got, memory, ok := atLeader.Decode(d)
			if !ok {
				rt.Fatal("the leader does not remember what the report differs from")
			}
			atLeader = memory
			if diff := cmp.Diff(report.Finished, got.Finished); diff != "" || got.Clock != report.Clock || len(got.Running) != len(report.Running) {
				rt.Fatalf("%d running at %d, want %d at %d; ends (-want +got):\n%s", len(got.Running), got.Clock, len(report.Running), report.Clock, diff)
			}
			for i, r := range got.Running {
				want := report.Running[i]
				if r.Task != want.Task || r.Attempt != want.Attempt || (r.Percent != want.Percent && now-changedAt[want.Task.Index] > 1300) {
					rt.Fatalf("attempt %+v, want %+v", r, want)
				}
			}
		}
	})
	if _, _, ok := (relay.Memory{}).Decode(relay.Delta{Number: 3, Base: 2}); ok {
		t.Error("a difference to an unknown report is taken for a report")
	}
}

// Guards against holds that starve behind orders under overload, stops that wait for starts, a queue without a bound,
// and more batches on their way than a slow relay takes.
func TestQueueOrdersAndBounds(t *testing.T) {
	var q relay.Queue[string]
	for range 1000 {
		q.Add(relay.ClassHold, 100, "hold")
		q.Add(relay.ClassStart, 100, "start")
	}
	q.Add(relay.ClassStop, 100, "stop")
	counts := map[string]int{}
	for _, x := range q.Next() {
		counts[x]++
	}
	if diff := cmp.Diff(map[string]int{"stop": 1, "hold": 64, "start": 191}, counts); diff != "" {
		t.Errorf("first batch (-want +got):\n%s", diff)
	}
	q.Add(relay.ClassStart, 1<<20, "big")
	batches := 1
	for q.Next() != nil {
		batches++
	}
	if batches != 4 {
		t.Errorf("%d batches without an acknowledgement, want 4", batches)
	}
	for q.Waiting() > 0 {
		q.Done()
		if q.Next() == nil {
			t.Fatal("no batch after an acknowledgement, want that all calls are sent at last")
		}
	}
	for range relay.MaxWaiting {
		q.Add(relay.ClassHold, 1, "hold")
	}
	if q.Add(relay.ClassStop, 1, "stop") {
		t.Error("a full queue takes another call")
	}
	if n := len(q.Drain()); n != relay.MaxWaiting || q.Waiting() != 0 {
		t.Errorf("%d calls drained and %d left, want %d and 0", n, q.Waiting(), relay.MaxWaiting)
	}
}
