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
	smallTask  = model.Size{CPU: 1000, Memory: 100}
	workerSize = model.Size{CPU: 4000, Memory: 1000}
)

func newQueue(prefix string) flow.Queue { return flow.Queue{Name: prefix, Prefix: prefix} }

// Guards against overcommitted workers, tasks that run twice at a time, steps that start before their
// predecessors are done, ends acknowledged before they are committed, and lost tasks. The faults are
// orders that get no answer or are carried out late, workers that crash or are partitioned, and
// changes of leader.
func TestPromisesUnderFaults(t *testing.T) { checkPromisesUnderFaults(t, plan.Features{}) }

// Guards against the same with the decisions for overload: drained capacity that is lent to short tasks, and gangs that
// wait for it.
func TestPromisesUnderFaultsWithOverload(t *testing.T) {
	checkPromisesUnderFaults(t, plan.Features{Overload: true})
}

// Guards against a feature that breaks them beside the others.
func TestPromisesUnderFaultsWithAllFeatures(t *testing.T) { checkPromisesUnderFaults(t, allFeatures) }

func checkPromisesUnderFaults(t *testing.T, features plan.Features) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, rapid.Uint64().Draw(rt, "seed"))
		sim.features, sim.isRough = features, true
		sim.configure(newQueue("/a/"), flow.Queue{Name: "b", Prefix: "/b/", TicketPolicy: &flow.TicketPolicy{BaseDuration: 20, PerWorkerMicros: 100, TicketValidity: 2500}})
		sim.isPermitted = func(step string, id model.WorkerID) bool { return (int(step[1])+int(id[1]))%3 != 0 }
		sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) {
			took := 100 + sim.rng.IntN(3000)
			if sim.rng.IntN(4) == 0 {
				took += 6000 // longer than a lease: a task declared lost too early would still run
			}
			return clock.Millis(took), sim.rng.IntN(40) == 0
		}
		sim.startLeader()
		for i := range 6 {
			sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
		}
		// Longer than a lease, so that lease expiry is computed from reports and not from the start time of
		// the planner.
		sim.run(2 * lease)
		sim.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "lose")
		jobs := rapid.IntRange(1, 30).Draw(rt, "jobs")
		for i := range jobs {
			q := rapid.SampledFrom([]string{"/a/", "/b/"}).Draw(rt, "queue")
			step := flow.Step{
				Count: rapid.IntRange(1, 6).Draw(rt, "count"), Need: smallTask, Estimate: 1000,
				Gang: rapid.Bool().Draw(rt, "gang"), MaxPerWorker: rapid.SampledFrom([]int{0, 2, 3}).Draw(rt, "spread"),
			}
			next := flow.Step{Count: 2, Need: smallTask, Estimate: 500, After: []int{0}}
			sim.submit(q, fmt.Sprintf("%016x", i+1), step, next)
			sim.run(clock.Millis(rapid.IntRange(0, 800).Draw(rt, "gap")))
			injectFault(rt, sim)
		}
		sim.lostAnswerShare = 0
		for _, f := range sim.workers {
			f.partitioned = false
		}
		sim.run(90 * clock.Second)
		for id, j := range sim.state.Jobs() {
			if !j.HasEnded() {
				sim.failf("job %s is still %s", id, j.Phase())
			}
		}
	})
}

func injectFault(rt *rapid.T, sim *simulation) {
	list := sim.sortedWorkers()
	f := list[rapid.IntRange(0, len(list)-1).Draw(rt, "worker")]
	switch rapid.IntRange(0, 12).Draw(rt, "fault") {
	case 0:
		if f.alive {
			sim.crash(f, 1000)
		}
	case 1:
		if f.alive {
			f.partitioned, f.refuses = true, rapid.Bool().Draw(rt, "refuse")
			sim.after(clock.Millis(rapid.IntRange(500, 9000).Draw(rt, "cut")), func() { f.partitioned = false })
		}
	case 2:
		sim.startLeader()
	case 3:
		if f.alive {
			sim.restart(f, clock.Millis(rapid.IntRange(50, 1000).Draw(rt, "restart")))
		}
	}
}

