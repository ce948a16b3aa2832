package plan_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
)

var (
	small  = model.Size{CPU: 1000, Memory: 100}
	worker = model.Size{CPU: 4000, Memory: 1000}
)

func queue(prefix string) flow.Queue { return flow.Queue{Name: prefix, Prefix: prefix} }

// Guards against a plan that overfills workers, runs a task twice, starts a step too early,
// acknowledges an end before it is committed or loses a task, while orders get no answer and are
// carried out late, workers crash and are cut off, and leaders change.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, rapid.Uint64().Draw(rt, "seed"))
		w.config(queue("/a/"), flow.Queue{Name: "b", Prefix: "/b/", Policy: &flow.Policy{Decide: 20, Each: 100, Valid: 2500}})
		w.permits = func(step string, id model.WorkerID) bool { return (int(step[1])+int(id[1]))%3 != 0 }
		w.work = func(flow.Task, *fake) (clock.Millis, bool) {
			took := 100 + w.rng.IntN(3000)
			if w.rng.IntN(4) == 0 {
				took += 6000 // outlasts a lease, so that a task given up too early still runs
			}
			return clock.Millis(took), w.rng.IntN(40) == 0
		}
		w.lead()
		for i := range 6 {
			w.addWorker(fmt.Sprintf("w%d", i), worker)
		}
		// Longer than a lease: the plan then relies on what workers said, not on the time of its start.
		w.run(2 * lease)
		w.lose = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "lose")
		jobs := rapid.IntRange(1, 30).Draw(rt, "jobs")
		for i := range jobs {
			q := rapid.SampledFrom([]string{"/a/", "/b/"}).Draw(rt, "queue")
			step := flow.Step{
				Count: rapid.IntRange(1, 6).Draw(rt, "count"), Need: small, Estimate: 1000,
				Gang: rapid.Bool().Draw(rt, "gang"), Spread: rapid.SampledFrom([]int{0, 2, 3}).Draw(rt, "spread"),
			}
			next := flow.Step{Count: 2, Need: small, Estimate: 500, After: []int{0}}
			w.submit(q, fmt.Sprintf("%016x", i+1), step, next)
			w.run(clock.Millis(rapid.IntRange(0, 800).Draw(rt, "gap")))
			fault(rt, w)
		}
		w.lose = 0
		for _, f := range w.workers {
			f.cut = false
		}
		w.run(90 * clock.Second)
		for id, j := range w.state.Jobs() {
			if !j.Over() {
				w.fail("job %s is still %s", id, j.Phase())
			}
		}
	})
}

func fault(rt *rapid.T, w *world) {
	list := w.sorted()
	f := list[rapid.IntRange(0, len(list)-1).Draw(rt, "worker")]
	switch rapid.IntRange(0, 12).Draw(rt, "fault") {
	case 0:
		if f.up {
			w.crash(f, 1000)
		}
	case 1:
		if f.up {
			f.cut = true
			w.after(clock.Millis(rapid.IntRange(500, 9000).Draw(rt, "cut")), func() { f.cut = false })
		}
	case 2:
		w.lead()
	}
}

// Guards against a gang whose members wait for each other in vain, and against one that is started
// piecemeal, while single tasks compete for room.
func TestGangsStartWhole(t *testing.T) {
	w := newWorld(t, 1)
	w.config(queue("/a/"), queue("/g/"))
	w.lead()
	for i := range 4 {
		w.addWorker(fmt.Sprintf("w%d", i), worker)
	}
	w.run(500)
	for i := range 40 {
		w.submit("/a/", fmt.Sprintf("%016x", 1000+i), flow.Step{Count: 2, Need: small, Estimate: 500})
		if i%4 == 0 {
			w.submit("/g/", fmt.Sprintf("%016x", i), flow.Step{Count: 12, Need: small, Estimate: 500, Gang: true})
		}
		w.run(200)
	}
	w.run(20 * clock.Second)
	w.wantDone()
	if w.alone > 0 {
		t.Fatalf("%d gang members ended alone", w.alone)
	}
}

