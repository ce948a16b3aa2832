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

// Guards against releasing a slot while the backend server still runs an abandoned request,
// which a server that ignores the deadline does. Under three times the capacity, a cell had 9
// requests on 8 slots.
func TestServerIgnoresDeadline(t *testing.T) {
	env := newTestEnv(t)
	var running, peak atomic.Int64
	release := make(chan struct{})
	s := env.startServer(t, "b1", func(rw http.ResponseWriter, _ *http.Request) {
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
		env.entry.Handler().ServeHTTP(rec, r)
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
		t.Errorf("%d concurrent requests and %d with outcome unknown, want %d of each, because abandoned requests keep their slots", peak.Load(), unknown.Load(), floor)
	}
	close(release)
	// The permits are released once the server has ended the abandoned requests.
	for try := 0; send("200").Code != http.StatusOK; try++ {
		if try == 100 {
			t.Fatal("no request was served in 100 attempts after the server had ended the abandoned ones")
		}
		env.announceTimes(t, newAnnouncement("b1", s.Listener.Addr()), 1)
	}
}
