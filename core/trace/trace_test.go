package trace_test

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/golden"
	"vanillabridge/core/model"
	"vanillabridge/core/trace"
)

// settableClock is a clock that a test can set to any time, including an earlier one.
type settableClock struct{ now clock.Millis }

func (s *settableClock) Now() clock.Millis { return s.now }

// TestMain runs each property 1000 times, ten times the default, which is affordable because the
// properties are fast.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "1000") // set before Parse, so that the command line takes precedence
	flag.Parse()
	os.Exit(m.Run())
}

// sampleEntries returns the merged events of a task and a request, recorded by three processes.
// One name needs escaping in HTML.
func sampleEntries() []trace.Entry {
	at := &settableClock{now: 1_764_800_000_000}
	recorders := map[string]*trace.Recorder{}
	for _, name := range []string{"entry-1#1f", "entry-2#2e", "w1"} {
		recorders[name] = trace.NewRecorder(trace.Options{Process: name, Zone: "east-a", Source: at})
	}
	task := trace.Subject{Task: model.TaskID{Job: "report/1", Index: 3}, Worker: "w1"}
	steps := []struct {
		process string
		event   trace.Event
	}{
		{"entry-1#1f", trace.LeaderChanged{Group: "zone east-a", Leader: "entry-1", Term: 4}},
		{"entry-1#1f", trace.Accepted{Subject: trace.Subject{Job: "report/1"}, Caller: "<b>", Class: model.Urgent}},
		{"entry-1#1f", trace.Placed{Subject: task, Attempt: 1, Epoch: 4}},
		{"w1", trace.Started{Subject: task, Attempt: 1}},
		{"entry-2#2e", trace.Refused{Subject: trace.Subject{Request: "r-1"}, Reason: "queue of class low is full"}},
		{"w1", trace.Ended{Subject: task, Attempt: 1, Outcome: "done"}},
		{"entry-2#2e", trace.Drained{CutOffRequests: 0}},
	}
	for i, s := range steps {
		at.now += clock.Millis(i % 2)
		stamp := recorders[s.process].Record(s.event)
		for _, r := range recorders {
			r.Merge(stamp)
		}
	}
	var lists [][]trace.Entry
	for _, r := range recorders {
		lists = append(lists, r.Events(trace.Filter{}))
	}
	return trace.Merge(lists...)
}

// Guards against a rendering that loses or reorders events, that does not escape names in HTML,
// or that loads outside resources.
func TestRenderingsGolden(t *testing.T) {
	for file, write := range map[string]func(*bytes.Buffer) error{
		"testdata/sample.txt":   func(b *bytes.Buffer) error { return trace.WriteText(b, sampleEntries()) },
		"testdata/sample.jsonl": func(b *bytes.Buffer) error { return trace.WriteLines(b, sampleEntries()) },
		"testdata/sample.html":  func(b *bytes.Buffer) error { return trace.WriteHTML(b, sampleEntries()) },
	} {
		var b bytes.Buffer
		if err := write(&b); err != nil {
			t.Fatal(err)
		}
		golden.Check(t, file, b.String())
		// A page that loads outside resources does not work on a machine without Internet access.
		if regexp.MustCompile(`(src|href)=|url\(|@import|<script`).MatchString(b.String()) {
			t.Errorf("%s refers to an outside resource", file)
		}
	}
}

// Guards against a merged order in which an effect precedes its cause, for any interleaving of
// events and messages and any clock error, including clocks that are set back.
func TestMergeRespectsCausality(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "processes")
		recorders := make([]*trace.Recorder, n)
		clocks := make([]*settableClock, n)
		known := make([]map[string]bool, n) // events in the causal past of each process
		for i := range n {
			clocks[i] = &settableClock{}
			recorders[i] = trace.NewRecorder(trace.Options{Process: string(rune('a' + i)), Source: clocks[i], Capacity: 64})
			known[i] = map[string]bool{}
		}
		past := map[string][]string{}
		type message struct {
			stamp trace.Stamp
			known []string
		}
		var messages []message
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "process")
			clocks[i].now = clock.Millis(rapid.Int64Range(-5, 200).Draw(t, "time"))
			switch action := rapid.IntRange(0, 2).Draw(t, "action"); {
			case action == 0:
				name := string(rune('A' + step))
				past[name] = slices.Sorted(mapKeys(known[i]))
				known[i][name] = true
				recorders[i].Record(trace.Accepted{Subject: trace.Subject{Request: name}})
			case action == 1:
				messages = append(messages, message{recorders[i].Stamp(), slices.Sorted(mapKeys(known[i]))})
			case len(messages) > 0:
				m := rapid.SampledFrom(messages).Draw(t, "message") // possibly delayed, duplicated or out of order
				recorders[i].Merge(m.stamp)
				for _, name := range m.known {
					known[i][name] = true
				}
			}
		}
		lists := make([][]trace.Entry, n)
		for i, r := range recorders {
			lists[i] = r.Events(trace.Filter{})
		}
		merged := trace.Merge(append(lists, lists[0])...) // one process twice, as if also read from its file
		at := map[string]int{}
		for i, e := range merged {
			at[e.Event.EventSubject().Request] = i
		}
		if len(at) != len(past) || len(merged) != len(past) {
			t.Fatalf("%d events merged, want %d", len(merged), len(past))
		}
		for effect, causes := range past {
			for _, cause := range causes {
				if at[cause] >= at[effect] {
					t.Fatalf("%s precedes its cause %s", effect, cause)
				}
			}
		}
	})
}

