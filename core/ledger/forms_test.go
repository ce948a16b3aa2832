package ledger_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/expect"
	"vanillabridge/core/flow"
	"vanillabridge/core/golden"
	"vanillabridge/core/ledger"
)

// formsFile holds, in hex, what the version before teams wrote for plainCommands and the state after them.
const formsFile = "testdata/forms.golden"

func plainCommands() []ledger.Command {
	job := flow.Job{Spec: "x", Steps: []flow.Step{{Count: 2, Estimate: 100}, {Count: 2, Gang: true, After: []int{0}}}}
	return []ledger.Command{
		ledger.Configure{Config: flow.Config{
			Version: 3, Document: []byte("{}"), Pools: []flow.Pool{{Name: "p"}},
			Queues: []flow.Queue{{Name: "a", Host: "h", Prefix: "/a/", Pool: "p", Timeout: 3000, Attempts: 2, Stretch: 2.5}},
		}},
		ledger.Submit{Host: "h", Path: "/a/j", Job: job, Now: 10},
		ledger.Submit{Host: "h", Path: "/a/k", Job: job, Now: 11},
		ledger.RegisterWorker{Worker: flow.Worker{ID: "w", StartedAt: 1, Pool: "p", Address: "a", Seq: 1}},
		ledger.Assign{Placements: []ledger.Placement{{Task: task(0, 0), Attempt: 1, Worker: "w", WorkerStartedAt: 1}}},
		ledger.Settle{Ends: []ledger.AttemptEnd{{Task: task(0, 0), Attempt: 1, End: ledger.EndStartCrash}}, Now: 20},
		ledger.Cancel{Host: "h", Path: "/a/k", Now: 21},
		ledger.PruneJobs{EndedBefore: 5},
	}
}

// Guards against logs and snapshots of a domain without teams that differ from those of the version before teams, in
// either direction: replicas of both versions would diverge while they are replaced.
func TestFormsWithoutTeamsAreThoseOfEarlierVersions(t *testing.T) {
	stored, err := os.ReadFile(formsFile)
	if err != nil {
		t.Fatal(err)
	}
	if got := forms(t, plainCommands()); got != string(stored) {
		t.Errorf("encodings differ from %s:\n%s", formsFile, got)
	}
	lines := strings.Fields(string(stored))
	replayed, restored := ledger.New(), ledger.New()
	for i, line := range lines {
		data, err := hex.DecodeString(line)
		if err != nil {
			t.Fatal(err)
		}
		if i == len(lines)-1 {
			if err := restored.Restore(data); err != nil {
				t.Fatalf("stored snapshot: %v", err)
			}
			continue
		}
		c, err := ledger.Decode(data)
		if err != nil {
			t.Fatalf("stored command %d: %v", i, err)
		}
		replayed.Apply(c)
	}
	a, _ := replayed.Snapshot()
	b, _ := restored.Snapshot()
	if !bytes.Equal(a, b) || hex.EncodeToString(a) != lines[len(lines)-1] {
		t.Error("the state of the stored commands is not that of the stored snapshot")
	}
}

// history returns commands that use all parts of a state except for what is learned.
func history() []ledger.Command {
	step := flow.Step{Count: 2, Estimate: 700, WritesCheckpoints: true}
	return []ledger.Command{
		ledger.Configure{Config: flow.Config{Version: 1, Queues: []flow.Queue{{Name: "a", Host: "h", Prefix: "/a/", Pool: "p", Attempts: 2}}}},
		ledger.RegisterWorker{Worker: flow.Worker{ID: "w", StartedAt: 1, Pool: "p", Seq: 1}},
		ledger.Submit{Host: "h", Path: "/a/j", Job: flow.Job{Spec: "s", Steps: []flow.Step{step, step}}, Now: 10},
		ledger.Assign{Placements: []ledger.Placement{{Task: task(0, 0), Attempt: 1, Worker: "w", WorkerStartedAt: 1}, {Task: task(0, 1), Attempt: 1, Worker: "w", WorkerStartedAt: 1}}, Term: 3},
		ledger.Settle{Ends: []ledger.AttemptEnd{{Task: task(0, 0), Attempt: 1, End: ledger.EndDone, Checkpoint: "cp"}, {Task: task(0, 1), Attempt: 1, End: ledger.EndStartCrash}}, Now: 20, Term: 3, Number: 4},
	}
}

// forms returns the encodings of commands and the snapshot of the state that has applied them, in hexadecimal.
func forms(t *testing.T, commands []ledger.Command) string {
	t.Helper()
	var out strings.Builder
	s := ledger.New()
	for _, c := range commands {
		data, err := ledger.Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(&out, hex.EncodeToString(data))
		s.Apply(c)
	}
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(&out, hex.EncodeToString(data))
	return out.String()
}

// Guards against log entries and snapshots that differ from those of versions without run times while none are learned.
func TestFormsWithoutRunTimes(t *testing.T) {
	golden.Check(t, "testdata/plain.golden", forms(t, history()))
}

// cancelledHistory returns commands that cancel a job before it is submitted, as versions without tombstones wrote them.
func cancelledHistory() []ledger.Command {
	job := flow.Job{Spec: "x", Steps: []flow.Step{{Count: 1, Estimate: 100}}}
	return []ledger.Command{
		ledger.Configure{Config: flow.Config{Version: 1, Queues: []flow.Queue{{Name: "a", Host: "h", Prefix: "/a/", Pool: "p", Attempts: 2}}}},
		ledger.Cancel{Host: "h", Path: "/a/j", Now: 10},
		ledger.Submit{Host: "h", Path: "/a/j", Job: job, Now: 20},
		ledger.Assign{Placements: []ledger.Placement{{Task: task(0, 0), Attempt: 1, Worker: "w", WorkerStartedAt: 1}}, Term: 3},
		ledger.Settle{Ends: []ledger.AttemptEnd{{Task: task(0, 0), Attempt: 1, End: ledger.EndDone}}, Now: 30, Term: 3, Number: 4},
		ledger.Configure{Config: teamConfig(2, []string{"ka"}, []string{"kb"})},
		cancelAs("ka", "/a/k"), submitAs("ka", "/a/k"), cancelAs("kb", "/a/l"),
		ledger.PruneJobs{EndedBefore: 5},
	}
}

// Guards against a log of the version before tombstones that leads to another state now: a replica that replays it from an
// older snapshot, or that is replaced before the others, would differ from them.
func TestUnrecordedCancellationsChangeNothing(t *testing.T) {
	golden.Check(t, "testdata/unrecorded.golden", forms(t, cancelledHistory()))
}

// Guards against a replica of the version before tombstones that starts from a snapshot with some and then differs from the
// others: it has to refuse the snapshot.
func TestEarlierVersionRefusesTombstones(t *testing.T) {
	s := ledger.New()
	for _, c := range append(cancelledHistory(), ledger.RecordTombstones{}, cancelAs("ka", "/a/m")) {
		s.Apply(c)
	}
	data := snapshotOf(t, s)
	var first cbor.RawMessage
	rest, err := cbor.UnmarshalFirst(data, &first)
	if err != nil {
		t.Fatal(err)
	}
	var asBefore struct {
		_        struct{} `cbor:",toarray"`
		RunTimes []expect.Entry
	}
	if err := cbor.Unmarshal(rest, &asBefore); err == nil {
		t.Error("the version before takes a snapshot with tombstones for one without")
	}
}
