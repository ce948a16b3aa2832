package place_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/proto"
)

// harness sends single events to a scheduler.
type harness struct {
	*place.Scheduler
	now clock.Millis
}

func newHarness(workers ...string) *harness {
	d := &harness{Scheduler: place.New(place.Config{Zone: "z", Seed: 1}), now: 1_000_000}
	for _, w := range workers {
		d.report(w)
	}
	return d
}

func (d *harness) send(e place.Event) []place.Decision { return d.Step(d.now, e) }

func (d *harness) report(w string, held ...proto.HeldTask) []place.Decision {
	return d.send(place.WorkerReport{Worker: model.WorkerID(w), Incarnation: 1, Rack: model.Rack("r" + w), Size: smallWorker, Held: held})
}

func (d *harness) sendAfter(t clock.Millis, e place.Event) []place.Decision {
	d.now += t
	return d.send(e)
}

func newBatch(name string, u model.Urgency, count int, cpu model.Millicores) model.Batch {
	return model.Batch{Base: model.Base{Name: name, Team: "t", Count: count, Urgency: u, Size: model.Size{CPU: cpu, Memory: 100}}, Time: clock.Minute}
}

func (d *harness) submit(id model.JobID, w model.Work) []place.Decision {
	e := place.Submit{Job: id, Work: w}
	for i := range w.Common().Count {
		e.Tasks = append(e.Tasks, place.Task{Index: i, AcceptedAt: d.now})
	}
	return d.send(e)
}

// restoreRunning restores a job whose tasks all run on one worker.
func (d *harness) restoreRunning(id model.JobID, w model.Work, on string) {
	e := place.Submit{Job: id, Work: w}
	for i := range w.Common().Count {
		e.Tasks = append(e.Tasks, place.Task{Index: i, AcceptedAt: d.now, Attempt: 1, Assignment: &place.Assignment{Worker: model.WorkerID(on), Incarnation: 1, StartedAt: d.now}})
	}
	d.send(e)
}

func heldRunning(job string, index int, cpu model.Millicores) proto.HeldTask {
	return proto.HeldTask{Task: model.TaskID{Job: model.JobID(job), Index: index}, Attempt: 1, Phase: proto.PhaseRunning, Usage: model.Size{CPU: cpu, Memory: 100}, CheckpointPercent: 40}
}

func summarize(out []place.Decision) []string {
	var list []string
	for _, d := range out {
		switch d := d.(type) {
		case place.Order:
			list = append(list, fmt.Sprintf("%s %s", d.Command, d.Task))
		case place.Assign:
			for _, p := range d.Placements {
				list = append(list, fmt.Sprintf("assign %s/%d %s", p.Task, p.Attempt, p.Worker))
			}
		case place.Requeue:
			list = append(list, fmt.Sprintf("requeue %s checkpoint %d", d.Task, d.CheckpointPercent))
		default:
			list = append(list, fmt.Sprintf("%T", d))
		}
	}
	return list
}

func expectDecisions(t *testing.T, what string, out []place.Decision, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, summarize(out)); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// Guards against a worker that stays overloaded by its running tasks, and against throttling or
// stopping urgent tasks first or more tasks than needed.
func TestRelieveOverload(t *testing.T) {
	tests := []struct {
		name     string
		low, top model.Millicores
		want     []string
	}{
		{"below", 6000, 7000, nil},
		{"throttle", 6000, 8000, []string{"throttle l/1#0"}},
		{"checkpoint", 6000, 8600, []string{"checkpoint l/1#0"}},
		{"stop", 6000, 9600, []string{"stop l/1#0"}},
		{"stop both", 1000, 14_600, []string{"stop l/1#0", "stop u/1#0"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newHarness("a")
			low := newBatch("l", model.Low, 1, 1000)
			low.Checkpoint = true
			d.restoreRunning("l/1", low, "a")
			d.restoreRunning("u/1", newBatch("u", model.Urgent, 1, 1000), "a")
			d.now += 1000
			out := d.report("a", heldRunning("l/1", 0, tt.low), heldRunning("u/1", 0, tt.top))
			expectDecisions(t, "orders", out, tt.want...)
		})
	}
}

