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
	s.Apply(ledger.Assign{Items: []ledger.Placement{{Task: t, Attempt: attempt, Worker: "w", Born: 1}}})
}

func settle(s *ledger.State, t flow.Task, attempt int, end ledger.End) {
	s.Apply(ledger.Settle{Items: []ledger.Ending{{Task: t, Attempt: attempt, End: end, Saved: "cp"}}, Now: 20})
}

// Guards against a repeated submission that starts a job again or replaces it.
func TestSubmitOnce(t *testing.T) {
	s, j := newState(flow.Step{Count: 1})
	assign(s, task(0, 0), 1)
	settle(s, task(0, 0), 1, ledger.EndDone)
	if got := s.Apply(ledger.Submit{Host: "h", Path: "/a/j", Job: flow.Job{Steps: []flow.Step{{Count: 9}}}, Now: 30}); got != ledger.OutcomeDone {
		t.Fatalf("repeat = %d", got)
	}
	if s.Job("j") != j || j.Phase() != ledger.PhaseCompleted || j.Ended != 20 {
		t.Fatalf("job after a repeat: %s, ended %d", j.Phase(), j.Ended)
	}
}

// Guards against a late or foreign end that settles another attempt, and against an attempt that
// is assigned twice.
func TestAttemptsSettleOnce(t *testing.T) {
	s, j := newState(flow.Step{Count: 1, Saves: true})
	assign(s, task(0, 0), 1)
	assign(s, task(0, 0), 1)
	settle(s, task(0, 0), 1, ledger.EndLost)
	assign(s, task(0, 0), 2)
	settle(s, task(0, 0), 1, ledger.EndDone)
	if _, slot := j.Slot(task(0, 0)); slot.Done || !slot.Placed || slot.Saved != "cp" {
		t.Fatalf("slot = %+v; want attempt 2 still placed", *slot)
	}
	settle(s, task(0, 0), 2, ledger.EndDone)
	if j.Phase() != ledger.PhaseCompleted {
		t.Fatalf("job is %s", j.Phase())
	}
}

// Guards against a job that fails too early: only ends by failure count, and the members of a gang
// that fail together count once.
func TestFailuresCount(t *testing.T) {
	s, j := newState(flow.Step{Count: 2, Gang: true})
	for attempt := 1; attempt <= 2; attempt++ {
		assign(s, task(0, 0), attempt)
		assign(s, task(0, 1), attempt)
		if j.Phase() != ledger.PhaseRunning {
			t.Fatalf("job is %s before attempt %d ends", j.Phase(), attempt)
		}
		settle(s, task(0, 0), attempt, ledger.EndFailed)
		settle(s, task(0, 1), attempt, ledger.EndBroken)
	}
	if j.Phase() != ledger.PhaseFailed {
		t.Fatalf("job is %s after two failed attempts of two", j.Phase())
	}
	other, k := newState(flow.Step{Count: 1})
	for attempt := 1; attempt <= 5; attempt++ {
		assign(other, task(0, 0), attempt)
		settle(other, task(0, 0), attempt, []ledger.End{ledger.EndLost, ledger.EndLapsed, ledger.EndStopped, ledger.EndBroken, ledger.EndAlone}[attempt-1])
	}
	if k.Phase() != ledger.PhaseRunning {
		t.Fatalf("job is %s after ends that aren't failures", k.Phase())
	}
}

// Guards against a job whose last member's end keeps it from being forgotten after a gang is done.
func TestDoneGangLetsGo(t *testing.T) {
	s, _ := newState(flow.Step{Count: 2, Gang: true})
	assign(s, task(0, 0), 1)
	assign(s, task(0, 1), 1)
	settle(s, task(0, 0), 1, ledger.EndDone)
	s.Apply(ledger.Forget{Before: 100})
	if s.Job("j") == nil {
		t.Fatal("job is forgotten while a worker may hold a task of it")
	}
	settle(s, task(0, 1), 1, ledger.EndDone)
	s.Apply(ledger.Forget{Before: 100})
	if s.Job("j") != nil {
		t.Fatal("job is not forgotten")
	}
}

