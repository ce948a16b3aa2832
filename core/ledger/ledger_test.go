package ledger_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
)

func newState(steps ...flow.Step) (*ledger.State, *ledger.Job) {
	s := ledger.New()
	s.Apply(ledger.Configure{Config: flow.Config{Version: 1, Queues: []flow.Queue{{Name: "a", Host: "h", Prefix: "/a/", Pool: "p", Attempts: 2}}}})
	s.Apply(ledger.Submit{Host: "h", Path: "/a/j", Job: flow.Job{Steps: steps}, Now: 10})
	return s, s.Job("j")
}

func task(step, index int) flow.Task { return flow.Task{Job: "j", Step: step, Index: index} }

func assign(s *ledger.State, t flow.Task, attempt int) {
	s.Apply(ledger.Assign{Placements: []ledger.Placement{{Task: t, Attempt: attempt, Worker: "w", WorkerStartedAt: 1}}})
}

func settle(s *ledger.State, t flow.Task, attempt int, end ledger.End) {
	s.Apply(ledger.Settle{Ends: []ledger.AttemptEnd{{Task: t, Attempt: attempt, End: end, Checkpoint: "cp"}}, Now: 20})
}

// Guards against a repeated submission that restarts or replaces the job.
func TestSubmitIsIdempotent(t *testing.T) {
	s, j := newState(flow.Step{Count: 1})
	assign(s, task(0, 0), 1)
	settle(s, task(0, 0), 1, ledger.EndDone)
	if got := s.Apply(ledger.Submit{Host: "h", Path: "/a/j", Job: flow.Job{Steps: []flow.Step{{Count: 9}}}, Now: 30}); got != ledger.OutcomeDone {
		t.Fatalf("repeated submission = %d, want OutcomeDone", got)
	}
	if s.Job("j") != j || j.Phase() != ledger.PhaseCompleted || j.EndedAt != 20 {
		t.Fatalf("job after a repeated submission: %s, ended at %d; want the first job, completed at 20", j.Phase(), j.EndedAt)
	}
}

// Guards against a late end that settles a later attempt, and against an attempt that is assigned twice.
func TestAttemptsSettleOnce(t *testing.T) {
	s, j := newState(flow.Step{Count: 1, WritesCheckpoints: true})
	assign(s, task(0, 0), 1)
	assign(s, task(0, 0), 1)
	settle(s, task(0, 0), 1, ledger.EndLost)
	assign(s, task(0, 0), 2)
	settle(s, task(0, 0), 1, ledger.EndDone)
	if _, record := j.FindTask(task(0, 0)); record.Done || !record.Assigned || record.Checkpoint != "cp" {
		t.Fatalf("task = %+v; want attempt 2 still assigned", *record)
	}
	settle(s, task(0, 0), 2, ledger.EndDone)
	if j.Phase() != ledger.PhaseCompleted {
		t.Fatalf("job is %s", j.Phase())
	}
}

// Guards against a job that fails too early: only EndFailed counts towards the limit of failed
// attempts, and members of a gang that end in the same attempt count once.
func TestOnlyFailedAttemptsCountTowardsLimit(t *testing.T) {
	s, j := newState(flow.Step{Count: 2, Gang: true})
	for attempt := 1; attempt <= 2; attempt++ {
		assign(s, task(0, 0), attempt)
		assign(s, task(0, 1), attempt)
		if j.Phase() != ledger.PhaseRunning {
			t.Fatalf("job is %s before attempt %d ends", j.Phase(), attempt)
		}
		settle(s, task(0, 0), attempt, ledger.EndFailed)
		settle(s, task(0, 1), attempt, ledger.EndGangStopped)
	}
	if j.Phase() != ledger.PhaseFailed {
		t.Fatalf("job is %s after 2 failed attempts of 2, want failed", j.Phase())
	}
	other, otherJob := newState(flow.Step{Count: 1})
	for attempt := 1; attempt <= 5; attempt++ {
		assign(other, task(0, 0), attempt)
		settle(other, task(0, 0), attempt, []ledger.End{ledger.EndLost, ledger.EndLeaseExpired, ledger.EndStopped, ledger.EndGangStopped, ledger.EndGangTimeout}[attempt-1])
	}
	if otherJob.Phase() != ledger.PhaseRunning {
		t.Fatalf("job is %s after ends that aren't failures, want running", otherJob.Phase())
	}
}