// Guards against two gangs that each keep half of the room that both need, and wait for ever.
func TestCollectingGangsDontDeadlock(t *testing.T) {
	w := newWorld(t, 1)
	w.config(flow.Queue{Name: "b", Prefix: "/b/", Policy: &flow.Policy{Decide: 20, Each: 100, Valid: 2500}})
	w.permits = func(_ string, id model.WorkerID) bool { return id == "w1" }
	w.lead()
	for i := range 3 {
		w.addWorker(fmt.Sprintf("w%d", i), worker)
	}
	w.run(500)
	// Two single tasks end at different times, so that room comes free piece by piece.
	w.work = func(task flow.Task, _ *fake) (clock.Millis, bool) {
		return clock.Second * clock.Millis(1+2*task.Index), false
	}
	w.submit("/b/", "1", flow.Step{Count: 2, Need: model.Size{CPU: 2000, Memory: 200}, Estimate: 1000})
	w.run(300)
	w.submit("/b/", "2", flow.Step{Count: 4, Need: small, Estimate: 500, Gang: true})
	w.submit("/b/", "3", flow.Step{Count: 3, Need: small, Estimate: 500, Gang: true})
	w.run(20 * clock.Second)
	w.wantDone()
}

// Guards against room that is kept for a gang while its tickets are renewed and that other steps get
// when the tickets come: under load wide gangs then asked again and again and never started.
func TestKeptRoomGoesToItsStep(t *testing.T) {
	w := newWorld(t, 1)
	w.config(
		flow.Queue{Name: "b", Prefix: "/b/", Stretch: 4, Target: 1000, Policy: &flow.Policy{Decide: 600, Each: 8000, Valid: 900}},
		flow.Queue{Name: "a", Prefix: "/a/", Stretch: 1.5, Target: 600},
	)
	w.advice = 800
	w.work = func(flow.Task, *fake) (clock.Millis, bool) { return 900, false }
	w.lead()
	for i := range 4 {
		w.addWorker(fmt.Sprintf("w%d", i), worker)
	}
	w.run(500)
	for i := range 20 {
		w.submit("/a/", fmt.Sprintf("%016x", 1000+i), flow.Step{Count: 1, Need: small, Estimate: 900})
	}
	w.run(100)
	w.submit("/b/", "g", flow.Step{Count: 8, Need: small, Estimate: 900, Gang: true})
	for i := range 150 {
		w.submit("/a/", fmt.Sprintf("%016x", 2000+i), flow.Step{Count: 1, Need: small, Estimate: 900})
		w.run(90)
	}
	submitted := clock.Millis(1_000_600)
	w.run(20 * clock.Second)
	w.wantDone()
	if took := w.finish["g"] - submitted; took > 9000 {
		t.Fatalf("the gang took %s under load, want 9s at most", took)
	}
}

// Guards against a start whose answer is lost, and which has run to its end when it is repeated: the
// worker then rejects the repeat because the attempt is over, and the task must not run again.
func TestLostAnswerOfShortTask(t *testing.T) {
	w := newWorld(t, 5)
	w.config(queue("/a/"))
	w.work = func(flow.Task, *fake) (clock.Millis, bool) { return 100, false }
	w.lead()
	for i := range 4 {
		w.addWorker(fmt.Sprintf("w%d", i), worker)
	}
	w.run(500)
	w.lose = 0.5
	for i := range 30 {
		w.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 2, Need: small, Estimate: 100})
		w.run(100)
	}
	w.lose = 0
	w.run(20 * clock.Second)
	w.wantDone()
}

// Guards against a leader that doesn't know yet that its term is over, takes a settlement of the next
// leader for its own and lets a worker forget an end that is not committed: the task then runs again.
func TestForeignSettlementAcknowledgesNothing(t *testing.T) {
	w := newWorld(t, 1)
	w.config(queue("/a/"))
	w.lead()
	f := w.addWorker("w0", worker)
	w.run(500)
	w.submit("/a/", "j", flow.Step{Count: 1, Need: small, Estimate: 500})
	w.run(300)
	life := plan.Life{ID: f.ID, Born: f.Born}
	task := flow.Task{Job: "j"}
	w.planner.Step(w.now, plan.Reported{
		Worker: life, Sent: w.now, Got: w.now, Clock: w.clockOf(f),
		Finished: []plan.Finished{{Number: 1, Task: task, Attempt: 1, End: ledger.EndDone}},
	})
	w.planner.Step(w.now+20, plan.Tick{})
	w.planner.Step(w.now+30, plan.Applied{Command: ledger.Settle{Term: w.term + 1, Number: 1}})
	h, _, ok := w.planner.NextHold(w.now+100, life)
	if !ok || h.Seen != 0 {
		t.Fatalf("hold = %+v, %t; want one that acknowledges nothing", h, ok)
	}
	w.planner.Step(w.now+100, plan.Applied{Command: ledger.Settle{Term: w.term, Number: 1}})
	if h, _, _ := w.planner.NextHold(w.now+200, life); h.Seen != 1 {
		t.Fatalf("hold acknowledges %d, want 1", h.Seen)
	}
}

