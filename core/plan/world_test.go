package plan_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
)

// Durations in the simulation.
const (
	transitTime = 30 * clock.Millisecond
	commitTime  = 70 * clock.Millisecond
	stopTime    = 300 * clock.Millisecond
	lease       = 4500 * clock.Millisecond
	maxLease    = 10 * clock.Second
	gangTimeout = 3 * clock.Second
)

// testingT is the common part of testing.T and rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// simulation drives a planner against simulated workers that behave like real ones: they check fencing
// tokens, keep leases on their own clocks, report ends until these are acknowledged, and may carry out
// orders late. It checks the guarantees of the planner by what the workers do.
type simulation struct {
	t       testingT
	rng     *rand.Rand
	now     clock.Millis
	events  eventQueue
	lastSeq int
	state   *ledger.State
	planner *plan.Planner
	term    uint64
	workers map[model.WorkerID]*fakeWorker
	// listeners holds the last process at each address, up or not.
	listeners  map[string]*fakeWorker
	startTimes map[flow.Incarnation]bool
	// checksProcess is the contract of fleet.Workers: a call reaches no other process than the one that it is meant for.
	// Without it, it reaches the one that listens at the address under the same identifier.
	checksProcess bool
	// isRough is set if answers overtake each other, calls that a cut holds up are carried out after it, processes are
	// known only once they have reached the leader, and announcements of processes that have ended arrive late.
	isRough bool
	// mayNotCall is set while the leader has no valid lease of its own, so that it sends no holds.
	mayNotCall bool
	// answerDelay returns how much longer than usual an answer of a process takes; it may be nil.
	answerDelay func(*fakeWorker) clock.Millis
	// lostAnswerShare is the share of calls without an answer: a third of them are carried out
	// late, a third at once, and a third never; besides, as many start orders are not sent.
	lostAnswerShare float64
	// swallowStarts is the number of start orders yet to come that are neither carried out nor answered.
	swallowStarts int
	// loseStart selects start orders that are not sent; it may be nil.
	loseStart func(plan.Start) bool
	// taskWork returns how long a task takes, and whether it fails.
	taskWork       func(flow.Task, *fakeWorker) (clock.Millis, bool)
	succeeded      map[flow.Task]bool
	startedAgain   map[flow.Task]run          // the last start of a task after a success
	ackedAt        map[flow.Task]clock.Millis // when the success of a task was acknowledged
	starts         map[flow.Task]int
	byStep         map[string][]member // attempts by step, ended ones included until the next start
	gangTimeouts   int
	isPermitted    func(step string, id model.WorkerID) bool
	ticketCalls    int
	ticketCallTime clock.Millis
	callers        []model.Instance
	// maxTicketTransit is the longest transit of a ticket call. If it is set, a call takes the time of its
	// queue's policy besides, and each caller makes one call at a time.
	maxTicketTransit clock.Millis
	callerBusyUntil  map[model.Instance]clock.Millis
	// farCallers need two more transits for a ticket call; farCalls counts their calls.
	farCallers map[model.Instance]bool
	farCalls   int
	// failingCallers fail each call at once; failingCalls counts their calls.
	failingCallers map[model.Instance]bool
	failingCalls   int
	addNearWorkers bool // whether added workers are near the leader
	logLines       []string
	endedAt        map[model.JobID]clock.Millis
	steps          map[model.JobID][]flow.Step // as first submitted; the state drops those of settled jobs
	// passBeforeApply runs a placement pass right before each command is applied, so that the pass that follows
	// from the command is delayed, as on a busy leader.
	passBeforeApply bool
	features        plan.Features
	onLog           func(plan.LogEvent) // may be nil
	loadRNG         *rand.Rand          // draws the jobs of a replayed load
	// declaresTruth is set if the estimates of the load are right although those of its kinds are off.
	declaresTruth bool
	// loggedBytes is the size of the committed commands, runTimeBytes the part of it that holds run times.
	loggedBytes, runTimeBytes int
	// ordersByArrival replaces the order of waiting steps by first come, first served.
	ordersByArrival bool
	// exactProgress makes workers report how much of a task's work is done.
	exactProgress bool
	// crashesWorker selects tasks that end the process of each worker that starts them; it may be nil.
	crashesWorker func(flow.Task) bool
	// crashesUnder counts the workers that crashed while they ran a task, startsAfterCrashes the later starts
	// of a task that ends workers and has ended maxCrashesBeforeBudget of them.
	crashesUnder       map[flow.Task]int
	startsAfterCrashes map[flow.Task]int
	caps               map[string][]capInForce // by team, the newest last
	// manyJobs leaves out what takes time for each job or attempt at each event: the times of ends, statistics, and
	// the check of caps.
	manyJobs bool
	// carriers carry the calls to workers; without them the leader makes the calls itself.
	carriers *carriers
	// violations counts violated guarantees by kind; if it is nil, the first one fails the test.
	violations map[violation]int
}

