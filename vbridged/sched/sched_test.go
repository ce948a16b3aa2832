package sched_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/core/state"
	"vanillabridge/core/trace"
	"vanillabridge/vbridged/sched"
	"vanillabridge/vbridged/zone"
)

// testZone is a scheduler with a log that commits at once, and with workers simulated by the test.
type testZone struct {
	t       *testing.T
	replica *zone.Replica
	sched   *sched.Scheduler
	source  clock.Source
	options sched.Options

	mu               sync.Mutex
	epoch            model.Epoch
	index            uint64
	lostOutcomes     int // number of next proposals that commit, but return an unknown outcome
	droppedProposals int // number of next proposals that never commit and return an unknown outcome
}

// Propose commits a command, subject to droppedProposals and lostOutcomes.
func (tz *testZone) Propose(_ context.Context, command state.Command) (state.Result, error) {
	data, err := state.EncodeCommand(command)
	if err != nil {
		return state.Result{}, err
	}
	tz.mu.Lock()
	defer tz.mu.Unlock()
	if tz.droppedProposals > 0 {
		tz.droppedProposals--
		return state.Result{}, fault.ErrUnknown
	}
	tz.index++
	answer := tz.replica.Apply(tz.index, data)
	if tz.lostOutcomes > 0 {
		tz.lostOutcomes--
		return state.Result{}, fault.ErrUnknown
	}
	var result state.Result
	return result, state.Decode(answer, &result)
}

// Leading returns the current epoch; the instance leads in every epoch above 0.
func (tz *testZone) Leading() (model.Epoch, bool) {
	tz.mu.Lock()
	defer tz.mu.Unlock()
	return tz.epoch, tz.epoch > 0
}

func newTestZone(t *testing.T) *testZone {
	tz := &testZone{t: t, replica: zone.NewReplica(), source: clock.NewSystem(), epoch: 1}
	tz.options = sched.Options{
		Zone: "z", Lease: 10 * clock.Second, Log: tz, State: tz.replica, Leadership: tz,
		Events: trace.NewRecorder(trace.Options{Source: tz.source, Capacity: 100}), Clock: tz.source,
	}
	tz.replica.Subscribe(func(change state.Change) { tz.sched.NotifyChange(change) })
	tz.startLeader()
	return tz
}

// startLeader starts a new scheduler as the leader of the current epoch.
func (tz *testZone) startLeader() {
	options := tz.options
	options.Metrics = sched.NewMetrics(prometheus.NewRegistry())
	tz.sched = sched.New(options)
	ctx, cancel := context.WithCancel(tz.t.Context())
	tz.t.Cleanup(cancel)
	go tz.sched.Run(ctx)
	tz.sched.SetRole(tz.epoch, true)
	synctest.Wait()
}

func (tz *testZone) submitBatch(count int) model.JobID {
	w := model.Batch{Base: model.Base{
		Name: "b", Team: "t", Zones: []model.Zone{"z"}, Count: count,
		Size: model.Size{CPU: 100, Memory: 100},
	}, Run: "r", Time: 60 * clock.Second}
	id := model.NewJobID("b", "r")
	if _, err := tz.Propose(tz.t.Context(), state.AddJob{Job: id, Work: model.EncodeWork(w), TaskCount: count, At: tz.source.Now()}); err != nil {
		tz.t.Fatal(err)
	}
	return id
}

// testWorker is one incarnation of a worker; it reports the tasks that the test lets it hold.
type testWorker struct {
	zone        *testZone
	name        model.WorkerID
	incarnation model.Incarnation
	seq         uint64
	held        []proto.HeldTask
	ends        []proto.TaskEnd
	reply       proto.SyncReply
}

func (w *testWorker) sync() error {
	w.seq++
	request := proto.SyncRequest{
		Worker: w.name, Incarnation: w.incarnation, Zone: "z", Rack: "k", Seq: w.seq,
		Size: model.Size{CPU: 16000, Memory: 32000}, Held: w.held, Ends: w.ends, Epoch: w.reply.Epoch,
	}
	reply, err := w.zone.sched.Sync(w.zone.t.Context(), request)
	if err == nil {
		w.reply = reply
	}
	return err
}

