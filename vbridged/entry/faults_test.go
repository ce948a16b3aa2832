package entry_test

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/vbridged/entry"
)

// raw starts a backend server that writes bytes of its own for each request, and returns
// how many requests it read.
func (w *world) raw(t *testing.T, answer func(c net.Conn, r *http.Request, n int64)) *atomic.Int64 {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	runs := new(atomic.Int64)
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for reader := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			answer(c, r, runs.Add(1))
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	w.announce(t, announceOf("raw", l.Addr()), member.RiseCount)
	return runs
}

func say(text string) func(net.Conn, *http.Request, int64) {
	return func(c net.Conn, _ *http.Request, _ int64) {
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}
}

// Guards against an answer that looks whole although it is not, a second run of a request
// that may have run, and notrun for a request of which a byte was sent.
func TestBadAnswers(t *testing.T) {
	silent := func(_ net.Conn, _ *http.Request, _ int64) {}
	cases := []struct {
		name   string
		answer func(net.Conn, *http.Request, int64)
		status int // 0: the caller's connection breaks off
	}{
		{"never answers", silent, http.StatusGatewayTimeout},
		{"resets before the answer", say(""), http.StatusBadGateway},
		{"resets in the header", say("HTTP/1.1 200 OK\r\nContent-Le"), http.StatusBadGateway},
		{"truncates a length", say("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"), 0},
		{"truncates chunks", say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), 0},
		{"has no length", say("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nperhaps whole"), http.StatusBadGateway},
		{"is too large", say("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"), http.StatusBadGateway},
		{"has a header over the limit", say("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 70<<10)), http.StatusBadGateway},
		{"switches protocols", say("HTTP/1.1 101 Switching Protocols\r\n\r\n"), http.StatusBadGateway},
		{"is of another request", say("HTTP/1.1 200 OK\r\nVb-Request: x\r\nContent-Length: 0\r\n\r\n"), http.StatusBadGateway},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			runs := w.raw(t, c.answer)
			got := w.call(t, http.MethodPost, "/s/svc/x", "order", proto.HeaderDeadline, "200", proto.HeaderKey, "k")
			if c.status == 0 {
				c.status = http.StatusBadGateway // a small answer is read whole before the caller gets it
				if get := w.call(t, http.MethodGet, "/s/svc/x", "", proto.HeaderDeadline, "200"); get.err == nil {
					t.Errorf("GET: the answer %q looks whole", get.body)
				}
				runs.Add(-1)
			}
			if got.status != c.status || got.outcome != proto.OutcomeUnknown {
				t.Errorf("POST: status %d, outcome %q (%s), want %d, unknown", got.status, got.outcome, got.body, c.status)
			}
			if n := runs.Load(); n != 1 {
				t.Errorf("the request ran %d times", n)
			}
			again := w.call(t, http.MethodPost, "/s/svc/x", "order", proto.HeaderKey, "k")
			if again.outcome != proto.OutcomeRunning && again.outcome != proto.OutcomeUnknown {
				t.Errorf("resend: outcome %q", again.outcome)
			}
			if n := runs.Load(); n != 1 {
				t.Errorf("the resend ran: %d runs", n)
			}
		})
	}
}

// Guards against a surplus answer on a connection that reaches another caller: one that is
// there before the next request, and one that comes after it with the identifier of the
// earlier request.
func TestSurplusAnswer(t *testing.T) {
	text := func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nVb-Request: " + r.Header.Get(proto.HeaderRequest) + "\r\nContent-Length: 2\r\n\r\n" + r.URL.Path
	}
	early := func(c net.Conn, r *http.Request, _ int64) { _, _ = io.WriteString(c, text(r)+text(r)) }
	var last sync.Map // by connection
	late := func(c net.Conn, r *http.Request, _ int64) {
		if old, ok := last.Swap(c, text(r)); ok {
			_, _ = io.WriteString(c, old.(string))
		}
		_, _ = io.WriteString(c, text(r))
	}
	for _, surplus := range []func(net.Conn, *http.Request, int64){early, late} {
		w := newWorld(t)
		w.raw(t, surplus)
		done := 0
		for _, path := range []string{"a", "b", "c", "d", "e", "f"} {
			got := w.call(t, http.MethodGet, "/s/svc/"+path, "", proto.HeaderDeadline, "200")
			if got.outcome == proto.OutcomeDone && got.body != "/"+path {
				t.Fatalf("caller of %q got %q", path, got.body)
			}
			if got.outcome == proto.OutcomeDone {
				done++
			}
		}
		if done < 3 {
			t.Errorf("%d of 6 requests done", done)
		}
	}
}