// Guards against gangs of which only some members start while single tasks compete for capacity: the
// members then end at their time-out.
func TestGangStartsAllMembersOrNone(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"), newQueue("/g/"))
	sim.startLeader()
	for i := range 4 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
	}
	sim.run(500)
	for i := range 40 {
		sim.submit("/a/", fmt.Sprintf("%016x", 1000+i), flow.Step{Count: 2, Need: smallTask, Estimate: 500})
		if i%4 == 0 {
			sim.submit("/g/", fmt.Sprintf("%016x", i), flow.Step{Count: 12, Need: smallTask, Estimate: 500, Gang: true})
		}
		sim.run(200)
	}
	sim.run(20 * clock.Second)
	sim.requireCompleted()
	if sim.gangTimeouts > 0 {
		t.Fatalf("%d gang members ended at their time-out because others did not start, want none", sim.gangTimeouts)
	}
}

// Guards against a deadlock of two gangs that accumulate capacity: each reserves half of the capacity
// that both need.
func TestAccumulatingGangsDontDeadlock(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(flow.Queue{Name: "b", Prefix: "/b/", TicketPolicy: &flow.TicketPolicy{BaseDuration: 20, PerWorkerMicros: 100, TicketValidity: 2500}})
	sim.isPermitted = func(_ string, id model.WorkerID) bool { return id == "w1" }
	sim.startLeader()
	for i := range 3 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
	}
	sim.run(500)
	// Two single tasks end at different times, so that capacity becomes free in parts.
	sim.taskWork = func(task flow.Task, _ *fakeWorker) (clock.Millis, bool) {
		return clock.Second * clock.Millis(1+2*task.Index), false
	}
	sim.submit("/b/", "1", flow.Step{Count: 2, Need: model.Size{CPU: 2000, Memory: 200}, Estimate: 1000})
	sim.run(300)
	sim.submit("/b/", "2", flow.Step{Count: 4, Need: smallTask, Estimate: 500, Gang: true})
	sim.submit("/b/", "3", flow.Step{Count: 3, Need: smallTask, Estimate: 500, Gang: true})
	sim.run(20 * clock.Second)
	sim.requireCompleted()
}

// Guards against capacity that is reserved for a gang while its tickets are renewed, but given to
// other steps when the tickets arrive. Under load, wide gangs then renewed tickets over and over and
// never started.
func TestReservedCapacityGoesToGangAfterTicketRenewal(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(
		flow.Queue{Name: "b", Prefix: "/b/", Stretch: 4, Target: 1000, TicketPolicy: &flow.TicketPolicy{BaseDuration: 600, PerWorkerMicros: 8000, TicketValidity: 900}},
		flow.Queue{Name: "a", Prefix: "/a/", Stretch: 1.5, Target: 600},
	)
	sim.ticketCallTime = 800
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 900, false }
	sim.startLeader()
	for i := range 4 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
	}
	sim.run(500)
	for i := range 20 {
		sim.submit("/a/", fmt.Sprintf("%016x", 1000+i), flow.Step{Count: 1, Need: smallTask, Estimate: 900})
	}
	sim.run(100)
	sim.submit("/b/", "g", flow.Step{Count: 8, Need: smallTask, Estimate: 900, Gang: true})
	for i := range 150 {
		sim.submit("/a/", fmt.Sprintf("%016x", 2000+i), flow.Step{Count: 1, Need: smallTask, Estimate: 900})
		sim.run(90)
	}
	submitted := clock.Millis(1_000_600)
	sim.run(20 * clock.Second)
	sim.requireCompleted()
	if took := sim.endedAt["g"] - submitted; took > 9000 {
		t.Fatalf("gang took %s under load, want at most 9s", took)
	}
}