// Guards against a worker that fails all it starts and, looking idle, draws all work: each job may
// lose at most a few attempts to it.
func TestFailingWorkerIsSuspended(t *testing.T) {
	w := newWorld(t, 1)
	w.config(queue("/a/"))
	w.lead()
	for i := range 4 {
		w.addWorker(fmt.Sprintf("w%d", i), worker)
	}
	w.work = func(_ flow.Task, f *fake) (clock.Millis, bool) { return 100, f.ID == "w0" }
	w.run(500)
	for i := range 100 {
		w.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 2, Need: small, Estimate: 100})
		w.run(50)
	}
	w.run(20 * clock.Second)
	w.wantDone()
	if extra := w.repeats(); extra > 20 {
		t.Fatalf("200 tasks had %d failed runs on the bad worker, want at most 20", extra)
	}
}

// Guards against a cancelled job whose tasks run on, or are started again.
func TestCancelStopsTasks(t *testing.T) {
	w := newWorld(t, 1)
	w.config(queue("/a/"))
	w.work = func(flow.Task, *fake) (clock.Millis, bool) { return 60 * clock.Second, false }
	w.lead()
	w.addWorker("w0", worker)
	w.run(500)
	w.submit("/a/", "j", flow.Step{Count: 9, Need: small, Estimate: 60_000})
	w.run(clock.Second)
	if got := len(w.workers["w0"].runs); got != 4 {
		t.Fatalf("%d tasks run, want 4", got)
	}
	w.apply(ledger.Cancel{Host: "h", Path: "/a/j", Now: w.now})
	w.run(2 * clock.Second)
	if got := len(w.workers["w0"].runs); got != 0 {
		t.Fatalf("%d tasks run after the cancel, want none", got)
	}
}

// Guards against a placement pass whose cost grows with the backlog: after a loss of all leaders
// hundreds of steps waited, each event looked at all of them, and commits timed out.
func TestBacklogDoesNotGrowCost(t *testing.T) {
	w := newWorld(t, 1)
	w.config(flow.Queue{Name: "a", Prefix: "/a/", Policy: &flow.Policy{Decide: 20, Each: 100, Valid: 2500}})
	w.lead()
	for i := range 8 {
		w.addWorker(fmt.Sprintf("w%d", i), worker)
	}
	w.run(500)
	for i := range 600 {
		w.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 3, Need: small, Estimate: 500})
	}
	before := w.asks
	w.run(10 * clock.Second)
	// 8 workers run 32 tasks of 0.5 s, so about 700 tasks of 230 steps are done in 10 s. A step needs
	// one call, and another one when its tickets ran out before its turn.
	if got := w.asks - before; got > 900 {
		t.Fatalf("%d ticket calls in 10 s, want at most 900", got)
	}
}

// Guards against early steps that are starved: steps that can still end on time come first, those
// that are late anyway after them, but not never.
func TestLateStepsWaitForOnTimeOnes(t *testing.T) {
	w := newWorld(t, 1)
	w.config(
		flow.Queue{Name: "a", Prefix: "/a/", Stretch: 1.5, Target: 600},
		flow.Queue{Name: "b", Prefix: "/b/", Stretch: 4, Target: 3000},
	)
	w.work = func(flow.Task, *fake) (clock.Millis, bool) { return clock.Second, false }
	w.lead()
	w.addWorker("w0", worker)
	w.run(500)
	for i := range 20 {
		w.submit("/b/", fmt.Sprintf("%016x", 100+i), flow.Step{Count: 1, Need: small, Estimate: 1000})
	}
	w.run(300)
	w.submit("/a/", "urgent", flow.Step{Count: 1, Need: small, Estimate: 1000})
	submitted := w.now
	w.run(30 * clock.Second)
	w.wantDone()
	if took := w.finish["urgent"] - submitted; took > 2100 {
		t.Fatalf("urgent job took %s, want its objective of 2.1s at most", took)
	}
}

