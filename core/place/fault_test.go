package place_test

import (
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
)

// kill ends all processes of a worker without a word.
func (w *fakeWorker) kill() {
	for _, t := range w.tasks {
		t.runs, t.heard, t.end, t.progress = false, false, nil, 0
	}
	w.tasks = nil
}

// rebuild replaces the scheduler by one that is restored from what the caller has committed.
func (f *fleet) rebuild(seed uint64) *place.Scheduler {
	s := place.New(place.Config{Seed: seed})
	f.policy = s
	for _, id := range f.sortedJobs() {
		j := f.jobs[id]
		e := place.Submit{Job: id, Work: j.work}
		for _, t := range j.tasks {
			if j.state != "accepted" || t.over {
				continue
			}
			x := place.Task{Index: t.index, Accepted: t.accepted, Attempt: t.attempt, Saved: t.saved}
			if t.worker != nil {
				x.Placed = &place.Placed{Worker: t.worker.id, Incarnation: t.inc}
				if t.runs {
					x.Placed.Started = t.begins
				}
			}
			e.Tasks = append(e.Tasks, x)
		}
		for w := range j.on {
			e.Failed = append(e.Failed, w)
		}
		if len(e.Tasks) > 0 {
			f.feed(e)
		}
	}
	return s
}

// disturb does one random thing to the fleet.
func (f *fleet) disturb(t *rapid.T, s *place.Scheduler) *place.Scheduler {
	w := f.workers[rapid.IntRange(0, len(f.workers)-1).Draw(t, "worker")]
	switch rapid.SampledFrom([]string{"lost", "restart", "leave", "cancel", "leader"}).Draw(t, "fault") {
	case "lost":
		w.kill()
		w.silent = true
		f.run(12*clock.Second, nil)
		f.feed(place.WorkerGone{Worker: w.id})
		w.silent = false
		w.inc++
	case "restart":
		w.kill()
		w.inc++
	case "leave":
		w.leaving = true
		f.run(2*clock.Second, nil)
		w.kill()
		w.leaving, w.reported = false, false
		w.inc++
	case "cancel":
		ids := f.sortedJobs()
		id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "job")]
		if f.jobs[id].state == "accepted" {
			f.drop(f.jobs[id], "cancelled")
			f.feed(place.Cancel{Job: id})
		}
	case "leader":
		s = f.rebuild(uint64(f.now))
		watch(t, f, s)
	}
	return s
}

// Guards against lost or doubled tasks after the loss, restart and leaving of workers, the
// cancellation of jobs and a change of leader.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := place.New(place.Config{Seed: seed})
		f := newFleet(s, seed, rapid.IntRange(8, 16).Draw(t, "workers"), small)
		watch(t, f, s)
		m := newMix(f, seed, rapid.Float64Range(0.3, 1).Draw(t, "load"))
		for range 4 {
			f.run(8*clock.Second, m.arrive)
			s = f.disturb(t, s)
			if err := s.CheckTables(); err != "" {
				t.Fatalf("tables: %s", err)
			}
		}
		drain(t, f, 15*clock.Minute)
		f.run(clock.Second, nil)
		if waiting, placed := s.Tasks(); waiting+placed != f.services() {
			t.Fatalf("%d tasks wait and %d are placed after the end of all but %d", waiting, placed, f.services())
		}
	})
}

// services returns the number of tasks that never end.
func (f *fleet) services() int {
	n := 0
	for _, j := range f.jobs {
		if j.time == 0 && j.state == "accepted" {
			n += len(j.tasks)
		}
	}
	return n
}

// Guards against a worker that fails all it starts and takes down the jobs of others, and against
// a bad job that is retried for ever or blamed on workers.
func TestBadWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := place.New(place.Config{Seed: seed})
		f := newFleet(s, seed, 16, small)
		m := newMix(f, seed, rapid.Float64Range(0.2, 0.8).Draw(t, "load"))
		f.run(rapid.SampledFrom([]clock.Millis{0, 10 * clock.Second}).Draw(t, "healthy"), m.arrive)
		for i := range rapid.IntRange(1, 3).Draw(t, "bad workers") {
			f.workers[5*i].bad = true
		}
		watch(t, f, s)
		work := model.Batch{Base: model.Base{Name: "bad", Count: 4, Urgency: model.Normal, Size: model.Size{CPU: 200, Memory: 200}}, Time: clock.Second}
		bad := f.submit("bad/1", work)
		bad.bad = true
		f.run(40*clock.Second, m.arrive)
		drain(t, f, 15*clock.Minute)
		for _, j := range f.jobs {
			f.checkFailures(t, j)
		}
	})
}

func (f *fleet) checkFailures(t *rapid.T, j *fakeJob) {
	gang, _ := timeOf(j.work)
	good := 0
	for id, n := range j.on {
		if !f.byID[id].bad {
			good++
		}
		if f.byID[id].bad && n > 1 && !gang {
			t.Fatalf("job %s failed %d times on bad worker %s", j.id, n, id)
		}
	}
	switch {
	case j.bad && (j.state != "failed" || good < 3):
		t.Fatalf("bad job is %s after failures on %d good workers", j.state, good)
	case !j.bad && j.state == "failed":
		t.Fatalf("good job %s is %s", j.id, j.state)
	}
}
