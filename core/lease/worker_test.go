package lease_test

import (
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/lease"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

func countOutputs[T lease.Output](outs []lease.Output) int {
	n := 0
	for _, o := range outs {
		if _, ok := o.(T); ok {
			n++
		}
	}
	return n
}

func newReply(epoch model.Epoch, seq uint64, tasks ...proto.AssignedTask) proto.SyncReply {
	return proto.SyncReply{Epoch: epoch, Seq: seq, Lease: lease.DefaultDuration, Tasks: tasks}
}

var testTask = proto.AssignedTask{Task: model.TaskID{Job: "a/b"}, Attempt: 1, Command: proto.CommandRun}

// Guards against a worker that applies an outdated answer: a late one, one of an older epoch, or one
// to another than the latest request.
func TestWorkerDropsOutdatedAnswers(t *testing.T) {
	tests := []struct {
		name string
		at   clock.Millis
		body proto.SyncReply
		want int
	}{
		{"fresh", 1500, newReply(2, 3, testTask), 1},
		{"late", 3001, newReply(2, 3, testTask), 0},
		{"older epoch", 1500, newReply(1, 3, testTask), 0},
		{"older request", 1500, newReply(2, 2, testTask), 0},
		{"unknown request", 1500, newReply(2, 9, testTask), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := lease.NewWorker(lease.Config{Worker: "w", Incarnation: 1})
			for _, at := range []clock.Millis{0, 500, 1000} {
				w.Step(at, lease.Tick{})
			}
			w.Step(1200, lease.Reply{SentAt: 500, Body: newReply(2, 2)})
			outs := w.Step(tt.at, lease.Reply{SentAt: 1000, Body: tt.body})
			if got := countOutputs[lease.Start](outs); got != tt.want {
				t.Errorf("answer gave %d starts, want %d; outputs: %v", got, tt.want, outs)
			}
		})
	}
}

// Guards against a lease that is counted from the receipt of the answer instead of the sending of
// the request, and against a suspended worker that continues its tasks after the lease has ended.
func TestWorkerStopsAtLeaseEnd(t *testing.T) {
	w := lease.NewWorker(lease.Config{Worker: "w", Incarnation: 1})
	w.Step(1000, lease.Tick{})
	w.Step(2500, lease.Reply{SentAt: 1000, Body: newReply(1, 1, testTask)})
	if got, want := w.LeaseEnd(), 1000+lease.DefaultDuration; got != want {
		t.Fatalf("lease ends at %v, want %v", got, want)
	}
	if outs := w.Step(w.LeaseEnd()-1, lease.UsageMeasured{}); countOutputs[lease.Stop](outs) != 0 {
		t.Errorf("task stopped before the end of the lease: %v", outs)
	}
	if outs := w.Step(w.LeaseEnd()+5000, lease.Started{Task: testTask.Task, Attempt: 1}); countOutputs[lease.Stop](outs) != 1 {
		t.Errorf("task not stopped after the end of the lease: %v", outs)
	}
}

// Guards against an ended attempt that is started again by an answer computed earlier, and against
// the loss of a task's outcome before the leader has confirmed it.
func TestWorkerKeepsOutcome(t *testing.T) {
	w := lease.NewWorker(lease.Config{Worker: "w", Incarnation: 1})
	w.Step(1000, lease.Tick{})
	w.Step(1100, lease.Reply{SentAt: 1000, Body: newReply(1, 1, testTask)})
	w.Step(1200, lease.Finished{TaskEnd: proto.TaskEnd{Task: testTask.Task, Attempt: 1, End: proto.EndDone}})
	send, ok := w.Step(1300, lease.Tick{})[0].(lease.Send)
	if !ok || len(send.Request.Ends) != 1 {
		t.Fatalf("request after the end of the task carries no outcome: %v", send)
	}
	if outs := w.Step(1400, lease.Reply{SentAt: 1300, Body: newReply(1, 2, testTask)}); countOutputs[lease.Start](outs) != 0 {
		t.Errorf("ended attempt was started again: %v", outs)
	}
	w.Step(1900, lease.Tick{})
	body := newReply(1, 3)
	body.EndAcks = []proto.TaskEndAck{{Task: testTask.Task, Attempt: 1}}
	w.Step(2000, lease.Reply{SentAt: 1900, Body: body})
	if send, ok := w.Step(2500, lease.Tick{})[0].(lease.Send); !ok || len(send.Request.Ends) != 0 {
		t.Errorf("confirmed outcome is still sent: %v", send)
	}
}

// Guards against taking a delayed request from an earlier incarnation of a worker for a restart: the
// tasks that the current incarnation runs would be moved.
func TestTrackerIgnoresEarlierIncarnation(t *testing.T) {
	tracker := lease.NewTracker(5, lease.DefaultDuration)
	tracker.Restore(0, "w", 7)
	steps := []struct {
		req  proto.SyncRequest
		want lease.Verdict
	}{
		{proto.SyncRequest{Worker: "w", Incarnation: 6, Epoch: 4, Seq: 90}, lease.Unconfirmed},
		{proto.SyncRequest{Worker: "w", Incarnation: 6, Epoch: 4, Seq: 91}, lease.Unconfirmed},
		{proto.SyncRequest{Worker: "w", Incarnation: 7, Epoch: 4, Seq: 3}, lease.Current},
		{proto.SyncRequest{Worker: "w", Incarnation: 7, Epoch: 4, Seq: 2}, lease.Stale},
		{proto.SyncRequest{Worker: "w", Incarnation: 8, Epoch: 0, Seq: 1}, lease.Unconfirmed},
		{proto.SyncRequest{Worker: "w", Incarnation: 8, Epoch: 5, Seq: 2}, lease.Current},
		{proto.SyncRequest{Worker: "w", Incarnation: 7, Epoch: 5, Seq: 9}, lease.Stale},
		{proto.SyncRequest{Worker: "w", Incarnation: 8, Epoch: 6, Seq: 9}, lease.Stale},
	}
	for i, s := range steps {
		if got := tracker.Receive(1, s.req); got != s.want {
			t.Errorf("request %d: verdict %d, want %d", i, got, s.want)
		}
	}
	if expired := tracker.ExpireLeases(lease.ExpiryTimeout(lease.DefaultDuration) + 1); len(expired) != 0 {
		t.Errorf("workers %v expired before their lease ended", expired)
	}
	if expired := tracker.ExpireLeases(lease.ExpiryTimeout(lease.DefaultDuration) + 2); len(expired) != 1 {
		t.Errorf("expired workers %v after the lease, want one", expired)
	}
}
