package worker

import (
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/lease"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/vbstand/record"
)

// testWorker is a simulated worker whose sync requests are kept for the test instead of being sent.
type testWorker struct {
	*Worker
	t         *testing.T
	dir       string
	sent      []proto.SyncRequest
	sentTimes []clock.Millis
}

// newTestWorker returns a testWorker that records to a journal in a temporary folder.
func newTestWorker(t *testing.T, opt Options) *testWorker {
	t.Helper()
	s := &testWorker{t: t, dir: t.TempDir()}
	journal, err := record.Open(s.dir + "/w.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	opt.Name, opt.Entries = "w", []string{"127.0.0.1:1"}
	opt.Size = model.Size{CPU: 4000, Memory: 4096}
	if s.Worker, err = New(opt, journal); err != nil {
		t.Fatal(err)
	}
	s.sendSync = func(sent clock.Millis, req proto.SyncRequest) {
		s.syncsInFlight++
		s.sent, s.sentTimes = append(s.sent, req), append(s.sentTimes, sent)
	}
	return s
}

// syncOnce advances the worker to now, expects a sync request, and answers it with tasks. It returns
// the request.
func (s *testWorker) syncOnce(now clock.Millis, tasks ...proto.AssignedTask) proto.SyncRequest {
	s.t.Helper()
	s.tick(now)
	if len(s.sentTimes) == 0 || s.sentTimes[len(s.sentTimes)-1] != now {
		s.t.Fatalf("no sync request sent at %v", now)
	}
	req := s.sent[len(s.sent)-1]
	s.handleSyncResult(now, syncResult{sentAt: now, reply: proto.SyncReply{Epoch: 1, Seq: req.Seq, Lease: lease.DefaultDuration, Tasks: tasks}})
	return req
}

// journalSteps returns the lines of the journal, each as "STEP END REASON".
func (s *testWorker) journalSteps() []string {
	s.t.Helper()
	lines, err := record.ReadDir(s.dir)
	if err != nil {
		s.t.Fatal(err)
	}
	var out []string
	for _, l := range lines {
		out = append(out, string(l.Task.Step)+" "+string(l.Task.End)+" "+l.Task.Reason)
	}
	return out
}

func (s *testWorker) wantJournal(want ...string) {
	s.t.Helper()
	got := s.journalSteps()
	if len(got) != len(want) {
		s.t.Fatalf("journal %q, want %q", got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			s.t.Errorf("journal line %d is %q, want %q", i, got[i], want[i])
		}
	}
}

// newAssigned returns an assignment of a batch task with a run time of 4 s.
func newAssigned(c proto.Command) proto.AssignedTask {
	base := model.Base{Name: "j", Count: 1, Size: model.Size{CPU: 1000, Memory: 512}}
	work := model.EncodeWork(model.Batch{Base: base, Run: "1", Time: 4 * clock.Second})
	return proto.AssignedTask{Task: model.TaskID{Job: "j/1"}, Attempt: 1, Command: c, Work: work}
}

// Guards against task starts and ends that are missing from the journal, and against a throttled task
// that runs at full speed.
func TestTaskRunsThrottledToItsEnd(t *testing.T) {
	s := newTestWorker(t, Options{UsageRatio: 2, RunTimeRatio: 1})
	s.syncOnce(1000, newAssigned(proto.CommandRun))
	req := s.syncOnce(3000, newAssigned(proto.CommandThrottle)) // 2 s of the run time of 4 s are completed
	if len(req.Held) != 1 || req.Held[0].Usage.CPU != 2000 {
		t.Fatalf("held %+v, want one task that uses 2000m", req.Held)
	}
	s.syncOnce(4000, newAssigned(proto.CommandCheckpoint))
	if req := s.syncOnce(5000, newAssigned(proto.CommandRun)); req.Held[0].CheckpointPercent != 62 || req.Held[0].Usage.CPU != 1000 {
		t.Fatalf("held %+v, want 62%% saved and 1000m in use", req.Held)
	}
	s.tick(5900)
	s.wantJournal("start  ", "throttle  ", "save  ", "throttle  ")
	if req := s.syncOnce(6000); len(req.Ends) != 1 || req.Ends[0].End != proto.EndDone || len(req.Held) != 0 {
		t.Errorf("ends %+v, held %+v, want one task done", req.Ends, req.Held)
	}
	s.wantJournal("start  ", "throttle  ", "save  ", "throttle  ", "end done ")
}

// Guards against a failed start that is recorded as a run or not reported to the leader.
func TestFailedStartIsReported(t *testing.T) {
	s := newTestWorker(t, Options{FailStarts: true})
	s.syncOnce(1000, newAssigned(proto.CommandRun))
	if req := s.syncOnce(2000); len(req.Ends) != 1 || req.Ends[0].End != proto.EndNoStart {
		t.Errorf("ends %+v, want one failed start", req.Ends)
	}
	s.wantJournal("end nostart stand-in fails every start")
}

// Guards against a task that outlives the lease of a worker that ignores commands: the report would
// then attribute a task that runs on two workers at once to the scheduler.
func TestWorkerIgnoringCommandsStopsAtLeaseEnd(t *testing.T) {
	s := newTestWorker(t, Options{IgnoreCommands: true, RunTimeRatio: 4})
	s.syncOnce(1000, newAssigned(proto.CommandRun))
	s.syncOnce(2000, newAssigned(proto.CommandStop))
	s.wantJournal("start  ")
	s.tick(2000 + lease.DefaultDuration - 1)
	s.wantJournal("start  ")
	s.tick(2000 + lease.DefaultDuration)
	s.wantJournal("start  ", "end stopped lease ended")
}

// Guards against a worker that exits before the leader has confirmed the outcomes of its tasks.
func TestLeaveReportsOutcomes(t *testing.T) {
	s := newTestWorker(t, Options{})
	s.syncOnce(1000, newAssigned(proto.CommandRun))
	s.leave(1100)
	s.wantJournal("start  ", "end stopped worker leaves")
	if req := s.syncOnce(2000); !req.Leaving || len(req.Ends) != 1 || s.unconfirmedCount != 1 {
		t.Errorf("request %+v, want one outcome of a leaving worker", req)
	}
}

// Guards against ratios outside the bounds, and against ratios that differ between two starts of a
// worker with the same seed.
func TestRatiosAreSeededAndBounded(t *testing.T) {
	low, high := 1.0, 1.0
	for i := range 500 {
		id := model.TaskID{Job: model.NewJobID(string(rune('a'+i%26))+string(rune('a'+i/26)), "1")}
		f := ratios{seed: 7}.forTask(id)
		if f != (ratios{seed: 7}).forTask(id) {
			t.Fatalf("task %v has two different ratios with the same seed", id)
		}
		low, high = min(low, f), max(high, f)
	}
	if low < 0.25 || high > 4 || low > 0.3 || high < 3.3 {
		t.Errorf("ratios range from %.2f to %.2f, want about 0.25 to 4", low, high)
	}
}
