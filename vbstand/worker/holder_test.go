package worker

import (
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

var first = model.TaskID{Job: "a/1"}

func reply(epoch model.Epoch, seq uint64, tasks ...proto.Assigned) proto.SyncReply {
	return proto.SyncReply{Epoch: epoch, Seq: seq, Lease: 10 * clock.Second, Tasks: tasks}
}

func run(attempt int) proto.Assigned {
	return proto.Assigned{Task: first, Attempt: attempt, Command: proto.CommandRun}
}

// Guards against late answers and answers of an older leader that start a task, which would
// then run in two places.
func TestHolderDropsOldAnswers(t *testing.T) {
	h := newHolder()
	if got := h.reply(0, maxAge+1, reply(1, 1, run(1))); len(got) != 0 {
		t.Errorf("late answer led to %v", got)
	}
	h.reply(0, 0, reply(5, 1))
	if got := h.reply(0, 0, reply(4, 2, run(1))); len(got) != 0 {
		t.Errorf("answer of an older epoch led to %v", got)
	}
	if got := h.reply(0, 0, reply(5, 1, run(1))); len(got) != 0 {
		t.Errorf("repeated answer led to %v", got)
	}
	if got := h.reply(0, 0, reply(5, 2, run(1))); len(got) != 1 || got[0].command != proto.CommandRun {
		t.Errorf("answer in time led to %v, want one start", got)
	}
}

// Guards against a worker that goes on after its lease, or starts an ended attempt again.
func TestHolderEndsWithItsLease(t *testing.T) {
	h := newHolder()
	h.reply(0, 0, reply(1, 1, run(1)))
	h.start(proto.Held{Task: first, Attempt: 1})
	if got := h.tick(10*clock.Second - 1); len(got) != 0 {
		t.Errorf("within the lease: %v", got)
	}
	got := h.tick(10 * clock.Second)
	if len(got) != 1 || got[0].command != proto.CommandStop {
		t.Fatalf("at the end of the lease: %v, want one stop", got)
	}
	h.end(proto.TaskEnd{Task: first, Attempt: 1, End: proto.EndStopped})
	if got := h.reply(10*clock.Second, 10*clock.Second, reply(1, 2, run(1))); len(got) != 0 {
		t.Errorf("ended attempt: %v", got)
	}
	if req := h.request(proto.SyncRequest{}); len(req.Ends) != 1 || len(req.Held) != 0 {
		t.Errorf("request has %d ends and %d held, want 1 and 0", len(req.Ends), len(req.Held))
	}
}

// Guards against a task that runs on although the leader no longer assigns it.
func TestHolderStopsUnnamedTasks(t *testing.T) {
	h := newHolder()
	h.reply(0, 0, reply(1, 1, run(1)))
	h.start(proto.Held{Task: first, Attempt: 1})
	if got := h.reply(0, 0, reply(1, 2)); len(got) != 1 || got[0].command != proto.CommandStop {
		t.Errorf("unnamed task: %v, want one stop", got)
	}
	if got := h.reply(0, 0, reply(1, 3, run(2))); len(got) != 1 || got[0].command != proto.CommandStop {
		t.Errorf("newer attempt: %v, want a stop of the older one first", got)
	}
}

// Guards against factors beyond the bound, or that differ between two starts of a stand-in.
func TestFactorsAreSeededAndBounded(t *testing.T) {
	low, high := 1.0, 1.0
	for i := range 500 {
		id := model.TaskID{Job: model.NewJobID(string(rune('a'+i%26))+string(rune('a'+i/26)), "1")}
		f := factors{seed: 7}.of(id)
		if f != (factors{seed: 7}).of(id) {
			t.Fatalf("%v: two factors", id)
		}
		low, high = min(low, f), max(high, f)
	}
	if low < 0.25 || high > 4 || low > 0.3 || high < 3.3 {
		t.Errorf("factors range from %.2f to %.2f, want about 0.25 to 4", low, high)
	}
}
