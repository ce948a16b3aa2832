package place_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
)

var classes = []model.Urgency{model.Low, model.Normal, model.Urgent}

// maxWait bounds the wait of a class that stays within its floor while another class floods the fleet.
const maxWait = 60 * clock.Second

// longestWait returns the longest wait of a task in a class, started or not, and its job. Jobs of the
// flood are left out.
func (f *fleet) longestWait(u model.Urgency) (clock.Millis, model.JobID) {
	var most clock.Millis
	var id model.JobID
	for _, j := range f.jobs {
		if j.base.Urgency != u || j.state != "accepted" || j.base.Team == "flood" {
			continue
		}
		for _, t := range j.tasks {
			wait := t.firstStart - t.acceptedAt
			if t.firstStart < 0 {
				wait = f.now - t.acceptedAt
			}
			if wait > most {
				most, id = wait, j.id
			}
		}
	}
	return most, id
}

// Guards against unbounded wait times of a class while another class floods the fleet.
func TestBoundedWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		flood := rapid.SampledFrom(classes).Draw(t, "flood")
		s := place.New(place.Config{Seed: seed})
		f := newFleet(s, seed, 24, smallWorker)
		checkDecisions(t, f, s)
		m := newMix(f, seed, 0.3)
		f.run(20*clock.Second, m.submitArrivals)
		m.floodRate[flood] = 4
		f.run(90*clock.Second, m.submitArrivals)
		for _, u := range model.Urgencies() {
			if wait, id := f.longestWait(u); u != flood && wait > maxWait {
				t.Fatalf("task of job %s waited %s", id, wait)
			}
		}
		if f.stats.overloadedSteps > 0 {
			t.Fatalf("%d worker steps with use above the worker's size", f.stats.overloadedSteps)
		}
	})
}

// Guards against starvation of a large gang or task by small tasks that use all capacity as it is
// freed.
func TestLargeUnitsAreNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := place.New(place.Config{Seed: seed})
		f := newFleet(s, seed, 16, smallWorker)
		checkDecisions(t, f, s)
		f.factors["gang"] = kindFactors{use: 1, time: 1}
		n := 0
		arrive := func() {
			if f.now%clock.Second == 0 {
				n++
				u := model.Urgency(n % 3)
				f.factors[u.String()] = kindFactors{use: 1, time: rapid.Float64Range(0.25, 4).Draw(t, "time")}
				f.submit(model.JobID(fmt.Sprintf("%s/%d", u, n)), model.Batch{Time: 5 * clock.Second, Base: model.Base{
					Name: u.String(), Team: "t", Count: 60, Urgency: u, Size: model.Size{CPU: 500, Memory: 500},
				}})
			}
		}
		f.run(20*clock.Second, arrive)
		base := model.Base{
			Name: "gang", Team: "g", Count: 16, Urgency: rapid.SampledFrom(classes).Draw(t, "class"),
			Size: model.Size{CPU: 3000, Memory: 6000},
		}
		var work model.Work = model.Gang{Time: 5 * clock.Second, Base: base}
		if rapid.Bool().Draw(t, "single") {
			work = model.Batch{Time: 5 * clock.Second, Base: base.WithCount(1)}
		}
		j := f.submit("gang/1", work)
		f.run(2*clock.Minute, arrive)
		if j.state == "accepted" && j.tasks[0].firstStart < 0 {
			t.Fatalf("gang or task of 3 cores has not started after 2 minutes")
		}
	})
}

// Guards against a class that takes all capacity above the floors of the other classes. While both
// classes wait, their shares must follow their floors, here 50 to 30.
func TestShares(t *testing.T) {
	f := newFleet(place.New(place.Config{Seed: 1}), 1, 16, smallWorker)
	for _, u := range classes[1:] {
		for i := range 16 {
			name := fmt.Sprintf("%s%d", u, i)
			f.factors[name] = kindFactors{use: 1, time: 1}
			work := newBatch(name, u, 500, 500)
			work.Time = 5 * clock.Second
			f.submit(model.NewJobID(name, "r"), work)
		}
	}
	f.run(90*clock.Second, nil)
	urgent, normal := f.stats.doneTasks[model.Urgent], f.stats.doneTasks[model.Normal]
	if part := 100 * normal / (urgent + normal); part < 34 || part > 42 {
		t.Errorf("%d%% of the finished tasks are of class normal, want about 38%%", part)
	}
}