// Guards against a task that runs twice because the answer to its start order is lost and the task
// has ended when the order is retried: the worker then rejects the retry as an ended attempt.
func TestLostStartAnswerDoesNotRunTaskTwice(t *testing.T) {
	sim := newSimulation(t, 5)
	sim.configure(newQueue("/a/"))
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 100, false }
	sim.startLeader()
	for i := range 4 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
	}
	sim.run(500)
	sim.lostAnswerShare = 0.5
	for i := range 30 {
		sim.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 2, Need: smallTask, Estimate: 100})
		sim.run(100)
	}
	sim.lostAnswerShare = 0
	sim.run(20 * clock.Second)
	sim.requireCompleted()
}

// Guards against a leader that has not noticed the end of its term and takes a settlement of its
// successor for its own: it would let a worker discard an end that is not committed, and the task
// would run again.
func TestSettlementOfOtherTermAcknowledgesNoEnds(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.startLeader()
	f := sim.addWorker("w0", workerSize)
	sim.run(500)
	sim.submit("/a/", "j", flow.Step{Count: 1, Need: smallTask, Estimate: 500})
	sim.run(300)
	incarnation := flow.Incarnation{ID: f.ID, StartedAt: f.StartedAt}
	task := flow.Task{Job: "j"}
	sim.planner.Step(sim.now, plan.HoldAnswered{
		Worker: incarnation, SentAt: sim.now, ReceivedAt: sim.now, Clock: sim.clockOf(f),
		Finished: []plan.EndedAttempt{{EndNumber: 1, Task: task, Attempt: 1, End: ledger.EndDone}},
	})
	sim.planner.Step(sim.now+20, plan.Tick{})
	sim.planner.Step(sim.now+30, plan.Applied{Command: ledger.Settle{Term: sim.term + 1, Number: 1}})
	h, _, ok := sim.planner.NextHold(sim.now+100, incarnation)
	if !ok || h.AckedThrough != 0 {
		t.Fatalf("hold = %+v, %t; want one that acknowledges nothing", h, ok)
	}
	sim.planner.Step(sim.now+100, plan.Applied{Command: ledger.Settle{Term: sim.term, Number: 1}})
	if h, _, _ := sim.planner.NextHold(sim.now+200, incarnation); h.AckedThrough != 1 {
		t.Fatalf("hold acknowledges %d, want 1", h.AckedThrough)
	}
}

// Guards against a worker that fails every task and, because it looks idle, attracts all work. The
// jobs may lose only a few attempts to it.
func TestFailingWorkerIsSuspended(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.startLeader()
	for i := range 4 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
	}
	sim.taskWork = func(_ flow.Task, f *fakeWorker) (clock.Millis, bool) { return 100, f.ID == "w0" }
	sim.run(500)
	for i := range 100 {
		sim.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 2, Need: smallTask, Estimate: 100})
		sim.run(50)
	}
	sim.run(20 * clock.Second)
	sim.requireCompleted()
	if restarts := sim.countRestarts(); restarts > 20 {
		t.Fatalf("200 tasks had %d failed attempts on the failing worker, want at most 20", restarts)
	}
}

// Guards against tasks of a cancelled job that keep running or are started again.
func TestCancelStopsTasks(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 60 * clock.Second, false }
	sim.startLeader()
	sim.addWorker("w0", workerSize)
	sim.run(500)
	sim.submit("/a/", "j", flow.Step{Count: 9, Need: smallTask, Estimate: 60_000})
	sim.run(clock.Second)
	if got := len(sim.workers["w0"].attempts); got != 4 {
		t.Fatalf("%d tasks run, want 4", got)
	}
	sim.apply(ledger.Cancel{Host: "h", Path: "/a/j", Now: sim.now})
	sim.run(2 * clock.Second)
	if got := len(sim.workers["w0"].attempts); got != 0 {
		t.Fatalf("%d tasks run after the cancel, want none", got)
	}
}

