package plan_test

import (
	"cmp"
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

// Times of the simulated world.
const (
	transit  = 30 * clock.Millisecond
	commit   = 70 * clock.Millisecond
	stopTime = 300 * clock.Millisecond
	lease    = 4500 * clock.Millisecond
	maxLease = 10 * clock.Second
	gangWait = 3 * clock.Second
)

// tb is what testing.T and rapid.T share.
type tb interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// world drives a planner against simulated workers that obey the rules of real ones: fences,
// leases on their own clocks, ends that are listed until acknowledged, orders carried out late. It
// checks the promises from what the workers do.
type world struct {
	t       tb
	rng     *rand.Rand
	now     clock.Millis
	queue   []timed
	seq     int
	state   *ledger.State
	planner *plan.Planner
	term    uint64
	workers map[model.WorkerID]*fake
	// lose is the share of orders without an answer: a third of them are carried out late, a third at
	// once.
	lose float64
	// work returns how long a task takes, and whether it fails.
	work    func(flow.Task, *fake) (clock.Millis, bool)
	done    map[flow.Task]bool
	again   map[flow.Task]model.WorkerID // started after a success that is not yet acknowledged
	noted   map[flow.Task]clock.Millis   // ends done that were acknowledged
	starts  map[flow.Task]int
	alone   int
	permits func(step string, id model.WorkerID) bool
	asks    int
	advice  clock.Millis // length of a ticket call
	callers []model.Instance
	// farCallers need two more transits for a ticket call; farAsks counts their calls.
	farCallers map[model.Instance]bool
	farAsks    int
	// badCallers fail at once; badAsks counts their calls.
	badCallers map[model.Instance]bool
	badAsks    int
	near       bool // workers that are added are next to the leader
	notes      []string
	finish     map[model.JobID]clock.Millis
	shapes     map[model.JobID][]flow.Step // as submitted first; the state drops those of settled jobs
}

type timed struct {
	at  clock.Millis
	seq int
	do  func()
}

// fake is one life of a worker.
type fake struct {
	flow.Worker
	skew    clock.Millis
	up, cut bool
	near    bool // next to the leader
	hung    bool // what it starts stands still
	vanish  bool // once it is down, calls get no answer instead of being refused
	fence   uint64
	until   clock.Millis // lease, on the worker's clock
	runs    map[string]*fakeRun
	ends    []plan.Finished
	count   int64
	highest map[flow.Task]int
	lapses  int               // times that the lease ended
	endedIn map[flow.Task]int // lapses when a task was done
}

type fakeRun struct {
	task    flow.Task
	attempt int
	began   clock.Millis
	working bool
	dead    bool
}

func newWorld(t tb, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: 1_000_000, state: ledger.New(),
		workers: map[model.WorkerID]*fake{}, done: map[flow.Task]bool{}, again: map[flow.Task]model.WorkerID{}, noted: map[flow.Task]clock.Millis{},
		starts: map[flow.Task]int{}, finish: map[model.JobID]clock.Millis{}, advice: 40,
		shapes: map[model.JobID][]flow.Step{}, callers: []model.Instance{"a", "b", "c"},
	}
	w.work = func(flow.Task, *fake) (clock.Millis, bool) { return 500, false }
	w.permits = func(string, model.WorkerID) bool { return true }
	return w
}

func (w *world) after(d clock.Millis, do func()) {
	w.seq++
	w.queue = append(w.queue, timed{w.now + d, w.seq, do})
}

// run lets time pass.
func (w *world) run(d clock.Millis) {
	end := w.now + d
	for {
		if len(w.queue) == 0 {
			break
		}
		at := 0
		for i, q := range w.queue {
			if cmp.Or(cmp.Compare(q.at, w.queue[at].at), cmp.Compare(q.seq, w.queue[at].seq)) < 0 {
				at = i
			}
		}
		next := w.queue[at]
		if next.at > end {
			break
		}
		w.queue = slices.Delete(w.queue, at, at+1)
		w.now = max(w.now, next.at)
		next.do()
	}
	w.now = end
}

