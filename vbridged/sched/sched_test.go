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

// cell is a scheduler over a log that commits at once, with workers played by the test.
type cell struct {
	t       *testing.T
	zone    *zone.Replica
	sched   *sched.Scheduler
	source  clock.Source
	options sched.Options

	mu    sync.Mutex
	epoch model.Epoch
	index uint64
	lose  int // proposals that commit although their proposer hears of no outcome
	drop  int // proposals that never commit and whose proposer hears of no outcome
}

// Propose commits a command.
func (c *cell) Propose(_ context.Context, command state.Command) (state.Result, error) {
	data, err := state.EncodeCommand(command)
	if err != nil {
		return state.Result{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drop > 0 {
		c.drop--
		return state.Result{}, fault.ErrUnknown
	}
	c.index++
	answer := c.zone.Apply(c.index, data)
	if c.lose > 0 {
		c.lose--
		return state.Result{}, fault.ErrUnknown
	}
	var result state.Result
	return result, state.Decode(answer, &result)
}

// Leading tells that this instance always leads.
func (c *cell) Leading() (model.Epoch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, c.epoch > 0
}

func newCell(t *testing.T) *cell {
	c := &cell{t: t, zone: zone.NewReplica(), source: clock.NewSystem(), epoch: 1}
	c.options = sched.Options{
		Zone: "z", Lease: 10 * clock.Second, Log: c, State: c.zone, Leadership: c,
		Events: trace.NewRecorder(trace.Options{Source: c.source, Size: 100}), Clock: c.source,
	}
	c.zone.Subscribe(func(change state.Change) { c.sched.Changed(change) })
	c.start()
	return c
}

// start begins a life of the scheduler as the leader of the current epoch.
func (c *cell) start() {
	options := c.options
	options.Metrics = sched.NewMetrics(prometheus.NewRegistry())
	c.sched = sched.New(options)
	ctx, cancel := context.WithCancel(c.t.Context())
	c.t.Cleanup(cancel)
	go c.sched.Run(ctx)
	c.sched.Lead(c.epoch, true)
	synctest.Wait()
}

func (c *cell) submit(count int) model.JobID {
	w := model.Batch{Base: model.Base{
		Name: "b", Team: "t", Zones: []model.Zone{"z"}, Count: count,
		Size: model.Size{CPU: 100, Memory: 100},
	}, Run: "r", Time: 60 * clock.Second}
	id := model.NewJobID("b", "r")
	if _, err := c.Propose(c.t.Context(), state.AddJob{Job: id, Work: model.NewBox(w), Count: count, At: c.source.Now()}); err != nil {
		c.t.Fatal(err)
	}
	return id
}

// worker is one life of a worker that reports whatever the test lets it hold.
type worker struct {
	cell  *cell
	name  model.WorkerID
	life  model.Incarnation
	seq   uint64
	held  []proto.Held
	ends  []proto.TaskEnd
	reply proto.SyncReply
}

func (w *worker) sync() error {
	w.seq++
	request := proto.SyncRequest{
		Worker: w.name, Incarnation: w.life, Zone: "z", Rack: "k", Seq: w.seq,
		Size: model.Size{CPU: 16000, Memory: 32000}, Held: w.held, Ends: w.ends, Epoch: w.reply.Epoch,
	}
	reply, err := w.cell.sched.Sync(w.cell.t.Context(), request)
	if err == nil {
		w.reply = reply
	}
	return err
}

// take holds what the last answer assigned and reports it as running.
func (w *worker) take() {
	w.held = nil
	for _, a := range w.reply.Tasks {
		w.held = append(w.held, proto.Held{Task: a.Task, Attempt: a.Attempt, Phase: proto.PhaseRunning})
	}
}

// until syncs until the condition holds or the time has passed.
func (w *worker) until(limit time.Duration, done func() bool) bool {
	for start := time.Now(); time.Since(start) < limit; {
		_ = w.sync()
		if done() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (c *cell) task(id model.JobID) state.Task {
	var task state.Task
	c.zone.View(func(z *state.Zone) {
		if t, ok := z.Task(model.TaskID{Job: id}); ok {
			task = *t
		}
	})
	return task
}

// Guards against a task that is moved while its silent worker may still run it: the lease of
// 10 s, 5% for a slow clock and 1 s for the stopping must have passed.
func TestSilentWorkerKeepsItsTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		first, second := &worker{cell: c, name: "a", life: 1}, &worker{cell: c, name: "b", life: 2}
		id := c.submit(1)
		if !first.until(20*time.Second, func() bool { return len(first.reply.Tasks) == 1 }) {
			t.Fatal("the task was not assigned")
		}
		first.take()
		if err := first.sync(); err != nil {
			t.Fatal(err)
		}
		silent := time.Now()
		if !second.until(time.Minute, func() bool { return len(second.reply.Tasks) == 1 }) {
			t.Fatal("the task was not moved")
		}
		if moved := time.Since(silent); moved < 11500*time.Millisecond {
			t.Errorf("the task moved %s after the last answer, want at least 11.5s", moved)
		}
		if got := c.task(id).Attempt; got != 2 {
			t.Errorf("attempt = %d, want 2", got)
		}
	})
}

// Guards against a new leader that counts a worker's silence from before its election: the
// earlier leader may have renewed the lease until then.
func TestNewLeaderGivesWholeLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		first, second := &worker{cell: c, name: "a", life: 1}, &worker{cell: c, name: "b", life: 2}
		c.submit(1)
		if !first.until(20*time.Second, func() bool { return len(first.reply.Tasks) == 1 }) {
			t.Fatal("the task was not assigned")
		}
		time.Sleep(9 * time.Second)
		c.mu.Lock()
		c.epoch = 2
		c.mu.Unlock()
		c.start()
		elected := time.Now()
		if !second.until(time.Minute, func() bool { return len(second.reply.Tasks) == 1 }) {
			t.Fatal("the task was not moved")
		}
		if moved := time.Since(elected); moved < 11500*time.Millisecond {
			t.Errorf("the task moved %s after the election, want at least 11.5s", moved)
		}
	})
}