// acceptTasks holds the tasks that the last reply assigned, and reports them as running.
func (w *testWorker) acceptTasks() {
	w.held = nil
	for _, a := range w.reply.Tasks {
		w.held = append(w.held, proto.HeldTask{Task: a.Task, Attempt: a.Attempt, Phase: proto.PhaseRunning})
	}
}

// syncUntil syncs until the condition holds or the limit has passed, and reports whether it holds.
func (w *testWorker) syncUntil(limit time.Duration, condition func() bool) bool {
	for start := time.Now(); time.Since(start) < limit; {
		_ = w.sync()
		if condition() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (tz *testZone) firstTask(id model.JobID) state.Task {
	var task state.Task
	tz.replica.View(func(z *state.Zone) {
		if t, ok := z.Task(model.TaskID{Job: id}); ok {
			task = *t
		}
	})
	return task
}

// Guards against a task that is moved while its silent worker may still run it. Before the move, the
// lease of 10 s, 5% for a slow clock and 1 s for stopping the task must have passed.
func TestSilentWorkerKeepsItsTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tz := newTestZone(t)
		first, second := &testWorker{zone: tz, name: "a", incarnation: 1}, &testWorker{zone: tz, name: "b", incarnation: 2}
		id := tz.submitBatch(1)
		if !first.syncUntil(20*time.Second, func() bool { return len(first.reply.Tasks) == 1 }) {
			t.Fatal("the task was not assigned")
		}
		first.acceptTasks()
		if err := first.sync(); err != nil {
			t.Fatal(err)
		}
		silent := time.Now()
		if !second.syncUntil(time.Minute, func() bool { return len(second.reply.Tasks) == 1 }) {
			t.Fatal("the task was not moved")
		}
		if moved := time.Since(silent); moved < 11500*time.Millisecond {
			t.Errorf("the task was moved %s after the last reply to its worker, want at least 11.5s", moved)
		}
		if got := tz.firstTask(id).Attempt; got != 2 {
			t.Errorf("attempt = %d, want 2", got)
		}
	})
}

// Guards against a new leader that counts a worker's silence before the election. The earlier leader
// may have renewed the worker's lease until then, so the worker must get a full lease.
func TestNewLeaderGrantsFullLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tz := newTestZone(t)
		first, second := &testWorker{zone: tz, name: "a", incarnation: 1}, &testWorker{zone: tz, name: "b", incarnation: 2}
		tz.submitBatch(1)
		if !first.syncUntil(20*time.Second, func() bool { return len(first.reply.Tasks) == 1 }) {
			t.Fatal("the task was not assigned")
		}
		time.Sleep(9 * time.Second)
		tz.mu.Lock()
		tz.epoch = 2
		tz.mu.Unlock()
		tz.startLeader()
		elected := time.Now()
		if !second.syncUntil(time.Minute, func() bool { return len(second.reply.Tasks) == 1 }) {
			t.Fatal("the task was not moved")
		}
		if moved := time.Since(elected); moved < 11500*time.Millisecond {
			t.Errorf("the task was moved %s after the election, want at least 11.5s", moved)
		}
	})
}

