package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/spf13/cobra"

	"vanillabridge/core/clock"
	"vanillabridge/core/golden"
	"vanillabridge/core/proto"
	"vanillabridge/core/trace"
)

// fakeInstance is a fake entry instance that records the requests it receives.
type fakeInstance struct {
	address string

	mu       sync.Mutex
	requests []string
}

func (i *fakeInstance) receivedRequests() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.requests)
}

func startInstance(t *testing.T, handler http.HandlerFunc) *fakeInstance {
	t.Helper()
	i := &fakeInstance{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		i.mu.Lock()
		i.requests = append(i.requests, r.Method+" "+r.URL.String()+" "+string(body))
		i.mu.Unlock()
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	i.address = server.Listener.Addr().String()
	return i
}

func respondWith(status int, body any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func respondError(status int, outcome proto.Outcome) http.HandlerFunc {
	return respondWith(status, proto.ErrorReply{Error: "no leader", Outcome: outcome})
}

// closeWithoutResponse accepts the request and closes the connection without a response.
func closeWithoutResponse(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// respondTruncated sends an incomplete response.
func respondTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"version":`))
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return address
}

func runVbctl(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	a := newApp(streams{strings.NewReader("[cell]\nversion = 1\n"), &o, &e})
	a.sleep = func(context.Context, time.Duration) error { return nil }
	status = a.run(t.Context(), args)
	return status, o.String(), e.String()
}

// Guards against the exit status "not run" for a submission that an instance may have accepted,
// and against a failover that changes the idempotency key.
func TestFailoverAndStatus(t *testing.T) {
	done := respondWith(200, proto.SubmitReply{Version: 1})
	conflict := respondWith(409, map[string]any{"error": "version 1 is taken", "outcome": "notrun", "version": 1, "diff": "~ [team a] cpu: 1m -> 2m\n"})
	for name, test := range map[string]struct {
		handlers []http.HandlerFunc // nil for an unreachable instance
		status   int
		calls    int
	}{
		"done":                     {[]http.HandlerFunc{done, done}, exitDone, 1},
		"unreachable, done":        {[]http.HandlerFunc{nil, done}, exitDone, 1},
		"all unreachable":          {[]http.HandlerFunc{nil, nil}, exitNotRun, 0},
		"no leader, done":          {[]http.HandlerFunc{respondError(503, "notrun"), done}, exitDone, 2},
		"no leader":                {[]http.HandlerFunc{respondError(503, "notrun"), nil}, exitNotRun, 1},
		"overloaded":               {[]http.HandlerFunc{respondError(429, "notrun")}, exitNotRun, 1},
		"invalid":                  {[]http.HandlerFunc{respondError(400, "notrun"), done}, exitNotRun, 1},
		"conflict":                 {[]http.HandlerFunc{conflict, done}, exitNotRun, 1},
		"no response, done":        {[]http.HandlerFunc{closeWithoutResponse, done}, exitDone, 2},
		"no response, unreachable": {[]http.HandlerFunc{closeWithoutResponse, nil}, exitUnknown, 1},
		"no response, no leader":   {[]http.HandlerFunc{closeWithoutResponse, respondError(503, "notrun")}, exitUnknown, 2},
		"no response, invalid":     {[]http.HandlerFunc{closeWithoutResponse, respondError(400, "notrun")}, exitUnknown, 2},
		"no response, conflict":    {[]http.HandlerFunc{closeWithoutResponse, conflict}, exitNotRun, 2},
		"truncated, unreachable":   {[]http.HandlerFunc{respondTruncated, nil}, exitUnknown, 1},
		"unknown, done":            {[]http.HandlerFunc{respondError(502, "unknown"), done}, exitDone, 2},
		"unknown":                  {[]http.HandlerFunc{respondError(502, "unknown"), nil}, exitUnknown, 1},
		"load balancer error page": {[]http.HandlerFunc{respondWith(502, "bad gateway")}, exitUnknown, 1},
		"not an entry instance":    {[]http.HandlerFunc{respondWith(404, "no such page")}, exitUnknown, 1},
		"body is not a reply":      {[]http.HandlerFunc{respondWith(200, "hello")}, exitUnknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var servers, bodies []string
			var instances []*fakeInstance
			for _, h := range test.handlers {
				if h == nil {
					servers = append(servers, unusedAddress(t))
					continue
				}
				i := startInstance(t, h)
				servers, instances = append(servers, i.address), append(instances, i)
			}
			status, out, errs := runVbctl(t, "submit", "-", "--server", strings.Join(servers, ","))
			for _, i := range instances {
				bodies = append(bodies, i.receivedRequests()...)
			}
			if status != test.status || len(bodies) != test.calls {
				t.Fatalf("exit status %d after %d calls, want %d after %d\n%s%s", status, len(bodies), test.status, test.calls, out, errs)
			}
			for _, body := range bodies {
				if body != bodies[0] || strings.Contains(body, `"key":""`) {
					t.Errorf("request %s differs from the first request %s or has no key", body, bodies[0])
				}
			}
			if strings.Contains(name, "conflict") && !strings.Contains(out, "~ [team a]") {
				t.Errorf("output lacks the diff of the conflict:\n%s", out)
			}
		})
	}
}

// Guards against wrong usage that is reported as another failure, or after which a request is sent
// nevertheless.
func TestUsage(t *testing.T) {
	i := startInstance(t, respondWith(200, struct{}{}))
	for _, args := range []string{
		"nosuch", "check", "check a b", "status --nosuch", "run report", "run report --run=", "job report", "job a/b/c",
		"job a/b?c", "status --output xml", "timeline --format xml", "timeline --task x", "timeline --kind x",
		"timeline --limit x", "check - --zone x", "drain --server 127.0.0.1:1",
	} {
		words := append(strings.Fields(args), "--server", i.address)
		if status, _, errs := runVbctl(t, words...); status != exitUsage || !strings.Contains(errs, "--help") {
			t.Errorf("%s: exit status %d, want %d\n%s", args, status, exitUsage, errs)
		}
	}
	for _, args := range []string{"status", "timeline", "submit -", "status --server x", "status --server ftp://a:1"} {
		if status, _, errs := runVbctl(t, strings.Fields(args)...); status != exitUsage {
			t.Errorf("%s: exit status %d, want %d\n%s", args, status, exitUsage, errs)
		}
	}
	if len(i.receivedRequests()) > 0 {
		t.Errorf("requests sent despite wrong usage: %v", i.receivedRequests())
	}
}

// Guards against a --wait that ends before the job, gives up during a restart of an instance, or
// reports a failed job as done.
func TestJobWait(t *testing.T) {
	for status, last := range map[int]proto.Counts{exitDone: {Done: 2}, exitFailed: {Done: 1, Failed: 1}} {
		polls := []http.HandlerFunc{
			respondWith(200, proto.JobReply{Job: "report/1", Reason: "no worker", Counts: proto.Counts{Waiting: 1, Running: 1}}),
			respondError(503, "notrun"), closeWithoutResponse,
			respondWith(200, proto.JobReply{Job: "report/1", Counts: proto.Counts{Assigned: 1, Done: 1}}),
		}
		// Only consecutive failures count; otherwise a long job would exceed the limit at some time.
		polls = append(polls, slices.Repeat([]http.HandlerFunc{respondError(503, "notrun")}, maxConsecutivePollFailures)...)
		polls = append(polls, respondWith(200, proto.JobReply{Job: "report/1", Counts: last}))
		var n atomic.Int64
		i := startInstance(t, func(w http.ResponseWriter, r *http.Request) {
			polls[min(int(n.Add(1)), len(polls))-1](w, r)
		})
		got, out, errs := runVbctl(t, "job", "report/1", "--wait", "--server", i.address)
		if got != status || int(n.Load()) != len(polls) {
			t.Errorf("exit status %d after %d polls, want %d after %d\n%s%s", got, n.Load(), status, len(polls), out, errs)
		}
		if strings.Contains(out, "no worker") {
			t.Errorf("output has the reason of an earlier response:\n%s", out)
		}
		if i.receivedRequests()[0] != "GET /v1/jobs/report/1 " {
			t.Errorf("request %q", i.receivedRequests()[0])
		}
	}
	i := startInstance(t, respondError(404, "notrun"))
	if status, _, _ := runVbctl(t, "job", "report/1", "--wait", "--server", i.address); status != exitFailed || len(i.receivedRequests()) != 1 {
		t.Errorf("missing job: exit status %d after %d polls, want %d after 1", status, len(i.receivedRequests()), exitFailed)
	}
	i = startInstance(t, respondError(503, "notrun"))
	if status, _, _ := runVbctl(t, "job", "report/1", "--wait", "--server", i.address); status != exitFailed || len(i.receivedRequests()) != maxConsecutivePollFailures+1 {
		t.Errorf("unavailable cell: exit status %d after %d polls, want %d after %d", status, len(i.receivedRequests()), exitFailed, maxConsecutivePollFailures+1)
	}
}

// Guards against a timeline that omits a source, is not in causal order, or fails because one
// source cannot be read.
func TestTimeline(t *testing.T) {
	at := &clock.Fake{}
	lines := func(process string, advance clock.Millis) string {
		at.Advance(advance)
		var b bytes.Buffer
		r := trace.NewRecorder(trace.Options{Process: process, Source: at, Sink: &b})
		r.Record(trace.Ready{})
		if err := r.Flush(); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	file := t.TempDir() + "/events"
	if err := os.WriteFile(file, []byte(lines("a", 1)+"torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	second, third := lines("b", 1), lines("c", 1)
	serve := func(text string) *fakeInstance {
		return startInstance(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) })
	}
	b, c := serve(second), serve(third)
	servers := c.address + "," + unusedAddress(t) + "," + b.address
	status, out, errs := runVbctl(t, "timeline", "--file", file, "--server", servers, "--kind", "ready", "--limit", "3")
	if status != exitDone || strings.Count(errs, "skipped") != 1 || !strings.Contains(errs, "1 lines are not valid events") {
		t.Errorf("exit status %d, want %d\n%s", status, exitDone, errs)
	}
	golden.Check(t, "testdata/timeline.golden", out)
	if b.receivedRequests()[0] != "GET /v1/events?kind=ready&limit=3 " {
		t.Errorf("request %q", b.receivedRequests()[0])
	}
	for format, want := range map[string]string{"json": `"process":"a"`, "html": "<svg"} {
		if _, out, _ := runVbctl(t, "timeline", "--file", file, "--format", format); !strings.Contains(out, want) {
			t.Errorf("format %s lacks %s:\n%s", format, want, out)
		}
	}
	if status, _, _ := runVbctl(t, "timeline", "--server", unusedAddress(t)); status != exitFailed {
		t.Errorf("no readable source: exit status %d, want %d", status, exitFailed)
	}
}

// Guards against unnoticed changes of the output, and against a wrong method or path.
func TestOutputGolden(t *testing.T) {
	job := proto.JobReply{
		Job: "report/1", Zone: "east-a", Counts: proto.Counts{Done: 1, Running: 1},
		Tasks: []proto.TaskReply{{Phase: proto.TaskDone, Worker: "w1", Attempt: 1}, {Index: 1, Phase: proto.TaskRunning, Attempt: 2, Reason: "worker w2 lost"}},
	}
	state := proto.StatusReply{
		Instance: "east-1", Zone: "east-a", Region: "east", ConfigVersion: 7, Reasons: []string{"config: not caught up"}, Workers: 50,
		Instances: []proto.InstanceStatus{{Instance: "west-1", Zone: "west-a", ConfigVersion: 7, Reachable: true}},
		Groups:    []proto.GroupStatus{{Group: "zone east-a", Leader: "east-1", Term: 3, AppliedIndex: 9, Voters: []string{"east-1#a", "east-2#b"}}, {Group: "cell"}},
		Servers:   []proto.ServerStatus{{Server: "s1", Service: "web", Address: "10.0.3.1:80", State: proto.ServerServing, Eligible: true, Age: 120, ActiveRequests: 3}},
	}
	i := startInstance(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET /v1/status":
			respondWith(200, state)(w, r)
		case "GET /v1/config":
			respondWith(200, proto.ConfigReply{Version: 7, Document: "[cell]\nversion = 7\n"})(w, r)
		case "POST /v1/config":
			respondWith(200, proto.SubmitReply{Version: 8, Defaults: []string{"[route web] queue: is missing, set to 1000"}})(w, r)
		case "POST /v1/jobs", "GET /v1/jobs/report/1", "DELETE /v1/jobs/report/1":
			respondWith(200, job)(w, r)
		case "POST /v1/drain":
			w.WriteHeader(http.StatusAccepted)
		default:
			respondError(404, "notrun")(w, r)
		}
	})
	var all strings.Builder
	for _, args := range []string{
		"status", "status -o json", "config", "config -o json", "config --diff -", "submit - --key k", "submit - -o json",
		"run report --run 1", "job report/1", "job report/1 -o json", "cancel report/1", "drain", "job none/1", "job none/1 -o json",
	} {
		status, out, errs := runVbctl(t, append(strings.Fields(args), "--server", i.address)...)
		text := strings.ReplaceAll(out+errs, i.address, "SERVER")
		all.WriteString("$ vbctl " + args + "\n" + text + "exit status " + string(rune('0'+status)) + "\n\n")
	}
	for _, args := range []string{"check testdata/good.ini", "check testdata/bad.ini --zone east-a=east", "check testdata/bad.ini -o json", "check testdata/none.ini", "--version"} {
		status, out, errs := runVbctl(t, strings.Fields(args)...)
		all.WriteString("$ vbctl " + args + "\n" + out + errs + "exit status " + string(rune('0'+status)) + "\n\n")
	}
	golden.Check(t, "testdata/output.golden", all.String())
}

// Guards against a subcommand without help text, examples or shell completion.
func TestEverySubcommandIsDocumented(t *testing.T) {
	root := newApp(streams{}).newRootCommand()
	var names []string
	for _, c := range root.Commands() {
		names = append(names, c.Name())
		if c.Short == "" || c.Long == "" || !strings.Contains(c.Example, "vbctl "+c.Name()) {
			t.Errorf("subcommand %s lacks help text or examples", c.Name())
		}
	}
	want := []string{"cancel", "check", "config", "drain", "job", "run", "status", "submit", "timeline"}
	if diff := cmp.Diff(want, names); diff != "" {
		t.Errorf("subcommands (-want +got):\n%s", diff)
	}
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		if status, out, _ := runVbctl(t, "completion", shell); status != exitDone || !strings.Contains(out, "vbctl") {
			t.Errorf("completion %s: exit status %d", shell, status)
		}
	}
	if _, out, _ := runVbctl(t, cobra.ShellCompRequestCmd, "status", "--output", ""); !strings.Contains(out, "json") {
		t.Errorf("completion of --output: %s", out)
	}
}