// Guards against a job with a finished gang that is removed while other members may still run, or is
// never removed after their ends.
func TestFinishedGangJobIsPruned(t *testing.T) {
	s, _ := newState(flow.Step{Count: 2, Gang: true})
	assign(s, task(0, 0), 1)
	assign(s, task(0, 1), 1)
	settle(s, task(0, 0), 1, ledger.EndDone)
	s.Apply(ledger.PruneJobs{EndedBefore: 100})
	if s.Job("j") == nil {
		t.Fatal("job is removed while a task of it may still run")
	}
	settle(s, task(0, 1), 1, ledger.EndDone)
	s.Apply(ledger.PruneJobs{EndedBefore: 100})
	if s.Job("j") != nil {
		t.Fatal("job is not removed after all its attempts are settled")
	}
}

// Guards against a delayed announcement that restores an older incarnation or reverts that a worker is
// leaving, and against an older version of the configuration that replaces a newer one.
func TestStaleUpdatesAreIgnored(t *testing.T) {
	s, _ := newState(flow.Step{Count: 1})
	s.Apply(ledger.RegisterWorker{Worker: flow.Worker{ID: "w", StartedAt: 5, Seq: 3, Leaving: true}})
	s.Apply(ledger.RegisterWorker{Worker: flow.Worker{ID: "w", StartedAt: 5, Seq: 4}})
	s.Apply(ledger.RegisterWorker{Worker: flow.Worker{ID: "w", StartedAt: 4, Seq: 9}})
	if w := s.Workers()["w"]; !w.Leaving || w.StartedAt != 5 || w.Seq != 4 {
		t.Fatalf("worker = %+v, want announcement 4 of the incarnation started at 5, leaving", w)
	}
	s.Apply(ledger.RemoveWorker{ID: "w", StartedAt: 4})
	if len(s.Workers()) != 1 {
		t.Fatal("removing an older incarnation removed the worker")
	}
	s.Apply(ledger.Configure{Config: flow.Config{Version: 9}})
	s.Apply(ledger.Configure{Config: flow.Config{Version: 8}})
	s.Apply(ledger.Configure{Config: flow.Config{Version: 9, Queues: []flow.Queue{{Name: "x"}}}})
	if c := s.Config(); c.Version != 9 || len(c.Queues) != 0 {
		t.Fatalf("configuration has version %d and %d queues, want version 9 without queues", c.Version, len(c.Queues))
	}
}

// Guards against replicas that diverge after a snapshot: a replica restored from one must reach the
// same state as a replica that applied all commands.
func TestSnapshotRestoreEqualsReplay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		commands := rapid.SliceOfN(rapid.Custom(drawCommand), 1, 40).Draw(rt, "commands")
		restoreAt := rapid.IntRange(0, len(commands)).Draw(rt, "at")
		replayed, restored := ledger.New(), ledger.New()
		for i, c := range commands {
			if i == restoreAt {
				data, err := restored.Snapshot()
				if err != nil {
					rt.Fatal(err)
				}
				restored = ledger.New()
				if err := restored.Restore(data); err != nil {
					rt.Fatal(err)
				}
			}
			data, err := ledger.Encode(c)
			if err != nil {
				rt.Fatal(err)
			}
			decoded, err := ledger.Decode(data)
			if err != nil {
				rt.Fatal(err)
			}
			replayed.Apply(c)
			restored.Apply(decoded)
		}
		a, _ := replayed.Snapshot()
		b, _ := restored.Snapshot()
		if diff := cmp.Diff(a, b); diff != "" {
			rt.Fatalf("states differ:\n%s", diff)
		}
	})
}

