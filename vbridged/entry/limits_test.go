package entry_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"

	"vanillabridge/core/proto"
	"vanillabridge/vbridged/entry"
)

// Guards against limits of the settings that have no effect: the longest time of a request, and the number of
// requests that wait at an instance over all services.
func TestLimitsOfSettings(t *testing.T) {
	const slots, maxTime, requests = 8, 400, 40
	env := newLimitedTestEnv(t, entry.Settings{MaxRequestTime: maxTime, MaxQueuedRequests: 1})
	finish := make(chan struct{})
	deadlines := make(chan string, requests)
	env.startServer(t, "b1", func(_ http.ResponseWriter, r *http.Request) {
		deadlines <- r.Header.Get(proto.HeaderDeadline)
		<-finish
	})
	var wait sync.WaitGroup
	statuses := make([]int, requests)
	for i := range statuses {
		wait.Go(func() {
			statuses[i] = env.sendRequest(t, http.MethodGet, "/s/svc/x", "", proto.HeaderDeadline, "5000").status
		})
	}
	wait.Wait() // the server answers none, so that each request ends with a refusal or at the limit
	close(finish)
	refused := 0
	for _, status := range statuses {
		if status == http.StatusTooManyRequests {
			refused++
		}
	}
	if want := requests - slots - 1; refused < want {
		t.Errorf("%d requests were refused because the queue was full, want at least %d: %v", refused, want, statuses)
	}
	close(deadlines)
	for text := range deadlines {
		if ms, err := strconv.Atoi(text); err != nil || ms > maxTime {
			t.Errorf("the server is given %q ms, want at most %d", text, maxTime)
		}
	}
}