func mapKeys(m map[string]bool) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// Guards against a corrupt stamp that moves all clocks to the end of their range, and against a
// count that overflows, so that the next stamp is earlier.
func TestClockRange(t *testing.T) {
	c := trace.NewClock(&settableClock{now: 5})
	for _, s := range []trace.Stamp{{Time: 1 << 62}, {Time: -1}} {
		if c.Merge(s) {
			t.Errorf("out of range stamp %v was merged", s)
		}
	}
	last := trace.Stamp{Time: 9, Count: 1<<32 - 1}
	c.Merge(last)
	if next := c.Next(); next.Compare(last) <= 0 {
		t.Errorf("next stamp %v is not after %v", next, last)
	}
}

// failingWriter writes only half of the data and returns err, if err is set.
type failingWriter struct {
	bytes.Buffer
	err error
}

func (f *failingWriter) Write(p []byte) (int, error) {
	if f.err != nil {
		n, _ := f.Buffer.Write(p[:len(p)/2])
		return n, f.err
	}
	return f.Buffer.Write(p)
}

// Guards against a Flush that writes an event twice or does not count a lost one, and against a
// failed write that makes later events unreadable.
func TestFlush(t *testing.T) {
	sink := &failingWriter{}
	r := trace.NewRecorder(trace.Options{Process: "a", Source: &settableClock{}, Capacity: 4, Sink: sink})
	record := func(n int) {
		for range n {
			r.Record(trace.Ready{})
		}
	}
	record(3)
	if err := r.Flush(); err != nil {
		t.Fatal(err)
	}
	record(6) // 4 and 5 are overwritten before they are flushed
	if err := errors.Join(r.Flush(), r.Flush()); err != nil {
		t.Fatal(err)
	}
	sink.err = errors.New("disk full")
	record(1)
	if err := r.Flush(); !errors.Is(err, sink.err) {
		t.Errorf("error %v, want disk full", err)
	}
	sink.err = nil
	record(1)
	if err := r.Flush(); err != nil {
		t.Fatal(err)
	}
	entries, skipped, err := trace.ReadLines(&sink.Buffer)
	if err != nil || skipped != 1 {
		t.Errorf("skipped %d lines, error %v; want only the incomplete line skipped", skipped, err)
	}
	var seqs []uint64
	for _, e := range entries {
		seqs = append(seqs, e.Seq)
	}
	if diff := cmp.Diff([]uint64{1, 2, 3, 6, 7, 8, 9, 11}, seqs); diff != "" || r.LostEvents() != 3 {
		t.Errorf("%d events lost, want 3; flushed (-want +got):\n%s", r.LostEvents(), diff)
	}
}

