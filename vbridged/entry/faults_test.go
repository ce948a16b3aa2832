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

// startRawServer starts a backend server whose responses are written to the connection as bytes
// by answer. It returns the number of requests that the server has read.
func (env *testEnv) startRawServer(t *testing.T, answer func(c net.Conn, r *http.Request, n int64)) *atomic.Int64 {
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
	env.announceTimes(t, newAnnouncement("raw", l.Addr()), member.RiseThreshold)
	return runs
}

func writeAndClose(text string) func(net.Conn, *http.Request, int64) {
	return func(c net.Conn, _ *http.Request, _ int64) {
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}
}

// Guards against a faulty response that looks complete to the caller, a second run of a request
// that may have run, and the outcome notrun for a request of which a byte was sent.
func TestFaultyResponses(t *testing.T) {
	silent := func(_ net.Conn, _ *http.Request, _ int64) {}
	cases := []struct {
		name   string
		answer func(net.Conn, *http.Request, int64)
		status int // 0: the response to a GET breaks off
	}{
		{"never answers", silent, http.StatusGatewayTimeout},
		{"resets before the answer", writeAndClose(""), http.StatusBadGateway},
		{"resets in the header", writeAndClose("HTTP/1.1 200 OK\r\nContent-Le"), http.StatusBadGateway},
		{"truncates a length", writeAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"), 0},
		{"truncates chunks", writeAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), 0},
		{"has no length", writeAndClose("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nperhaps whole"), http.StatusBadGateway},
		{"is too large", writeAndClose("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"), http.StatusBadGateway},
		{"has a header over the limit", writeAndClose("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 70<<10)), http.StatusBadGateway},
		{"switches protocols", writeAndClose("HTTP/1.1 101 Switching Protocols\r\n\r\n"), http.StatusBadGateway},
		{"is of another request", writeAndClose("HTTP/1.1 200 OK\r\nVb-Request: x\r\nContent-Length: 0\r\n\r\n"), http.StatusBadGateway},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv(t)
			runs := env.startRawServer(t, c.answer)
			got := env.sendRequest(t, http.MethodPost, "/s/svc/x", "order", proto.HeaderDeadline, "200", proto.HeaderKey, "k")
			if c.status == 0 {
				c.status = http.StatusBadGateway // the response to a POST is read completely before the caller gets it
				if get := env.sendRequest(t, http.MethodGet, "/s/svc/x", "", proto.HeaderDeadline, "200"); get.err == nil {
					t.Errorf("GET: truncated response %q looks complete", get.body)
				}
				runs.Add(-1)
			}
			if got.status != c.status || got.outcome != proto.OutcomeUnknown {
				t.Errorf("POST: status %d, outcome %q, body %s; want status %d, outcome unknown", got.status, got.outcome, got.body, c.status)
			}
			if n := runs.Load(); n != 1 {
				t.Errorf("the request ran %d times, want 1", n)
			}
			again := env.sendRequest(t, http.MethodPost, "/s/svc/x", "order", proto.HeaderKey, "k")
			if again.outcome != proto.OutcomeRunning && again.outcome != proto.OutcomeUnknown {
				t.Errorf("resend: outcome %q, want running or unknown", again.outcome)
			}
			if n := runs.Load(); n != 1 {
				t.Errorf("the request ran %d times after a resend, want 1", n)
			}
		})
	}
}

// Guards against a surplus response on a connection that is delivered to another caller. One
// kind arrives before the next request is sent, the other after it and with the identifier of
// the earlier request.
func TestSurplusResponse(t *testing.T) {
	text := func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nVb-Request: " + r.Header.Get(proto.HeaderRequest) + "\r\nContent-Length: 2\r\n\r\n" + r.URL.Path
	}
	early := func(c net.Conn, r *http.Request, _ int64) { _, _ = io.WriteString(c, text(r)+text(r)) }
	var lastResponse sync.Map // by connection
	late := func(c net.Conn, r *http.Request, _ int64) {
		if old, ok := lastResponse.Swap(c, text(r)); ok {
			_, _ = io.WriteString(c, old.(string))
		}
		_, _ = io.WriteString(c, text(r))
	}
	for _, surplus := range []func(net.Conn, *http.Request, int64){early, late} {
		env := newTestEnv(t)
		env.startRawServer(t, surplus)
		done := 0
		for _, path := range []string{"a", "b", "c", "d", "e", "f"} {
			got := env.sendRequest(t, http.MethodGet, "/s/svc/"+path, "", proto.HeaderDeadline, "200")
			if got.outcome == proto.OutcomeDone && got.body != "/"+path {
				t.Fatalf("GET /%s: got the response to %s", path, got.body)
			}
			if got.outcome == proto.OutcomeDone {
				done++
			}
		}
		if done < 3 {
			t.Errorf("%d of 6 requests done, want at least 3", done)
		}
	}
}