// Guards against work per event that grows with the backlog: after all leaders were lost, hundreds of
// steps waited, each event considered all of them, and commits timed out.
func TestTicketCallsAreBoundedUnderBacklog(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(flow.Queue{Name: "a", Prefix: "/a/", TicketPolicy: &flow.TicketPolicy{BaseDuration: 20, PerWorkerMicros: 100, TicketValidity: 2500}})
	sim.startLeader()
	for i := range 8 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
	}
	sim.run(500)
	for i := range 600 {
		sim.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 3, Need: smallTask, Estimate: 500})
	}
	before := sim.ticketCalls
	sim.run(10 * clock.Second)
	// 8 workers run 32 tasks of 0.5 s at a time, so about 700 tasks of 230 steps are done in 10 s. A step
	// needs one call, and another one if its tickets expire before it is placed.
	if got := sim.ticketCalls - before; got > 900 {
		t.Fatalf("%d ticket calls in 10 s, want at most 900", got)
	}
}

// Guards against steps that miss their objective because steps that are late anyway are placed first,
// and against starvation of the late ones.
func TestLateStepsWaitForOnTimeOnes(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(
		flow.Queue{Name: "a", Prefix: "/a/", Stretch: 1.5, Target: 600},
		flow.Queue{Name: "b", Prefix: "/b/", Stretch: 4, Target: 3000},
	)
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return clock.Second, false }
	sim.startLeader()
	sim.addWorker("w0", workerSize)
	sim.run(500)
	for i := range 20 {
		sim.submit("/b/", fmt.Sprintf("%016x", 100+i), flow.Step{Count: 1, Need: smallTask, Estimate: 1000})
	}
	sim.run(300)
	sim.submit("/a/", "urgent", flow.Step{Count: 1, Need: smallTask, Estimate: 1000})
	submitted := sim.now
	sim.run(30 * clock.Second)
	sim.requireCompleted()
	if took := sim.endedAt["urgent"] - submitted; took > 2100 {
		t.Fatalf("urgent job took %s, want at most its objective of 2.1s", took)
	}
}

// Guards against planners that make different decisions for equal inputs.
func TestPlanIsDeterministic(t *testing.T) {
	trace := func(learn bool) []string {
		sim := newSimulation(t, 3)
		sim.features.LearnRunTimes = learn
		sim.configure(newQueue("/a/"))
		sim.startLeader()
		for i := range 3 {
			sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
		}
		sim.run(500)
		for i := range 20 {
			sim.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 3, Need: smallTask, Estimate: 500})
			sim.run(100)
		}
		sim.run(5000)
		return sim.logLines
	}
	for _, learn := range []bool{false, true} {
		if diff := cmp.Diff(trace(learn), trace(learn)); diff != "" {
			t.Fatalf("two runs differ:\n%s", diff)
		}
	}
}

// Guards against placement passes that use up the leader's processor on steps that can't be placed:
// with 1500 waiting steps, considering all workers for each step in each pass took three quarters of it.
func TestWorkersConsideredAreBoundedUnderBacklog(t *testing.T) {
	sim := newSimulation(t, 1)
	policy := &flow.TicketPolicy{BaseDuration: 20, PerWorkerMicros: 100, TicketValidity: 2500}
	sim.configure(flow.Queue{Name: "a", Prefix: "/a/", TicketPolicy: policy}, flow.Queue{Name: "b", Prefix: "/b/", TicketPolicy: policy})
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 3 * clock.Second, false }
	sim.startLeader()
	for i := range 100 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize)
	}
	sim.run(500)
	for i := range 1200 {
		sim.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 3, Need: smallTask, Estimate: 3000})
	}
	for i := range 300 {
		sim.submit("/b/", fmt.Sprintf("b%015x", i), flow.Step{Count: 12, Need: smallTask, Estimate: 3000, Gang: true})
	}
	sim.run(2 * clock.Second)
	before := sim.planner.WorkersConsidered()
	sim.run(3 * clock.Second)
	// A leader has 0.64 of a processor; a tenth of that is enough to consider about 400,000 workers a second.
	if got := (sim.planner.WorkersConsidered() - before) / 3; got > 400_000 {
		t.Fatalf("%d workers considered a second, want at most 400000", got)
	}
	t.Logf("%d workers considered a second", (sim.planner.WorkersConsidered()-before)/3)
}