// Guards against a delayed request of an ended worker process that is taken for a restart of the
// worker. The running tasks of the live process would then be queued again.
func TestLateRequestOfEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tz := newTestZone(t)
		live, dead := &testWorker{zone: tz, name: "a", incarnation: 2}, &testWorker{zone: tz, name: "a", incarnation: 1}
		id := tz.submitBatch(1)
		if !live.syncUntil(20*time.Second, func() bool { return len(live.reply.Tasks) == 1 }) {
			t.Fatal("the task was not assigned")
		}
		live.acceptTasks()
		if err := dead.sync(); err != nil || len(dead.reply.Tasks) != 0 {
			t.Errorf("delayed sync of the earlier incarnation: %v and %d tasks, want a reply without tasks", err, len(dead.reply.Tasks))
		}
		if err := live.sync(); err != nil {
			t.Errorf("sync of the live worker: %v", err)
		}
		if got := tz.firstTask(id); got.Attempt != 1 || !got.IsActive() {
			t.Errorf("task is in phase %s of attempt %d, want held in attempt 1", got.Phase, got.Attempt)
		}
		restarted := &testWorker{zone: tz, name: "a", incarnation: 3}
		if !restarted.syncUntil(20*time.Second, func() bool { return len(restarted.reply.Tasks) == 1 }) {
			t.Fatal("the task was not assigned to the restarted worker")
		}
		if err := live.sync(); !errors.Is(err, fault.ErrInvalid) {
			t.Errorf("sync of the replaced incarnation: %v, want %v", err, fault.ErrInvalid)
		}
	})
}

// Guards against late requests of an ended worker process that learned the epoch, which count as those of the live process
// once the leader has reloaded its state. The tasks of the live process would run on two workers, and it would get none.
func TestLateRequestsOfEarlierIncarnationAfterReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tz := newTestZone(t)
		dead, live := &testWorker{zone: tz, name: "a", incarnation: 1}, &testWorker{zone: tz, name: "a", incarnation: 2}
		for _, w := range []*testWorker{dead, dead, live, live} {
			if err := w.sync(); err != nil {
				t.Fatal(err)
			}
		}
		id := tz.submitBatch(1)
		if !live.syncUntil(20*time.Second, func() bool { return len(live.reply.Tasks) == 1 }) {
			t.Fatal("the task was not assigned")
		}
		live.acceptTasks()
		tz.mu.Lock()
		tz.lostOutcomes = 1 // of the start of the task
		tz.mu.Unlock()
		reloaded := func() bool { tz.mu.Lock(); defer tz.mu.Unlock(); return tz.lostOutcomes == 0 }
		if !live.syncUntil(20*time.Second, reloaded) {
			t.Fatal("the state was not reloaded")
		}
		for range 3 {
			time.Sleep(time.Second)
			_ = dead.sync()
		}
		if err := live.sync(); err != nil {
			t.Errorf("sync of the live worker: %v", err)
		}
		if got := tz.firstTask(id); got.Attempt != 1 || !got.IsActive() {
			t.Errorf("task is in phase %s of attempt %d, want held in attempt 1", got.Phase, got.Attempt)
		}
	})
}

// Guards against a task that waits behind later ones because an instance whose clock was ahead accepted it.
func TestTaskAcceptedByClockAheadWaitsItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tz := newTestZone(t)
		submit := func(run string, at clock.Millis) {
			w := model.Batch{Base: model.Base{Name: "b", Team: "t", Zones: []model.Zone{"z"}, Count: 1, Size: model.Size{CPU: 9000, Memory: 100}}, Run: run, Time: 60 * clock.Second}
			if _, err := tz.Propose(t.Context(), state.AddJob{Job: model.NewJobID("b", run), Work: model.EncodeWork(w), TaskCount: 1, At: at}); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		submit("first", tz.source.Now()+clock.Hour)
		time.Sleep(time.Second)
		submit("second", tz.source.Now())
		w := &testWorker{zone: tz, name: "a", incarnation: 1}
		if !w.syncUntil(time.Minute, func() bool { return len(w.reply.Tasks) > 0 }) {
			t.Fatal("no task was assigned")
		}
		if got, want := w.reply.Tasks[0].Task.Job, model.NewJobID("b", "first"); got != want {
			t.Errorf("task of %s is assigned first, want that of %s", got, want)
		}
	})
}

