package server_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"vanillabridge/core/proto"
	"vanillabridge/vbstand/record"
	"vanillabridge/vbstand/server"
)

// Guards against a verification that accepts a damaged answer or the answer to another request.
func TestVerifyAnswerFindsDamage(t *testing.T) {
	good := server.NewAnswer("a-1", []byte("in"), 500)
	if err := server.VerifyAnswer(good, "a-1", []byte("in")); err != nil {
		t.Fatalf("complete answer rejected: %v", err)
	}
	if server.VerifyAnswer(good, "a-2", []byte("in")) == nil {
		t.Error("answer to another request accepted")
	}
	if server.VerifyAnswer(good, "a-1", []byte("other")) == nil {
		t.Error("answer to another body accepted")
	}
	for length := range good {
		if server.VerifyAnswer(good[:length], "a-1", []byte("in")) == nil {
			t.Errorf("answer cut to %d of %d bytes accepted", length, len(good))
		}
	}
	mixed := bytes.Replace(good, []byte("token a-1"), []byte("token a-2"), 1)
	if server.VerifyAnswer(mixed, "a-2", []byte("in")) == nil {
		t.Error("answer mixed from two requests accepted")
	}
}

// runWithFault sends one request to a server that injects fault and returns the body that the caller
// received, the journal and the caller's error.
func runWithFault(t *testing.T, fault server.Fault) (body []byte, lines []record.Line, err error) {
	t.Helper()
	dir := t.TempDir()
	journal, err := record.Open(dir + "/s.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	backend, err := server.New(server.Options{
		Name: "s", Entries: []string{"127.0.0.1:1"}, Slots: 1, MaxConns: 1, AnswerBytes: 4096, Fault: fault, FaultRatio: 1,
	}, journal)
	if err != nil {
		t.Fatal(err)
	}
	var handlers sync.WaitGroup
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handlers.Add(1)
		defer handlers.Done()
		backend.ServeHTTP(w, r)
	}))
	req, _ := http.NewRequest(http.MethodPost, web.URL+"/s/echo/t-1", strings.NewReader("in"))
	req.Header.Set(server.HeaderSendNumber, "2")
	req.Header.Set(proto.HeaderKey, "k")
	resp, callErr := http.DefaultClient.Do(req)
	if callErr == nil {
		body, callErr = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	web.Close()
	// Close does not wait for a handler that hijacked its connection to reset it, and such a handler
	// records the end of its run after the caller has seen the reset.
	handlers.Wait()
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	lines, err = record.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	return body, lines, callErr
}

// Guards against runs that are missing from the journal. The checks of the promises "notrun" and "once"
// depend on a complete record of runs.
func TestRunIsRecorded(t *testing.T) {
	body, lines, err := runWithFault(t, server.FaultNone)
	if err != nil {
		t.Fatal(err)
	}
	if err := server.VerifyAnswer(body, "t-1", []byte("in")); err != nil {
		t.Error(err)
	}
	if len(lines) != 2 || lines[0].Run == nil || lines[1].Run == nil {
		t.Fatalf("journal has %d lines, want the start and the end of a run", len(lines))
	}
	start := lines[0].Run
	if start.Token != "t-1" || start.SendNumber != 2 || start.Key != "k" || start.Idempotent || start.Active != 1 {
		t.Errorf("start of the run recorded as %+v", start)
	}
	if lines[1].Run.Step != record.RunEnd || lines[1].Run.Active != 0 {
		t.Errorf("end of the run recorded as %+v", lines[1].Run)
	}
}

// Guards against an injected fault that still delivers a complete answer or leaves no record of the run.
func TestFaultsPreventCompleteAnswer(t *testing.T) {
	for _, fault := range []server.Fault{server.FaultReset, server.FaultTruncate} {
		body, lines, err := runWithFault(t, fault)
		if err == nil && server.VerifyAnswer(body, "t-1", []byte("in")) == nil {
			t.Errorf("fault %s: caller received a complete answer", fault)
		}
		if len(lines) != 2 {
			t.Errorf("fault %s: journal has %d lines, want 2", fault, len(lines))
		}
	}
}