// Guards against replicas or leaders that decide differently on equal inputs.
func TestPlanIsDeterministic(t *testing.T) {
	trace := func() []string {
		w := newWorld(t, 3)
		w.config(queue("/a/"))
		w.lead()
		for i := range 3 {
			w.addWorker(fmt.Sprintf("w%d", i), worker)
		}
		w.run(500)
		for i := range 20 {
			w.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 3, Need: small, Estimate: 500})
			w.run(100)
		}
		w.run(5000)
		return w.notes
	}
	if diff := cmp.Diff(trace(), trace()); diff != "" {
		t.Fatalf("two runs differ:\n%s", diff)
	}
}

// Guards against a leader whose processor is used up by looks at steps that can't start: with 1500
// waiting steps a look at all workers for each step in each pass took three quarters of it.
func TestBacklogDoesNotGrowLooks(t *testing.T) {
	w := newWorld(t, 1)
	policy := &flow.Policy{Decide: 20, Each: 100, Valid: 2500}
	w.config(flow.Queue{Name: "a", Prefix: "/a/", Policy: policy}, flow.Queue{Name: "b", Prefix: "/b/", Policy: policy})
	w.work = func(flow.Task, *fake) (clock.Millis, bool) { return 3 * clock.Second, false }
	w.lead()
	for i := range 100 {
		w.addWorker(fmt.Sprintf("w%d", i), worker)
	}
	w.run(500)
	for i := range 1200 {
		w.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 3, Need: small, Estimate: 3000})
	}
	for i := range 300 {
		w.submit("/b/", fmt.Sprintf("b%015x", i), flow.Step{Count: 12, Need: small, Estimate: 3000, Gang: true})
	}
	w.run(2 * clock.Second)
	before := w.planner.Looks()
	w.run(3 * clock.Second)
	// A tenth of the processor of a leader (0.64) pays for about 400,000 looks a second.
	if got := (w.planner.Looks() - before) / 3; got > 400_000 {
		t.Fatalf("%d looks a second, want at most 400000", got)
	}
	t.Logf("%d looks a second", (w.planner.Looks()-before)/3)
}

// Guards against a new leader that spends its first second on jobs that ended long ago: it wrote a
// line for each of 5000 and built their steps, while callers waited for the first answer.
func TestNewPlanPassesOverSettledJobs(t *testing.T) {
	w := newWorld(t, 1)
	w.config(queue("/a/"))
	w.lead()
	w.addWorker("w0", worker)
	w.run(500)
	for i := range 50 {
		w.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 1, Need: small, Estimate: 500})
	}
	w.run(30 * clock.Second)
	w.wantDone()
	_, out := plan.New(w.now, plan.Config{Term: 9, Lease: lease, MaxLease: maxLease}, w.state)
	want := []plan.Decision{plan.Watch{Worker: plan.Life{ID: "w0", Born: w.workers["w0"].Born}}}
	if diff := cmp.Diff(want, out); diff != "" {
		t.Fatalf("decisions of a new plan (-want +got):\n%s", diff)
	}
}

// Guards against short steps that lose a good part of their objective to transits: a call through a
// caller in another region and a worker there took 180 ms of 1.5 s.
func TestShortStepsStayNear(t *testing.T) {
	w := newWorld(t, 1)
	w.config(flow.Queue{Name: "a", Prefix: "/a/", Policy: &flow.Policy{Decide: 20, Each: 100, Valid: 2500}})
	w.callers = []model.Instance{"a", "b", "c", "d"}
	w.farCallers = map[model.Instance]bool{"a": true, "b": true, "d": true}
	w.lead()
	for i := range 30 {
		w.near = i%3 == 0
		w.addWorker(fmt.Sprintf("w%02d", i), worker)
	}
	w.run(2 * clock.Second)
	for i := range 40 {
		w.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 1, Need: small, Estimate: 500})
		w.run(60)
	}
	w.run(5 * clock.Second)
	w.wantDone()
	// The first calls find out how far the callers are.
	if w.farAsks > 8 {
		t.Errorf("%d of 40 ticket calls by callers in another region, want at most 8", w.farAsks)
	}
	for _, f := range w.workers {
		if !f.near && len(f.highest) > 0 {
			t.Errorf("%d short tasks on %s in another region", len(f.highest), f.ID)
		}
	}
}