// Guards against the confirmation of a task's outcome before it is committed, after which the worker
// would discard it, and against an outcome that is applied twice.
func TestOutcomeIsConfirmedAfterCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tz := newTestZone(t)
		w := &testWorker{zone: tz, name: "a", incarnation: 1}
		id := tz.submitBatch(1)
		if !w.syncUntil(20*time.Second, func() bool { return len(w.reply.Tasks) == 1 }) {
			t.Fatal("the task was not assigned")
		}
		w.acceptTasks()
		_ = w.sync()
		w.ends = []proto.TaskEnd{{Task: w.held[0].Task, Attempt: 1, End: proto.EndDone}}
		w.held = nil
		if !w.syncUntil(5*time.Second, func() bool { return len(w.reply.EndAcks) == 1 }) {
			t.Fatal("the outcome was not confirmed")
		}
		if got := tz.firstTask(id).Phase; got != proto.TaskDone {
			t.Errorf("phase of the task at confirmation = %s, want %s", got, proto.TaskDone)
		}
		if err := w.sync(); err != nil || len(w.reply.EndAcks) != 1 || len(w.reply.Tasks) != 0 {
			t.Errorf("sync with a repeated outcome: %v, %d end acks, %d tasks; want 1 end ack and 0 tasks", err, len(w.reply.EndAcks), len(w.reply.Tasks))
		}
	})
}

// Guards against a scheduler that keeps its own state after a proposal with unknown outcome. If the
// assignment is not in the log, the task would be lost; if it is, the task must not be assigned to
// another worker.
func TestStateReloadedAfterUnknownCommit(t *testing.T) {
	for name, set := range map[string]func(*testZone){
		"committed": func(tz *testZone) { tz.lostOutcomes = 3 },
		"dropped":   func(tz *testZone) { tz.droppedProposals = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tz := newTestZone(t)
				w := &testWorker{zone: tz, name: "a", incarnation: 1}
				_ = w.sync()
				id := tz.submitBatch(1)
				tz.mu.Lock()
				set(tz)
				tz.mu.Unlock()
				if !w.syncUntil(30*time.Second, func() bool { return len(w.reply.Tasks) == 1 }) {
					t.Fatal("the task was not assigned")
				}
				if got := tz.firstTask(id).Attempt; w.reply.Tasks[0].Attempt != got {
					t.Errorf("the worker was assigned attempt %d, the state has attempt %d", w.reply.Tasks[0].Attempt, got)
				}
			})
		})
	}
}

// Guards against a service that is scaled down and up again and does not get its tasks back, or keeps
// its earlier number of tasks.
func TestServiceFollowsTaskCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tz := newTestZone(t)
		w := &testWorker{zone: tz, name: "a", incarnation: 1}
		id := state.ServiceJobID("s", "z")
		for _, count := range []int{3, 1, 3} {
			s := model.Service{Base: model.Base{Name: "s", Zones: []model.Zone{"z"}, Count: count, Size: model.Size{CPU: 100, Memory: 100}}}
			if _, err := tz.Propose(t.Context(), state.AddJob{Job: id, Work: model.EncodeWork(s), TaskCount: count, At: tz.source.Now()}); err != nil {
				t.Fatal(err)
			}
			if !w.syncUntil(2*time.Minute, func() bool { w.obeyCommands(); return w.countRunning() == count }) {
				t.Fatalf("%d tasks of the service run, want %d", w.countRunning(), count)
			}
		}
	})
}

// obeyCommands starts and stops tasks as the last reply commands.
func (w *testWorker) obeyCommands() {
	w.ends = nil
	w.held = nil
	for _, a := range w.reply.Tasks {
		if a.Command == proto.CommandStop {
			w.ends = append(w.ends, proto.TaskEnd{Task: a.Task, Attempt: a.Attempt, End: proto.EndStopped})
			continue
		}
		w.held = append(w.held, proto.HeldTask{Task: a.Task, Attempt: a.Attempt, Phase: proto.PhaseRunning, Usage: model.Size{CPU: 100, Memory: 100}})
	}
}

func (w *testWorker) countRunning() int {
	running := 0
	w.zone.replica.View(func(z *state.Zone) {
		z.ForEachActiveTask(w.name, func(_ model.TaskID, t *state.Task) {
			if t.Phase == proto.TaskRunning {
				running++
			}
		})
	})
	return running
}
