package state_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/proto"
	"vanillabridge/core/state"
)

// genCommand generates commands over a small set of identifiers, so that many of them concern
// the same object.
func genCommand(now clock.Millis) *rapid.Generator[state.Command] {
	job := rapid.Custom(func(t *rapid.T) model.JobID {
		return model.NewJobID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), "r")
	})
	task := rapid.Custom(func(t *rapid.T) model.TaskID {
		return model.TaskID{Job: job.Draw(t, "job"), Index: rapid.IntRange(-1, 3).Draw(t, "index")}
	})
	attempt := rapid.IntRange(0, 4)
	key := rapid.Custom(func(t *rapid.T) once.Key {
		return once.Key{Caller: "c", Key: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")}
	})
	token := rapid.Custom(func(t *rapid.T) once.Token {
		return once.Token{Number: rapid.Uint64Range(1, 3).Draw(t, "number")}
	})
	return rapid.Custom(func(t *rapid.T) state.Command {
		switch rapid.IntRange(0, 12).Draw(t, "kind") {
		case 0:
			return state.AdoptConfig{Version: rapid.Uint64Range(0, 5).Draw(t, "version"), At: now}
		case 1:
			work := model.EncodeWork(model.Batch{Run: "r"})
			if rapid.Bool().Draw(t, "service") {
				work = model.EncodeWork(model.Service{})
			}
			return state.AddJob{Job: job.Draw(t, "job"), Work: work, TaskCount: rapid.IntRange(0, 3).Draw(t, "count"), At: now}
		case 2:
			return state.CancelJob{Job: job.Draw(t, "job"), Reason: "asked", At: now}
		case 3:
			return state.SetJobReason{Job: job.Draw(t, "job"), Reason: rapid.SampledFrom([]string{"", "too large"}).Draw(t, "reason")}
		case 4:
			return state.AssignTasks{At: now, Items: []state.Assignment{{
				Task: task.Draw(t, "task"), Attempt: attempt.Draw(t, "attempt"),
				Worker: model.WorkerID(rapid.SampledFrom([]string{"v", "w"}).Draw(t, "worker")),
			}}}
		case 5:
			return state.StartTasks{At: now, Items: []state.TaskStart{{Task: task.Draw(t, "task"), Attempt: attempt.Draw(t, "attempt")}}}
		case 6:
			next := rapid.SampledFrom([]proto.TaskPhase{proto.TaskWaiting, proto.TaskDone, proto.TaskFailed}).Draw(t, "next")
			return state.FinishTasks{At: now, Items: []state.TaskEnd{{Task: task.Draw(t, "task"), Attempt: attempt.Draw(t, "attempt"), NextPhase: next}}}
		case 7:
			return state.OpenRecord{Key: key.Draw(t, "key"), Token: token.Draw(t, "token"), TimeLeft: 2 * clock.Second, At: now}
		case 8:
			return state.CloseRecord{Key: key.Draw(t, "key"), Token: token.Draw(t, "token"), Answer: once.Answer{Status: 200}, At: now}
		case 10:
			return state.Batch{Commands: []state.Command{
				state.Expire{At: now, KeepJobs: []model.JobID{"a/r"}},
				state.CancelJob{Job: job.Draw(t, "job"), At: now, Failed: true},
			}}
		case 9:
			return state.DropRecord{Key: key.Draw(t, "key"), Token: token.Draw(t, "token"), At: now}
		case 12:
			return state.RecordTombstones{}
		default:
			return state.Expire{At: now}
		}
	})
}

// Guards against replicas that diverge: after the same commands, two replicas must encode the
// same snapshot, although the second one gets each command through the codec and is restored
// from a snapshot at random points.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica1, replica2 := state.NewZone(), state.NewZone()
		now := clock.Millis(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.Int64Range(0, 5000).Draw(t, "pause"))
			c := genCommand(now).Draw(t, "command")
			got1, _ := replica1.Apply(c)
			got2, _ := replica2.Apply(encodeAndDecode(t, c))
			if diff := cmp.Diff(got1, got2); diff != "" {
				t.Fatalf("results of %#v differ (-replica1 +replica2):\n%s", c, diff)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				replica2 = restoreZone(t, replica2)
			}
		}
		if diff := cmp.Diff(snapshot(t, replica1), snapshot(t, replica2)); diff != "" {
			t.Fatalf("snapshots differ (-replica1 +replica2):\n%s", diff)
		}
	})
}

