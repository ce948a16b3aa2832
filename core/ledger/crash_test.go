package ledger_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// crash assigns the next attempt of a task and ends it with a crash of its worker.
func crash(s *ledger.State, t flow.Task, end ledger.End, now clock.Millis) {
	_, record := s.Job("j").FindTask(t)
	attempt := record.Attempt + 1
	assign(s, t, attempt)
	s.Apply(ledger.Settle{Ends: []ledger.AttemptEnd{{Task: t, Attempt: attempt, End: end}}, Now: now})
}

// Guards against tasks that crash their workers without limit, against jobs that fail because of crashes that prove
// nothing, and against old crashes that count against a task for ever.
func TestCrashesFailJobsByTheirEvidence(t *testing.T) {
	const minute = 60 * clock.Second
	atStart, other := ledger.EndStartCrash, ledger.EndWorkerCrash
	tests := []struct {
		name    string
		ends    []ledger.End
		apart   clock.Millis
		suspect bool
		want    ledger.Phase
	}{
		{"one crash at the start", []ledger.End{atStart}, clock.Second, true, ledger.PhaseRunning},
		{"two crashes at the start", []ledger.End{atStart, atStart}, clock.Second, false, ledger.PhaseFailed},
		{"two crashes at the start, long apart", []ledger.End{atStart, atStart}, 11 * minute, true, ledger.PhaseRunning},
		{"two other crashes", []ledger.End{other, other}, clock.Second, false, ledger.PhaseRunning},
		{"four other crashes", []ledger.End{other, other, other, other}, clock.Second, true, ledger.PhaseRunning},
		{"five other crashes", []ledger.End{other, other, other, other, other}, clock.Second, false, ledger.PhaseFailed},
		{"lost attempts", []ledger.End{ledger.EndLost, ledger.EndLost, ledger.EndLost, ledger.EndLost, ledger.EndLost, ledger.EndLost}, clock.Second, false, ledger.PhaseRunning},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, j := newState(flow.Step{Count: 2})
			var now clock.Millis
			for _, end := range test.ends {
				now += test.apart
				crash(s, task(0, 0), end, now)
			}
			if j.Phase() != test.want {
				t.Errorf("job is %s, want %s", j.Phase(), test.want)
			}
			if got := s.Crashes(task(0, 0)).IsSuspect(now); got != test.suspect {
				t.Errorf("task is a suspect: %t, want %t", got, test.suspect)
			}
			if got := s.Crashes(task(0, 1)); got != (ledger.Crashes{}) {
				t.Errorf("crashes of the other task = %+v, want none", got)
			}
		})
	}
}

// Guards against a late report of an attempt that is over, or of a task that is done, which counts as a crash.
func TestOnlyTheAssignedAttemptCountsAsCrash(t *testing.T) {
	s, _ := newState(flow.Step{Count: 1})
	crash(s, task(0, 0), ledger.EndStartCrash, 20)
	settle(s, task(0, 0), 1, ledger.EndStartCrash)
	want := ledger.Crashes{Task: task(0, 0), AtStart: 1, Total: 1, LastAt: 20}
	if diff := cmp.Diff(want, s.Crashes(task(0, 0))); diff != "" {
		t.Fatalf("crashes (-want +got):\n%s", diff)
	}
}

// Guards against a leader that starts from a snapshot and has forgotten which tasks crash their workers, and against
// a snapshot of a version without these records that can't be read.
func TestSnapshotsKeepCrashes(t *testing.T) {
	s, _ := newState(flow.Step{Count: 1})
	crash(s, task(0, 0), ledger.EndStartCrash, 20)
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := ledger.New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s.Crashes(task(0, 0)), restored.Crashes(task(0, 0))); diff != "" {
		t.Fatalf("crashes after a restore (-want +got):\n%s", diff)
	}
	type earlierSnapshot struct {
		_       struct{} `cbor:",toarray"`
		Config  flow.Config
		Jobs    map[model.JobID]*ledger.Job
		Workers map[model.WorkerID]flow.Worker
		Now     clock.Millis
	}
	earlier, err := cbor.Marshal(earlierSnapshot{Config: s.Config(), Jobs: s.Jobs(), Now: 20})
	if err != nil {
		t.Fatal(err)
	}
	restored = ledger.New()
	if err := restored.Restore(earlier); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s.Config(), restored.Config()); diff != "" {
		t.Fatalf("configuration of an earlier snapshot (-want +got):\n%s", diff)
	}
}

// Guards against records of crashes that stay after their job has ended.
func TestCrashesOfSettledJobsAreDropped(t *testing.T) {
	s, _ := newState(flow.Step{Count: 1})
	crash(s, task(0, 0), ledger.EndStartCrash, 20)
	assign(s, task(0, 0), 2)
	settle(s, task(0, 0), 2, ledger.EndDone)
	if got := s.Crashes(task(0, 0)); got != (ledger.Crashes{}) {
		t.Fatalf("crashes of a settled job = %+v, want none", got)
	}
}