func (w *world) config(queues ...flow.Queue) {
	for i := range queues {
		queues[i].Host, queues[i].Pool, queues[i].Timeout = "h", "pool", 3000
		if queues[i].Stretch == 0 {
			queues[i].Stretch, queues[i].Target = 2, 1000
		}
		if queues[i].Attempts == 0 {
			queues[i].Attempts = 4
		}
	}
	w.state.Apply(ledger.Configure{Config: flow.Config{Version: 1, Queues: queues, Pools: []flow.Pool{{Name: "pool"}}}})
}

// lead starts a planner for the next term; events of the last one have no effect any more.
func (w *world) lead() {
	w.term++
	p, out := plan.New(w.now, plan.Config{Term: w.term, Lease: lease, MaxLease: maxLease, Stop: stopTime, Gang: gangWait}, w.state)
	w.planner = p
	w.perform(w.term, out)
	w.step(w.term, plan.Callers{List: w.callers})
	w.tick(w.term)
}

func (w *world) tick(term uint64) {
	if term != w.term {
		return
	}
	w.step(term, plan.Tick{})
	w.after(50, func() { w.tick(term) })
}

func (w *world) step(term uint64, e plan.Event) {
	if term == w.term {
		w.perform(term, w.planner.Step(w.now, e))
	}
}

func (w *world) perform(term uint64, list []plan.Decision) {
	for _, d := range list {
		switch d := d.(type) {
		case plan.Propose:
			w.propose(term, d.Command)
		case plan.Start:
			w.send(term, d)
		case plan.Stop:
			w.after(transit, func() { w.stopRun(term, d) })
		case plan.Ask:
			w.asks++
			if w.badCallers[d.Caller] {
				w.badAsks++
				w.after(1, func() { w.step(term, plan.Advised{Ask: d}) })
				break
			}
			took := w.advice
			if w.farCallers[d.Caller] {
				took += 2 * transit
				w.farAsks++
			}
			w.after(took, func() { w.advise(term, d) })
		case plan.Watch:
			w.hold(term, d.Worker)
		case plan.Note:
			w.notes = append(w.notes, fmt.Sprintf("%d %s %s %s #%d on %s: %s", w.now, d.Event, d.Job, d.Task, d.Attempt, d.Worker, d.Cause))
		}
	}
}

