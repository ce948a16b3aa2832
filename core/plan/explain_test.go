package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
)

func (sim *simulation) explain(team, path string, steps ...flow.Step) plan.Explanation {
	q := plan.Question{Host: "h", Path: path, Key: flow.HashKey(team)}
	if len(steps) > 0 {
		q.Job = &flow.Job{Steps: steps}
	}
	return sim.planner.Explain(sim.now, q)
}

func (sim *simulation) snapshot() string {
	data, err := sim.state.Snapshot()
	if err != nil {
		sim.t.Fatal(err)
	}
	return string(data)
}

// Guards against an explanation that changes anything: two worlds with the same jobs and faults, of which one is asked
// all the time, must log the same lines, decide the same and have the same state and statistics at each moment.
func TestExplainChangesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		features := plan.Features{
			Shares: rapid.Bool().Draw(rt, "shares"), LearnRunTimes: rapid.Bool().Draw(rt, "learns"), Overload: rapid.Bool().Draw(rt, "overload"),
		}
		var worlds [2]*simulation
		for i := range worlds {
			sim := newSimulation(rt, seed)
			worlds[i] = sim
			sim.features = features
			sim.configure(newQueue("/a/"), flow.Queue{Name: "b", Prefix: "/b/", TicketPolicy: &flow.TicketPolicy{BaseDuration: 20, PerWorkerMicros: 100, TicketValidity: 2500}})
			sim.setTeams(flow.Team{Name: "x", Cap: cores(6)}, flow.Team{Name: "y", Weight: 2})
			sim.isPermitted = func(step string, id model.WorkerID) bool { return (int(step[1])+int(id[1]))%3 != 0 }
			sim.crashesWorker = func(t flow.Task) bool { return t.Job == "0000000000000003" }
			sim.startLeader()
			for n := range 6 {
				sim.addWorker(fmt.Sprintf("w%d", n), workerSize)
			}
		}
		for i := range rapid.IntRange(5, 25).Draw(rt, "jobs") {
			team := rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "team")
			queue := rapid.SampledFrom([]string{"/a/", "/b/"}).Draw(rt, "queue")
			step := flow.Step{
				Count: rapid.IntRange(1, 6).Draw(rt, "count"), Need: smallTask, Estimate: 1000, Gang: rapid.Bool().Draw(rt, "gang"),
				MaxPerWorker: rapid.IntRange(0, 2).Draw(rt, "spread"),
			}
			gap := clock.Millis(rapid.IntRange(0, 400).Draw(rt, "gap"))
			id := fmt.Sprintf("%016x", i+1)
			for _, sim := range worlds {
				sim.submitFor(team, queue, id, step)
			}
			for range 4 {
				for k := range i + 1 {
					worlds[1].explain(team, queue+fmt.Sprintf("%016x", k+1))
				}
				worlds[1].explain(team, queue+"new", step)
				for _, sim := range worlds {
					sim.run(gap / 4)
				}
				if diff := cmp.Diff(worlds[0].planner.Stats(), worlds[1].planner.Stats()); diff != "" {
					rt.Fatalf("statistics with explanations (-without +with):\n%s", diff)
				}
				if diff := cmp.Diff(worlds[0].planner.ReservedByPool(), worlds[1].planner.ReservedByPool()); diff != "" {
					rt.Fatalf("reserved with explanations (-without +with):\n%s", diff)
				}
				if diff := cmp.Diff(worlds[0].planner.CallersBusyUntil(), worlds[1].planner.CallersBusyUntil()); diff != "" {
					rt.Fatalf("callers with explanations (-without +with):\n%s", diff)
				}
				if worlds[0].snapshot() != worlds[1].snapshot() {
					rt.Fatal("the state differs from the one without explanations")
				}
			}
		}
		for _, sim := range worlds {
			sim.run(5 * clock.Second)
		}
		if diff := cmp.Diff(worlds[0].logLines, worlds[1].logLines); diff != "" {
			rt.Fatalf("log lines with explanations (-without +with):\n%s", diff)
		}
	})
}

// Guards against an explanation that says something else than what happens when the job is submitted.
func TestExplainedPlacementHappens(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 1)
		sim.features.Overload = rapid.Bool().Draw(rt, "overload")
		sim.configure(newQueue("/a/"))
		sim.setTeams(flow.Team{Name: "x", Cap: cores(10)})
		sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 60 * clock.Second, false }
		sim.startLeader()
		for i := range 5 {
			sim.addWorker(fmt.Sprintf("w%d", i), workerSize, []string{"a", "b"}[i%2])
		}
		sim.run(clock.Second)
		for i := range rapid.IntRange(1, 8).Draw(rt, "jobs") {
			step := flow.Step{
				Count: rapid.IntRange(1, 6).Draw(rt, "count"), Need: smallTask, Estimate: 60_000, Gang: rapid.Bool().Draw(rt, "gang"),
				MaxPerWorker: rapid.IntRange(0, 2).Draw(rt, "spread"), Label: rapid.SampledFrom([]string{"", "a", "c"}).Draw(rt, "label"),
			}
			id := fmt.Sprintf("%016x", i+1)
			e := sim.explain("x", "/a/"+id, step)
			before := sim.countStarts()
			sim.submitFor("x", "/a/", id, step)
			sim.run(500)
			if got := sim.countStarts() - before; got != e.Step.Placed || (got > 0) != (e.Outlook == plan.OutlookStarts) {
				rt.Fatalf("%d tasks have started, explained: %+v %+v", got, e, *e.Step)
			}
		}
	})
}

