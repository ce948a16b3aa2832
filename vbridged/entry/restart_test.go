package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// restartingServer is a backend server that can start again at its address, with another incarnation. It runs only what is
// meant for the present process.
type restartingServer struct {
	incarnation  atomic.Uint64
	runs, active atomic.Int64
	crowded      atomic.Bool // more than one request ran at a time
}

func (s *restartingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	own := strconv.FormatUint(s.incarnation.Load(), 10)
	if meant := r.Header.Get(proto.HeaderIncarnation); meant != "" && meant != own {
		w.Header().Set(proto.HeaderIncarnation, own)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.runs.Add(1)
	if s.active.Add(1) > 1 {
		s.crowded.Store(true)
	}
	time.Sleep(20 * time.Millisecond)
	s.active.Add(-1)
	_, _ = io.WriteString(w, "ok")
}

// start starts a process of the server and announces it n times.
func (s *restartingServer) start(t *testing.T, env *testEnv, web *httptest.Server, incarnation model.Incarnation, n int) {
	s.incarnation.Store(uint64(incarnation))
	a := newAnnouncement("restarting", web.Listener.Addr())
	a.Incarnation, a.Slots = incarnation, 1
	env.announceTimes(t, a, n)
}

func (env *testEnv) newRestartingServer(t *testing.T) (*restartingServer, *httptest.Server) {
	s := &restartingServer{}
	web := httptest.NewServer(s)
	t.Cleanup(web.Close)
	s.start(t, env, web, 1, member.RiseThreshold)
	return s, web
}

// Guards against a restarted backend server that gets the requests for its former process beside its own, up to twice its
// slots.
func TestRestartedServerGetsNoMoreThanItsSlots(t *testing.T) {
	env := newTestEnv(t)
	s, web := env.newRestartingServer(t)
	s.start(t, env, web, 2, member.RiseThreshold)
	var wait sync.WaitGroup
	for range 6 {
		wait.Go(func() {
			if got := env.sendRequest(t, http.MethodGet, "/s/svc/x", ""); got.body != "ok" {
				t.Errorf("GET: %+v, want body ok", got)
			}
		})
	}
	wait.Wait()
	if s.crowded.Load() {
		t.Error("the server with 1 slot ran more than 1 request at a time")
	}
}

// Guards against a request for a former process that runs in the present one, which has not announced itself yet, and
// against its refusal while another server is free, or as unknown though it has not run.
func TestRequestForFormerProcessDoesNotRun(t *testing.T) {
	env := newTestEnv(t)
	s, web := env.newRestartingServer(t)
	s.start(t, env, web, 2, 0)
	got := env.sendRequest(t, http.MethodPost, "/s/svc/x", "order", proto.HeaderKey, "k")
	if got.outcome != proto.OutcomeNotRun || got.status != http.StatusServiceUnavailable {
		t.Errorf("POST with a body: %+v, want 503 and outcome notrun", got)
	}
	s.start(t, env, web, 1, member.RiseThreshold)
	s.start(t, env, web, 2, 0)
	var others atomic.Int64
	env.startServer(t, "other", func(w http.ResponseWriter, _ *http.Request) {
		others.Add(1)
		_, _ = io.WriteString(w, "other")
	})
	for i := range 8 {
		if got := env.sendRequest(t, http.MethodPost, "/s/svc/x", "", proto.HeaderKey, "n"+strconv.Itoa(i)); got.body != "other" || got.outcome != proto.OutcomeDone {
			t.Errorf("POST: %+v, want the answer of the other server", got)
		}
	}
	if n := s.runs.Load(); n != 0 {
		t.Errorf("the restarted server ran %d requests for its former process", n)
	}
	s.start(t, env, web, 2, member.RiseThreshold)
	for range 30 {
		if got := env.sendRequest(t, http.MethodGet, "/s/svc/x", ""); got.status != http.StatusOK {
			t.Errorf("GET: %+v, want 200", got)
		}
	}
	if s.runs.Load() == 0 {
		t.Error("the present process got no request once it was announced")
	}
}
