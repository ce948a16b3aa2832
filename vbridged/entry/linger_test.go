package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"vanillabridge/core/proto"
)

// Guards against a slot that is given away while the backend server still runs an abandoned
// request: a server need not stop at the deadline. A cell under three times its capacity had 9
// requests on 8 slots.
func TestServerIgnoresDeadline(t *testing.T) {
	w := newWorld(t)
	var running, peak atomic.Int64
	release := make(chan struct{})
	s := w.backend(t, "b1", func(rw http.ResponseWriter, _ *http.Request) {
		for n := running.Add(1); ; {
			old := peak.Load()
			if n <= old || peak.CompareAndSwap(old, n) {
				break
			}
		}
		<-release
		running.Add(-1)
		_, _ = io.WriteString(rw, "late")
	})
	var unknown atomic.Int64
	send := func(deadline string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodGet, "/s/svc/x", nil)
		r.Header.Set(proto.HeaderDeadline, deadline)
		rec := httptest.NewRecorder()
		w.entry.Handler().ServeHTTP(rec, r)
		if rec.Header().Get(proto.HeaderOutcome) == string(proto.OutcomeUnknown) {
			unknown.Add(1)
		}
		return rec
	}
	for range 6 {
		var wait sync.WaitGroup
		for range 8 {
			wait.Go(func() { send("100") })
		}
		wait.Wait()
	}
	const floor = 4 // of 8 slots, for the only entry instance of the zone
	if peak.Load() != floor || unknown.Load() != floor {
		t.Errorf("%d requests at once and %d answered unknown, want %d of each: the slots stay taken", peak.Load(), unknown.Load(), floor)
	}
	close(release)
	// The permits come back once the server has ended the abandoned requests.
	for try := 0; send("200").Code != http.StatusOK; try++ {
		if try == 100 {
			t.Fatal("no request is served after the server has ended the abandoned ones")
		}
		w.announce(t, announceOf("b1", s.Listener.Addr()), 1)
	}
}