type event struct {
	at  clock.Millis
	seq int
	run func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// fakeWorker simulates one incarnation of a worker.
type fakeWorker struct {
	flow.Worker
	upSince            clock.Millis // when its process started; StartedAt is that time on its machine's wall clock
	firstClock         clock.Millis // its clock at that time
	slowPercent        clock.Millis // by how many percent its clock runs slow
	alive, partitioned bool
	isNear             bool               // transit to the leader takes 1 ms
	slowness           float64            // factor of the time that tasks take, 0 is 1
	stalls             bool               // its tasks make no progress
	vanishes           bool               // when it is down, calls get no answer instead of a refused connection
	refuses            bool               // when it is partitioned, connections to it are refused, as if its process had ended
	slowReports        *rand.Rand         // draws how long after its list it reads its clock for a report, or nil
	losesAnswers       bool               // answers on their way are lost when its process ends
	listedDone         map[flow.Task]bool // tasks whose success it has listed in an answer, delivered or not
	fencingToken       uint64
	leaseEnd           clock.Millis // on the worker's clock
	attempts           map[string]*fakeAttempt
	ends               []plan.EndedAttempt
	lastEndNumber      int64
	highestAttempt     map[flow.Task]int
	formerCapacity     model.Size    // before it shrank
	shrunkAt           clock.Millis  // when the capacity shrank last, or 0
	leaseLapses        int           // number of times that the lease expired
	lapsesAtSuccess    map[int64]int // leaseLapses at the ends that are successes, by number
}

type fakeAttempt struct {
	task      flow.Task
	attempt   int
	startedAt clock.Millis
	working   bool
	ended     bool
	// workedSince and work are set if the worker reports how much of the work is done.
	workedSince, work clock.Millis
}

// run is an attempt in one process.
type run struct {
	f       *fakeWorker
	attempt int
}

// member is an attempt of a task of a step on a worker.
type member struct {
	f *fakeWorker
	r *fakeAttempt
}

// members returns the attempts of a task's step that have not ended.
func (sim *simulation) members(t flow.Task) []member {
	return slices.DeleteFunc(slices.Clone(sim.byStep[t.StepName()]), func(m member) bool { return m.r.ended || !m.f.alive })
}

func newSimulation(t testingT, seed uint64) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: 1_000_000, state: ledger.New(),
		workers: map[model.WorkerID]*fakeWorker{}, listeners: map[string]*fakeWorker{}, startTimes: map[flow.Incarnation]bool{}, checksProcess: true,
		succeeded: map[flow.Task]bool{}, startedAgain: map[flow.Task]run{}, ackedAt: map[flow.Task]clock.Millis{},
		callerBusyUntil: map[model.Instance]clock.Millis{}, starts: map[flow.Task]int{}, byStep: map[string][]member{}, endedAt: map[model.JobID]clock.Millis{}, ticketCallTime: 40,
		steps: map[model.JobID][]flow.Step{}, callers: []model.Instance{"a", "b", "c"},
		crashesUnder: map[flow.Task]int{}, startsAfterCrashes: map[flow.Task]int{}, caps: map[string][]capInForce{},
	}
	sim.taskWork = func(flow.Task, *fakeWorker) (clock.Millis, bool) { return 500, false }
	sim.isPermitted = func(string, model.WorkerID) bool { return true }
	return sim
}

