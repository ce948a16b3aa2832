package server_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/lease"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/core/trace"
	"vanillabridge/vbridged/config"
	"vanillabridge/vbridged/server"
)

const documentTemplate = `[cell]
version = %d
[team t]
cpu = 64000m
memory = 128000Mi
[batch plan]
team = t
run = a
zones = z
count = 3
cpu = 100m
memory = 64Mi
time = 1s
urgency = urgent
`

// freeAddress returns a loopback address with a port that is not in use. Another process may still
// take it before the caller listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// instance is a cell with a single instance, which a test can restart.
type instance struct {
	t        *testing.T
	settings config.Settings
	stop     context.CancelFunc
	done     chan error
}

func newInstance(t *testing.T) *instance {
	t.Helper()
	text := fmt.Sprintf(`[instance]
name = one
zone = z
region = r
data = %s
bootstrap = true
[listen]
http = %s
peer = %s
[group]
voters = one
cell = one
`, t.TempDir(), freeAddress(t), freeAddress(t))
	settings, err := config.Parse("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	i := &instance{t: t, settings: settings}
	i.start()
	t.Cleanup(func() { i.stopAndWait() })
	return i
}

func (i *instance) start() {
	i.t.Helper()
	source := clock.NewSystem()
	s, err := server.New(server.Options{
		Settings: i.settings, Version: "test", Clock: source, Incarnation: server.NewIncarnation(),
		Recorder: trace.NewRecorder(trace.Options{Process: "one#1", Zone: "z", Source: source}),
	})
	if err != nil {
		i.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.stop, i.done = cancel, make(chan error, 1)
	go func() { i.done <- s.Serve(ctx) }()
	i.waitUntil("caught up", func() bool {
		var status proto.StatusReply
		return i.call(http.MethodGet, "/v1/status", nil, &status) == http.StatusOK && !slices.Contains(status.Reasons, "config: not caught up")
	})
}

func (i *instance) stopAndWait() {
	if i.stop == nil {
		return
	}
	i.stop()
	if err := <-i.done; err != nil {
		i.t.Errorf("stop: %v", err)
	}
	i.stop = nil
}

// call sends a request, decodes the answer and returns its status, or 0 if there was no answer.
func (i *instance) call(method, path string, body, into any) int {
	i.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		i.t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(i.t.Context(), method, "http://"+i.settings.Listen.HTTPAddress.String()+path, bytes.NewReader(text))
	if err != nil {
		i.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if into != nil {
		if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
			i.t.Fatalf("%s %s: %v", method, path, err)
		}
	}
	return resp.StatusCode
}

// waitUntil polls done until it returns true, and fails the test after 3000 tries of 10 ms.
func (i *instance) waitUntil(what string, done func() bool) {
	i.t.Helper()
	for n := 0; !done(); n++ {
		if n == 3000 {
			i.t.Fatalf("%s: not true after %d tries", what, n)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (i *instance) submit(key string, version int) (int, proto.SubmitReply) {
	i.t.Helper()
	var reply proto.SubmitReply
	status := i.call(http.MethodPost, "/v1/config", proto.SubmitRequest{Key: key, Document: fmt.Sprintf(documentTemplate, version)}, &reply)
	return status, reply
}

// completeJob simulates a worker that completes each task immediately, until all tasks are done.
func (i *instance) completeJob(id model.JobID) proto.JobReply {
	i.t.Helper()
	source := clock.NewSystem()
	w := lease.NewWorker(lease.Config{Worker: "w", Incarnation: 1, Zone: "z", Rack: "k", Capacity: model.Size{CPU: 16000, Memory: 32000}})
	var job proto.JobReply
	i.waitUntil("job ends", func() bool {
		i.stepWorker(w, source)
		return i.call(http.MethodGet, "/v1/jobs/"+string(id), nil, &job) == http.StatusOK && job.Counts.Done == len(job.Tasks)
	})
	return job
}

func (i *instance) stepWorker(w *lease.Worker, source clock.Source) {
	i.t.Helper()
	for _, o := range w.Step(source.Now(), lease.Tick{}) {
		send, ok := o.(lease.Send)
		if !ok {
			continue
		}
		sent := source.Now()
		var reply proto.SyncReply
		if i.call(http.MethodPost, "/v1/workers/sync", send.Request, &reply) != http.StatusOK {
			continue
		}
		for _, o := range w.Step(source.Now(), lease.Reply{SentAt: sent, Body: reply}) {
			if start, ok := o.(lease.Start); ok {
				w.Step(source.Now(), lease.Started{Task: start.Task, Attempt: start.Attempt})
				end := proto.TaskEnd{Task: start.Task, Attempt: start.Attempt, End: proto.EndDone, RunTime: 1}
				w.Step(source.Now(), lease.Finished{TaskEnd: end})
			}
		}
	}
}

// An accepted configuration, its submission key and the outcomes of tasks must survive a restart,
// and a resent run must not start again.
func TestStateSurvivesRestart(t *testing.T) {
	i := newInstance(t)
	if status, reply := i.submit("k", 1); status != http.StatusOK || reply.Version != 1 {
		t.Fatalf("first submission: status %d, reply %+v, want status 200 and version 1", status, reply)
	}
	if status, reply := i.submit("other", 1); status != http.StatusConflict {
		t.Errorf("second submission of version 1: status %d, reply %+v, want status %d", status, reply, http.StatusConflict)
	}
	job := i.completeJob("plan/a")
	i.stopAndWait()
	i.start()
	if status, reply := i.submit("k", 1); status != http.StatusOK || reply.Version != 1 {
		t.Errorf("resend after a restart: status %d, reply %+v, want the first reply", status, reply)
	}
	var current proto.ConfigReply
	if i.call(http.MethodGet, "/v1/config", nil, &current); current.Version != 1 {
		t.Errorf("active version after a restart = %d, want 1", current.Version)
	}
	var again proto.JobReply
	if status := i.call(http.MethodPost, "/v1/jobs", proto.RunRequest{Name: "plan", RunLabel: "a"}, &again); status != http.StatusOK {
		t.Errorf("resend of a run: status %d, want 200", status)
	}
	for n, task := range again.Tasks {
		if task.Phase != proto.TaskDone || task.Attempt != job.Tasks[n].Attempt {
			t.Errorf("task %d after a restart: %s in attempt %d, want done in attempt %d", n, task.Phase, task.Attempt, job.Tasks[n].Attempt)
		}
	}
}

// Invalid input must not be partly applied, and the answer must state that the request was not run.
func TestInvalidInputIsRefused(t *testing.T) {
	i := newInstance(t)
	for name, c := range map[string]struct {
		method, path string
		body         any
		status       int
	}{
		"unknown key":    {http.MethodPost, "/v1/config", proto.SubmitRequest{Document: "[cell]\nversion = 1\nwat = 1\n"}, http.StatusBadRequest},
		"unknown field":  {http.MethodPost, "/v1/jobs", struct{ Wat int }{1}, http.StatusBadRequest},
		"unknown batch":  {http.MethodPost, "/v1/jobs", proto.RunRequest{Name: "none"}, http.StatusNotFound},
		"bad run":        {http.MethodPost, "/v1/jobs", proto.RunRequest{Name: "none", RunLabel: "a/b"}, http.StatusBadRequest},
		"unknown job":    {http.MethodGet, "/v1/jobs/none/a", nil, http.StatusNotFound},
		"unknown zone":   {http.MethodPost, "/v1/workers/sync", proto.SyncRequest{Worker: "w", Incarnation: 1, Zone: "y"}, http.StatusServiceUnavailable},
		"no incarnation": {http.MethodPost, "/v1/workers/sync", proto.SyncRequest{Worker: "w", Zone: "z"}, http.StatusBadRequest},
	} {
		var reply proto.ErrorReply
		if status := i.call(c.method, c.path, c.body, &reply); status != c.status || reply.Outcome != proto.OutcomeNotRun {
			t.Errorf("%s: status %d, outcome %q, error %q; want %d and %q", name, status, reply.Outcome, reply.Error, c.status, proto.OutcomeNotRun)
		}
	}
}

// Guards against a run that starts although its cancellation was answered before it arrived: a caller or an instance stood
// still, and nothing remembered the answer.
func TestRunIsCancelledAfterItsCancellation(t *testing.T) {
	i := newInstance(t)
	if status, _ := i.submit("k", 1); status != http.StatusOK {
		t.Fatalf("configuration: status %d", status)
	}
	// Cancellations are recorded soon after the first start.
	run := 0
	i.waitUntil("a late run that is cancelled", func() bool {
		run++
		label := fmt.Sprint("early-", run)
		i.call(http.MethodDelete, "/v1/jobs/plan/"+label, nil, nil)
		var job proto.JobReply
		i.call(http.MethodPost, "/v1/jobs", proto.RunRequest{Name: "plan", RunLabel: label}, &job)
		return job.Counts.Cancelled > 0
	})
	if status := i.call(http.MethodDelete, "/v1/jobs/plan/late", nil, nil); status != http.StatusNotFound {
		t.Fatalf("cancellation of an unknown job: status %d, want %d", status, http.StatusNotFound)
	}
	if status := i.call(http.MethodGet, "/v1/jobs/plan/late", nil, nil); status != http.StatusNotFound {
		t.Errorf("a job that was not submitted: status %d, want %d", status, http.StatusNotFound)
	}
	i.stopAndWait()
	i.start()
	var job proto.JobReply
	if status := i.call(http.MethodPost, "/v1/jobs", proto.RunRequest{Name: "plan", RunLabel: "late"}, &job); status != http.StatusOK {
		t.Errorf("late run: status %d, want %d", status, http.StatusOK)
	}
	if want := (proto.Counts{Cancelled: 3}); job.Counts != want || job.Reason == "" {
		t.Errorf("late run: %+v with reason %q, want %+v with a reason", job.Counts, job.Reason, want)
	}
}