// Guards against a file that grows without bound or loses complete lines in a rotation, and
// against a restarted process that stamps new events before its old ones because the wall clock
// was set back.
func TestFile(t *testing.T) {
	path := t.TempDir() + "/events"
	runProcess := func(process string, now clock.Millis, n int) trace.Stamp {
		f, err := trace.OpenFile(path, 1000)
		if err != nil {
			t.Fatal(err)
		}
		r := trace.NewRecorder(trace.Options{Process: process, Source: &settableClock{now: now}, Sink: f})
		r.Merge(f.LastStamp())
		var first trace.Stamp
		for i := range n {
			stamp := r.Record(trace.Ready{})
			if i == 0 {
				first = stamp
			}
			if err := r.Flush(); err != nil {
				t.Fatal(err)
			}
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
		return first
	}
	runProcess("a#1", 100, 15)
	if err := os.WriteFile(path, append(readFile(t, path), "torn"...), 0o600); err != nil {
		t.Fatal(err)
	}
	if first := runProcess("a#2", 50, 6); first != (trace.Stamp{Time: 100, Count: 15}) {
		t.Errorf("first stamp of the second incarnation is %v, want 100.15", first)
	}
	old, now := readFile(t, path+".1"), readFile(t, path)
	if len(old) > 1000 || len(now) > 1000 {
		t.Errorf("files of %d and %d bytes, limit 1000", len(old), len(now))
	}
	entries, skipped, err := trace.ReadLines(bytes.NewReader(append(old, now...)))
	if err != nil || skipped != 1 || len(entries) < 10 {
		t.Fatalf("%d events, %d lines skipped, error %v", len(entries), skipped, err)
	}
	if first := entries[len(entries)-6]; first.Process != "a#2" || first.Seq != 1 {
		t.Errorf("first event after the incomplete line is missing: %v", entries)
	}
	for i := 1; i < len(entries); i++ {
		if entries[i-1].Stamp.Compare(entries[i].Stamp) >= 0 {
			t.Errorf("event %d has stamp %v, which is not after %v", i, entries[i].Stamp, entries[i-1].Stamp)
		}
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Guards against a kind of event that the reader does not know or decodes as another one.
func TestEveryKindRoundTrips(t *testing.T) {
	for _, kind := range trace.Kinds() {
		text := `{"time":1,"count":2,"process":"a","seq":3,"kind":"` + string(kind) + `","event":{"worker":"w","reason":"r"}}`
		entries, skipped, err := trace.ReadLines(strings.NewReader(text))
		if err != nil || skipped != 0 || len(entries) != 1 || entries[0].Event.Kind() != kind {
			t.Fatalf("%s: read %v, skipped %d, error %v", kind, entries, skipped, err)
		}
		var b bytes.Buffer
		if err := trace.WriteLines(&b, entries); err != nil {
			t.Fatal(err)
		}
		back, _, _ := trace.ReadLines(&b)
		if diff := cmp.Diff(entries, back); diff != "" {
			t.Errorf("%s (-want +got):\n%s", kind, diff)
		}
	}
}

// Guards against a filter that changes when it is encoded as a query and parsed again, against
// invalid queries that are accepted, and against a filter that selects the wrong events.
func TestFilterQuery(t *testing.T) {
	full := trace.Filter{
		Task: model.TaskID{Job: "a/1", Index: 2}, Job: "a/1", Request: "r", Instance: "i", Zone: "z", Worker: "w", Server: "s",
		Service: "v", Kinds: []trace.Kind{trace.KindPlaced, trace.KindEnded}, After: trace.Stamp{Time: 5, Count: 1}, Limit: 7,
	}
	for _, f := range []trace.Filter{{}, full} {
		got, err := trace.ParseFilter(f.Query())
		if diff := cmp.Diff(f, got); err != nil || diff != "" {
			t.Errorf("error %v (-want +got):\n%s", err, diff)
		}
	}
	for _, q := range []string{"tsk", "task", "kind", "after", "limit"} {
		if _, err := trace.ParseFilter(map[string][]string{q: {"-1"}}); err == nil {
			t.Errorf("query %s=-1 was accepted", q)
		}
	}
	for want, f := range map[int]trace.Filter{
		7: {}, 3: {Job: "report/1", Worker: "w1"}, 4: {Job: "report/1"}, 1: {Request: "r-1"}, 2: {Instance: "entry-2"},
		0: {Zone: "west-a"}, 5: {Zone: "east-a", Limit: 5},
	} {
		if got := f.Apply(sampleEntries()); len(got) != want {
			t.Errorf("filter %+v selects %d events, want %d", f, len(got), want)
		}
	}
}

// Guards against lines of a corrupt file or a malicious answer that make the reader or the
// renderers panic or fail.
func FuzzReadLines(f *testing.F) {
	text, err := os.ReadFile("testdata/sample.jsonl")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(text))
	f.Add("{\"kind\":\"placed\"}\n{\"kind\":\"none\",\"event\":1}\nnull\n")
	f.Fuzz(func(t *testing.T, text string) {
		entries, _, err := trace.ReadLines(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := errors.Join(trace.WriteText(&b, entries), trace.WriteHTML(&b, entries)); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkRecord measures the time and allocations to record an event.
func BenchmarkRecord(b *testing.B) {
	r := trace.NewRecorder(trace.Options{Process: "a", Source: clock.NewSystem()})
	subject := trace.Subject{Request: "r-1", Server: "s", Service: "web"}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(trace.Routed{Subject: subject, Attempt: 1})
	}
}