func (sim *simulation) after(d clock.Millis, run func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{sim.now + d, sim.lastSeq, run})
}

// run advances the time and runs the events that become due.
func (sim *simulation) run(d clock.Millis) {
	end := sim.now + d
	for {
		if len(sim.events) == 0 || sim.events[0].at > end {
			break
		}
		next := heap.Pop(&sim.events).(event)
		sim.now = max(sim.now, next.at)
		next.run()
	}
	sim.now = end
}

func (sim *simulation) configure(queues ...flow.Queue) {
	for i := range queues {
		queues[i].Host, queues[i].Pool, queues[i].Timeout = "h", "pool", 3000
		if queues[i].Stretch == 0 {
			queues[i].Stretch, queues[i].Target = 2, 1000
		}
		if queues[i].Attempts == 0 {
			queues[i].Attempts = 4
		}
	}
	sim.state.Apply(ledger.Configure{Config: flow.Config{Version: 1, Queues: queues, Pools: []flow.Pool{{Name: "pool"}}}})
}

// startLeader starts a planner for the next term. Events of earlier terms have no effect from then on.
func (sim *simulation) startLeader() {
	sim.term++
	if sim.carriers != nil {
		sim.carriers.takeOver()
	}
	p, out := plan.New(sim.now, plan.Config{Term: sim.term, Lease: lease, MaxLease: maxLease, StopTimeout: stopTime, GangTimeout: gangTimeout, Features: sim.features}, sim.state)
	if sim.ordersByArrival {
		p.OrderByArrival()
	}
	sim.planner = p
	sim.execute(sim.term, out)
	sim.step(sim.term, plan.CallersChanged{List: sim.callers})
	sim.tick(sim.term)
}

func (sim *simulation) tick(term uint64) {
	if term != sim.term {
		return
	}
	sim.step(term, plan.Tick{})
	sim.after(50, func() { sim.tick(term) })
}

func (sim *simulation) step(term uint64, e plan.Event) {
	if term == sim.term {
		sim.execute(term, sim.planner.Step(sim.now, e))
	}
}

func (sim *simulation) execute(term uint64, list []plan.Decision) {
	for _, d := range list {
		switch d := d.(type) {
		case plan.Propose:
			sim.propose(term, d.Command)
		case plan.Start:
			sim.sendStart(term, d)
		case plan.Stop:
			if sim.carriers != nil {
				sim.carriers.stop(term, d)
				break
			}
			sim.sendStop(term, d)
		case plan.TicketRequest:
			sim.ticketCalls++
			if sim.failingCallers[d.Caller] {
				sim.failingCalls++
				sim.after(1, func() { sim.step(term, plan.TicketsAnswered{Request: d}) })
				break
			}
			took := sim.ticketCallTime
			if sim.maxTicketTransit > 0 {
				took = sim.ticketCallDuration(d)
			}
			if sim.farCallers[d.Caller] {
				took += 2 * transitTime
				sim.farCalls++
			}
			sim.after(took, func() { sim.answerTicketCall(term, d) })
		case plan.WatchWorker:
			sim.sendHold(term, d.Worker)
		case plan.LogEvent:
			if sim.onLog != nil {
				sim.onLog(d)
			}
			sim.logLines = append(sim.logLines, fmt.Sprintf("%d %s %s %s #%d on %s: %s", sim.now, d.Event, d.Job, d.Task, d.Attempt, d.Worker.ID, d.Cause))
		}
	}
}

// propose commits a command after commitTime unless the term has ended by then.
func (sim *simulation) propose(term uint64, c ledger.Command) {
	data, err := ledger.Encode(c)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.after(commitTime, func() {
		if term != sim.term {
			return
		}
		sim.countLogged(c, len(data))
		decoded, err := ledger.Decode(data)
		if err != nil {
			sim.t.Fatal(err)
		}
		sim.apply(decoded)
	})
}

