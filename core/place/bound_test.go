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

// waitMost bounds the wait of work within the floor of its class while others flood the fleet.
const waitMost = 60 * clock.Second

// longest returns the longest wait of the mix's tasks in a class, started or not.
func (f *fleet) longest(u model.Urgency) (clock.Millis, model.JobID) {
	var most clock.Millis
	var id model.JobID
	for _, j := range f.jobs {
		if j.base.Urgency != u || j.state != "accepted" || j.base.Team == "flood" {
			continue
		}
		for _, t := range j.tasks {
			wait := t.first - t.accepted
			if t.first < 0 {
				wait = f.now - t.accepted
			}
			if wait > most {
				most, id = wait, j.id
			}
		}
	}
	return most, id
}

// Guards against a class that waits without bound while another one floods the fleet.
func TestBoundedWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		flood := rapid.SampledFrom(classes).Draw(t, "flood")
		s := place.New(place.Config{Seed: seed})
		f := newFleet(s, seed, 24, small)
		watch(t, f, s)
		m := newMix(f, seed, 0.3)
		f.run(20*clock.Second, m.arrive)
		m.flood[flood] = 4
		f.run(90*clock.Second, m.arrive)
		for _, u := range model.Urgencies() {
			if wait, id := f.longest(u); u != flood && wait > waitMost {
				t.Fatalf("%s waited %s", id, wait)
			}
		}
		if f.stats.overloads > 0 {
			t.Fatalf("%d worker steps over the true capacity", f.stats.overloads)
		}
	})
}

// Guards against a large gang or task that never starts because small tasks take every gap.
func TestLargeUnit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := place.New(place.Config{Seed: seed})
		f := newFleet(s, seed, 16, small)
		watch(t, f, s)
		f.kinds["gang"] = truth{use: 1, time: 1}
		n := 0
		arrive := func() {
			if f.now%clock.Second == 0 {
				n++
				u := model.Urgency(n % 3)
				f.kinds[u.String()] = truth{use: 1, time: rapid.Float64Range(0.25, 4).Draw(t, "time")}
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
		if j.state == "accepted" && j.tasks[0].first < 0 {
			t.Fatalf("the large unit has not started after 2 minutes")
		}
	})
}

// Guards against a class that takes all capacity beyond the floors of the others: the shares follow
// the floors, 50 to 30 here, while both classes wait.
func TestShares(t *testing.T) {
	f := newFleet(place.New(place.Config{Seed: 1}), 1, 16, small)
	for _, u := range classes[1:] {
		for i := range 16 {
			name := fmt.Sprintf("%s%d", u, i)
			f.kinds[name] = truth{use: 1, time: 1}
			work := batch(name, u, 500, 500)
			work.Time = 5 * clock.Second
			f.submit(model.NewJobID(name, "r"), work)
		}
	}
	f.run(90*clock.Second, nil)
	urgent, normal := f.stats.done[model.Urgent], f.stats.done[model.Normal]
	if part := 100 * normal / (urgent + normal); part < 34 || part > 42 {
		t.Errorf("normal work got %d%% of the ends, want about 38%%", part)
	}
}