// Guards against workers that are counted for a wrong reason, or in no reason.
func TestExplainCountsWorkersByReason(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"), flow.Queue{Name: "b", Prefix: "/b/", TicketPolicy: &flow.TicketPolicy{BaseDuration: 20, PerWorkerMicros: 100, TicketValidity: 2500}})
	sim.setTeams(flow.Team{Name: "x"}, flow.Team{Name: "y", Cap: cores(1)})
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 60 * clock.Second, false }
	sim.startLeader()
	sim.addWorker("full", model.Size{CPU: 1000, Memory: 100}, "l")
	sim.addWorker("fits", workerSize, "l")
	sim.addWorker("plain", workerSize)
	sim.addWorker("tiny", model.Size{CPU: 10, Memory: 10}, "l")
	gone := sim.addWorker("silent", workerSize, "l")
	leaving := sim.addWorker("leaves", workerSize, "l")
	sim.run(clock.Second)
	sim.submitFor("y", "/a/", "1", flow.Step{Count: 1, Need: smallTask, Estimate: 60_000}) // best fit: on "full"
	gone.partitioned = true
	leaving.Leaving, leaving.Seq = true, 2
	sim.apply(ledger.RegisterWorker{Worker: leaving.Worker})
	sim.run(3 * clock.Second)
	step := flow.Step{Count: 1, Need: smallTask, Estimate: 1000, Label: "l"}
	one := func(reason, worker string) plan.Exclusion {
		return plan.Exclusion{Reason: reason, Workers: 1, Examples: []model.WorkerID{model.WorkerID(worker)}}
	}
	others := []plan.Exclusion{one("label", "plain"), one("leaving", "leaves"), one("room", "full"), one("size", "tiny")}
	for _, c := range []struct {
		team, queue string
		want        []plan.Exclusion
		outlook     plan.Outlook
		chosen      []model.WorkerID
	}{
		{"x", "/a/", append(others[:4:4], one("unreachable", "silent")), plan.OutlookStarts, []model.WorkerID{"fits"}},
		{"x", "/b/", append(others[:4:4], one("ticket unknown", "fits"), one("unreachable", "silent")), plan.OutlookWaits, nil},
		{"y", "/a/", append(others[:4:4], one("team's cap", "fits"), one("unreachable", "silent")), plan.OutlookWaits, nil},
	} {
		e := sim.explain(c.team, c.queue+"new", step)
		if diff := cmp.Diff(c.want, e.Step.Excluded); diff != "" || e.Step.Workers != 6 {
			t.Errorf("team %s in %s: %d workers, excluded (-want +got):\n%s", c.team, c.queue, e.Step.Workers, diff)
		}
		if diff := cmp.Diff(c.chosen, e.Step.Chosen); diff != "" || e.Outlook != c.outlook || (e.Change == "") != (c.outlook == plan.OutlookStarts) {
			t.Errorf("team %s in %s: %s: %s %s (-want +got):\n%s", c.team, c.queue, e.Outlook, e.Reason, e.Change, diff)
		}
	}
	if e := sim.explain("stranger", "/a/new", step); e.Outlook != plan.OutlookRefused {
		t.Errorf("a key of no team: %s: %s", e.Outlook, e.Reason)
	}
	sim.apply(ledger.RecordTombstones{})
	sim.apply(ledger.Cancel{Host: "h", Path: "/a/gone", Now: sim.now, Key: flow.HashKey("x")})
	if e := sim.explain("x", "/a/gone", step); e.Outlook != plan.OutlookRefused || e.Step != nil {
		t.Errorf("a job that was cancelled before: %+v", e)
	}
	if e := sim.explain("y", "/a/gone", step); e.Outlook == plan.OutlookRefused {
		t.Errorf("a job that another team cancelled before: %+v", e)
	}
	if e := sim.explain("x", "/a/1", step); e.Outlook != plan.OutlookRefused || e.Step != nil || e.Phase != "" {
		t.Errorf("the identifier of another team's job: %+v", e)
	}
	if e := sim.explain("", "/a/1"); e.Outlook != plan.OutlookNothing || e.Phase != ledger.PhaseRunning {
		t.Errorf("a running job: %+v", e)
	}
}

// Guards against an explanation that keeps the leader from its work: on 1,100 full workers, of a job that is described,
// of one that waits, and of a wide gang for which workers are drained.
func BenchmarkExplain(b *testing.B) {
	sim := newSimulation(b, 1)
	sim.features.Overload = true
	sim.configure(newQueue("/a/"))
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 600 * clock.Second, false }
	sim.startLeader()
	for i := range 1100 {
		sim.addWorker(fmt.Sprintf("w%05d", i), workerSize.Times(5))
	}
	sim.run(1500)
	for i := range 2000 {
		sim.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 16, Need: smallTask, Estimate: 2000})
	}
	sim.submit("/a/", "gang", flow.Step{Count: 1000, Need: smallTask, Estimate: 2000, Gang: true})
	sim.run(clock.Second)
	for name, ask := range map[string]func() plan.Explanation{
		"described": func() plan.Explanation {
			return sim.explain("", "/a/new", flow.Step{Count: 16, Need: smallTask, Estimate: 2000})
		},
		"waiting": func() plan.Explanation { return sim.explain("", fmt.Sprintf("/a/%016x", 1999)) },
		"gang": func() plan.Explanation { // so late that its drain is planned anew
			return sim.planner.Explain(sim.now+clock.Second, plan.Question{Host: "h", Path: "/a/gang"})
		},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if e := ask(); e.Outlook != plan.OutlookWaits || e.Step.Workers != 1100 {
					b.Fatalf("%+v", e)
				}
			}
			if perCall := b.Elapsed() / time.Duration(b.N); perCall > 50*time.Millisecond {
				b.Errorf("an explanation takes %s, want at most 50 ms", perCall)
			}
		})
	}
}