// Guards against a refusal with the outcome notrun for a key whose request may have run, a
// recorded response that is lost or changed on a resend, and a response to a different request
// with the same key.
func TestResend(t *testing.T) {
	env := newTestEnv(t)
	var runs atomic.Int64
	env.startServer(t, "b1", func(rw http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		rw.Header().Set("X-Run", "first")
		rw.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(rw, "receipt")
	})
	post := func(path string) response {
		return env.sendRequest(t, http.MethodPost, path, "order", proto.HeaderKey, "k")
	}
	first, again := post("/s/svc/x"), post("/s/svc/x")
	for _, got := range []response{first, again} {
		if got.status != http.StatusAccepted || got.body != "receipt" || got.outcome != proto.OutcomeDone || got.header.Get("X-Run") != "first" {
			t.Errorf("response %+v, want the recorded one", got)
		}
	}
	if got := post("/s/svc/y"); got.status != http.StatusUnprocessableEntity || got.outcome != proto.OutcomeUnknown {
		t.Errorf("another path with the same key: %+v, want status 422, outcome unknown", got)
	}
	env.recordsUnreachable = true
	if got := post("/s/svc/x"); got.outcome != proto.OutcomeUnknown {
		t.Errorf("owner zone unreachable: %+v, want outcome unknown", got)
	}
	if got := env.sendRequest(t, http.MethodPost, "/s/svc/x", ""); got.outcome != proto.OutcomeNotRun {
		t.Errorf("owner zone unreachable, no key: %+v, want outcome notrun", got)
	}
	if got := env.sendRequest(t, http.MethodPost, "/s/none/x", "", proto.HeaderKey, "k"); got.outcome != proto.OutcomeUnknown {
		t.Errorf("refused before the record was read: %+v, want outcome unknown", got)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

// Guards against a retry that is not made, that repeats a non-idempotent request that was sent,
// or that ignores the connection failures of a server.
func TestRetry(t *testing.T) {
	env := newTestEnv(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close() // nothing listens on this address
	env.announceTimes(t, newAnnouncement("gone", l.Addr()), member.RiseThreshold)
	got := env.sendRequest(t, http.MethodPost, "/s/svc/x", "order", proto.HeaderKey, "k")
	if got.outcome != proto.OutcomeNotRun || got.header.Get("Retry-After") == "" {
		t.Errorf("connection refused: %+v, want outcome notrun and Retry-After", got)
	}
	runs := env.startRawServer(t, func(c net.Conn, _ *http.Request, n int64) {
		if n == 1 {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for range 3 {
		if got := env.sendRequest(t, http.MethodGet, "/s/svc/x", ""); got.body != "ok" {
			t.Errorf("GET: %+v, want body ok", got)
		}
	}
	if got := env.sendRequest(t, http.MethodPost, "/s/svc/x", "order", proto.HeaderKey, "k"); got.body != "ok" {
		t.Errorf("resend of a request that was not run: %+v, want body ok", got)
	}
	if n := runs.Load(); n != 5 {
		t.Errorf("server read %d requests, want 5: 4 requests and 1 retry after a reset", n)
	}
}

// Guards against invalid requests that are forwarded and invalid announcements that are
// accepted.
func TestRefusals(t *testing.T) {
	env := newTestEnv(t)
	env.config.Callers = map[model.Caller]entry.Caller{"c": {Share: 1, Class: model.Low}}
	env.startServer(t, "b1", func(rw http.ResponseWriter, r *http.Request) {
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
		got := env.sendRequest(t, http.MethodGet, c.path, "", cmp.Or(c.key, "X-None"), c.value)
		if got.status != c.status || (got.outcome == proto.OutcomeNotRun) != (c.status != http.StatusOK) {
			t.Errorf("%+v: %+v", c, got)
		}
	}
	noSlots := newAnnouncement("b", &net.TCPAddr{})
	noSlots.Slots = 0
	for _, a := range []proto.ServerAnnouncement{noSlots, {}} {
		if err := env.postAnnounce(a); err != http.StatusBadRequest {
			t.Errorf("announcement %+v: status %d, want 400", a, err)
		}
	}
}

// Guards against a drain that cuts off a request in progress or accepts a new one, and against a
// leaving server that gets a new request or loses the one in progress.
func TestDrainAndLeaving(t *testing.T) {
	env := newTestEnv(t)
	started, finish := make(chan struct{}, 1), make(chan struct{})
	s := env.startServer(t, "b1", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, "slow ")
		_ = http.NewResponseController(rw).Flush()
		started <- struct{}{}
		<-finish
		_, _ = io.WriteString(rw, "body")
	})
	var wait sync.WaitGroup
	var got response
	wait.Go(func() { got = env.sendRequest(t, http.MethodGet, "/s/svc/x", "") })
	<-started
	if ok, reason := env.entry.Ready(); !ok {
		t.Errorf("not ready: %s", reason)
	}
	a := newAnnouncement("b1", s.Listener.Addr())
	a.State = proto.ServerLeaving
	env.announceTimes(t, a, 1)
	if refused := env.sendRequest(t, http.MethodGet, "/s/svc/x", "", proto.HeaderDeadline, "50"); refused.outcome != proto.OutcomeNotRun {
		t.Errorf("request with only a leaving server: %+v, want outcome notrun", refused)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := env.entry.Drain(ctx); err == nil {
		t.Error("Drain returned nil with a request in progress")
	}
	if ok, _ := env.entry.Ready(); ok {
		t.Error("ready while draining")
	}
	if refused := env.sendRequest(t, http.MethodGet, "/s/svc/x", ""); refused.status != http.StatusServiceUnavailable || refused.outcome != proto.OutcomeNotRun {
		t.Errorf("request while draining: %+v, want status 503, outcome notrun", refused)
	}
	close(finish)
	wait.Wait()
	if got.body != "slow body" || got.err != nil {
		t.Errorf("request in progress during the drain: %+v, want body \"slow body\"", got)
	}
	if err := env.entry.Drain(t.Context()); err != nil {
		t.Errorf("Drain: %v", err)
	}
}

// Guards against responses that are truncated or reach the wrong caller when many callers share
// connections and bodies are streamed in both directions.
func TestManyCallers(t *testing.T) {
	env := newTestEnv(t)
	for _, name := range []model.ServerID{"b1", "b2", "b3"} {
		env.startServer(t, name, func(rw http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(rw).EnableFullDuplex()
			_, _ = io.Copy(rw, r.Body)
		})
	}
	var wait sync.WaitGroup
	for i := range 40 {
		method := []string{http.MethodPut, http.MethodPost}[i%2]
		body := strings.Repeat(string(rune('a'+i%26)), 1+i*i*200)
		wait.Go(func() {
			if got := env.sendRequest(t, method, "/s/svc/x", body); got.body != body || got.err != nil {
				t.Errorf("%s of %d bytes: status %d, %d bytes, %v", method, len(body), got.status, len(got.body), got.err)
			}
		})
	}
	wait.Wait()
}

// Guards against a slot that stays taken until the deadline after its caller has disconnected,
// and a permit that is lost when a queued caller disconnects.
func TestCallersDisconnect(t *testing.T) {
	env := newTestEnv(t)
	release := make(chan struct{})
	var runs atomic.Int64
	env.startServer(t, "b1", func(rw http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		<-release
		_, _ = io.WriteString(rw, "late")
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for range 12 { // 4 run on the floor, the others wait
		wait.Go(func() {
			r := httptest.NewRequest(http.MethodGet, "/s/svc/x", nil).WithContext(ctx)
			defer func() { _ = recover() }() // the response to a disconnected caller is aborted
			env.entry.Handler().ServeHTTP(httptest.NewRecorder(), r)
		})
	}
	for runs.Load() < 4 {
		runtime.Gosched()
	}
	cancel()
	close(release)
	wait.Wait()
	for range 8 {
		if got := env.sendRequest(t, http.MethodGet, "/s/svc/x", ""); got.body != "late" {
			t.Fatalf("after callers disconnected: %+v, want body late", got)
		}
	}
}
