package admin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/vbstand/admin"
	"vanillabridge/vbstand/entry"
)

func newList(t *testing.T, handlers ...http.HandlerFunc) *entry.List {
	t.Helper()
	var addresses []string
	for _, h := range handlers {
		web := httptest.NewServer(h)
		t.Cleanup(web.Close)
		addresses = append(addresses, strings.TrimPrefix(web.URL, "http://"))
	}
	l, err := entry.NewList(http.DefaultClient, addresses)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against a configuration that is resent with a different idempotency key after a lost
// answer, since the daemon could then accept it as a second change.
func TestSubmitResendsWithSameKey(t *testing.T) {
	var mu sync.Mutex
	var keys []string
	recordKey := func(r *http.Request) {
		var req proto.SubmitRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		mu.Lock()
		defer mu.Unlock()
		keys = append(keys, req.Key)
	}
	l := newList(t, func(_ http.ResponseWriter, r *http.Request) {
		recordKey(r)
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		recordKey(r)
		_ = json.NewEncoder(w).Encode(proto.SubmitReply{Version: 3})
	})
	s := admin.SubmitConfig(context.Background(), l, "k", "", "text")
	if !s.Accepted || s.Version != 3 || len(keys) != 2 || keys[0] != "k" || keys[1] != "k" {
		t.Errorf("submission %+v sent with keys %q, want version 3 accepted after two requests with key \"k\"", s, keys)
	}
}

// Guards against a submission that is resent after status 409 or recorded as accepted.
func TestConflictIsFinal(t *testing.T) {
	calls := 0
	l := newList(t, func(w http.ResponseWriter, _ *http.Request) {
		calls++
		http.Error(w, "conflict", http.StatusConflict)
	})
	if s := admin.SubmitConfig(context.Background(), l, "k", "", "text"); s.Accepted || !s.Refused || calls != 1 {
		t.Errorf("submission %+v after %d requests, want it refused after 1", s, calls)
	}
}

// Guards against reporting a job as finished while some of its tasks are still running, and against
// a request path that differs from the one that vbctl uses.
func TestAwaitWaitsForAllTasks(t *testing.T) {
	replies := []proto.Counts{{Running: 2}, {Done: 1, Running: 1}, {Done: 2}}
	work := model.EncodeWork(model.Batch{Base: model.Base{Name: "j", Count: 2}, Run: "1"})
	calls := 0
	l := newList(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.EscapedPath() != "/v1/jobs/j/1" {
			t.Errorf("request path is %s, want /v1/jobs/j/1", r.URL.EscapedPath())
		}
		_ = json.NewEncoder(w).Encode(proto.JobReply{Job: "j/1", Work: work, Counts: replies[calls]})
		calls++
	})
	job := admin.AwaitJob(context.Background(), l, "j/1", 5)
	if calls != 3 || job.Counts.Done != 2 || job.Kind != "batch" || job.Count != 2 || job.AcceptedAt != 5 {
		t.Errorf("job %+v after %d requests, want a batch with 2 of 2 tasks done after 3", job, calls)
	}
}
