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

// world implements the ports of one entry instance in a zone of its own.
type world struct {
	mu      sync.Mutex
	clock   clock.Source
	snap    entry.Snapshot
	records map[once.Key]once.Record
	down    bool // the log of the owner zone cannot be reached
	events  []entry.Event
	entry   *entry.Entry
	front   *httptest.Server
	seq     uint64
}

func newWorld(t testing.TB) *world {
	t.Helper()
	w := &world{clock: clock.NewSystem(), records: map[once.Key]once.Record{}, snap: entry.Snapshot{
		Zones:  []model.Zone{"a"},
		Routes: map[string]entry.Route{"svc": {}},
	}}
	set := entry.Settings{Instance: "e1", Incarnation: 1, Zone: "a", Entries: 1, First: true, Seed: 1}
	e, err := entry.New(set, w.ports(), newMetrics())
	if err != nil {
		t.Fatal(err)
	}
	w.entry = e
	w.front = httptest.NewServer(e.Handler())
	t.Cleanup(w.front.Close)
	return w
}

func newMetrics() *entry.Metrics { return entry.NewMetrics(prometheus.NewRegistry()) }

func (w *world) ports() entry.Ports {
	return entry.Ports{Clock: w.clock, Config: w, Records: w, Granter: w, Relay: w, Events: w}
}

func (w *world) Snapshot() *entry.Snapshot { return &w.snap }

func (w *world) Send(model.Instance, member.Relay) {}

func (w *world) Renew(_ context.Context, _ model.Zone, r permit.Request) (permit.Answer, error) {
	return w.entry.Grant(r)
}

func (w *world) Record(e entry.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

func (w *world) Begin(_ context.Context, _ model.Zone, b entry.Begin) (once.Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil, context.DeadlineExceeded
	}
	r, res := w.records[b.Key].Begin(w.clock.Now(), b.Token, b.Limit)
	w.records[b.Key] = r
	return res, nil
}

func (w *world) Finish(_ context.Context, _ model.Zone, k once.Key, t once.Token, a once.Answer) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records[k], _ = w.records[k].Finish(w.clock.Now(), t, a)
	return nil
}

func (w *world) Abort(_ context.Context, _ model.Zone, k once.Key, t once.Token) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records[k] = w.records[k].Abort(w.clock.Now(), t)
	return nil
}

// announce sends n announcements of a server.
func (w *world) announce(t testing.TB, a proto.Announce, n int) {
	t.Helper()
	for range n {
		w.seq++
		a.Seq = w.seq
		if status := w.tryAnnounce(a); status != http.StatusNoContent {
			t.Fatalf("announcement: status %d", status)
		}
	}
}

func (w *world) tryAnnounce(a proto.Announce) int {
	data, _ := json.Marshal(a) // the type has no field that can fail
	rec := httptest.NewRecorder()
	w.entry.Announcements().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/servers/announce", bytes.NewReader(data)))
	return rec.Code
}

func announceOf(name model.ServerID, address net.Addr) proto.Announce {
	return proto.Announce{
		Name: name, Incarnation: 1, Service: "svc", Address: address.String(), Zone: "a",
		Slots: 8, Conns: 64, State: proto.ServerServing,
	}
}

// backend starts a backend server on loopback and announces it.
func (w *world) backend(t testing.TB, name model.ServerID, h http.HandlerFunc) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	w.announce(t, announceOf(name, s.Listener.Addr()), member.RiseCount)
	return s
}

type answer struct {
	status  int
	header  http.Header
	body    string
	err     error // of reading the body
	outcome proto.Outcome
}

func (w *world) call(t testing.TB, method, path, body string, header ...string) answer {
	t.Helper()
	req, err := http.NewRequest(method, w.front.URL+path, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := w.front.Client().Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, header: resp.Header, body: string(data), err: err,
		outcome: proto.Outcome(resp.Header.Get(proto.HeaderOutcome)),
	}
}

// Guards against an entry that doesn't reach an announced backend server or changes the
// request or the answer on the way.
func TestProxies(t *testing.T) {
	w := newWorld(t)
	w.backend(t, "b1", func(rw http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		rw.Header().Set("X-Path", r.URL.RequestURI())
		rw.WriteHeader(http.StatusCreated)
		_, _ = rw.Write(append([]byte(r.Method+" "), data...))
	})
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
		got := w.call(t, method, "/s/svc/x%2Fy?q=1", "body")
		if got.status != http.StatusCreated || got.body != method+" body" || got.outcome != proto.OutcomeDone {
			t.Errorf("%s: %+v", method, got)
		}
		if uri := got.header.Get("X-Path"); uri != "/x%2Fy?q=1" {
			t.Errorf("%s: backend server got %q", method, uri)
		}
	}
}
