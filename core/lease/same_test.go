package lease_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"vanillabridge/core/clock"
	"vanillabridge/core/lease"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Guards against an answer with TasksUnchanged set being applied to the tasks that the worker holds
// on receipt instead of those that the request reported. A task that was assigned and moved away in between
// would run on two workers.
func TestTasksUnchangedRefersToReportedTasks(t *testing.T) {
	w := lease.NewWorker(lease.Config{Worker: "w", Incarnation: 1})
	task := model.TaskID{Job: "a/1"}
	w.Step(0, lease.Tick{})
	w.Step(500, lease.Tick{})
	assign := proto.SyncReply{Epoch: 1, Seq: 1, Lease: lease.DefaultDuration, Tasks: []proto.AssignedTask{{Task: task, Attempt: 1, Command: proto.CommandRun}}}
	if got := w.Step(600, lease.Reply{SentAt: 0, Body: assign}); len(got) != 1 {
		t.Fatalf("late answer to the first request: outputs %v, want one start", got)
	}
	unchanged := proto.SyncReply{Epoch: 1, Seq: 2, Lease: lease.DefaultDuration, TasksUnchanged: true}
	got := w.Step(700, lease.Reply{SentAt: 500, Body: unchanged})
	want := []lease.Output{lease.Stop{Task: task, Attempt: 1, Reason: "not assigned"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("outputs for the answer to the second request (-want +got):\n%s", diff)
	}
}

// Guards against an answer with TasksUnchanged set leaving a command in force that differs from the
// reported one. A throttle that was applied after the report must be lifted.
func TestUnchangedTasksRestoreReportedCommand(t *testing.T) {
	w := lease.NewWorker(lease.Config{Worker: "w", Incarnation: 1})
	task := model.TaskID{Job: "a/1"}
	at := func(now clock.Millis, command proto.Command) proto.SyncReply {
		return proto.SyncReply{Epoch: 1, Seq: uint64(now / 500), Lease: lease.DefaultDuration, Tasks: []proto.AssignedTask{{Task: task, Attempt: 1, Command: command}}}
	}
	w.Step(500, lease.Tick{})
	w.Step(510, lease.Reply{SentAt: 500, Body: at(500, proto.CommandRun)})
	w.Step(1000, lease.Tick{})
	w.Step(1500, lease.Tick{})
	w.Step(1510, lease.Reply{SentAt: 1000, Body: at(1000, proto.CommandThrottle)})
	got := w.Step(1520, lease.Reply{SentAt: 1500, Body: proto.SyncReply{Epoch: 1, Seq: 3, Lease: lease.DefaultDuration, TasksUnchanged: true}})
	want := []lease.Output{lease.Resume{Task: task, Attempt: 1}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("outputs for the answer to the third request (-want +got):\n%s", diff)
	}
}
