package lease

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

const (
	// syncEvery is the time between two requests when nothing happens.
	syncEvery = 500 * clock.Millisecond
	// syncSoon bounds the rate of requests that follow events.
	syncSoon = 50 * clock.Millisecond
	// replyAge bounds the age of an answer. An older one describes assignments that the leader
	// may have moved since.
	replyAge = 2 * clock.Second
	// endedKept is the time for which a confirmed attempt is remembered. No answer that is taken
	// later was computed before the confirmation, because answers older than replyAge are dropped.
	endedKept = 10 * clock.Second
	// reportsKept is the number of requests whose report is remembered. Answers to older ones
	// have exceeded replyAge, or a newer one was taken.
	reportsKept = int(replyAge/syncSoon) + 1
)

// Config describes one life of a worker.
type Config struct {
	Worker      model.WorkerID
	Incarnation model.Incarnation // random for each start of the process
	Zone        model.Zone
	Rack        model.Rack
	Size        model.Size
}

// Worker is the worker's side of the worker protocol. It is not safe for concurrent use.
type Worker struct {
	config  Config
	epoch   model.Epoch
	seq     uint64       // of the last request
	taken   uint64       // of the request whose answer was taken last
	expires clock.Millis // end of the lease; 0 without a lease
	sent    clock.Millis // when the last request was sent
	soon    bool         // something happened since the last request
	began   bool         // a first request was sent
	leaving bool
	held    map[model.TaskID]*held
	ends    []proto.TaskEnd // not confirmed
	ended   map[attempt]clock.Millis
	reports []reported // of the last requests, newest last
	out     []Output
}

// reported is what a request said that the worker holds. An answer can refer to it.
type reported struct {
	seq   uint64
	tasks []proto.Assigned
}

type attempt struct {
	task   model.TaskID
	number int
}

type held struct {
	report  proto.Held
	command proto.Command
}

// New returns a worker that holds nothing and has no lease.
func New(config Config) *Worker {
	return &Worker{
		config: config,
		held:   make(map[model.TaskID]*held),
		ended:  make(map[attempt]clock.Millis),
	}
}

// Expires returns the end of the lease, or 0 without one.
func (w *Worker) Expires() clock.Millis { return w.expires }

// Wake returns when the next Tick is due.
func (w *Worker) Wake() clock.Millis {
	due := w.sent + syncEvery
	if w.soon {
		due = w.sent + syncSoon
	}
	if w.expires != 0 {
		due = min(due, w.expires)
	}
	return due
}

// Step takes an input. The end of the lease is checked first, so that a resumed process stops its
// tasks before it does anything else.
func (w *Worker) Step(now clock.Millis, in Input) []Output {
	w.out = nil
	w.expire(now)
	switch in := in.(type) {
	case Tick:
		w.tick(now)
	case Reply:
		w.reply(now, in)
	case Began:
		w.running(in)
	case Measured:
		w.measured(in)
	case Finished:
		w.finished(in.TaskEnd)
	case Leave:
		w.leaving, w.soon = true, true
	}
	return w.out
}

func (w *Worker) emit(o Output) { w.out = append(w.out, o) }

func (w *Worker) expire(now clock.Millis) {
	if w.expires == 0 || now < w.expires {
		return
	}
	w.expires = 0
	for _, h := range w.sorted() {
		w.stop(h, "lease ended")
	}
}

func (w *Worker) tick(now clock.Millis) {
	for a, t := range w.ended {
		if t != 0 && now-t > endedKept {
			delete(w.ended, a)
		}
	}
	if w.began && now < w.sent+syncSoon {
		return
	}
	if w.began && !w.soon && now < w.sent+syncEvery {
		return
	}
	w.seq++
	w.sent, w.began, w.soon = now, true, false
	w.emit(Send{Request: w.request()})
}

func (w *Worker) request() proto.SyncRequest {
	c := w.config
	list := make([]proto.Held, 0, len(w.held))
	tasks := make([]proto.Assigned, 0, len(w.held))
	for _, h := range w.sorted() {
		report := h.report
		if h.command != proto.CommandRun {
			report.Command = h.command
		}
		list = append(list, report)
		tasks = append(tasks, proto.Assigned{Task: report.Task, Attempt: report.Attempt, Command: h.command})
	}
	w.reports = append(w.reports, reported{seq: w.seq, tasks: tasks})
	if len(w.reports) > reportsKept {
		w.reports = slices.Delete(w.reports, 0, 1)
	}
	return proto.SyncRequest{
		Worker: c.Worker, Incarnation: c.Incarnation, Zone: c.Zone, Rack: c.Rack, Size: c.Size,
		Epoch: w.epoch, Seq: w.seq, Held: list, Ends: slices.Clone(w.ends), Leaving: w.leaving,
	}
}