// propose commits a command unless leadership is lost before.
func (w *world) propose(term uint64, c ledger.Command) {
	data, err := ledger.Encode(c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.after(commit, func() {
		if term != w.term {
			return
		}
		decoded, err := ledger.Decode(data)
		if err != nil {
			w.t.Fatal(err)
		}
		w.apply(decoded)
	})
}

func (w *world) apply(c ledger.Command) {
	w.state.Apply(c)
	if w.planner != nil {
		w.perform(w.term, w.planner.Step(w.now, plan.Applied{Command: c}))
	}
	for id, j := range w.state.Jobs() {
		if j.Over() && w.finish[id] == 0 {
			w.finish[id] = w.now
		}
	}
}

func (w *world) submit(queue string, id string, steps ...flow.Step) {
	if w.shapes[model.JobID(id)] == nil {
		w.shapes[model.JobID(id)] = steps
	}
	w.apply(ledger.Submit{Host: "h", Path: queue + id, Job: flow.Job{Spec: id, Steps: steps}, Now: w.now})
}

func (w *world) addWorker(id string, size model.Size, labels ...string) *fake {
	f := &fake{
		Worker: flow.Worker{ID: model.WorkerID(id), Born: w.now, Pool: "pool", Address: id, Capacity: size, Labels: labels, Seq: 1},
		up:     true, near: w.near, runs: map[string]*fakeRun{}, highest: map[flow.Task]int{}, endedIn: map[flow.Task]int{},
	}
	f.skew = -w.now + clock.Millis(w.rng.Int64N(1000))
	w.workers[f.ID] = f
	w.apply(ledger.Enlist{Worker: f.Worker})
	return f
}

func (f *fake) progress(now clock.Millis, r *fakeRun) int {
	if f.hung {
		return 0
	}
	// The length of the work is not known here; what counts is that the figure rises and stays under 100.
	elapsed := int(now - r.began)
	return elapsed * 100 / (elapsed + 1000)
}

func (f *fake) transit() clock.Millis {
	if f.near {
		return 1
	}
	return transit
}

// clockOf is the worker's clock, up to 2% slow.
func (w *world) clockOf(f *fake) clock.Millis {
	age := w.now - f.Born
	return f.Born + f.skew + age - age*2/100
}

func (w *world) find(l flow.Worker) *fake {
	f := w.workers[l.ID]
	if f == nil || f.Born != l.Born {
		return nil
	}
	return f
}

func (w *world) reach(f *fake) bool { return f != nil && f.up && !f.cut }

// send delivers a start: at once, late, or never.
func (w *world) send(term uint64, d plan.Start) {
	answer := func(v plan.Verdict, at clock.Millis) {
		w.after(transit, func() {
			w.step(term, plan.Answered{Worker: plan.Life{ID: d.Worker.ID, Born: d.Worker.Born}, Task: d.Task, Attempt: d.Attempt, Verdict: v, Clock: at})
		})
	}
	if w.rng.Float64() < w.lose {
		switch w.rng.IntN(3) {
		case 0:
			w.after(clock.Millis(2000+w.rng.IntN(10_000)), func() { w.start(term, d) })
		case 1:
			w.after(transit, func() { w.start(term, d) }) // only the answer is lost
		}
		w.after(600, func() { answer(plan.VerdictUnknown, 0) })
		return
	}
	w.after(transit, func() {
		if !w.reach(w.find(d.Worker)) {
			w.after(600, func() { answer(plan.VerdictUnknown, 0) })
			return
		}
		v := w.start(term, d)
		answer(v, w.clockOf(w.find(d.Worker)))
	})
}

func key(t flow.Task, attempt int) string { return fmt.Sprintf("%s/%d", t, attempt) }

// start carries a start order out as a worker does, and checks what must hold.
func (w *world) start(term uint64, d plan.Start) plan.Verdict {
	f := w.find(d.Worker)
	if !w.reach(f) {
		return plan.VerdictUnknown
	}
	w.lapse(f)
	if term < f.fence {
		return plan.VerdictFence
	}
	f.fence = term
	k := key(d.Task, d.Attempt)
	if f.runs[k] != nil {
		return plan.VerdictDone
	}
	if d.Expires <= w.clockOf(f) {
		return plan.VerdictLate
	}
	if w.clockOf(f) > f.until {
		f.lapses++
	}
	f.until = max(f.until, d.Expires)
	if d.Attempt <= f.highest[d.Task] {
		return plan.VerdictOld
	}
	w.check(f, d)
	r := &fakeRun{task: d.Task, attempt: d.Attempt, began: w.now}
	f.runs[k] = r
	w.starts[d.Task]++
	if shape := w.shape(d.Task); shape.Gang {
		w.after(gangWait, func() {
			if !r.working && !r.dead && f.up {
				w.alone++
				w.end(f, r, ledger.EndAlone)
			}
		})
		w.joinGang(d.Task, d.Attempt)
	} else {
		w.begin(f, r)
	}
	return plan.VerdictDone
}

func (w *world) shape(t flow.Task) flow.Step { return w.shapes[t.Job][t.Step] }

// check fails the test when a start breaks a promise.
func (w *world) check(f *fake, d plan.Start) {
	if at, ok := w.noted[d.Task]; ok {
		w.fail("task %s starts on %s after its end was acknowledged at %d", d.Task, f.ID, at)
	}
	if w.done[d.Task] {
		w.again[d.Task] = f.ID
	}
	var used model.Size
	for _, r := range f.runs {
		used = used.Plus(w.shape(r.task).Charge())
	}
	if total := used.Plus(w.shape(d.Task).Charge()); !total.Fits(f.Capacity) {
		w.fail("worker %s of %s gets %s with task %s", f.ID, f.Capacity, total, d.Task)
	}
	for _, o := range w.workers {
		w.lapse(o)
		for _, r := range o.runs {
			if o.up && r.task == d.Task {
				w.fail("task %s starts on %s while attempt %d runs on %s", d.Task, f.ID, r.attempt, o.ID)
			}
		}
	}
	job := w.state.Job(d.Task.Job)
	if job.IsSettled() {
		w.fail("task %s starts though its job is over and all attempts of it are settled", d.Task)
		return
	}
	for _, a := range w.shape(d.Task).After {
		if job.Steps[d.Task.Run][a].Left > 0 {
			w.fail("task %s starts before step %d is done", d.Task, a)
		}
	}
	on := 0
	for _, r := range f.runs {
		if r.task.Phase() == d.Task.Phase() {
			on++
		}
	}
	if s := w.shape(d.Task).Spread; s > 0 && on >= s {
		w.fail("worker %s gets more than %d tasks of step %s", f.ID, s, d.Task.Phase())
	}
	if q := job.Queue.Policy; q != nil && d.Ticket != ticketOf(d.Task.Phase(), f.ID) {
		w.fail("task %s starts on %s with ticket %q", d.Task, f.ID, d.Ticket)
	}
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	last := w.notes[max(0, len(w.notes)-400):]
	w.t.Fatalf("at %d: %s\nlast decisions:\n%s", w.now, fmt.Sprintf(format, args...), strings.Join(last, "\n"))
}

// joinGang lets a gang work once all its members of one attempt are there.
func (w *world) joinGang(t flow.Task, attempt int) {
	type member struct {
		f *fake
		r *fakeRun
	}
	var all []member
	for _, f := range w.sorted() {
		for _, r := range f.runs {
			if f.up && r.task.Phase() == t.Phase() && r.attempt == attempt && !r.dead {
				all = append(all, member{f, r})
			}
		}
	}
	if len(all) < w.shape(t).Count {
		return
	}
	for _, m := range all {
		m.r.working = true
	}
	took, failed := w.work(t, all[0].f)
	w.after(took, func() {
		for _, m := range all {
			if m.r.dead || !m.f.up {
				failed = true
			}
		}
		for i, m := range all {
			end := ledger.EndDone
			if failed {
				end = ledger.EndBroken
				if i == 0 {
					end = ledger.EndFailed
				}
			}
			w.end(m.f, m.r, end)
		}
	})
}

func (w *world) sorted() []*fake {
	var list []*fake
	for _, f := range w.workers {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b *fake) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (w *world) begin(f *fake, r *fakeRun) {
	r.working = true
	if f.hung {
		return
	}
	took, failed := w.work(r.task, f)
	w.after(took, func() {
		end := ledger.EndDone
		if failed {
			end = ledger.EndFailed
		}
		w.end(f, r, end)
	})
}

// end lists the end of a run, if it still runs.
func (w *world) end(f *fake, r *fakeRun, how ledger.End) {
	if r.dead || !f.up {
		return
	}
	w.lapse(f)
	if r.dead {
		return
	}
	w.remove(f, r, how)
}

func (w *world) remove(f *fake, r *fakeRun, how ledger.End) {
	r.dead = true
	delete(f.runs, key(r.task, r.attempt))
	f.highest[r.task] = max(f.highest[r.task], r.attempt)
	f.count++
	f.ends = append(f.ends, plan.Finished{Number: f.count, Task: r.task, Attempt: r.attempt, End: how})
	if how == ledger.EndDone {
		w.done[r.task] = true
		f.endedIn[r.task] = f.lapses
	}
}

// lapse ends all runs of a worker whose lease has ended.
func (w *world) lapse(f *fake) {
	if !f.up || w.clockOf(f) <= f.until {
		return
	}
	for _, k := range sortedKeys(f.runs) {
		w.remove(f, f.runs[k], ledger.EndLapsed)
	}
}

func sortedKeys(m map[string]*fakeRun) []string {
	var list []string
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

func (w *world) stopRun(term uint64, d plan.Stop) {
	f := w.find(d.Worker)
	if !w.reach(f) || term < f.fence || w.rng.Float64() < w.lose {
		return
	}
	f.fence = term
	f.highest[d.Task] = max(f.highest[d.Task], d.Attempt)
	r := f.runs[key(d.Task, d.Attempt)]
	if r == nil {
		return
	}
	w.after(stopTime, func() { w.end(f, r, ledger.EndStopped) })
}

// hold keeps one call in progress to a worker, as the runtime does.
func (w *world) hold(term uint64, l plan.Life) {
	if term != w.term {
		return
	}
	h, wait, ok := w.planner.NextHold(w.now, l)
	if !ok {
		return
	}
	if wait > 0 {
		w.after(wait, func() { w.hold(term, l) })
		return
	}
	sent := w.now
	f := w.find(h.Worker)
	unreached := func(after clock.Millis, cause plan.Failure) {
		w.after(after, func() {
			w.step(term, plan.Unreached{Worker: l, Cause: cause})
			w.hold(term, l)
		})
	}
	if f == nil {
		unreached(2*transit, plan.FailureOther)
		return
	}
	if !f.up && !f.vanish {
		unreached(2*transit, plan.FailureRefused)
		return
	}
	if f.cut || !f.up || w.rng.Float64() < w.lose {
		unreached(h.Wait+600, plan.FailureSilent)
		return
	}
	w.after(f.transit(), func() { w.answerHold(term, l, h, f, sent, w.now) })
}

func (w *world) answerHold(term uint64, l plan.Life, h plan.Hold, f *fake, sent, arrived clock.Millis) {
	if !w.reach(f) {
		w.after(h.Wait+600, func() {
			w.step(term, plan.Unreached{Worker: l, Cause: plan.FailureSilent})
			w.hold(term, l)
		})
		return
	}
	w.lapse(f)
	if term >= f.fence {
		f.fence = term
		if w.clockOf(f) > f.until {
			f.lapses++
		}
		f.until = max(f.until, min(h.Expires, w.clockOf(f)+maxLease))
		f.ends = slices.DeleteFunc(f.ends, func(e plan.Finished) bool {
			if e.Number <= h.Seen && e.End == ledger.EndDone {
				w.noted[e.Task] = w.now
				if id, ok := w.again[e.Task]; ok && f.lapses == f.endedIn[e.Task] && id != f.ID {
					w.fail("task %s was started again on %s though its success on %s counts", e.Task, id, f.ID)
				}
				// The state drops the record of a job once all its attempts are settled.
				j := w.state.Job(e.Task.Job)
				if !j.IsSettled() && !j.Steps[e.Task.Run][e.Task.Step].Slots[e.Task.Index].Done {
					w.fail("end of task %s is acknowledged before it is committed", e.Task)
				}
			}
			return e.Number <= h.Seen
		})
	}
	if len(f.ends) == 0 && w.now-arrived < h.Wait {
		w.after(20, func() { w.answerHold(term, l, h, f, sent, arrived) })
		return
	}
	rep := plan.Reported{Worker: l, Sent: sent, Clock: w.clockOf(f), Finished: slices.Clone(f.ends)}
	for _, k := range sortedKeys(f.runs) {
		r := f.runs[k]
		rep.Running = append(rep.Running, plan.Running{Task: r.task, Attempt: r.attempt, Percent: f.progress(w.now, r)})
	}
	w.after(f.transit(), func() {
		rep.Got = w.now
		w.step(term, rep)
		w.hold(term, l)
	})
}

func ticketOf(step string, id model.WorkerID) string { return step + "@" + string(id) }

func (w *world) advise(term uint64, d plan.Ask) {
	a := plan.Advised{Ask: d, OK: true, Tickets: map[model.WorkerID]string{}, Valid: 2500}
	for _, id := range d.Workers {
		if w.permits(d.Task.Phase(), id) {
			a.Tickets[id] = ticketOf(d.Task.Phase(), id)
		}
	}
	w.step(term, a)
}

// crash ends a life of a worker and starts another one.
func (w *world) crash(f *fake, back clock.Millis) {
	f.up = false
	w.after(back, func() {
		next := w.addWorker(string(f.ID)+"'", f.Capacity, f.Labels...)
		next.Address = f.Address
	})
}

// repeats counts the starts of tasks beyond their first.
func (w *world) repeats() int {
	extra := 0
	for _, n := range w.starts {
		extra += n - 1
	}
	return extra
}

// wantDone fails the test unless all jobs are completed.
func (w *world) wantDone() {
	w.t.Helper()
	for id, j := range w.state.Jobs() {
		if j.Phase() != ledger.PhaseCompleted {
			w.fail("job %s is %s", id, j.Phase())
		}
	}
}
