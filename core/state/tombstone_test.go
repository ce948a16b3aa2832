package state_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/core/state"
)

func addRun(id model.JobID, at clock.Millis) state.AddJob {
	return state.AddJob{Job: id, Work: model.EncodeWork(model.Batch{Run: "r"}), TaskCount: 2, At: at}
}

// Guards against a run that starts although its cancellation was answered before it arrived, that starts again after a
// restart of the replicas, or that is cancelled where it should not be: before all replicas record cancellations, after a
// day, or as a service.
func TestLateRunIsCancelled(t *testing.T) {
	const day = 24 * clock.Hour
	for _, c := range []struct {
		name     string
		before   []state.Command
		run      state.AddJob
		want     proto.TaskPhase
		recorded bool
	}{
		{"in time", []state.Command{state.RecordTombstones{}, state.CancelJob{Job: "a/r", At: 10}}, addRun("a/r", 20), proto.TaskCancelled, true},
		{"another job", []state.Command{state.RecordTombstones{}, state.CancelJob{Job: "a/s", At: 10}}, addRun("a/r", 20), proto.TaskWaiting, true},
		{"not recorded", []state.Command{state.CancelJob{Job: "a/r", At: 10}, state.RecordTombstones{}}, addRun("a/r", 20), proto.TaskWaiting, false},
		{"a day later", []state.Command{state.RecordTombstones{}, state.CancelJob{Job: "a/r", At: 10}, state.Expire{At: 11 + day}}, addRun("a/r", 20+day), proto.TaskWaiting, true},
		{"nearly a day later", []state.Command{state.RecordTombstones{}, state.CancelJob{Job: "a/r", At: 10}, state.Expire{At: 10 + day}}, addRun("a/r", 20+day), proto.TaskCancelled, true},
		{"a service", []state.Command{state.RecordTombstones{}, state.CancelJob{Job: "a/z", At: 10}}, state.AddJob{Job: "a/z", Work: model.EncodeWork(model.Service{}), TaskCount: 2, At: 20}, proto.TaskWaiting, true},
	} {
		for restoreAt := range len(c.before) + 2 {
			zone := state.NewZone()
			var changes []state.Change
			for i, command := range append(slices.Clone(c.before), c.run) {
				if i == restoreAt {
					data, err := zone.Snapshot()
					if err != nil {
						t.Fatal(err)
					}
					if zone = state.NewZone(); zone.Restore(data) != nil {
						t.Fatal("snapshot is not read")
					}
				}
				var result state.Result
				result, changes = zone.Apply(command)
				if _, cancel := command.(state.CancelJob); cancel && (result.Changed != c.recorded || result.Reason == "") {
					t.Errorf("%s: cancellation has result %+v, recorded %t", c.name, result, c.recorded)
				}
			}
			job, _ := zone.Job(c.run.Job)
			for _, task := range job.Tasks {
				if task.Phase != c.want {
					t.Errorf("%s, restored before command %d: task is %s, want %s", c.name, restoreAt, task.Phase, c.want)
				}
			}
			want := []state.Change{state.JobAdded{Job: c.run.Job}}
			if c.want == proto.TaskCancelled {
				want = []state.Change{state.LateJobCancelled{Job: c.run.Job, Age: c.run.At - 10}}
			}
			if diff := cmp.Diff(want, changes); diff != "" {
				t.Errorf("%s: changes (-want +got):\n%s", c.name, diff)
			}
		}
	}
}

// Guards against cancellations of unknown jobs that take room without bound, and against the newest being dropped.
func TestTombstonesOfZoneAreBounded(t *testing.T) {
	const limit = 65_536
	zone := state.NewZone()
	zone.Apply(state.RecordTombstones{})
	dropped := 0
	for i := range limit + 3 {
		_, changes := zone.Apply(state.CancelJob{Job: model.JobID(fmt.Sprint(i)), At: 10})
		for _, c := range changes {
			dropped += c.(state.TombstonesDropped).Count
		}
	}
	if dropped != 3 {
		t.Errorf("%d tombstones were dropped, want 3", dropped)
	}
	for id, want := range map[model.JobID]bool{"2": false, "3": true, "65538": true} {
		zone.Apply(addRun(id, 20))
		if job, _ := zone.Job(id); job.Cancelled != want {
			t.Errorf("run %s is cancelled: %t, want %t", id, job.Cancelled, want)
		}
	}
}

// Guards against an answer to a cancellation that a later arrival of the run makes untrue, through any order of requests
// and restarts.
func TestAnsweredCancellationsOfRunsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := state.NewZone()
		zone.Apply(state.RecordTombstones{})
		cancelled := map[model.JobID]bool{}
		now := clock.Millis(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += clock.Millis(rapid.Int64Range(0, 30_000).Draw(t, "pause"))
			id := model.JobID(rapid.SampledFrom([]string{"a/r", "b/r", "c/r"}).Draw(t, "job"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				zone.Apply(addRun(id, now))
			case 1:
				zone.Apply(state.CancelJob{Job: id, Reason: "asked", At: now})
				cancelled[id] = true
			case 2:
				zone.Apply(state.Expire{At: now})
			default:
				zone = restoreZone(t, zone)
			}
			zone.ForEachJob(func(j *state.Job) {
				if cancelled[j.ID] != j.Cancelled {
					t.Fatalf("job %s is cancelled: %t, its cancellation was answered: %t", j.ID, j.Cancelled, cancelled[j.ID])
				}
			})
		}
	})
}