func (w *Worker) reply(now clock.Millis, in Reply) {
	body := in.Body
	switch {
	case now-in.Sent > replyAge || now < in.Sent:
		w.emit(Dropped{Reason: "answer took longer than 2 s"})
	case body.Epoch < w.epoch:
		w.emit(Dropped{Reason: "answer of an older epoch"})
	case body.Seq <= w.taken || body.Seq > w.seq:
		w.emit(Dropped{Reason: "answer older than one already taken"})
	case in.Sent+body.Lease <= now:
		w.emit(Dropped{Reason: "lease of the answer has ended"})
	default:
		w.take(now, in)
	}
}

func (w *Worker) take(now clock.Millis, in Reply) {
	w.epoch, w.taken = in.Body.Epoch, in.Body.Seq
	w.expires = in.Sent + in.Body.Lease
	w.confirm(now, in.Body.Confirms)
	tasks := in.Body.Tasks
	if in.Body.Same {
		tasks = w.reportOf(in.Body.Seq)
	}
	wanted := make(map[model.TaskID]int, len(tasks))
	for _, a := range tasks {
		wanted[a.Task] = a.Attempt
	}
	for _, h := range w.sorted() {
		if wanted[h.report.Task] != h.report.Attempt {
			w.stop(h, "not assigned")
		}
	}
	for _, a := range tasks {
		w.hold(a)
	}
}

// reportOf returns what the request with that number reported.
func (w *Worker) reportOf(seq uint64) []proto.Assigned {
	for _, r := range w.reports {
		if r.seq == seq {
			return r.tasks
		}
	}
	return nil // not remembered: holding nothing is always safe
}

func (w *Worker) hold(a proto.Assigned) {
	h, ok := w.held[a.Task]
	if !ok {
		w.start(a)
		return
	}
	// A new attempt starts only after the earlier one has left no process.
	if h.report.Attempt != a.Attempt || h.report.Phase == proto.PhaseStopping || h.command == a.Command {
		return
	}
	h.command = a.Command
	switch a.Command {
	case proto.CommandRun:
		w.emit(Resume{Task: a.Task, Attempt: a.Attempt})
	case proto.CommandThrottle:
		w.emit(Throttle{Task: a.Task, Attempt: a.Attempt})
	case proto.CommandCheckpoint:
		w.emit(Checkpoint{Task: a.Task, Attempt: a.Attempt})
	case proto.CommandStop:
		w.stop(h, "ordered")
	}
}

func (w *Worker) start(a proto.Assigned) {
	if _, over := w.ended[attempt{a.Task, a.Attempt}]; over {
		return
	}
	if a.Command == proto.CommandStop {
		// The leader waits for an outcome before it moves the task.
		w.record(proto.TaskEnd{Task: a.Task, Attempt: a.Attempt, End: proto.EndStopped, Reason: "stopped before its start", Saved: a.Saved})
		return
	}
	w.held[a.Task] = &held{
		report:  proto.Held{Task: a.Task, Attempt: a.Attempt, Phase: proto.PhaseStarting, Saved: a.Saved},
		command: a.Command,
	}
	w.emit(Start{Assigned: a})
}

func (w *Worker) stop(h *held, reason string) {
	if h.report.Phase == proto.PhaseStopping {
		return
	}
	h.report.Phase = proto.PhaseStopping
	w.soon = true
	w.emit(Stop{Task: h.report.Task, Attempt: h.report.Attempt, Reason: reason})
}

func (w *Worker) running(in Began) {
	h := w.find(in.Task, in.Attempt)
	if h == nil || h.report.Phase != proto.PhaseStarting {
		return
	}
	h.report.Phase = proto.PhaseRunning
	w.soon = true
}

func (w *Worker) measured(in Measured) {
	h := w.find(in.Task, in.Attempt)
	if h == nil {
		return
	}
	h.report.Usage = in.Usage
	h.report.Saved = max(h.report.Saved, in.Saved)
}

func (w *Worker) finished(end proto.TaskEnd) {
	if w.find(end.Task, end.Attempt) == nil {
		return
	}
	delete(w.held, end.Task)
	w.record(end)
}

func (w *Worker) record(end proto.TaskEnd) {
	w.ended[attempt{end.Task, end.Attempt}] = 0
	w.ends = append(w.ends, end)
	w.soon = true
}

func (w *Worker) confirm(now clock.Millis, confirms []proto.Confirm) {
	for _, c := range confirms {
		kept := w.ends[:0]
		for _, e := range w.ends {
			if e.Task != c.Task || e.Attempt != c.Attempt {
				kept = append(kept, e)
				continue
			}
			w.ended[attempt{c.Task, c.Attempt}] = now
		}
		w.ends = kept
	}
}

func (w *Worker) find(task model.TaskID, number int) *held {
	h, ok := w.held[task]
	if !ok || h.report.Attempt != number {
		return nil
	}
	return h
}

// sorted returns the held tasks in a fixed order, because outputs must not depend on map order.
func (w *Worker) sorted() []*held {
	list := make([]*held, 0, len(w.held))
	for _, h := range w.held {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *held) int { return compare(a.report.Task, b.report.Task) })
	return list
}