// Guards against a stop order that counts as a failure or loses the checkpoint.
func TestStoppedTaskKeepsCheckpoint(t *testing.T) {
	d := newHarness("a")
	d.restoreRunning("l/1", newBatch("l", model.Low, 1, 1000), "a")
	d.now += 1000
	expectDecisions(t, "overload", d.report("a", heldRunning("l/1", 0, 15_500)), "stop l/1#0")
	out := d.send(place.Ended{Task: model.TaskID{Job: "l/1"}, Attempt: 1, End: proto.EndStopped, CheckpointPercent: 60})
	expectDecisions(t, "end", out, "requeue l/1#0 checkpoint 60")
	d.now += 1000
	d.report("b")
	expectDecisions(t, "next worker", d.sendAfter(100, place.Tick{}), "assign l/1#0/2 b")
}

// Guards against jobs that fit no worker and are tried again and again, and against jobs that stay
// impossible after a worker joins on which they fit.
func TestImpossible(t *testing.T) {
	d := newHarness("a")
	d.sendAfter(6000, place.Tick{})
	expectDecisions(t, "too large", d.submit("x/1", newBatch("x", model.Normal, 1, 20_000)), "place.Impossible")
	gang := model.Gang{Base: model.Base{Name: "g", Count: 3, Size: model.Size{CPU: 10_000}}}
	expectDecisions(t, "gang too large", d.submit("g/1", gang), "place.Impossible")
	other := newBatch("o", model.Normal, 1, 100)
	other.Zones = []model.Zone{"y"}
	expectDecisions(t, "other zone", d.submit("o/1", other), "place.Impossible")
	d.send(place.WorkerReport{Worker: "b", Incarnation: 1, Rack: "r", Size: model.Size{CPU: 32_000, Memory: 65_536}})
	expectDecisions(t, "larger worker", d.sendAfter(100, place.Tick{}), "place.Possible", "place.Possible", "assign g/1#0/1 b", "assign g/1#1/1 b", "assign g/1#2/1 a")
}

// Guards against a team that gets more than its quota.
func TestQuota(t *testing.T) {
	d := newHarness("a", "b")
	d.send(place.Quotas{Teams: map[model.Team]place.Quota{"t": {Limit: model.Size{CPU: 1500}}}})
	expectDecisions(t, "within", d.submit("x/1", newBatch("x", model.Normal, 1, 1000)), "assign x/1#0/1 a")
	expectDecisions(t, "beyond", d.submit("y/1", newBatch("y", model.Normal, 1, 1000)))
	out := d.send(place.Ended{Task: model.TaskID{Job: "x/1"}, Attempt: 1, End: proto.EndDone})
	expectDecisions(t, "after an end", out, "assign y/1#0/1 a")
}

// Guards against accepting work whose expected wait exceeds the bound of its class.
func TestRefuse(t *testing.T) {
	d := newHarness("a")
	d.sendAfter(6000, place.Tick{})
	expectDecisions(t, "first", d.send(place.Offer{Job: "x/1", Work: newBatch("x", model.Urgent, 200, 1000)}), "place.Accept")
	d.submit("x/1", newBatch("x", model.Urgent, 200, 1000))
	d.now += 200
	out := d.send(place.Offer{Job: "x/2", Work: newBatch("x", model.Urgent, 1, 1000)})
	r, ok := out[0].(place.Refuse)
	if !ok || r.Reason == "" || r.RetryAfter < clock.Second || r.RetryAfter > 5*clock.Minute {
		t.Errorf("got %v for an offer behind a long queue, want Refuse with a reason and a retry time of 1 s to 5 min", out)
	}
	expectDecisions(t, "other class", d.send(place.Offer{Job: "z/1", Work: newBatch("z", model.Low, 1, 1000)}), "place.Accept")
}

// Guards against preemption between equal classes and of more tasks than needed, and against freed
// capacity that goes to other work than the task for which it was freed.
func TestPreempt(t *testing.T) {
	d := newHarness("a")
	fill := func(job string, u model.Urgency, n int, cpu model.Millicores) []proto.HeldTask {
		d.restoreRunning(model.JobID(job), newBatch(job[:1], u, n, cpu), "a")
		var list []proto.HeldTask
		for i := range n {
			list = append(list, heldRunning(job, i, cpu))
		}
		return list
	}
	held := append(fill("l/1", model.Low, 6, 2000), fill("u/0", model.Urgent, 1, 1000)...)
	for range 6 {
		d.now += 500
		d.report("a", held...)
	}
	expectDecisions(t, "urgent", d.submit("u/1", newBatch("v", model.Urgent, 1, 600)), "stop l/1#0")
	expectDecisions(t, "normal", d.submit("n/1", newBatch("n", model.Normal, 1, 700)))
	out := d.send(place.Ended{Task: model.TaskID{Job: "l/1"}, Attempt: 1, End: proto.EndStopped})
	expectDecisions(t, "freed capacity", out, "requeue l/1#0 checkpoint 40", "assign u/1#0/1 a")
}