// Guards against jobs that count as begun while their orders are on the way or were rejected: 13 jobs
// of a queue had waited for 5 s and 2 were said to be pending.
func TestJobsArePendingUntilTheyStart(t *testing.T) {
	w := newWorld(t, 1)
	w.config(queue("/a/"))
	w.lead()
	f := w.addWorker("w0", worker)
	w.run(500)
	pending := func() int {
		q := w.state.Config().Queues[0]
		return w.state.Pending(q) + w.planner.Unstarted(q)
	}
	f.cut = true // orders get no answer from now on
	w.submit("/a/", "j", flow.Step{Count: 2, Need: small, Estimate: 500})
	w.run(200)
	if j := w.state.Job("j"); !j.Begun || pending() != 1 {
		t.Fatalf("assigned: %t, pending: %d; want a job that is assigned and pending", j.Begun, pending())
	}
	f.cut = false
	w.run(2 * clock.Second)
	if got := pending(); got != 0 {
		t.Fatalf("pending = %d after the start", got)
	}
	w.lead()
	w.run(2 * clock.Second)
	if got := pending(); got != 0 {
		t.Fatalf("pending = %d under the next leader", got)
	}
}

// Guards against a caller that is down and draws all ticket calls, because its calls fail at once:
// 164 of them went to a core that was off for 1.5 s, and a hundred steps waited.
func TestFailingCallerIsLeftAlone(t *testing.T) {
	w := newWorld(t, 1)
	w.config(flow.Queue{Name: "a", Prefix: "/a/", Policy: &flow.Policy{Decide: 20, Each: 100, Valid: 2500}})
	w.badCallers = map[model.Instance]bool{"b": true}
	w.lead()
	for i := range 10 {
		w.addWorker(fmt.Sprintf("w%02d", i), worker)
	}
	w.run(500)
	for i := range 50 {
		w.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 1, Need: small, Estimate: 500})
		w.run(40)
	}
	w.run(2 * clock.Second)
	w.wantDone()
	// One call a second finds out that the caller is still down.
	if w.badAsks > 5 {
		t.Errorf("%d calls to a caller that is down in 4.5 s, want at most 5", w.badAsks)
	}
}

// Guards against tasks that wait for ever on a worker that answers but makes no progress, and against
// such a worker that draws new work because it looks idle.
func TestStuckTasksStartElsewhere(t *testing.T) {
	w := newWorld(t, 1)
	w.config(queue("/a/"))
	w.lead()
	for i := range 4 {
		w.addWorker(fmt.Sprintf("w%d", i), worker).hung = i == 0
	}
	w.run(500)
	for i := range 60 {
		w.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 2, Need: small, Estimate: 500, Gang: i%10 == 0})
		w.run(100)
	}
	w.run(20 * clock.Second)
	w.wantDone()
	if extra := w.repeats(); extra > 20 {
		t.Fatalf("120 tasks had %d runs that stood still, want at most 20", extra)
	}
}

// Guards against a worker that vanishes without refusing connections and keeps its tasks for ever:
// each call to it that had no answer renewed the lease after which they count as over.
func TestSilentWorkerLosesItsTasks(t *testing.T) {
	w := newWorld(t, 1)
	w.config(queue("/a/"))
	w.lead()
	a, b := w.addWorker("w0", worker), w.addWorker("w1", worker)
	w.work = func(flow.Task, *fake) (clock.Millis, bool) { return 2 * clock.Second, false }
	w.run(500)
	w.submit("/a/", "job", flow.Step{Count: 8, Need: small, Estimate: 2000})
	w.run(clock.Second)
	if len(a.runs) != 4 || len(b.runs) != 4 {
		t.Fatalf("%d and %d tasks run, want 4 on each worker", len(a.runs), len(b.runs))
	}
	a.up, a.vanish = false, true
	// The lease, 2% longer for the worker's clock, and then the work again.
	w.run(lease*102/100 + clock.Second + 2*clock.Second + clock.Second)
	w.wantDone()
}
