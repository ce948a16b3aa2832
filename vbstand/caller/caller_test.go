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

// fake is an entry instance; reply answers a request with its token and body.
type fake struct {
	mu    sync.Mutex
	seen  []string // "key send" of each request
	reply func(w http.ResponseWriter, token string, body []byte)
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.seen = append(f.seen, r.Header.Get(proto.HeaderKey)+" "+r.Header.Get(server.HeaderSend))
	f.mu.Unlock()
	f.reply(w, path.Base(r.URL.Path), body)
}

func outcome(w http.ResponseWriter, o proto.Outcome, status int, body []byte) {
	w.Header().Set(proto.HeaderOutcome, string(o))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func done(w http.ResponseWriter, token string, body []byte) {
	outcome(w, proto.OutcomeDone, http.StatusOK, server.Answer(token, body, 300))
}

func broken(http.ResponseWriter, string, []byte) { panic(http.ErrAbortHandler) }

// run sends requests to fakes and returns the sends.
func run(t *testing.T, count int, once float64, fakes ...*fake) []record.Send {
	t.Helper()
	opt := caller.Options{
		Name: "c", Service: "echo", Count: count, Workers: 1, Time: time.Minute, Mix: caller.Mix{1, 1, 1},
		Once: once, Deadline: 30 * time.Second, Body: 100, Resends: 2, Seed: 1,
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

// Guards against a caller that takes a refused, damaged or unmarked answer for a whole one.
func TestToldIsRecorded(t *testing.T) {
	tests := []struct {
		name  string
		reply func(http.ResponseWriter, string, []byte)
		told  record.Told
		whole bool
		sends int
	}{
		{"done", done, record.ToldDone, true, 1},
		{"other", func(w http.ResponseWriter, _ string, b []byte) { done(w, "x", b) }, record.ToldDone, false, 1},
		{"refused", func(w http.ResponseWriter, _ string, _ []byte) {
			outcome(w, proto.OutcomeNotRun, http.StatusServiceUnavailable, nil)
		}, record.ToldNotRun, false, 1},
		{"unknown", func(w http.ResponseWriter, _ string, _ []byte) {
			outcome(w, proto.OutcomeUnknown, http.StatusBadGateway, nil)
		}, record.ToldUnknown, false, 3},
		{"unmarked", func(w http.ResponseWriter, _ string, _ []byte) { w.WriteHeader(http.StatusOK) }, record.ToldNothing, false, 3},
		{"broken", broken, record.ToldBroken, false, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sends := run(t, 1, 0.5, &fake{reply: tt.reply})
			if len(sends) != tt.sends || sends[0].Told != tt.told || sends[0].Whole != tt.whole {
				t.Errorf("%d sends, first %+v; want %d, told %s, whole %v", len(sends), sends[0], tt.sends, tt.told, tt.whole)
			}
		})
	}
}

// Guards against sends that the journal does not show: a transport that resends by itself
// would make a correct daemon look as if it ran a request twice.
func TestNoHiddenSends(t *testing.T) {
	var n atomic.Int64
	f := &fake{}
	f.reply = func(w http.ResponseWriter, token string, body []byte) {
		if n.Add(1)%2 == 0 {
			broken(w, token, body)
		}
		done(w, token, body)
	}
	sends := run(t, 40, 0.3, f)
	if len(f.seen) != len(sends) {
		t.Errorf("%d requests arrived, %d sends recorded", len(f.seen), len(sends))
	}
}

// Guards against a resend under another key or through the same instance.
func TestResendKeepsKey(t *testing.T) {
	first, second := &fake{reply: broken}, &fake{reply: done}
	sends := run(t, 1, 1, first, second)
	if len(sends) != 2 || sends[1].Told != record.ToldDone {
		t.Fatalf("sends %+v, want a broken and a done one", sends)
	}
	key := sends[0].Token
	if len(first.seen) != 1 || len(second.seen) != 1 || first.seen[0] != key+" 1" || second.seen[0] != key+" 2" {
		t.Errorf("instances saw %q and %q", first.seen, second.seen)
	}
}

// Guards against a mix whose weights are read wrongly.
func TestParseMix(t *testing.T) {
	if m, err := caller.ParseMix("low=2,urgent"); err != nil || m != (caller.Mix{2, 0, 1}) {
		t.Errorf("mix %v, %v", m, err)
	}
	for _, text := range []string{"", "high=1", "low=-1", "low=x", "low=0"} {
		if _, err := caller.ParseMix(text); err == nil {
			t.Errorf("mix %q accepted", text)
		}
	}
}