// Guards against a late request of a dead process that is taken for a restart of the worker:
// it would return the live tasks to the queue.
func TestLateRequestOfEarlierLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		live, dead := &worker{cell: c, name: "a", life: 2}, &worker{cell: c, name: "a", life: 1}
		id := c.submit(1)
		if !live.until(20*time.Second, func() bool { return len(live.reply.Tasks) == 1 }) {
			t.Fatal("the task was not assigned")
		}
		live.take()
		if err := dead.sync(); err != nil || len(dead.reply.Tasks) != 0 {
			t.Errorf("late request: %v and %d tasks, want an answer without tasks", err, len(dead.reply.Tasks))
		}
		if err := live.sync(); err != nil {
			t.Errorf("sync of the live worker: %v", err)
		}
		if got := c.task(id); got.Attempt != 1 || !got.IsHeld() {
			t.Errorf("task is in phase %s of attempt %d, want held in attempt 1", got.Phase, got.Attempt)
		}
		restarted := &worker{cell: c, name: "a", life: 3}
		if !restarted.until(20*time.Second, func() bool { return len(restarted.reply.Tasks) == 1 }) {
			t.Fatal("the task did not come back to the restarted worker")
		}
		if err := live.sync(); !errors.Is(err, fault.ErrInvalid) {
			t.Errorf("sync of the replaced life: %v, want %v", err, fault.ErrInvalid)
		}
	})
}

// Guards against an outcome that the worker forgets before it is committed, and against one
// that is taken twice.
func TestOutcomeIsConfirmedAfterCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		w := &worker{cell: c, name: "a", life: 1}
		id := c.submit(1)
		if !w.until(20*time.Second, func() bool { return len(w.reply.Tasks) == 1 }) {
			t.Fatal("the task was not assigned")
		}
		w.take()
		_ = w.sync()
		w.ends = []proto.TaskEnd{{Task: w.held[0].Task, Attempt: 1, End: proto.EndDone}}
		w.held = nil
		if !w.until(5*time.Second, func() bool { return len(w.reply.Confirms) == 1 }) {
			t.Fatal("the outcome was not confirmed")
		}
		if got := c.task(id).Phase; got != proto.TaskDone {
			t.Errorf("phase when confirmed = %s, want %s", got, proto.TaskDone)
		}
		if err := w.sync(); err != nil || len(w.reply.Confirms) != 1 || len(w.reply.Tasks) != 0 {
			t.Errorf("repeated outcome: %v, %d confirms, %d tasks, want 1 and 0", err, len(w.reply.Confirms), len(w.reply.Tasks))
		}
	})
}

// Guards against a scheduler that goes on from its own view after a proposal whose outcome it
// did not hear: an assignment that is not in the log would lose the task, and one that is in
// the log must not be given another worker.
func TestUnknownCommitIsReadBack(t *testing.T) {
	for name, set := range map[string]func(*cell){
		"committed": func(c *cell) { c.lose = 3 },
		"dropped":   func(c *cell) { c.drop = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t)
				w := &worker{cell: c, name: "a", life: 1}
				_ = w.sync()
				id := c.submit(1)
				c.mu.Lock()
				set(c)
				c.mu.Unlock()
				if !w.until(30*time.Second, func() bool { return len(w.reply.Tasks) == 1 }) {
					t.Fatal("the task was not assigned")
				}
				if got := c.task(id).Attempt; w.reply.Tasks[0].Attempt != got {
					t.Errorf("the worker was told attempt %d, the log has %d", w.reply.Tasks[0].Attempt, got)
				}
			})
		})
	}
}

// Guards against a service that is scaled down and up again and does not get its tasks back,
// or keeps the size that it had before.
func TestServiceFollowsItsDescription(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		w := &worker{cell: c, name: "a", life: 1}
		id := state.ServiceJob("s", "z")
		for _, count := range []int{3, 1, 3} {
			s := model.Service{Base: model.Base{Name: "s", Zones: []model.Zone{"z"}, Count: count, Size: model.Size{CPU: 100, Memory: 100}}}
			if _, err := c.Propose(t.Context(), state.AddJob{Job: id, Work: model.NewBox(s), Count: count, At: c.source.Now()}); err != nil {
				t.Fatal(err)
			}
			if !w.until(2*time.Minute, func() bool { w.obey(); return w.runs() == count }) {
				t.Fatalf("%d tasks run, want %d", w.runs(), count)
			}
		}
	})
}

// obey starts and stops tasks as the last answer says.
func (w *worker) obey() {
	w.ends = nil
	w.held = nil
	for _, a := range w.reply.Tasks {
		if a.Command == proto.CommandStop {
			w.ends = append(w.ends, proto.TaskEnd{Task: a.Task, Attempt: a.Attempt, End: proto.EndStopped})
			continue
		}
		w.held = append(w.held, proto.Held{Task: a.Task, Attempt: a.Attempt, Phase: proto.PhaseRunning, Usage: model.Size{CPU: 100, Memory: 100}})
	}
}

func (w *worker) runs() int {
	running := 0
	w.cell.zone.View(func(z *state.Zone) {
		z.Held(w.name, func(_ model.TaskID, t *state.Task) {
			if t.Phase == proto.TaskRunning {
				running++
			}
		})
	})
	return running
}