// Guards against a new leader that spends its first second on jobs that ended long ago: it logged a
// line for each of 5000 such jobs and built their steps while callers waited for the first answer.
func TestNewPlannerSkipsSettledJobs(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.startLeader()
	sim.addWorker("w0", workerSize)
	sim.run(500)
	for i := range 50 {
		sim.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 1, Need: smallTask, Estimate: 500})
	}
	sim.run(30 * clock.Second)
	sim.requireCompleted()
	_, out := plan.New(sim.now, plan.Config{Term: 9, Lease: lease, MaxLease: maxLease}, sim.state)
	want := []plan.Decision{plan.WatchWorker{Worker: flow.Incarnation{ID: "w0", StartedAt: sim.workers["w0"].StartedAt}}}
	if diff := cmp.Diff(want, out); diff != "" {
		t.Fatalf("decisions of a new planner (-want +got):\n%s", diff)
	}
}

// Guards against short steps that lose much of their objective to network transit: a ticket call by a
// caller in another region and a worker there took 180 ms of 1.5 s.
func TestShortStepsUseNearCallersAndWorkers(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(flow.Queue{Name: "a", Prefix: "/a/", TicketPolicy: &flow.TicketPolicy{BaseDuration: 20, PerWorkerMicros: 100, TicketValidity: 2500}})
	sim.callers = []model.Instance{"a", "b", "c", "d"}
	sim.farCallers = map[model.Instance]bool{"a": true, "b": true, "d": true}
	sim.startLeader()
	for i := range 30 {
		sim.addNearWorkers = i%3 == 0
		sim.addWorker(fmt.Sprintf("w%02d", i), workerSize)
	}
	sim.run(2 * clock.Second)
	for i := range 40 {
		sim.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 1, Need: smallTask, Estimate: 500})
		sim.run(60)
	}
	sim.run(5 * clock.Second)
	sim.requireCompleted()
	// The first calls measure the overhead of the callers.
	if sim.farCalls > 8 {
		t.Errorf("%d of 40 ticket calls by callers in another region, want at most 8", sim.farCalls)
	}
	for _, f := range sim.workers {
		if !f.isNear && len(f.highestAttempt) > 0 {
			t.Errorf("%d short tasks on worker %s in another region, want none", len(f.highestAttempt), f.ID)
		}
	}
}

// Guards against jobs that don't count as pending although their start orders are in transit or were
// rejected: 13 jobs of a queue had waited for 5 s and only 2 were counted as pending.
func TestJobsArePendingUntilTheyStart(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.startLeader()
	f := sim.addWorker("w0", workerSize)
	sim.run(500)
	pending := func() int {
		q := sim.state.Config().Queues[0]
		return sim.state.PendingJobs(q) + sim.planner.UnstartedJobs(q)
	}
	f.partitioned = true // start orders get no answer from now on
	sim.submit("/a/", "j", flow.Step{Count: 2, Need: smallTask, Estimate: 500})
	sim.run(200)
	if j := sim.state.Job("j"); !j.Assigned || pending() != 1 {
		t.Fatalf("assigned: %t, pending: %d; want a job that is assigned and pending", j.Assigned, pending())
	}
	f.partitioned = false
	sim.run(2 * clock.Second)
	if got := pending(); got != 0 {
		t.Fatalf("pending = %d after the start, want 0", got)
	}
	sim.startLeader()
	sim.run(2 * clock.Second)
	if got := pending(); got != 0 {
		t.Fatalf("pending = %d under the next leader, want 0", got)
	}
}

// Guards against a caller that is down and attracts all ticket calls because its calls fail at once:
// 164 calls went to an instance that was down for 1.5 s, and a hundred steps waited.
func TestTicketCallsBackOffFromFailingCaller(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(flow.Queue{Name: "a", Prefix: "/a/", TicketPolicy: &flow.TicketPolicy{BaseDuration: 20, PerWorkerMicros: 100, TicketValidity: 2500}})
	sim.failingCallers = map[model.Instance]bool{"b": true}
	sim.startLeader()
	for i := range 10 {
		sim.addWorker(fmt.Sprintf("w%02d", i), workerSize)
	}
	sim.run(500)
	for i := range 50 {
		sim.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 1, Need: smallTask, Estimate: 500})
		sim.run(40)
	}
	sim.run(2 * clock.Second)
	sim.requireCompleted()
	// One call a second checks whether the caller is still down.
	if sim.failingCalls > 5 {
		t.Errorf("%d calls to a caller that is down in 4.5 s, want at most 5", sim.failingCalls)
	}
}