func drawCommand(t *rapid.T) ledger.Command {
	id := rapid.SampledFrom([]string{"/a/j", "/a/k", "/b/l"}).Draw(t, "path")
	name := flow.Task{Job: "j", Step: rapid.IntRange(0, 1).Draw(t, "step"), Index: rapid.IntRange(0, 2).Draw(t, "index")}
	attempt := rapid.IntRange(1, 3).Draw(t, "attempt")
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return ledger.Configure{Config: flow.Config{Version: uint64(attempt), Queues: []flow.Queue{{Host: "h", Prefix: "/a/", Attempts: 2}}}}
	case 1:
		return ledger.Submit{Host: "h", Path: id, Now: 10, Job: flow.Job{Steps: []flow.Step{{Count: 2}, {Count: 2, Gang: true, After: []int{0}}}}}
	case 2:
		return ledger.Cancel{Host: "h", Path: id, Now: 20}
	case 3:
		return ledger.Assign{Placements: []ledger.Placement{{Task: name, Attempt: attempt, Worker: "w"}}}
	case 4:
		return ledger.Settle{Ends: []ledger.AttemptEnd{{Task: name, Attempt: attempt, End: ledger.End(rapid.IntRange(1, 7).Draw(t, "end"))}}, Now: 30}
	case 5:
		return ledger.RegisterWorker{Worker: flow.Worker{ID: "w", Seq: uint64(attempt)}}
	}
	return ledger.PruneJobs{EndedBefore: 25}
}

// Guards against a count of pending jobs that differs from the jobs, and against settled jobs that
// keep their task records: a leader with thousands of ended jobs used 260 MB for them and scanned all
// of them for each count.
func TestPendingCountIsExactAndSettledJobsDropDetails(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, _ := newState(flow.Step{Count: 2})
		q := s.Config().Queues[0]
		for range rapid.IntRange(1, 40).Draw(rt, "commands") {
			id := string(rapid.SampledFrom([]rune("jklm")).Draw(rt, "job"))
			name := flow.Task{Job: model.JobID(id), Index: rapid.IntRange(0, 1).Draw(rt, "index")}
			attempt := rapid.IntRange(1, 3).Draw(rt, "attempt")
			switch rapid.IntRange(0, 4).Draw(rt, "kind") {
			case 0:
				s.Apply(ledger.Submit{Host: "h", Path: "/a/" + id, Job: flow.Job{Spec: "x", Steps: []flow.Step{{Count: 2}}}, Now: 10})
			case 1:
				assign(s, name, attempt)
			case 2:
				settle(s, name, attempt, rapid.SampledFrom([]ledger.End{ledger.EndDone, ledger.EndFailed, ledger.EndLost}).Draw(rt, "end"))
			case 3:
				s.Apply(ledger.Cancel{Host: "h", Path: "/a/" + id, Now: 20})
			case 4:
				data, err := s.Snapshot()
				if err != nil || s.Restore(data) != nil {
					rt.Fatalf("snapshot: %v", err)
				}
			}
			want := 0
			for id, j := range s.Jobs() {
				if !j.Assigned && !j.HasEnded() {
					want++
				}
				placed := false
				for i := range 2 {
					_, record := j.FindTask(flow.Task{Job: id, Index: i})
					placed = placed || (record != nil && record.Assigned)
				}
				if j.HasEnded() && !placed && (!j.IsSettled() || j.Definition.Spec != "" || len(j.Definition.Steps) > 0) {
					rt.Fatalf("job %s has ended and has no assigned task, but keeps its details: %+v", id, *j)
				}
			}
			if got := s.PendingJobs(q); got != want {
				rt.Fatalf("pending = %d, want %d", got, want)
			}
		}
	})
}