func (sim *simulation) apply(c ledger.Command) {
	if sim.passBeforeApply && sim.planner != nil {
		sim.execute(sim.term, sim.planner.Step(sim.now, plan.Tick{}))
	}
	outcome := sim.state.Apply(c)
	if sim.planner != nil {
		sim.execute(sim.term, sim.planner.Step(sim.now, plan.Applied{Command: c, Outcome: outcome}))
		if !sim.manyJobs {
			sim.planner.Stats() // it may be called between any two steps
		}
	}
	if sim.manyJobs {
		return
	}
	for id, j := range sim.state.Jobs() {
		if j.HasEnded() && sim.endedAt[id] == 0 {
			sim.endedAt[id] = sim.now
		}
	}
}

func (sim *simulation) submit(queue string, id string, steps ...flow.Step) {
	if sim.steps[model.JobID(id)] == nil {
		sim.steps[model.JobID(id)] = steps
	}
	sim.apply(ledger.Submit{Host: "h", Path: queue + id, Job: flow.Job{Spec: id, Steps: steps}, Now: sim.now})
}

func (sim *simulation) addWorker(id string, size model.Size, labels ...string) *fakeWorker {
	return sim.addWorkerAt(id, id, size, labels...)
}

// addWorkerAt adds a worker at an address, where another one may have been before.
func (sim *simulation) addWorkerAt(address, id string, size model.Size, labels ...string) *fakeWorker {
	f := sim.startProcess(address, id, sim.now, size, labels...)
	sim.announce(f)
	return f
}

func (f *fakeWorker) progress(now clock.Millis, r *fakeAttempt) int {
	if f.stalls {
		return 0
	}
	if r.work > 0 {
		return int(min(max(now-r.workedSince, 0)*100/r.work, 99))
	}
	// The duration of the task is not known here; the percentage only has to rise and stay under 100.
	elapsed := int(now - r.startedAt)
	return elapsed * 100 / (elapsed + 1000)
}

func (f *fakeWorker) transit() clock.Millis {
	if f.isNear {
		return 1
	}
	return transitTime
}

// clockOf returns the worker's clock.
func (sim *simulation) clockOf(f *fakeWorker) clock.Millis {
	age := sim.now - f.upSince
	return f.firstClock + age - age*f.slowPercent/100
}

func attemptKey(t flow.Task, attempt int) string { return fmt.Sprintf("%s/%d", t, attempt) }

// handleStart handles a start order that reaches a process as a worker does, and checks the guarantees of the planner.
func (sim *simulation) handleStart(term uint64, d plan.Start, f *fakeWorker) plan.Verdict {
	sim.expireLease(f)
	if term < f.fencingToken {
		return plan.VerdictFenced
	}
	f.fencingToken = term
	if d.Expires <= sim.clockOf(f) {
		if f.attempts[attemptKey(d.Task, d.Attempt)] != nil {
			return plan.VerdictDone
		}
		return plan.VerdictExpired
	}
	f.extendLease(sim.clockOf(f), d.Expires)
	k := attemptKey(d.Task, d.Attempt)
	switch {
	case f.attempts[k] != nil:
		return plan.VerdictDone
	case d.Attempt <= f.highestAttempt[d.Task]:
		return plan.VerdictAttemptEnded
	case f.StartedAt != d.Worker.StartedAt && !sim.chargedWith(f, d.Task).FitsIn(f.Capacity):
		return plan.VerdictNoCapacity
	}
	sim.checkStart(f, d)
	r := &fakeAttempt{task: d.Task, attempt: d.Attempt, startedAt: sim.now}
	f.attempts[k] = r
	sim.starts[d.Task]++
	sim.crashWorkerOf(f, d.Task)
	sim.byStep[d.Task.StepName()] = append(sim.members(d.Task), member{f, r})
	if step := sim.stepOf(d.Task); step.Gang {
		sim.after(gangTimeout, func() {
			if !r.working && !r.ended && f.alive {
				sim.gangTimeouts++
				sim.endAttempt(f, r, ledger.EndGangTimeout)
			}
		})
		sim.startGangIfComplete(d.Task, d.Attempt)
	} else {
		sim.startWork(f, r)
	}
	return plan.VerdictDone
}