// Guards against faults that would run a task twice or lose it: an attempt number assigned
// twice, an assignment of a task that is still on a worker, and an ended batch task that
// changes its phase. Also guards against a configuration version that decreases.
func TestZoneInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := state.NewZone()
		assignedAttempts := map[string]bool{}
		now, version := clock.Millis(0), uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += clock.Millis(rapid.Int64Range(0, 500).Draw(t, "pause"))
			c := genCommand(now).Draw(t, "command")
			before := allTasks(zone)
			_, changes := zone.Apply(c)
			checkAssignments(t, changes, before, assignedAttempts)
			checkEndedTasks(t, zone, before)
			v, _ := zone.Config()
			if v < version {
				t.Fatalf("version decreased from %d to %d", version, v)
			}
			version = v
		}
	})
}

func checkAssignments(t *rapid.T, changes []state.Change, before map[model.TaskID]state.Task, assignedAttempts map[string]bool) {
	for _, change := range changes {
		assigned, ok := change.(state.TaskAssigned)
		if !ok {
			continue
		}
		a := assigned.Assignment
		if phase := before[a.Task].Phase; phase != proto.TaskWaiting {
			t.Fatalf("%s was assigned in phase %s", a.Task, phase)
		}
		name := fmt.Sprintf("%s attempt %d", a.Task, a.Attempt)
		if assignedAttempts[name] {
			t.Fatalf("%s was assigned twice", name)
		}
		assignedAttempts[name] = true
	}
}

func checkEndedTasks(t *rapid.T, zone *state.Zone, before map[model.TaskID]state.Task) {
	for id, previous := range before {
		job, ok := zone.Job(id.Job)
		if !ok || job.Work.Service != nil {
			continue
		}
		if got, _ := zone.Task(id); previous.IsEnded() && got.Phase != previous.Phase {
			t.Fatalf("ended task %s went from phase %s to %s", id, previous.Phase, got.Phase)
		}
	}
}

// Guards against a second run of a non-idempotent request. After a request got RecordFresh,
// another one may get it only if the record was dropped because no byte was sent, or if its
// retention period has ended.
func TestRecordAllowsOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := state.NewZone()
		key := once.Key{Caller: "c", Key: "k"}
		runner := once.Token{}
		now := clock.Millis(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.Int64Range(0, 3000).Draw(t, "pause"))
			token := once.Token{Number: rapid.Uint64Range(1, 3).Draw(t, "token")}
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				got, _ := zone.Apply(state.OpenRecord{Key: key, Token: token, TimeLeft: 2000, At: now})
				if got.Record == state.RecordFresh && runner != (once.Token{}) && runner != token {
					t.Fatalf("request %v may be dispatched although %v was", token, runner)
				}
				if got.Record == state.RecordFresh {
					runner = token
				}
			case 2:
				zone.Apply(state.CloseRecord{Key: key, Token: token, At: now})
			case 3:
				if got, _ := zone.Apply(state.DropRecord{Key: key, Token: token, At: now}); got.Changed {
					runner = once.Token{}
				}
			default:
				zone.Apply(state.Expire{At: now})
			}
		}
	})
}

func allTasks(zone *state.Zone) map[model.TaskID]state.Task {
	all := map[model.TaskID]state.Task{}
	zone.ForEachJob(func(j *state.Job) {
		for i, task := range j.Tasks {
			all[model.TaskID{Job: j.ID, Index: i}] = task
		}
	})
	return all
}

func encodeAndDecode(t *rapid.T, c state.Command) state.Command {
	data, err := state.EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := state.DecodeCommand(data)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

func snapshot(t *rapid.T, zone *state.Zone) []byte {
	data, err := zone.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func restoreZone(t *rapid.T, zone *state.Zone) *state.Zone {
	fresh := state.NewZone()
	if err := fresh.Restore(snapshot(t, zone)); err != nil {
		t.Fatal(err)
	}
	return fresh
}