// Guards against a suspended worker that never gets work again, or gets more than one probe task.
func TestSuspendAndProbe(t *testing.T) {
	d := newHarness("a")
	fail := func(job model.JobID) []place.Decision {
		return d.send(place.Ended{Task: model.TaskID{Job: job}, Attempt: 1, End: proto.EndNoStart})
	}
	for _, job := range []model.JobID{"a/1", "b/1"} {
		expectDecisions(t, "start", d.submit(job, newBatch(string(job[:1]), model.Normal, 1, 100)), "assign "+string(job)+"#0/1 a")
		expectDecisions(t, "failure", fail(job), "requeue "+string(job)+"#0 checkpoint 0")
	}
	d.submit("c/1", newBatch("c", model.Normal, 1, 100))
	expectDecisions(t, "third failure", fail("c/1"), "place.Suspended", "requeue c/1#0 checkpoint 0")
	expectDecisions(t, "suspended", d.submit("d/1", newBatch("d", model.Normal, 2, 100)))
	out := d.sendAfter(31*clock.Second, place.Tick{})
	out = append(out, d.sendAfter(100, place.Tick{})...)
	expectDecisions(t, "probe", out, "assign d/1#0/1 a")
	expectDecisions(t, "one probe only", d.sendAfter(clock.Second, place.Tick{}))
	out = d.send(place.Ended{Task: model.TaskID{Job: "d/1"}, Attempt: 1, End: proto.EndDone})
	if s := summarize(out); len(s) == 0 || s[0] != "place.Resumed" {
		t.Errorf("decisions after a successful probe: %v, want place.Resumed first", s)
	}
}

// Guards against a gang that keeps running after one of its tasks is lost.
func TestLostTaskRestartsGang(t *testing.T) {
	d := newHarness("a", "b")
	gang := model.Gang{Base: model.Base{Name: "g", Count: 2, Size: model.Size{CPU: 3000, Memory: 100}}}
	expectDecisions(t, "start", d.submit("g/1", gang), "assign g/1#0/1 a", "assign g/1#1/1 b")
	expectDecisions(t, "loss", d.send(place.WorkerLost{Worker: "b"}), "requeue g/1#1 checkpoint 0", "stop g/1#0")
	d.report("c")
	expectDecisions(t, "not before the stop", d.sendAfter(1000, place.Tick{}))
	out := d.send(place.Ended{Task: model.TaskID{Job: "g/1"}, Attempt: 1, End: proto.EndStopped})
	out = append(out, d.sendAfter(1000, place.Tick{})...)
	expectDecisions(t, "gang restart", out, "requeue g/1#0 checkpoint 0", "assign g/1#0/2 a", "assign g/1#1/2 c")
}

// Guards against starting many tasks of a kind before the use of some of them has been measured.
func TestUnmeasuredKindStartsFewTasks(t *testing.T) {
	d := newHarness("a", "b", "c", "d", "e", "f")
	if n := len(d.submit("x/1", newBatch("x", model.Normal, 20, 100))); n != 4 {
		t.Errorf("%d tasks of a kind without measurements start at once, want 4", n)
	}
}

// Guards against preemption that leaves a class below its floor.
func TestPreemptKeepsFloors(t *testing.T) {
	d := newHarness("a")
	d.restoreRunning("l/1", newBatch("l", model.Low, 1, 2000), "a")
	for range 6 {
		d.now += 500
		d.report("a", heldRunning("l/1", 0, 2000), heldRunning("other/1", 0, 11_500))
	}
	expectDecisions(t, "urgent", d.submit("u/1", newBatch("u", model.Urgent, 1, 600)))
}

// Guards against new tasks on a worker whose measured use is high already.
func TestNoStartOnOverloadedWorker(t *testing.T) {
	d := newHarness("a")
	d.report("a", heldRunning("other/1", 0, 13_800))
	expectDecisions(t, "overloaded", d.submit("x/1", newBatch("x", model.Normal, 1, 100)))
	expectDecisions(t, "no longer overloaded", d.report("a", heldRunning("other/1", 0, 13_000)), "assign x/1#0/1 a")
}