func (sim *simulation) stepOf(t flow.Task) flow.Step { return sim.steps[t.Job][t.Step] }

// checkStart fails the test if a start violates a guarantee of the planner.
func (sim *simulation) checkStart(f *fakeWorker, d plan.Start) {
	if at, ok := sim.ackedAt[d.Task]; ok {
		sim.violate(startAfterSuccess, "task %s starts on %s after its success was acknowledged at %d", d.Task, f.ID, at)
	}
	if sim.succeeded[d.Task] {
		sim.startedAgain[d.Task] = run{f, d.Attempt}
	}
	if total := sim.chargedWith(f, d.Task); !total.FitsIn(sim.startCapacity(f)) {
		sim.violate(otherViolation, "worker %s with capacity %s is charged %s with task %s", f.ID, f.Capacity, total, d.Task)
	}
	sim.checkCap(d.Task)
	for _, m := range sim.members(d.Task) {
		sim.expireLease(m.f)
		if m.r.task == d.Task && !m.r.ended {
			sim.violate(twoRuns, "task %s starts on %s while attempt %d runs on %s", d.Task, f.ID, m.r.attempt, m.f.ID)
		}
	}
	job := sim.state.Job(d.Task.Job)
	if job.IsSettled() {
		sim.violate(otherViolation, "task %s starts although its job has ended and all its attempts are settled", d.Task)
		return
	}
	for _, a := range sim.stepOf(d.Task).After {
		if job.Steps[d.Task.Occurrence][a].TasksLeft > 0 {
			sim.violate(otherViolation, "task %s starts before step %d is done", d.Task, a)
		}
	}
	placed := 0
	for _, r := range f.attempts {
		if r.task.StepName() == d.Task.StepName() {
			placed++
		}
	}
	if s := sim.stepOf(d.Task).MaxPerWorker; s > 0 && placed >= s {
		sim.violate(otherViolation, "worker %s gets more than %d tasks of step %s", f.ID, s, d.Task.StepName())
	}
	if policy := job.Queue.TicketPolicy; policy != nil && d.Ticket != ticketOf(d.Task.StepName(), f.ID) {
		sim.violate(otherViolation, "task %s starts on %s with invalid ticket %q", d.Task, f.ID, d.Ticket)
	}
}

// chargedWith returns what the tasks of a process need together with another one.
func (sim *simulation) chargedWith(f *fakeWorker, t flow.Task) model.Size {
	total := sim.stepOf(t).Charge()
	for _, r := range f.attempts {
		total = total.Plus(sim.stepOf(r.task).Charge())
	}
	return total
}

// violation is a kind of violated guarantee.
type violation string

const (
	twoRuns           violation = "two runs at once"
	startAfterSuccess violation = "start after an acknowledged success"
	otherViolation    violation = "other"
)

// violate fails the test, or counts the violation.
func (sim *simulation) violate(kind violation, format string, args ...any) {
	sim.t.Helper()
	if sim.violations == nil {
		sim.failf(format, args...)
		return
	}
	sim.violations[kind]++
}

func (sim *simulation) failf(format string, args ...any) {
	sim.t.Helper()
	last := sim.logLines[max(0, len(sim.logLines)-400):]
	sim.t.Fatalf("at %d: %s\nlast decisions:\n%s", sim.now, fmt.Sprintf(format, args...), strings.Join(last, "\n"))
}

