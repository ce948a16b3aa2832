package ledger_test

import (
	"fmt"
	"testing"

	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

// newRecordingState returns a state with the queues and teams of teamConfig that records tombstones.
func newRecordingState() *ledger.State {
	s := ledger.New()
	s.Apply(ledger.RecordTombstones{})
	s.Apply(ledger.Configure{Config: teamConfig(1, []string{"ka"}, []string{"kb"})})
	return s
}

// Guards against a job that runs although its cancellation was answered before its submission arrived: a front that
// stood still, a slow link or a repeated request handed it in late, and nothing remembered the answer.
func TestSubmissionAfterItsCancellationIsCancelled(t *testing.T) {
	s := newRecordingState()
	if got := s.Apply(cancelAs("ka", "/a/j")); got != ledger.OutcomeNoJob {
		t.Fatalf("cancellation of a job that does not exist = %d, want OutcomeNoJob", got)
	}
	if len(s.Jobs()) != 0 || s.VisibleJob("j", "a") != nil || s.PendingJobs(s.Config().Queues[0]) != 0 {
		t.Fatal("a job that nobody submitted is shown or counted")
	}
	if got := s.Apply(submitAs("ka", "/a/j")); got != ledger.OutcomeCancelled {
		t.Errorf("late submission = %d, want OutcomeCancelled", got)
	}
	j := s.VisibleJob("j", "a")
	if j == nil || j.Phase() != ledger.PhaseCancelled || !j.IsSettled() || j.Team != "a" || j.EndedAt != 900 || s.PendingJobs(j.Queue) != 0 {
		t.Fatalf("job after the late submission: %+v; want it cancelled at 900, and not pending", j)
	}
	if got := s.Apply(submitAs("ka", "/a/j")); got != ledger.OutcomeDone || s.Job("j") != j {
		t.Errorf("repeated late submission = %d, want OutcomeDone and the same job", got)
	}
}

// Guards against a cancellation that stops a job of another queue or another team, and against one that doesn't stop a
// job that its caller could cancel if it were there already.
func TestCancellationStopsOnlyJobsOfItsCaller(t *testing.T) {
	for _, c := range []struct {
		name              string
		cancelKey, cancel string
		submitKey, submit string
		want              ledger.Outcome
	}{
		{"the same team and queue", "ka", "/a/j", "ka", "/a/j", ledger.OutcomeCancelled},
		{"another team", "kb", "/a/j", "ka", "/a/j", ledger.OutcomeDone},
		{"another queue", "ka", "/b/j", "ka", "/a/j", ledger.OutcomeDone},
		{"another identifier", "ka", "/a/k", "ka", "/a/j", ledger.OutcomeDone},
		{"an unknown key", "kx", "/a/j", "ka", "/a/j", ledger.OutcomeDone},
		{"no key, public queue, job of a team", "", "/b/j", "ka", "/b/j", ledger.OutcomeDone},
		{"no key, public queue", "", "/b/j", "", "/b/j", ledger.OutcomeCancelled},
		{"a team, public queue, job of no team", "ka", "/b/j", "", "/b/j", ledger.OutcomeCancelled},
	} {
		s := newRecordingState()
		s.Apply(cancelAs(c.cancelKey, c.cancel))
		if got := s.Apply(submitAs(c.submitKey, c.submit)); got != c.want {
			t.Errorf("%s: submission = %d, want %d", c.name, got, c.want)
		}
		inOrder := newRecordingState()
		inOrder.Apply(submitAs(c.submitKey, c.submit))
		before := inOrder.Job("j").Phase()
		if c.cancel == c.submit { // jobs are kept by their identifier alone, so another queue's cancellation finds them
			inOrder.Apply(cancelAs(c.cancelKey, c.cancel))
			if got := s.Job("j").Phase(); got != inOrder.Job("j").Phase() {
				t.Errorf("%s: the job is %s, and %s if it is submitted before it is cancelled", c.name, got, inOrder.Job("j").Phase())
			}
		}
		if before != ledger.PhaseQueued {
			t.Fatalf("%s: job is %s without a cancellation", c.name, before)
		}
	}
}

// Guards against a cancellation that is forgotten before the record of a cancelled job would be, and against one that is
// remembered for good.
func TestTombstonesArePrunedLikeJobs(t *testing.T) {
	s := newRecordingState()
	s.Apply(cancelAs("ka", "/a/j"))
	renewed := cancelAs("ka", "/a/k")
	s.Apply(renewed)
	renewed.Now = 2000
	s.Apply(renewed)
	s.Apply(ledger.PruneJobs{EndedBefore: 900})
	if got := s.Tombstones(); got != 2 {
		t.Fatalf("%d tombstones before their time, want 2", got)
	}
	s.Apply(ledger.PruneJobs{EndedBefore: 901})
	if _, ok := s.CancelledBefore(submitAs("ka", "/a/j")); ok || s.Tombstones() != 1 {
		t.Errorf("%d tombstones after the time of the first, want 1", s.Tombstones())
	}
	if at, ok := s.CancelledBefore(submitAs("ka", "/a/k")); !ok || at != 2000 {
		t.Errorf("the job that was cancelled again counts as cancelled at %d (%t), want 2000", at, ok)
	}
	s.Apply(ledger.PruneJobs{EndedBefore: 2001})
	if s.Tombstones() != 0 {
		t.Errorf("%d tombstones after the time of all", s.Tombstones())
	}
}

// Guards against memory without bound when identifiers are cancelled that nobody submits, and against such a flood of one
// team that makes the cancellations of another forgotten.
func TestFloodOfCancellationsIsBounded(t *testing.T) {
	const flood = 70_000
	s := newRecordingState()
	s.Apply(cancelAs("kb", "/a/quiet"))
	for i := range flood {
		s.Apply(cancelAs("ka", fmt.Sprintf("/a/%d", i)))
	}
	const ofTeam = 65_536 / 3 // of the teams a and b, and of callers without a team
	if got := s.Tombstones(); got != ofTeam+1 {
		t.Errorf("%d tombstones after a flood, want %d of the flooding team and 1", got, ofTeam)
	}
	if got := s.DroppedTombstones(); got != flood-ofTeam {
		t.Errorf("%d tombstones were dropped, want %d", got, flood-ofTeam)
	}
	for key, want := range map[string]struct {
		path string
		kept bool
	}{
		"kb": {"/a/quiet", true},
		"ka": {fmt.Sprintf("/a/%d", flood-ofTeam), true},
	} {
		if _, got := s.CancelledBefore(submitAs(key, want.path)); got != want.kept {
			t.Errorf("the cancellation of %s is remembered: %t, want %t", want.path, got, want.kept)
		}
	}
	if _, got := s.CancelledBefore(submitAs("ka", fmt.Sprintf("/a/%d", flood-ofTeam-1))); got {
		t.Error("an older cancellation of the flood is kept in place of a newer one")
	}
	long := cancelAs("ka", "/a/"+string(make([]byte, 1<<20)))
	before := len(snapshotOf(t, s))
	s.Apply(long)
	if grown := len(snapshotOf(t, s)) - before; grown > 16 {
		t.Errorf("a long identifier in place of a short one adds %d bytes to the snapshot", grown)
	}
}

// Guards against a snapshot that loses the cancellations of jobs that aren't there yet, or the team that they belong to.
func TestTombstonesSurviveRestart(t *testing.T) {
	commands := []ledger.Command{
		ledger.Configure{Config: teamConfig(1, []string{"ka"}, []string{"kb"})},
		ledger.RecordTombstones{},
		cancelAs("ka", "/a/j"), cancelAs("kb", "/a/k"), submitAs("ka", "/a/k"), submitAs("ka", "/a/j"),
	}
	for at := range len(commands) + 1 {
		s := reopen(t, commands, at)
		if got := s.Job("j").Phase(); got != ledger.PhaseCancelled {
			t.Errorf("snapshot before command %d: the cancelled job is %s", at, got)
		}
		if got := s.Job("k").Phase(); got != ledger.PhaseQueued {
			t.Errorf("snapshot before command %d: a job that another team cancelled is %s", at, got)
		}
		if !s.RecordsTombstones() || s.Tombstones() != 2 {
			t.Errorf("snapshot before command %d: recording %t, %d tombstones, want 2", at, s.RecordsTombstones(), s.Tombstones())
		}
	}
}

// newBenchState returns a state with a number of tombstones.
func newBenchState(tombstones int) *ledger.State {
	s := ledger.New()
	s.Apply(ledger.RecordTombstones{})
	s.Apply(ledger.Configure{Config: flow.Config{Version: 1, Queues: []flow.Queue{{Name: "a", Host: "h", Prefix: "/a/"}}}})
	for i := range tombstones {
		s.Apply(ledger.Cancel{Host: "h", Path: fmt.Sprintf("/a/%016x", i), Now: 1_800_000_000_000})
	}
	return s
}

// benchmarkSubmit measures the submissions of jobs that are removed at once, each with the commands before it.
func benchmarkSubmit(b *testing.B, s *ledger.State, before func(path string)) {
	job := flow.Job{Steps: []flow.Step{{Count: 2}}}
	for i := range b.N {
		path := fmt.Sprintf("/a/%d", i%1000)
		before(path)
		s.Apply(ledger.Submit{Host: "h", Path: path, Job: job, Now: 1_800_000_000_001})
		delete(s.Jobs(), model.JobID(path[3:]))
	}
}

// BenchmarkLateCancellation measures a cancellation that names no job and a submission that arrives after it, with as
// many tombstones as there may be: the cost of both has to stay flat.
func BenchmarkLateCancellation(b *testing.B) {
	for _, kept := range []int{0, 1000, 65_536} {
		b.Run(fmt.Sprintf("tombstones=%d", kept), func(b *testing.B) {
			s := newBenchState(kept)
			b.ResetTimer()
			benchmarkSubmit(b, s, func(path string) { s.Apply(ledger.Cancel{Host: "h", Path: path, Now: 1_800_000_000_000}) })
		})
	}
}

// BenchmarkSubmit measures a submission that nobody has cancelled.
func BenchmarkSubmit(b *testing.B) {
	for _, kept := range []int{0, 65_536} {
		b.Run(fmt.Sprintf("tombstones=%d", kept), func(b *testing.B) {
			s := newBenchState(kept)
			b.ResetTimer()
			benchmarkSubmit(b, s, func(string) {})
		})
	}
}

// BenchmarkTombstoneSnapshot measures the snapshot of a state with as many tombstones as there may be.
func BenchmarkTombstoneSnapshot(b *testing.B) {
	s, size := newBenchState(65_536), 0
	b.ResetTimer()
	for range b.N {
		data, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "B/snapshot")
}
