package place_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
)

var (
	smallWorker = model.Size{CPU: 16_000, Memory: 32_768}
	largeWorker = model.Size{CPU: 32_000, Memory: 65_536}
)

// checkDecisions makes the fleet fail the test when a decision breaks an invariant.
func checkDecisions(t *rapid.T, f *fleet, s *place.Scheduler) {
	f.checkDecision = func(d place.Decision) {
		if o, ok := d.(place.Order); ok && strings.HasPrefix(o.Reason, "preempted") {
			f.checkPreemption(t, f.taskByID(o.Task))
		}
		a, ok := d.(place.Assign)
		if !ok {
			return
		}
		for _, p := range a.Placements {
			task, w := f.taskByID(p.Task), f.byID[p.Worker]
			charged, usable := s.WorkerCharge(p.Worker)
			switch {
			case !charged.FitsIn(usable):
				t.Fatalf("%s is assigned to worker %s, whose charges are %s of %s usable", p.Task, p.Worker, charged, usable)
			case task.worker != nil || task.finished:
				t.Fatalf("%s is assigned while it is on a worker or after its end", p.Task)
			case p.Attempt <= task.attempt:
				t.Fatalf("%s is assigned as attempt %d after attempt %d", p.Task, p.Attempt, task.attempt)
			case w.reportedLeaving:
				t.Fatalf("%s is assigned to leaving worker %s", p.Task, w.id)
			}
		}
		checkWholeGang(t, f, a)
	}
}

// checkPreemption fails the test if an urgent task is preempted, or a task twice within a minute.
func (f *fleet) checkPreemption(t *rapid.T, x *fakeTask) {
	if x.job.base.Urgency == model.Urgent {
		t.Fatalf("urgent job %s is preempted", x.job.id)
	}
	// A new leader may repeat the order for the same attempt, which has no further effect.
	if x.preemptedAt != 0 && x.preemptedAttempt != x.attempt && f.now-x.preemptedAt < clock.Minute {
		t.Fatalf("%s#%d is preempted again after %s", x.job.id, x.index, f.now-x.preemptedAt)
	}
	x.preemptedAt, x.preemptedAttempt = f.now, x.attempt
}

func checkWholeGang(t *rapid.T, f *fleet, a place.Assign) {
	j := f.jobs[a.Placements[0].Task.Job]
	if gang, _ := gangAndTime(j.work); !gang {
		return
	}
	open := 0
	for _, x := range j.tasks {
		if !x.finished {
			open++
		}
	}
	if open != len(a.Placements) {
		t.Fatalf("gang %s: %d of %d tasks are assigned", j.id, len(a.Placements), open)
	}
}

// runUntilDone runs the fleet until all accepted tasks that can end have ended, and fails the test if
// that takes longer than limit.
func runUntilDone(t *rapid.T, f *fleet, limit clock.Millis) {
	for until := f.now + limit; f.now < until; f.run(5*clock.Second, nil) {
		if f.describeUnfinished() == "" {
			return
		}
	}
	t.Fatalf("unfinished task after %s: %s", limit, f.describeUnfinished())
}

// Guards against workers that are overloaded by tasks with up to four times their declared use,
// against lost tasks, partly started gangs, and inconsistent sums in the scheduler.
func TestNoOverloadOrLostTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := place.New(place.Config{Seed: seed})
		f := newFleet(s, seed, rapid.IntRange(8, 24).Draw(t, "workers"), smallWorker)
		checkDecisions(t, f, s)
		m := newMix(f, seed, rapid.Float64Range(0.3, 1.3).Draw(t, "load"))
		f.run(40*clock.Second, m.submitArrivals)
		runUntilDone(t, f, 10*clock.Minute)
		if f.stats.overloadedSteps > 0 {
			t.Fatalf("%d worker steps with use above the worker's size", f.stats.overloadedSteps)
		}
		if err := s.CheckInvariants(); err != "" {
			t.Fatalf("inconsistent state: %s", err)
		}
	})
}

// describeUnfinished describes an accepted task that has not ended, or returns "". Services are left
// out.
func (f *fleet) describeUnfinished() string {
	for _, j := range f.jobs {
		if j.state != "accepted" || j.declaredTime == 0 {
			continue
		}
		for _, x := range j.tasks {
			if !x.finished {
				return fmt.Sprintf("%s#%d attempt %d, on a worker: %v", j.id, x.index, x.attempt, x.worker != nil)
			}
		}
	}
	return ""
}