// Guards against tasks that stay forever on a worker that answers but makes no progress, and against
// new work for such a worker.
func TestStalledTasksRestartOnOtherWorkers(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.startLeader()
	for i := range 4 {
		sim.addWorker(fmt.Sprintf("w%d", i), workerSize).stalls = i == 0
	}
	sim.run(500)
	for i := range 60 {
		sim.submit("/a/", fmt.Sprintf("%016x", i), flow.Step{Count: 2, Need: smallTask, Estimate: 500, Gang: i%10 == 0})
		sim.run(100)
	}
	sim.run(20 * clock.Second)
	sim.requireCompleted()
	if restarts := sim.countRestarts(); restarts > 20 {
		t.Fatalf("120 tasks had %d attempts without progress, want at most 20", restarts)
	}
}

// Guards against a worker that vanishes without refusing connections and whose tasks are never
// declared lost: each call to it, though unanswered, renewed the lease that has to expire first.
func TestTasksOfUnresponsiveWorkerRestartAfterLeaseExpiry(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.startLeader()
	a, b := sim.addWorker("w0", workerSize), sim.addWorker("w1", workerSize)
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 2 * clock.Second, false }
	sim.run(500)
	sim.submit("/a/", "job", flow.Step{Count: 8, Need: smallTask, Estimate: 2000})
	sim.run(clock.Second)
	if len(a.attempts) != 4 || len(b.attempts) != 4 {
		t.Fatalf("%d and %d tasks run, want 4 on each worker", len(a.attempts), len(b.attempts))
	}
	a.alive, a.vanishes = false, true
	// The lease, 2% longer because the worker's clock may be slow, then the task once more, and a margin.
	sim.run(lease*102/100 + clock.Second + 2*clock.Second + clock.Second)
	sim.requireCompleted()
}

// Guards against tasks that are started again elsewhere while they run on a worker that was only cut off: where a
// link is cut, connections may be refused just as after the end of a process (TWICE).
func TestTasksOfCutOffWorkerRunOnce(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 10 * clock.Second, false }
	sim.startLeader()
	f := sim.addWorker("w0", workerSize)
	sim.run(clock.Second)
	sim.submit("/a/", "1", flow.Step{Count: 2, Need: smallTask, Estimate: 10 * clock.Second})
	sim.run(clock.Second)
	sim.addWorker("w1", workerSize)
	f.partitioned, f.refuses = true, true
	sim.run(3 * clock.Second)
	f.partitioned = false
	sim.run(10 * clock.Second)
	sim.requireCompleted()
	if got := sim.countStarts(); got != 2 {
		t.Fatalf("2 tasks were started %d times in all although their worker was only cut off", got)
	}
}

// Guards against tasks that start elsewhere while they run under the lease of an earlier leader (TWICE): the next one had
// its first report from their worker, and then couldn't call it for a time.
func TestLeaseOfEarlierLeaderLastsAfterFirstReport(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(newQueue("/a/"))
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 10 * clock.Second, false }
	sim.startLeader()
	sim.addWorker("w0", workerSize)
	sim.run(2 * lease)
	sim.submit("/a/", "1", flow.Step{Count: 2, Need: smallTask, Estimate: 10 * clock.Second})
	sim.run(clock.Second)
	sim.addWorker("w1", workerSize)
	sim.startLeader()
	sim.run(transitTime + 10)
	sim.mayNotCall = true // the first holds are answered
	sim.run(2200)
	sim.mayNotCall = false
	sim.run(20 * clock.Second)
	sim.requireCompleted()
	if got := sim.countStarts(); got != 2 {
		t.Fatalf("2 tasks were started %d times in all although their worker ran them", got)
	}
}