// Guards against a delayed announcement that revives an older life or takes back that a worker
// leaves, and against a lower configuration that replaces a higher one.
func TestOldNewsChangeNothing(t *testing.T) {
	s, _ := newState(flow.Step{Count: 1})
	s.Apply(ledger.Enlist{Worker: flow.Worker{ID: "w", Born: 5, Seq: 3, Leaving: true}})
	s.Apply(ledger.Enlist{Worker: flow.Worker{ID: "w", Born: 5, Seq: 4}})
	s.Apply(ledger.Enlist{Worker: flow.Worker{ID: "w", Born: 4, Seq: 9}})
	if w := s.Workers()["w"]; !w.Leaving || w.Born != 5 || w.Seq != 4 {
		t.Fatalf("worker = %+v", w)
	}
	s.Apply(ledger.Dismiss{ID: "w", Born: 4})
	if len(s.Workers()) != 1 {
		t.Fatal("the dismissal of an older life removed the worker")
	}
	s.Apply(ledger.Configure{Config: flow.Config{Version: 9}})
	s.Apply(ledger.Configure{Config: flow.Config{Version: 8}})
	s.Apply(ledger.Configure{Config: flow.Config{Version: 9, Queues: []flow.Queue{{Name: "x"}}}})
	if c := s.Config(); c.Version != 9 || len(c.Queues) != 0 {
		t.Fatalf("configuration %d with %d queues", c.Version, len(c.Queues))
	}
}

// Guards against replicas that differ after a snapshot: the rest of the commands must give the same
// state as on a replica that applied them all.
func TestSnapshotsAreWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		commands := rapid.SliceOfN(rapid.Custom(command), 1, 40).Draw(rt, "commands")
		at := rapid.IntRange(0, len(commands)).Draw(rt, "at")
		whole, part := ledger.New(), ledger.New()
		for i, c := range commands {
			if i == at {
				data, err := part.Snapshot()
				if err != nil {
					rt.Fatal(err)
				}
				part = ledger.New()
				if err := part.Restore(data); err != nil {
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
			whole.Apply(c)
			part.Apply(decoded)
		}
		a, _ := whole.Snapshot()
		b, _ := part.Snapshot()
		if diff := cmp.Diff(a, b); diff != "" {
			rt.Fatalf("states differ:\n%s", diff)
		}
	})
}

func command(t *rapid.T) ledger.Command {
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
		return ledger.Assign{Items: []ledger.Placement{{Task: name, Attempt: attempt, Worker: "w"}}}
	case 4:
		return ledger.Settle{Items: []ledger.Ending{{Task: name, Attempt: attempt, End: ledger.End(rapid.IntRange(1, 7).Draw(t, "end"))}}, Now: 30}
	case 5:
		return ledger.Enlist{Worker: flow.Worker{ID: "w", Seq: uint64(attempt)}}
	}
	return ledger.Forget{Before: 25}
}

// Guards against a count of pending jobs that drifts from the jobs, and against settled jobs that
// keep their tasks: a leader of thousands of ended jobs held 260 MB and read all of them for a count.
func TestCountsFollowJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, _ := newState(flow.Step{Count: 2})
		q := s.Config().Queues[0]
		for range rapid.IntRange(1, 40).Draw(rt, "commands") {
			id := string(rapid.SampledFrom([]rune("jklm")).Draw(rt, "job"))
			at := flow.Task{Job: model.JobID(id), Index: rapid.IntRange(0, 1).Draw(rt, "index")}
			attempt := rapid.IntRange(1, 3).Draw(rt, "attempt")
			switch rapid.IntRange(0, 4).Draw(rt, "kind") {
			case 0:
				s.Apply(ledger.Submit{Host: "h", Path: "/a/" + id, Job: flow.Job{Spec: "x", Steps: []flow.Step{{Count: 2}}}, Now: 10})
			case 1:
				assign(s, at, attempt)
			case 2:
				settle(s, at, attempt, rapid.SampledFrom([]ledger.End{ledger.EndDone, ledger.EndFailed, ledger.EndLost}).Draw(rt, "end"))
			case 3:
				s.Apply(ledger.Cancel{Host: "h", Path: "/a/" + id, Now: 20})
			case 4:
				image, err := s.Snapshot()
				if err != nil || s.Restore(image) != nil {
					rt.Fatalf("snapshot: %v", err)
				}
			}
			want := 0
			for id, j := range s.Jobs() {
				if !j.Begun && !j.Over() {
					want++
				}
				placed := false
				for i := range 2 {
					_, slot := j.Slot(flow.Task{Job: id, Index: i})
					placed = placed || (slot != nil && slot.Placed)
				}
				if j.Over() && !placed && (!j.IsSettled() || j.Work.Spec != "" || len(j.Work.Steps) > 0) {
					rt.Fatalf("job %s is over and runs nothing, but keeps %+v", id, *j)
				}
			}
			if got := s.Pending(q); got != want {
				rt.Fatalf("pending = %d, want %d", got, want)
			}
		}
	})
}