// Guards against a refusal that says notrun under a key that may have run, a lost or changed
// first answer, and a key that answers another request.
func TestResend(t *testing.T) {
	w := newWorld(t)
	var runs atomic.Int64
	w.backend(t, "b1", func(rw http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		rw.Header().Set("X-Run", "first")
		rw.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(rw, "receipt")
	})
	post := func(path string) answer { return w.call(t, http.MethodPost, path, "order", proto.HeaderKey, "k") }
	first, again := post("/s/svc/x"), post("/s/svc/x")
	for _, got := range []answer{first, again} {
		if got.status != http.StatusAccepted || got.body != "receipt" || got.outcome != proto.OutcomeDone || got.header.Get("X-Run") != "first" {
			t.Errorf("answer %+v", got)
		}
	}
	if got := post("/s/svc/y"); got.status != http.StatusUnprocessableEntity || got.outcome != proto.OutcomeUnknown {
		t.Errorf("another path under the key: %+v", got)
	}
	w.down = true
	if got := post("/s/svc/x"); got.outcome != proto.OutcomeUnknown {
		t.Errorf("owner zone out of reach: %+v", got)
	}
	if got := w.call(t, http.MethodPost, "/s/svc/x", ""); got.outcome != proto.OutcomeNotRun {
		t.Errorf("owner zone out of reach, no key: %+v", got)
	}
	if got := w.call(t, http.MethodPost, "/s/none/x", "", proto.HeaderKey, "k"); got.outcome != proto.OutcomeUnknown {
		t.Errorf("refused without a look at the record: %+v", got)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// Guards against a retry that never happens, happens for a request that was sent, or ignores
// the connection failures of a server.
func TestRetry(t *testing.T) {
	w := newWorld(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close() // nobody listens here
	w.announce(t, announceOf("gone", l.Addr()), member.RiseCount)
	got := w.call(t, http.MethodPost, "/s/svc/x", "order", proto.HeaderKey, "k")
	if got.outcome != proto.OutcomeNotRun || got.header.Get("Retry-After") == "" {
		t.Errorf("no connection: %+v", got)
	}
	runs := w.raw(t, func(c net.Conn, _ *http.Request, n int64) {
		if n == 1 {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for range 3 {
		if got := w.call(t, http.MethodGet, "/s/svc/x", ""); got.body != "ok" {
			t.Errorf("GET: %+v", got)
		}
	}
	if got := w.call(t, http.MethodPost, "/s/svc/x", "order", proto.HeaderKey, "k"); got.body != "ok" {
		t.Errorf("resend of a request that was not run: %+v", got)
	}
	if n := runs.Load(); n != 5 {
		t.Errorf("%d requests read, want 5: one was reset and repeated", n)
	}
}

// Guards against a request above the limits that reaches a backend server, and against
// names and numbers that are not checked.
func TestRefusals(t *testing.T) {
	w := newWorld(t)
	w.snap.Callers = map[model.Caller]entry.Caller{"c": {Share: 1, Class: model.Low}}
	w.backend(t, "b1", func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Left", r.Header.Get(proto.HeaderDeadline))
	})
	cases := []struct {
		path, key, value string
		status           int
	}{
		{"/s/none/x", "", "", http.StatusNotFound},
		{"/x", "", "", http.StatusNotFound},
		{"/s/svc/x", proto.HeaderDeadline, "soon", http.StatusBadRequest},
		{"/s/svc/x", proto.HeaderClass, "high", http.StatusBadRequest},
		{"/s/svc/x", proto.HeaderCaller, "c", http.StatusOK},
	}
	for _, c := range cases {
		got := w.call(t, http.MethodGet, c.path, "", cmp.Or(c.key, "X-None"), c.value)
		if got.status != c.status || (got.outcome == proto.OutcomeNotRun) != (c.status != http.StatusOK) {
			t.Errorf("%+v: %+v", c, got)
		}
	}
	bad := announceOf("b", &net.TCPAddr{})
	bad.Slots = 0
	for _, a := range []proto.Announce{bad, {}} {
		if err := w.tryAnnounce(a); err != http.StatusBadRequest {
			t.Errorf("announcement %+v: status %d", a, err)
		}
	}
}

// Guards against a drain that cuts off a request in progress or accepts a new one, and a
// leaving server that gets a request or loses the one it has.
func TestDrainAndLeaving(t *testing.T) {
	w := newWorld(t)
	started, finish := make(chan struct{}, 1), make(chan struct{})
	s := w.backend(t, "b1", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, "slow ")
		_ = http.NewResponseController(rw).Flush()
		started <- struct{}{}
		<-finish
		_, _ = io.WriteString(rw, "body")
	})
	var wait sync.WaitGroup
	var got answer
	wait.Go(func() { got = w.call(t, http.MethodGet, "/s/svc/x", "") })
	<-started
	if ok, reason := w.entry.Ready(); !ok {
		t.Errorf("not ready: %s", reason)
	}
	a := announceOf("b1", s.Listener.Addr())
	a.State = proto.ServerLeaving
	w.announce(t, a, 1)
	if refused := w.call(t, http.MethodGet, "/s/svc/x", "", proto.HeaderDeadline, "50"); refused.outcome != proto.OutcomeNotRun {
		t.Errorf("leaving server: %+v", refused)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := w.entry.Drain(ctx); err == nil {
		t.Error("drain ended with a request in progress")
	}
	if ok, _ := w.entry.Ready(); ok {
		t.Error("ready while draining")
	}
	if refused := w.call(t, http.MethodGet, "/s/svc/x", ""); refused.status != http.StatusServiceUnavailable || refused.outcome != proto.OutcomeNotRun {
		t.Errorf("while draining: %+v", refused)
	}
	close(finish)
	wait.Wait()
	if got.body != "slow body" || got.err != nil {
		t.Errorf("request in progress: %+v", got)
	}
	if err := w.entry.Drain(t.Context()); err != nil {
		t.Errorf("drain: %v", err)
	}
}

// Guards against answers that reach the wrong caller or are cut when many callers share
// connections, with bodies that stream both ways.
func TestManyCallers(t *testing.T) {
	w := newWorld(t)
	for _, name := range []model.ServerID{"b1", "b2", "b3"} {
		w.backend(t, name, func(rw http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(rw).EnableFullDuplex()
			_, _ = io.Copy(rw, r.Body)
		})
	}
	var wait sync.WaitGroup
	for i := range 40 {
		method := []string{http.MethodPut, http.MethodPost}[i%2]
		body := strings.Repeat(string(rune('a'+i%26)), 1+i*i*200)
		wait.Go(func() {
			if got := w.call(t, method, "/s/svc/x", body); got.body != body || got.err != nil {
				t.Errorf("%s of %d bytes: status %d, %d bytes, %v", method, len(body), got.status, len(got.body), got.err)
			}
		})
	}
	wait.Wait()
}

// Guards against a caller who leaves and thereby blocks a slot until the deadline, and a
// permit that is lost when a caller leaves the queue.
func TestCallersLeave(t *testing.T) {
	w := newWorld(t)
	release := make(chan struct{})
	var runs atomic.Int64
	w.backend(t, "b1", func(rw http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		<-release
		_, _ = io.WriteString(rw, "late")
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for range 12 { // 4 run on the floor, the others wait
		wait.Go(func() {
			r := httptest.NewRequest(http.MethodGet, "/s/svc/x", nil).WithContext(ctx)
			defer func() { _ = recover() }() // the answer to a caller who left is aborted
			w.entry.Handler().ServeHTTP(httptest.NewRecorder(), r)
		})
	}
	for runs.Load() < 4 {
		runtime.Gosched()
	}
	cancel()
	close(release)
	wait.Wait()
	for range 8 {
		if got := w.call(t, http.MethodGet, "/s/svc/x", ""); got.body != "late" {
			t.Fatalf("after callers left: %+v", got)
		}
	}
}
