package caller_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vanillabridge/core/proto"
	"vanillabridge/vbstand/caller"
	"vanillabridge/vbstand/record"
	"vanillabridge/vbstand/server"
)

// fakeEntry is a simulated entry instance. The function reply answers a request, given its token and
// body.
type fakeEntry struct {
	mu       sync.Mutex
	received []string // idempotency key and send number of each request, separated by a space
	reply    func(w http.ResponseWriter, token string, body []byte)
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.received = append(f.received, r.Header.Get(proto.HeaderKey)+" "+r.Header.Get(server.HeaderSendNumber))
	f.mu.Unlock()
	f.reply(w, path.Base(r.URL.Path), body)
}

func writeOutcome(w http.ResponseWriter, o proto.Outcome, status int, body []byte) {
	w.Header().Set(proto.HeaderOutcome, string(o))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func replyDone(w http.ResponseWriter, token string, body []byte) {
	writeOutcome(w, proto.OutcomeDone, http.StatusOK, server.NewAnswer(token, body, 300))
}

func abortReply(http.ResponseWriter, string, []byte) { panic(http.ErrAbortHandler) }

// runCaller sends count requests to fakes and returns the records of all sends.
func runCaller(t *testing.T, count int, nonIdempotentShare float64, fakes ...*fakeEntry) []record.Send {
	t.Helper()
	opt := caller.Options{
		Name: "c", Service: "echo", RequestCount: count, Concurrency: 1, MaxRunTime: time.Minute, Mix: caller.Mix{1, 1, 1},
		NonIdempotentShare: nonIdempotentShare, Deadline: 30 * time.Second, MaxBodyBytes: 100, MaxResends: 2, Seed: 1,
	}
	for _, f := range fakes {
		web := httptest.NewServer(f)
		t.Cleanup(web.Close)
		opt.Entries = append(opt.Entries, strings.TrimPrefix(web.URL, "http://"))
	}
	c, err := caller.New(opt, nil)
	if err != nil {
		t.Fatal(err)
	}
	return c.Run(context.Background())
}

// Guards against recording a refused or damaged answer, or one without an outcome header, as a
// complete answer.
func TestOutcomeIsRecorded(t *testing.T) {
	tests := []struct {
		name          string
		reply         func(http.ResponseWriter, string, []byte)
		wantOutcome   record.Outcome
		wantBodyValid bool
		wantSends     int
	}{
		{"done", replyDone, record.OutcomeDone, true, 1},
		{"other", func(w http.ResponseWriter, _ string, b []byte) { replyDone(w, "x", b) }, record.OutcomeDone, false, 1},
		{"refused", func(w http.ResponseWriter, _ string, _ []byte) {
			writeOutcome(w, proto.OutcomeNotRun, http.StatusServiceUnavailable, nil)
		}, record.OutcomeNotRun, false, 1},
		{"unknown", func(w http.ResponseWriter, _ string, _ []byte) {
			writeOutcome(w, proto.OutcomeUnknown, http.StatusBadGateway, nil)
		}, record.OutcomeUnknown, false, 3},
		{"unmarked", func(w http.ResponseWriter, _ string, _ []byte) { w.WriteHeader(http.StatusOK) }, record.OutcomeMissing, false, 3},
		{"broken", abortReply, record.OutcomeConnBroken, false, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sends := runCaller(t, 1, 0.5, &fakeEntry{reply: tt.reply})
			if len(sends) != tt.wantSends || sends[0].Outcome != tt.wantOutcome || sends[0].BodyValid != tt.wantBodyValid {
				t.Errorf("%d sends, first %+v; want %d sends, first with outcome %s and valid body %v", len(sends), sends[0], tt.wantSends, tt.wantOutcome, tt.wantBodyValid)
			}
		})
	}
}

// Guards against sends that are missing from the journal: if the HTTP transport resent a request by
// itself, a correct daemon would seem to have run it twice.
func TestEverySendIsRecorded(t *testing.T) {
	var n atomic.Int64
	f := &fakeEntry{}
	f.reply = func(w http.ResponseWriter, token string, body []byte) {
		if n.Add(1)%2 == 0 {
			abortReply(w, token, body)
		}
		replyDone(w, token, body)
	}
	sends := runCaller(t, 40, 0.3, f)
	if len(f.received) != len(sends) {
		t.Errorf("%d requests arrived, but %d sends were recorded", len(f.received), len(sends))
	}
}

// Guards against a resend with a different idempotency key or through the same instance.
func TestResendKeepsKey(t *testing.T) {
	first, second := &fakeEntry{reply: abortReply}, &fakeEntry{reply: replyDone}
	sends := runCaller(t, 1, 1, first, second)
	if len(sends) != 2 || sends[1].Outcome != record.OutcomeDone {
		t.Fatalf("sends are %+v, want an aborted one followed by a completed one", sends)
	}
	key := sends[0].Token
	if len(first.received) != 1 || len(second.received) != 1 || first.received[0] != key+" 1" || second.received[0] != key+" 2" {
		t.Errorf("instances received %q and %q, want sends 1 and 2 with the same key", first.received, second.received)
	}
}

// Guards against wrongly parsed weights and against invalid mixes that are accepted.
func TestParseMix(t *testing.T) {
	if m, err := caller.ParseMix("low=2,urgent"); err != nil || m != (caller.Mix{2, 0, 1}) {
		t.Errorf("parsed mix is %v with error %v, want weights 2, 0, 1", m, err)
	}
	for _, text := range []string{"", "high=1", "low=-1", "low=x", "low=0"} {
		if _, err := caller.ParseMix(text); err == nil {
			t.Errorf("invalid mix %q was accepted", text)
		}
	}
}
