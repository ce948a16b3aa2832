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
	small = model.Size{CPU: 16_000, Memory: 32_768}
	large = model.Size{CPU: 32_000, Memory: 65_536}
)

// watch fails the test when a decision breaks a rule that holds at all times.
func watch(t *rapid.T, f *fleet, s *place.Scheduler) {
	f.check = func(d place.Decision) {
		if o, ok := d.(place.Order); ok && strings.HasPrefix(o.Reason, "preempted") {
			f.checkVictim(t, f.task(o.Task))
		}
		a, ok := d.(place.Assign)
		if !ok {
			return
		}
		for _, p := range a.Placements {
			task, w := f.task(p.Task), f.byID[p.Worker]
			charged, most := s.Charge(p.Worker)
			switch {
			case !charged.Fits(most):
				t.Fatalf("%s: worker %s is charged %s of %s", p.Task, p.Worker, charged, most)
			case task.worker != nil || task.over:
				t.Fatalf("%s is assigned while it runs or after its end", p.Task)
			case p.Attempt <= task.attempt:
				t.Fatalf("%s: attempt %d after %d", p.Task, p.Attempt, task.attempt)
			case w.reported:
				t.Fatalf("%s is assigned to leaving worker %s", p.Task, w.id)
			}
		}
		wholeGang(t, f, a)
	}
}

// checkVictim fails the test when urgent work or the same task within a minute is preempted.
func (f *fleet) checkVictim(t *rapid.T, x *fakeTask) {
	if x.job.base.Urgency == model.Urgent {
		t.Fatalf("%s is preempted, which is urgent itself", x.job.id)
	}
	// A new leader may repeat the order for the same attempt; that stops nothing more.
	if x.preempted != 0 && x.victim != x.attempt && f.now-x.preempted < clock.Minute {
		t.Fatalf("%s#%d is preempted again after %s", x.job.id, x.index, f.now-x.preempted)
	}
	x.preempted, x.victim = f.now, x.attempt
}

func wholeGang(t *rapid.T, f *fleet, a place.Assign) {
	j := f.jobs[a.Placements[0].Task.Job]
	if gang, _ := timeOf(j.work); !gang {
		return
	}
	open := 0
	for _, x := range j.tasks {
		if !x.over {
			open++
		}
	}
	if open != len(a.Placements) {
		t.Fatalf("gang %s: %d of %d tasks are assigned", j.id, len(a.Placements), open)
	}
}

// drain lets the fleet run until all accepted tasks have ended.
func drain(t *rapid.T, f *fleet, most clock.Millis) {
	for until := f.now + most; f.now < until; f.run(5*clock.Second, nil) {
		if f.unfinished() == "" {
			return
		}
	}
	t.Fatalf("not done after %s: %s", most, f.unfinished())
}

// Guards against overloads by tasks that use up to four times what they declare, against lost
// tasks, split gangs, and tables that disagree with each other.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := place.New(place.Config{Seed: seed})
		f := newFleet(s, seed, rapid.IntRange(8, 24).Draw(t, "workers"), small)
		watch(t, f, s)
		m := newMix(f, seed, rapid.Float64Range(0.3, 1.3).Draw(t, "load"))
		f.run(40*clock.Second, m.arrive)
		drain(t, f, 10*clock.Minute)
		if f.stats.overloads > 0 {
			t.Fatalf("%d worker steps over the true capacity", f.stats.overloads)
		}
		if err := s.CheckTables(); err != "" {
			t.Fatalf("tables: %s", err)
		}
	})
}

// unfinished names an accepted task that has not ended, or returns "".
func (f *fleet) unfinished() string {
	for _, j := range f.jobs {
		if j.state != "accepted" || j.time == 0 {
			continue
		}
		for _, x := range j.tasks {
			if !x.over {
				return fmt.Sprintf("%s#%d attempt %d on %v", j.id, x.index, x.attempt, x.worker != nil)
			}
		}
	}
	return ""
}
