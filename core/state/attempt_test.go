package state_test

import (
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/core/state"
)

// Guards against assigning an attempt number of a task twice: a delayed message about the
// first attempt would then end or confirm the second.
func TestAttemptsNeverRepeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := state.NewZone()
		job := state.ServiceJobID("a", "z")
		service := model.EncodeWork(model.Service{})
		zone.Apply(state.AddJob{Job: job, Work: service, TaskCount: 1})
		id := model.TaskID{Job: job}
		assignedAttempts := map[int]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			attempt := rapid.IntRange(0, 3).Draw(t, "attempt")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				got, _ := zone.Apply(state.AssignTasks{Items: []state.Assignment{{Task: id, Attempt: attempt, Worker: "w"}}})
				if !got.ItemApplied[0] {
					continue
				}
				if assignedAttempts[attempt] {
					t.Fatalf("attempt %d was assigned twice", attempt)
				}
				assignedAttempts[attempt] = true
			case 2:
				zone.Apply(state.FinishTasks{Items: []state.TaskEnd{{Task: id, Attempt: attempt, NextPhase: proto.TaskWaiting}}})
			default:
				zone.Apply(state.AddJob{Job: job, Work: service, TaskCount: rapid.IntRange(0, 1).Draw(t, "count")})
			}
		}
	})
}
