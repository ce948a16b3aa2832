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

// instance is a stand-in for an entry instance; it keeps the bodies that it received.
type instance struct {
	address string

	mu     sync.Mutex
	bodies []string
}

func (i *instance) received() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.bodies)
}

func start(t *testing.T, handler http.HandlerFunc) *instance {
	t.Helper()
	i := &instance{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		i.mu.Lock()
		i.bodies = append(i.bodies, r.Method+" "+r.URL.String()+" "+string(body))
		i.mu.Unlock()
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	i.address = server.Listener.Addr().String()
	return i
}

func answer(status int, body any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func refuse(status int, outcome proto.Outcome) http.HandlerFunc {
	return answer(status, proto.Problem{Error: "no leader", Outcome: outcome})
}

// breakOff takes the request and closes the connection without an answer.
func breakOff(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// truncate sends half of an answer.
func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"version":`))
}

// dead returns an address at which nothing listens.
func dead(t *testing.T) string {
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

func vbctl(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	a := newApp(streams{strings.NewReader("[cell]\nversion = 1\n"), &o, &e})
	a.sleep = func(context.Context, time.Duration) error { return nil }
	status = a.run(t.Context(), args)
	return status, o.String(), e.String()
}

// Guards against an exit status that calls a submission "not run" although an instance may
// have accepted it, and against a failover that changes the key.
func TestFailoverAndStatus(t *testing.T) {
	done := answer(200, proto.SubmitReply{Version: 1})
	conflict := answer(409, map[string]any{"error": "version 1 is taken", "outcome": "notrun", "version": 1, "diff": "~ [team a] cpu: 1m -> 2m\n"})
	for name, test := range map[string]struct {
		handlers []http.HandlerFunc // nil for a dead instance
		status   int
		calls    int
	}{
		"done":                     {[]http.HandlerFunc{done, done}, statusDone, 1},
		"dead, done":               {[]http.HandlerFunc{nil, done}, statusDone, 1},
		"all dead":                 {[]http.HandlerFunc{nil, nil}, statusNotRun, 0},
		"no leader, done":          {[]http.HandlerFunc{refuse(503, "notrun"), done}, statusDone, 2},
		"no leader":                {[]http.HandlerFunc{refuse(503, "notrun"), nil}, statusNotRun, 1},
		"overloaded":               {[]http.HandlerFunc{refuse(429, "notrun")}, statusNotRun, 1},
		"invalid":                  {[]http.HandlerFunc{refuse(400, "notrun"), done}, statusNotRun, 1},
		"conflict":                 {[]http.HandlerFunc{conflict, done}, statusNotRun, 1},
		"broken off, done":         {[]http.HandlerFunc{breakOff, done}, statusDone, 2},
		"broken off, dead":         {[]http.HandlerFunc{breakOff, nil}, statusUnknown, 1},
		"broken off, no leader":    {[]http.HandlerFunc{breakOff, refuse(503, "notrun")}, statusUnknown, 2},
		"broken off, invalid":      {[]http.HandlerFunc{breakOff, refuse(400, "notrun")}, statusUnknown, 2},
		"broken off, conflict":     {[]http.HandlerFunc{breakOff, conflict}, statusNotRun, 2},
		"truncated, dead":          {[]http.HandlerFunc{truncate, nil}, statusUnknown, 1},
		"unknown, done":            {[]http.HandlerFunc{refuse(502, "unknown"), done}, statusDone, 2},
		"unknown":                  {[]http.HandlerFunc{refuse(502, "unknown"), nil}, statusUnknown, 1},
		"balancer without a body":  {[]http.HandlerFunc{answer(502, "bad gateway")}, statusUnknown, 1},
		"not an entry instance":    {[]http.HandlerFunc{answer(404, "no such page")}, statusUnknown, 1},
		"answer that is no answer": {[]http.HandlerFunc{answer(200, "hello")}, statusUnknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var servers, bodies []string
			var instances []*instance
			for _, h := range test.handlers {
				if h == nil {
					servers = append(servers, dead(t))
					continue
				}
				i := start(t, h)
				servers, instances = append(servers, i.address), append(instances, i)
			}
			status, out, errs := vbctl(t, "submit", "-", "--server", strings.Join(servers, ","))
			for _, i := range instances {
				bodies = append(bodies, i.received()...)
			}
			if status != test.status || len(bodies) != test.calls {
				t.Fatalf("exit status %d after %d calls, want %d after %d\n%s%s", status, len(bodies), test.status, test.calls, out, errs)
			}
			for _, body := range bodies {
				if body != bodies[0] || strings.Contains(body, `"key":""`) {
					t.Errorf("the resend %s differs from %s or has no key", body, bodies[0])
				}
			}
			if strings.Contains(name, "conflict") && !strings.Contains(out, "~ [team a]") {
				t.Errorf("the difference is not shown:\n%s", out)
			}
		})
	}
}

// Guards against wrong usage that passes for a failure, and against a call that is made
// nevertheless.
func TestUsage(t *testing.T) {
	i := start(t, answer(200, struct{}{}))
	for _, args := range []string{
		"nosuch", "check", "check a b", "status --nosuch", "run report", "run report --run=", "job report", "job a/b/c",
		"job a/b?c", "status --output xml", "timeline --format xml", "timeline --task x", "timeline --kind x",
		"timeline --limit x", "check - --zone x", "drain --server 127.0.0.1:1",
	} {
		words := append(strings.Fields(args), "--server", i.address)
		if status, _, errs := vbctl(t, words...); status != statusUsage || !strings.Contains(errs, "--help") {
			t.Errorf("%s: exit status %d, want %d\n%s", args, status, statusUsage, errs)
		}
	}
	for _, args := range []string{"status", "timeline", "submit -", "status --server x", "status --server ftp://a:1"} {
		if status, _, errs := vbctl(t, strings.Fields(args)...); status != statusUsage {
			t.Errorf("%s: exit status %d, want %d\n%s", args, status, statusUsage, errs)
		}
	}
	if len(i.received()) > 0 {
		t.Errorf("calls in spite of wrong usage: %v", i.received())
	}
}

// Guards against a wait that ends early, gives up at a restart, or calls a failed job done.
func TestJobWait(t *testing.T) {
	for status, last := range map[int]proto.Counts{statusDone: {Done: 2}, statusFailed: {Done: 1, Failed: 1}} {
		polls := []http.HandlerFunc{
			answer(200, proto.JobReply{Job: "report/1", Reason: "no worker", Counts: proto.Counts{Waiting: 1, Running: 1}}),
			refuse(503, "notrun"), breakOff,
			answer(200, proto.JobReply{Job: "report/1", Counts: proto.Counts{Assigned: 1, Done: 1}}),
		}
		// Only failures in a row count, or a long job could not be awaited.
		polls = append(polls, slices.Repeat([]http.HandlerFunc{refuse(503, "notrun")}, maxMissed)...)
		polls = append(polls, answer(200, proto.JobReply{Job: "report/1", Counts: last}))
		var n atomic.Int64
		i := start(t, func(w http.ResponseWriter, r *http.Request) {
			polls[min(int(n.Add(1)), len(polls))-1](w, r)
		})
		got, out, errs := vbctl(t, "job", "report/1", "--wait", "--server", i.address)
		if got != status || int(n.Load()) != len(polls) {
			t.Errorf("exit status %d after %d polls, want %d after %d\n%s%s", got, n.Load(), status, len(polls), out, errs)
		}
		if strings.Contains(out, "no worker") {
			t.Errorf("the last answer keeps the reason of an earlier one:\n%s", out)
		}
		if i.received()[0] != "GET /v1/jobs/report/1 " {
			t.Errorf("request %q", i.received()[0])
		}
	}
	i := start(t, refuse(404, "notrun"))
	if status, _, _ := vbctl(t, "job", "report/1", "--wait", "--server", i.address); status != statusFailed || len(i.received()) != 1 {
		t.Errorf("job that does not exist: exit status %d after %d polls, want %d after 1", status, len(i.received()), statusFailed)
	}
	i = start(t, refuse(503, "notrun"))
	if status, _, _ := vbctl(t, "job", "report/1", "--wait", "--server", i.address); status != statusFailed || len(i.received()) != maxMissed+1 {
		t.Errorf("cell that stays away: exit status %d after %d polls, want %d after %d", status, len(i.received()), statusFailed, maxMissed+1)
	}
}

// Guards against a timeline that loses a source, its order, or fails because one source is gone.
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
	serve := func(text string) *instance {
		return start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) })
	}
	b, c := serve(second), serve(third)
	servers := c.address + "," + dead(t) + "," + b.address
	status, out, errs := vbctl(t, "timeline", "--file", file, "--server", servers, "--kind", "ready", "--limit", "3")
	if status != statusDone || strings.Count(errs, "left out") != 1 || !strings.Contains(errs, "1 lines are no events") {
		t.Errorf("exit status %d, want %d\n%s", status, statusDone, errs)
	}
	golden.Check(t, "testdata/timeline.golden", out)
	if b.received()[0] != "GET /v1/events?kind=ready&limit=3 " {
		t.Errorf("request %q", b.received()[0])
	}
	for format, want := range map[string]string{"json": `"process":"a"`, "html": "<svg"} {
		if _, out, _ := vbctl(t, "timeline", "--file", file, "--format", format); !strings.Contains(out, want) {
			t.Errorf("format %s lacks %s:\n%s", format, want, out)
		}
	}
	if status, _, _ := vbctl(t, "timeline", "--server", dead(t)); status != statusFailed {
		t.Errorf("no source: exit status %d, want %d", status, statusFailed)
	}
}

// Guards against output that changes unnoticed, and against a call of the wrong method or path.
func TestOutputGolden(t *testing.T) {
	job := proto.JobReply{
		Job: "report/1", Zone: "east-a", Counts: proto.Counts{Done: 1, Running: 1},
		Tasks: []proto.TaskReply{{Phase: proto.TaskDone, Worker: "w1", Attempt: 1}, {Index: 1, Phase: proto.TaskRunning, Attempt: 2, Reason: "worker w2 lost"}},
	}
	state := proto.StatusReply{
		Instance: "east-1", Zone: "east-a", Region: "east", Config: 7, Reasons: []string{"config: not caught up"}, Workers: 50,
		Instances: []proto.InstanceStatus{{Instance: "west-1", Zone: "west-a", Config: 7, Reached: true}},
		Groups:    []proto.GroupStatus{{Group: "zone east-a", Leader: "east-1", Term: 3, Applied: 9, Voters: []string{"east-1#a", "east-2#b"}}, {Group: "cell"}},
		Servers:   []proto.ServerStatus{{Server: "s1", Service: "web", Address: "10.0.3.1:80", State: proto.ServerServing, Eligible: true, Age: 120, Active: 3}},
	}
	i := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET /v1/status":
			answer(200, state)(w, r)
		case "GET /v1/config":
			answer(200, proto.ConfigReply{Version: 7, Document: "[cell]\nversion = 7\n"})(w, r)
		case "POST /v1/config":
			answer(200, proto.SubmitReply{Version: 8, Defaults: []string{"[route web] queue: is missing, set to 1000"}})(w, r)
		case "POST /v1/jobs", "GET /v1/jobs/report/1", "DELETE /v1/jobs/report/1":
			answer(200, job)(w, r)
		case "POST /v1/drain":
			w.WriteHeader(http.StatusAccepted)
		default:
			refuse(404, "notrun")(w, r)
		}
	})
	var all strings.Builder
	for _, args := range []string{
		"status", "status -o json", "config", "config -o json", "config --diff -", "submit - --key k", "submit - -o json",
		"run report --run 1", "job report/1", "job report/1 -o json", "cancel report/1", "drain", "job none/1", "job none/1 -o json",
	} {
		status, out, errs := vbctl(t, append(strings.Fields(args), "--server", i.address)...)
		text := strings.ReplaceAll(out+errs, i.address, "SERVER")
		all.WriteString("$ vbctl " + args + "\n" + text + "exit status " + string(rune('0'+status)) + "\n\n")
	}
	for _, args := range []string{"check testdata/good.ini", "check testdata/bad.ini --zone east-a=east", "check testdata/bad.ini -o json", "check testdata/none.ini", "--version"} {
		status, out, errs := vbctl(t, strings.Fields(args)...)
		all.WriteString("$ vbctl " + args + "\n" + out + errs + "exit status " + string(rune('0'+status)) + "\n\n")
	}
	golden.Check(t, "testdata/output.golden", all.String())
}

// Guards against a subcommand without usage text, examples or completion.
func TestEverySubcommandIsDocumented(t *testing.T) {
	root := newApp(streams{}).root()
	var names []string
	for _, c := range root.Commands() {
		names = append(names, c.Name())
		if c.Short == "" || c.Long == "" || !strings.Contains(c.Example, "vbctl "+c.Name()) {
			t.Errorf("%s lacks usage text or examples", c.Name())
		}
	}
	want := []string{"cancel", "check", "config", "drain", "job", "run", "status", "submit", "timeline"}
	if diff := cmp.Diff(want, names); diff != "" {
		t.Errorf("subcommands (-want +got):\n%s", diff)
	}
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		if status, out, _ := vbctl(t, "completion", shell); status != statusDone || !strings.Contains(out, "vbctl") {
			t.Errorf("completion %s: exit status %d", shell, status)
		}
	}
	if _, out, _ := vbctl(t, cobra.ShellCompRequestCmd, "status", "--output", ""); !strings.Contains(out, "json") {
		t.Errorf("completion of --output: %s", out)
	}
}
