package worker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/vbstand/entry"
	"vanillabridge/vbstand/record"
)

// step is how often timers of tasks and the lease are looked at.
const step = 20 * time.Millisecond

// Options are the settings of a stand-in.
type Options struct {
	Name    model.WorkerID
	Zone    model.Zone
	Rack    model.Rack
	Size    model.Size
	Entries []string
	Seed    uint64
	Sizes   float64 // ratio of true to declared use; 0 draws it by job
	Times   float64 // ratio of true to declared run time; 0 draws it by job
	NoStart bool    // fails every start
	Deaf    bool    // ignores throttle, checkpoint and stop
	Period  time.Duration
	Grace   time.Duration // longest wait for the confirmation of outcomes on SIGTERM
}

// Worker is a running stand-in. One goroutine owns its state.
type Worker struct {
	opt         Options
	journal     *record.Writer
	entries     *entry.List
	clock       clock.Source
	incarnation model.Incarnation
	holder      *holder
	tasks       map[model.TaskID]*task
	answers     chan answer
	leader      string // address of the zone leader, to sync with directly
	inFlight    bool
	soon        bool // something happened that the leader should learn at once
}

// answer is the result of one sync.
type answer struct {
	sent    clock.Millis
	address string
	reply   proto.SyncReply
	err     error
}

// New returns a worker that records to journal.
func New(opt Options, journal *record.Writer, source clock.Source) (*Worker, error) {
	list, err := entry.NewList(&http.Client{Timeout: maxAge.Std()}, opt.Entries)
	if err != nil {
		return nil, err
	}
	return &Worker{
		opt:         opt,
		journal:     journal,
		entries:     list,
		clock:       source,
		incarnation: model.Incarnation(rand.Uint64() >> 1), // differs between starts with the same seed
		holder:      newHolder(),
		tasks:       map[model.TaskID]*task{},
		answers:     make(chan answer, 1),
	}, nil
}

// Run holds tasks until ctx ends, then stops them and waits until the outcomes are confirmed.
func (w *Worker) Run(ctx context.Context) error {
	klog.InfoS("worker runs", "name", w.opt.Name, "zone", w.opt.Zone, "size", w.opt.Size.String())
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	last := w.clock.Now()
	nextSync, end := last, clock.Millis(0)
	done := ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			end = w.clock.Now() + clock.FromStd(w.opt.Grace)
			w.leave()
		case a := <-w.answers:
			w.take(a)
		case <-ticker.C:
		}
		now := w.clock.Now()
		w.advance(now - last)
		last = now
		w.act(w.holder.tick(now))
		if !w.inFlight && (now >= nextSync || w.soon) {
			w.sync(now)
			nextSync = now + clock.FromStd(w.opt.Period)
		}
		if w.holder.leaving && !w.inFlight && (len(w.holder.ends) == 0 || now >= end) {
			klog.InfoS("worker ends", "name", w.opt.Name, "unconfirmed", len(w.holder.ends))
			return nil
		}
	}
}

func (w *Worker) leave() {
	klog.InfoS("worker leaves", "name", w.opt.Name, "tasks", len(w.tasks))
	w.holder.leaving = true
	w.soon = true
	for _, id := range w.ids() {
		w.end(w.tasks[id], proto.EndStopped, "worker leaves")
	}
}

// sync sends one request. At most one is in flight, so that answers arrive in order.
func (w *Worker) sync(now clock.Millis) {
	w.inFlight, w.soon = true, false
	req := w.holder.request(proto.SyncRequest{
		Worker: w.opt.Name, Incarnation: w.incarnation,
		Zone: w.opt.Zone, Rack: w.opt.Rack, Size: w.opt.Size,
	})
	for i, held := range req.Held {
		t := w.tasks[held.Task]
		req.Held[i].Usage, req.Held[i].Saved = t.usage(), t.saved
	}
	address := w.leader
	if address == "" {
		address = w.entries.Current()
	}
	go func() {
		a := answer{sent: now, address: address}
		ctx, cancel := context.WithTimeout(context.Background(), maxAge.Std())
		defer cancel()
		a.err = w.entries.Do(ctx, http.MethodPost, address, "/v1/workers/sync", req, &a.reply)
		w.answers <- a
	}()
}

func (w *Worker) take(a answer) {
	w.inFlight = false
	if a.err != nil {
		klog.V(1).InfoS("sync failed", "name", w.opt.Name, "entry", a.address, "err", a.err)
		w.leader = ""
		w.entries.Next()
		return
	}
	w.leader = a.reply.Leader
	w.act(w.holder.reply(a.sent, w.clock.Now(), a.reply))
}

// act does what the holder wants.
func (w *Worker) act(actions []action) {
	for _, a := range actions {
		t, held := w.tasks[a.assigned.Task]
		if !held {
			if a.command == proto.CommandRun || a.command == proto.CommandThrottle {
				w.start(a.assigned)
			}
			continue
		}
		if w.opt.Deaf && a.reason != "lease ended" {
			continue
		}
		switch a.command {
		case proto.CommandRun:
			w.throttle(t, false)
		case proto.CommandThrottle:
			w.throttle(t, true)
		case proto.CommandCheckpoint:
			t.save()
			w.write(t, record.TaskSave, "", "")
		case proto.CommandStop:
			w.end(t, proto.EndStopped, a.reason)
		}
	}
}

func (w *Worker) start(a proto.Assigned) {
	t := newTask(a, factors{w.opt.Sizes, w.opt.Seed}, factors{w.opt.Times, w.opt.Seed})
	if w.opt.NoStart {
		w.end(t, proto.EndNoStart, "stand-in fails every start")
		return
	}
	w.tasks[a.Task] = t
	w.holder.start(proto.Held{Task: a.Task, Attempt: a.Attempt, Phase: proto.PhaseRunning})
	w.write(t, record.TaskStart, "", "")
	w.soon = true
}

func (w *Worker) end(t *task, end proto.End, reason string) {
	delete(w.tasks, t.assigned.Task)
	w.write(t, record.TaskEnd, end, reason)
	w.holder.end(proto.TaskEnd{
		Task: t.assigned.Task, Attempt: t.assigned.Attempt, End: end, Reason: reason,
		Usage: t.use, Time: t.ran, Saved: t.saved,
	})
	w.soon = true
}

func (w *Worker) throttle(t *task, on bool) {
	if t.throttled == on {
		return
	}
	t.throttled = on
	w.write(t, record.TaskThrottle, "", "")
}

func (w *Worker) advance(d clock.Millis) {
	for _, id := range w.ids() {
		if t := w.tasks[id]; t.advance(d) {
			w.end(t, proto.EndDone, "")
		}
	}
}

// ids returns the tasks in a fixed order, so that journals of equal runs are equal.
func (w *Worker) ids() []model.TaskID {
	ids := make([]model.TaskID, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b model.TaskID) int {
		if a.Job != b.Job {
			if a.Job < b.Job {
				return -1
			}
			return 1
		}
		return a.Index - b.Index
	})
	return ids
}

func (w *Worker) write(t *task, s record.TaskStep, end proto.End, reason string) {
	line := record.Task{
		Step: s, Task: t.assigned.Task, Attempt: t.assigned.Attempt, Kind: t.kind(),
		Worker: w.opt.Name, Zone: w.opt.Zone, Incarnation: w.incarnation, Time: record.Now(),
		End: end, Reason: reason, Use: t.usage(), Size: w.opt.Size,
	}
	for _, other := range w.tasks {
		line.Total = line.Total.Plus(other.usage())
	}
	w.journal.Write(record.Line{Task: &line})
}