// startGangIfComplete starts the work of a gang once all its members of one attempt have started.
func (sim *simulation) startGangIfComplete(t flow.Task, attempt int) {
	all := slices.DeleteFunc(sim.members(t), func(m member) bool { return m.r.attempt != attempt })
	slices.SortStableFunc(all, func(a, b member) int { return cmp.Compare(a.f.ID, b.f.ID) })
	if len(all) < sim.stepOf(t).Count {
		return
	}
	for _, m := range all {
		m.r.working = true
	}
	slowest := slices.MaxFunc(all, func(a, b member) int { return cmp.Compare(a.f.slowness, b.f.slowness) })
	took, failed := sim.taskWork(t, slowest.f)
	for _, m := range all {
		sim.noteWork(m.r, took)
	}
	sim.after(took, func() {
		for _, m := range all {
			if m.r.ended || !m.f.alive {
				failed = true
			}
		}
		for i, m := range all {
			end := ledger.EndDone
			if failed {
				end = ledger.EndGangStopped
				if i == 0 {
					end = ledger.EndFailed
				}
			}
			sim.endAttempt(m.f, m.r, end)
		}
	})
}

func (sim *simulation) sortedWorkers() []*fakeWorker {
	var list []*fakeWorker
	for _, f := range sim.workers {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b *fakeWorker) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (sim *simulation) startWork(f *fakeWorker, r *fakeAttempt) {
	r.working = true
	if f.stalls {
		return
	}
	took, failed := sim.taskWork(r.task, f)
	sim.noteWork(r, took)
	sim.after(took, func() {
		end := ledger.EndDone
		if failed {
			end = ledger.EndFailed
		}
		sim.endAttempt(f, r, end)
	})
}

// noteWork records how long an attempt works, if workers report it.
func (sim *simulation) noteWork(r *fakeAttempt, took clock.Millis) {
	if sim.exactProgress {
		r.workedSince, r.work = sim.now, took
	}
}

// endAttempt ends an attempt if it still runs.
func (sim *simulation) endAttempt(f *fakeWorker, r *fakeAttempt, end ledger.End) {
	if r.ended || !f.alive {
		return
	}
	sim.expireLease(f)
	if r.ended {
		return
	}
	sim.recordEnd(f, r, end)
}

func (sim *simulation) recordEnd(f *fakeWorker, r *fakeAttempt, end ledger.End) {
	r.ended = true
	delete(f.attempts, attemptKey(r.task, r.attempt))
	f.highestAttempt[r.task] = max(f.highestAttempt[r.task], r.attempt)
	f.lastEndNumber++
	f.ends = append(f.ends, plan.EndedAttempt{EndNumber: f.lastEndNumber, Task: r.task, Attempt: r.attempt, End: end})
	if end == ledger.EndDone {
		sim.succeeded[r.task] = true
		f.lapsesAtSuccess[f.lastEndNumber] = f.leaseLapses
	}
}

// expireLease ends all attempts of a worker whose lease has expired.
func (sim *simulation) expireLease(f *fakeWorker) {
	if !f.alive || sim.clockOf(f) <= f.leaseEnd {
		return
	}
	for _, k := range sortedKeys(f.attempts) {
		sim.recordEnd(f, f.attempts[k], ledger.EndLeaseExpired)
	}
}

func sortedKeys(m map[string]*fakeAttempt) []string {
	var list []string
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// handleStop handles a stop order that reaches a process as a worker does.
func (sim *simulation) handleStop(term uint64, d plan.Stop, f *fakeWorker) plan.Verdict {
	if term < f.fencingToken {
		return plan.VerdictFenced
	}
	f.fencingToken = term
	f.highestAttempt[d.Task] = max(f.highestAttempt[d.Task], d.Attempt)
	if r := f.attempts[attemptKey(d.Task, d.Attempt)]; r != nil {
		sim.after(stopTime, func() { sim.endAttempt(f, r, ledger.EndStopped) })
	}
	return plan.VerdictDone
}

// reportDelay returns how long after its list a worker reads its clock for a report.
func (f *fakeWorker) reportDelay() clock.Millis {
	if f.slowReports == nil {
		return 0
	}
	return clock.Millis(f.slowReports.Int64N(40))
}

// extendLease extends the lease to a time on the worker's clock, by the longest lease at most.
func (f *fakeWorker) extendLease(now, expires clock.Millis) {
	if now > f.leaseEnd {
		f.leaseLapses++
	}
	f.leaseEnd = max(f.leaseEnd, min(expires, now+maxLease))
}

// renewLease handles a hold that reaches a process as a worker does.
func (sim *simulation) renewLease(term uint64, h plan.Hold, f *fakeWorker) {
	sim.expireLease(f)
	if term < f.fencingToken {
		return
	}
	f.fencingToken = term
	f.extendLease(sim.clockOf(f), h.Expires)
	f.ends = slices.DeleteFunc(f.ends, func(e plan.EndedAttempt) bool {
		if e.EndNumber > h.AckedThrough {
			return false
		}
		// An end whose worker's lease has expired since then stands for nothing: the task may run again.
		if e.End == ledger.EndDone && f.leaseLapses == f.lapsesAtSuccess[e.EndNumber] {
			sim.noteAcked(f, e)
		}
		return true
	})
}

// noteAcked records that a process forgets the success of a task, and checks that it stands for good.
func (sim *simulation) noteAcked(f *fakeWorker, e plan.EndedAttempt) {
	sim.ackedAt[e.Task] = sim.now
	if again, ok := sim.startedAgain[e.Task]; ok && again != (run{f, e.Attempt}) {
		sim.violate(startAfterSuccess, "task %s was started again on %s although it succeeded on %s", e.Task, again.f.ID, f.ID)
	}
	// The state drops the task records of a job once all its attempts are settled.
	j := sim.state.Job(e.Task.Job)
	if !j.IsSettled() && !j.Steps[e.Task.Occurrence][e.Task.Step].Tasks[e.Task.Index].Done {
		sim.violate(otherViolation, "end of task %s is acknowledged before it is committed", e.Task)
	}
}

// reportOf returns a worker's answer to a hold.
func (sim *simulation) reportOf(f *fakeWorker) plan.HoldAnswered {
	answer := plan.HoldAnswered{Clock: sim.clockOf(f), Finished: slices.Clone(f.ends)}
	for _, k := range sortedKeys(f.attempts) {
		r := f.attempts[k]
		answer.Running = append(answer.Running, plan.RunningAttempt{Task: r.task, Attempt: r.attempt, Percent: f.progress(sim.now, r)})
	}
	for _, e := range f.ends {
		f.listedDone[e.Task] = e.End == ledger.EndDone
	}
	return answer
}

// ticketCallDuration returns how long a call takes at a service that handles the calls of each caller in
// turn.
func (sim *simulation) ticketCallDuration(d plan.TicketRequest) clock.Millis {
	policy := sim.state.Job(d.Task.Job).Queue.TicketPolicy
	transit := clock.Millis(sim.rng.Int64N(int64(sim.maxTicketTransit)))
	busy := max(sim.callerBusyUntil[d.Caller], sim.now+transit) + policy.BaseDuration + clock.Millis(policy.PerWorkerMicros*int64(len(d.Workers))/1000)
	sim.callerBusyUntil[d.Caller] = busy
	return busy + transit - sim.now
}

func ticketOf(step string, id model.WorkerID) string { return step + "@" + string(id) }

func (sim *simulation) answerTicketCall(term uint64, d plan.TicketRequest) {
	a := plan.TicketsAnswered{Request: d, OK: true, Tickets: map[flow.Incarnation]string{}, Validity: 2500}
	for _, process := range d.Workers {
		if sim.isPermitted(d.Task.StepName(), process.ID) {
			a.Tickets[process] = ticketOf(d.Task.StepName(), process.ID)
		}
	}
	sim.step(term, a)
}

// countStarts counts the starts of all tasks.
func (sim *simulation) countStarts() int {
	total := 0
	for _, n := range sim.starts {
		total += n
	}
	return total
}

// countRestarts counts the starts of tasks beyond their first.
func (sim *simulation) countRestarts() int {
	extra := 0
	for _, n := range sim.starts {
		extra += n - 1
	}
	return extra
}

// requireCompleted fails the test unless all jobs are completed.
func (sim *simulation) requireCompleted() {
	sim.t.Helper()
	for id, j := range sim.state.Jobs() {
		if j.Phase() != ledger.PhaseCompleted {
			sim.failf("job %s is %s, want completed", id, j.Phase())
		}
	}
}
