package place_test

import (
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
)

// killTasks ends all tasks of a worker without a report.
func (w *fakeWorker) killTasks() {
	for _, t := range w.tasks {
		t.running, t.received, t.outcome, t.doneMillis = false, false, nil, 0
	}
	w.tasks = nil
}

// restartScheduler replaces the scheduler by one that is restored from committed state.
func (f *fleet) restartScheduler(seed uint64) *place.Scheduler {
	s := place.New(place.Config{Seed: seed})
	f.policy = s
	for _, id := range f.sortedJobIDs() {
		j := f.jobs[id]
		e := place.Submit{Job: id, Work: j.work}
		for _, t := range j.tasks {
			if j.state != "accepted" || t.finished {
				continue
			}
			x := place.Task{Index: t.index, AcceptedAt: t.acceptedAt, Attempt: t.attempt, CheckpointPercent: t.checkpointPercent}
			if t.worker != nil {
				x.Assignment = &place.Assignment{Worker: t.worker.id, Incarnation: t.incarnation}
				if t.running {
					x.Assignment.StartedAt = t.startAt
				}
			}
			e.Tasks = append(e.Tasks, x)
		}
		for w := range j.startFailures {
			e.Failed = append(e.Failed, w)
		}
		if len(e.Tasks) > 0 {
			f.sendEvent(e)
		}
	}
	return s
}

// injectFault injects a random fault or cancellation, and returns the scheduler that is in use then.
func (f *fleet) injectFault(t *rapid.T, s *place.Scheduler) *place.Scheduler {
	w := f.workers[rapid.IntRange(0, len(f.workers)-1).Draw(t, "worker")]
	switch rapid.SampledFrom([]string{"lost", "restart", "leave", "cancel", "leader"}).Draw(t, "fault") {
	case "lost":
		w.killTasks()
		w.silent = true
		f.run(12*clock.Second, nil)
		f.sendEvent(place.WorkerLost{Worker: w.id})
		w.silent = false
		w.incarnation++
	case "restart":
		w.killTasks()
		w.incarnation++
	case "leave":
		w.leaving = true
		f.run(2*clock.Second, nil)
		w.killTasks()
		w.leaving, w.reportedLeaving = false, false
		w.incarnation++
	case "cancel":
		ids := f.sortedJobIDs()
		id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "job")]
		if f.jobs[id].state == "accepted" {
			f.endUnplacedTasks(f.jobs[id], "cancelled")
			f.sendEvent(place.Cancel{Job: id})
		}
	case "leader":
		s = f.restartScheduler(uint64(f.now))
		checkDecisions(t, f, s)
	}
	return s
}

// Guards against tasks that are lost or run twice after a worker is lost, restarts or leaves, after a
// job is cancelled, and after a leader change.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := place.New(place.Config{Seed: seed})
		f := newFleet(s, seed, rapid.IntRange(8, 16).Draw(t, "workers"), smallWorker)
		checkDecisions(t, f, s)
		m := newMix(f, seed, rapid.Float64Range(0.3, 1).Draw(t, "load"))
		for range 4 {
			f.run(8*clock.Second, m.submitArrivals)
			s = f.injectFault(t, s)
			if err := s.CheckInvariants(); err != "" {
				t.Fatalf("inconsistent state: %s", err)
			}
		}
		runUntilDone(t, f, 15*clock.Minute)
		f.run(clock.Second, nil)
		if waiting, placed := s.CountTasks(); waiting+placed != f.countServiceTasks() {
			t.Fatalf("%d tasks wait and %d are placed after all tasks but %d have ended", waiting, placed, f.countServiceTasks())
		}
	})
}

// countServiceTasks returns the number of tasks that never end.
func (f *fleet) countServiceTasks() int {
	n := 0
	for _, j := range f.jobs {
		if j.declaredTime == 0 && j.state == "accepted" {
			n += len(j.tasks)
		}
	}
	return n
}

// Guards against jobs that fail because of a worker that fails every task, and against a job that
// always fails and is retried for ever or gets workers suspended.
func TestFailingWorkersAndJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := place.New(place.Config{Seed: seed})
		f := newFleet(s, seed, 16, smallWorker)
		m := newMix(f, seed, rapid.Float64Range(0.2, 0.8).Draw(t, "load"))
		f.run(rapid.SampledFrom([]clock.Millis{0, 10 * clock.Second}).Draw(t, "healthy"), m.submitArrivals)
		for i := range rapid.IntRange(1, 3).Draw(t, "bad workers") {
			f.workers[5*i].failsStarts = true
		}
		checkDecisions(t, f, s)
		work := model.Batch{Base: model.Base{Name: "bad", Count: 4, Urgency: model.Normal, Size: model.Size{CPU: 200, Memory: 200}}, Time: clock.Second}
		bad := f.submit("bad/1", work)
		bad.failsStarts = true
		f.run(40*clock.Second, m.submitArrivals)
		runUntilDone(t, f, 15*clock.Minute)
		for _, j := range f.jobs {
			f.checkFailures(t, j)
		}
	})
}

func (f *fleet) checkFailures(t *rapid.T, j *fakeJob) {
	gang, _ := gangAndTime(j.work)
	good := 0
	for id, n := range j.startFailures {
		if !f.byID[id].failsStarts {
			good++
		}
		if f.byID[id].failsStarts && n > 1 && !gang {
			t.Fatalf("job %s failed %d times on bad worker %s", j.id, n, id)
		}
	}
	switch {
	case j.failsStarts && (j.state != "failed" || good < 3):
		t.Fatalf("state of the bad job is %s after failures on %d good workers, want failed after at least 3", j.state, good)
	case !j.failsStarts && j.state == "failed":
		t.Fatalf("state of good job %s is %s", j.id, j.state)
	}
}

// Guards against a task that is placed on one worker after another although each of them crashes when it starts the
// task, and against jobs beside it that are given up. The bound is the users': fewer than three starts after three
// crashes.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := place.New(place.Config{Seed: seed})
		f := newFleet(s, seed, 16, smallWorker)
		m := newMix(f, seed, rapid.Float64Range(0.2, 0.8).Draw(t, "load"))
		f.run(10*clock.Second, m.submitArrivals)
		checkDecisions(t, f, s)
		base := model.Base{Name: "bad", Count: rapid.IntRange(1, 6).Draw(t, "count"), Urgency: model.Normal, Size: model.Size{CPU: 200, Memory: 200}}
		var work model.Work = model.Batch{Base: base, Time: clock.Second}
		if rapid.Bool().Draw(t, "gang") {
			work = model.Gang{Base: base, Time: clock.Second}
		}
		bad := f.submit("bad/1", work)
		bad.crashesWorkers = true
		f.run(40*clock.Second, m.submitArrivals)
		runUntilDone(t, f, 15*clock.Minute)
		if bad.state != "failed" || bad.crashes > 5 {
			t.Fatalf("job with a task that crashes its workers is %s after %d crashes, want failed after at most 5", bad.state, bad.crashes)
		}
		for _, j := range f.jobs {
			if j != bad && j.state == "failed" {
				t.Fatalf("job %s has failed beside a task that crashes its workers", j.id)
			}
		}
	})
}
