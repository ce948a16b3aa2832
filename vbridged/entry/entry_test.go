package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/permit"
	"vanillabridge/core/proto"
	"vanillabridge/vbridged/entry"
)

// testEnv is one entry instance in a zone of its own, with in-memory implementations of its
// ports.
type testEnv struct {
	mu                 sync.Mutex
	clock              clock.Source
	config             entry.ConfigSnapshot
	records            map[once.Key]once.Record
	recordsUnreachable bool // Begin fails as if the owner zone could not be reached
	events             []entry.Event
	entry              *entry.Entry
	frontend           *httptest.Server
	announceSeq        uint64
}

func newTestEnv(t testing.TB) *testEnv {
	t.Helper()
	return newLimitedTestEnv(t, entry.Settings{})
}

// newLimitedTestEnv returns an instance with the limits of the given settings.
func newLimitedTestEnv(t testing.TB, settings entry.Settings) *testEnv {
	t.Helper()
	env := &testEnv{clock: clock.NewSystem(), records: map[once.Key]once.Record{}, config: entry.ConfigSnapshot{
		Zones:  []model.Zone{"a"},
		Routes: map[string]entry.Route{"svc": {}},
	}}
	settings.Instance, settings.Incarnation, settings.Zone = "e1", 1, "a"
	settings.EntryCount, settings.FirstStart, settings.Seed = 1, true, 1
	e, err := entry.New(settings, env.ports(), newMetrics())
	if err != nil {
		t.Fatal(err)
	}
	env.entry = e
	env.frontend = httptest.NewServer(e.Handler())
	t.Cleanup(env.frontend.Close)
	return env
}

func newMetrics() *entry.Metrics { return entry.NewMetrics(prometheus.NewRegistry()) }

func (env *testEnv) ports() entry.Ports {
	return entry.Ports{Clock: env.clock, Config: env, Records: env, Granter: env, Relay: env, Events: env}
}

func (env *testEnv) Snapshot() *entry.ConfigSnapshot { return &env.config }

func (env *testEnv) Send(model.Instance, member.Relay) {}

func (env *testEnv) Renew(_ context.Context, _ model.Zone, r permit.Request) (permit.Answer, error) {
	return env.entry.Grant(r)
}

func (env *testEnv) Record(e entry.Event) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.events = append(env.events, e)
}

func (env *testEnv) Begin(_ context.Context, _ model.Zone, b entry.BeginRequest) (once.Result, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.recordsUnreachable {
		return nil, context.DeadlineExceeded
	}
	r, res := env.records[b.Key].Begin(env.clock.Now(), b.Token, b.TimeLeft)
	env.records[b.Key] = r
	return res, nil
}

func (env *testEnv) Finish(_ context.Context, _ model.Zone, k once.Key, t once.Token, a once.Answer) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.records[k], _ = env.records[k].Finish(env.clock.Now(), t, a)
	return nil
}

func (env *testEnv) Abort(_ context.Context, _ model.Zone, k once.Key, t once.Token) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.records[k] = env.records[k].Abort(env.clock.Now(), t)
	return nil
}

// announceTimes announces a server n times.
func (env *testEnv) announceTimes(t testing.TB, a proto.ServerAnnouncement, n int) {
	t.Helper()
	for range n {
		env.announceSeq++
		a.Seq = env.announceSeq
		if status := env.postAnnounce(a); status != http.StatusNoContent {
			t.Fatalf("POST announcement: status %d, want 204", status)
		}
	}
}

func (env *testEnv) postAnnounce(a proto.ServerAnnouncement) int {
	data, _ := json.Marshal(a) // no field of the type can fail to encode
	rec := httptest.NewRecorder()
	env.entry.AnnounceHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/servers/announce", bytes.NewReader(data)))
	return rec.Code
}

func newAnnouncement(name model.ServerID, address net.Addr) proto.ServerAnnouncement {
	return proto.ServerAnnouncement{
		Name: name, Incarnation: 1, Service: "svc", Address: address.String(), Zone: "a",
		Slots: 8, MaxConns: 64, State: proto.ServerServing,
	}
}

// startServer starts a backend server on loopback and announces it.
func (env *testEnv) startServer(t testing.TB, name model.ServerID, h http.HandlerFunc) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	env.announceTimes(t, newAnnouncement(name, s.Listener.Addr()), member.RiseThreshold)
	return s
}

type response struct {
	status  int
	header  http.Header
	body    string
	err     error // of the request or of reading the body
	outcome proto.Outcome
}

func (env *testEnv) sendRequest(t testing.TB, method, path, body string, header ...string) response {
	t.Helper()
	req, err := http.NewRequest(method, env.frontend.URL+path, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := env.frontend.Client().Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode, header: resp.Header, body: string(data), err: err,
		outcome: proto.Outcome(resp.Header.Get(proto.HeaderOutcome)),
	}
}

// Guards against an Entry that does not forward requests to an announced backend server, or
// changes the request or the response.
func TestForwardRequests(t *testing.T) {
	env := newTestEnv(t)
	env.startServer(t, "b1", func(rw http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		rw.Header().Set("X-Path", r.URL.RequestURI())
		rw.WriteHeader(http.StatusCreated)
		_, _ = rw.Write(append([]byte(r.Method+" "), data...))
	})
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
		got := env.sendRequest(t, method, "/s/svc/x%2Fy?q=1", "body")
		if got.status != http.StatusCreated || got.body != method+" body" || got.outcome != proto.OutcomeDone {
			t.Errorf("%s: response %+v, want status 201, outcome done and the body echoed", method, got)
		}
		if uri := got.header.Get("X-Path"); uri != "/x%2Fy?q=1" {
			t.Errorf("%s: backend server got request URI %q, want /x%%2Fy?q=1", method, uri)
		}
	}
}
