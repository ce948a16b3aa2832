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

// desk drives a scheduler by hand.
type desk struct {
	*place.Scheduler
	now clock.Millis
}

func newDesk(workers ...string) *desk {
	d := &desk{Scheduler: place.New(place.Config{Zone: "z", Seed: 1}), now: 1_000_000}
	for _, w := range workers {
		d.report(w)
	}
	return d
}

func (d *desk) do(e place.Event) []place.Decision { return d.Step(d.now, e) }

func (d *desk) report(w string, held ...proto.Held) []place.Decision {
	return d.do(place.WorkerReport{Worker: model.WorkerID(w), Incarnation: 1, Rack: model.Rack("r" + w), Size: small, Held: held})
}

func (d *desk) after(t clock.Millis, e place.Event) []place.Decision {
	d.now += t
	return d.do(e)
}

func batch(name string, u model.Urgency, count int, cpu model.Millicores) model.Batch {
	return model.Batch{Base: model.Base{Name: name, Team: "t", Count: count, Urgency: u, Size: model.Size{CPU: cpu, Memory: 100}}, Time: clock.Minute}
}

func (d *desk) submit(id model.JobID, w model.Work) []place.Decision {
	e := place.Submit{Job: id, Work: w}
	for i := range w.Common().Count {
		e.Tasks = append(e.Tasks, place.Task{Index: i, Accepted: d.now})
	}
	return d.do(e)
}

// placed restores running tasks of a job on a worker.
func (d *desk) placed(id model.JobID, w model.Work, on string) {
	e := place.Submit{Job: id, Work: w}
	for i := range w.Common().Count {
		e.Tasks = append(e.Tasks, place.Task{Index: i, Accepted: d.now, Attempt: 1, Placed: &place.Placed{Worker: model.WorkerID(on), Incarnation: 1, Started: d.now}})
	}
	d.do(e)
}

func running(job string, index int, cpu model.Millicores) proto.Held {
	return proto.Held{Task: model.TaskID{Job: model.JobID(job), Index: index}, Attempt: 1, Phase: proto.PhaseRunning, Usage: model.Size{CPU: cpu, Memory: 100}, Saved: 40}
}

func summary(out []place.Decision) []string {
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
			list = append(list, fmt.Sprintf("requeue %s saved %d", d.Task, d.Saved))
		default:
			list = append(list, fmt.Sprintf("%T", d))
		}
	}
	return list
}

func expect(t *testing.T, what string, out []place.Decision, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, summary(out)); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// Guards against a worker that is driven over its capacity by running tasks, and against relief
// that hits urgent tasks first or more tasks than needed.
func TestPressure(t *testing.T) {
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
			d := newDesk("a")
			low := batch("l", model.Low, 1, 1000)
			low.Checkpoint = true
			d.placed("l/1", low, "a")
			d.placed("u/1", batch("u", model.Urgent, 1, 1000), "a")
			d.now += 1000
			out := d.report("a", running("l/1", 0, tt.low), running("u/1", 0, tt.top))
			expect(t, "orders", out, tt.want...)
		})
	}
}

// Guards against a stop that counts as a failure or loses the checkpoint.
func TestStoppedTaskKeepsCheckpoint(t *testing.T) {
	d := newDesk("a")
	d.placed("l/1", batch("l", model.Low, 1, 1000), "a")
	d.now += 1000
	expect(t, "overload", d.report("a", running("l/1", 0, 15_500)), "stop l/1#0")
	out := d.do(place.Ended{Task: model.TaskID{Job: "l/1"}, Attempt: 1, End: proto.EndStopped, Saved: 60})
	expect(t, "end", out, "requeue l/1#0 saved 60")
	d.now += 1000
	d.report("b")
	expect(t, "next worker", d.after(100, place.Tick{}), "assign l/1#0/2 b")
}

// Guards against a shape that fits nowhere and stays on the hot path, and against one that is not
// looked at again when the fleet changes.
func TestImpossible(t *testing.T) {
	d := newDesk("a")
	d.after(6000, place.Tick{})
	expect(t, "too large", d.submit("x/1", batch("x", model.Normal, 1, 20_000)), "place.Impossible")
	gang := model.Gang{Base: model.Base{Name: "g", Count: 3, Size: model.Size{CPU: 10_000}}}
	expect(t, "gang too large", d.submit("g/1", gang), "place.Impossible")
	other := batch("o", model.Normal, 1, 100)
	other.Zones = []model.Zone{"y"}
	expect(t, "other zone", d.submit("o/1", other), "place.Impossible")
	d.do(place.WorkerReport{Worker: "b", Incarnation: 1, Rack: "r", Size: model.Size{CPU: 32_000, Memory: 65_536}})
	expect(t, "larger worker", d.after(100, place.Tick{}), "place.Possible", "place.Possible", "assign g/1#0/1 b", "assign g/1#1/1 b", "assign g/1#2/1 a")
}

// Guards against a team that holds more than its quota.
func TestQuota(t *testing.T) {
	d := newDesk("a", "b")
	d.do(place.Quotas{Teams: map[model.Team]place.Quota{"t": {Limit: model.Size{CPU: 1500}}}})
	expect(t, "within", d.submit("x/1", batch("x", model.Normal, 1, 1000)), "assign x/1#0/1 a")
	expect(t, "beyond", d.submit("y/1", batch("y", model.Normal, 1, 1000)))
	out := d.do(place.Ended{Task: model.TaskID{Job: "x/1"}, Attempt: 1, End: proto.EndDone})
	expect(t, "after an end", out, "assign y/1#0/1 a")
}

// Guards against accepting work that cannot start within the bound of its class.
func TestRefuse(t *testing.T) {
	d := newDesk("a")
	d.after(6000, place.Tick{})
	expect(t, "first", d.do(place.Offer{Job: "x/1", Work: batch("x", model.Urgent, 200, 1000)}), "place.Accept")
	d.submit("x/1", batch("x", model.Urgent, 200, 1000))
	d.now += 200
	out := d.do(place.Offer{Job: "x/2", Work: batch("x", model.Urgent, 1, 1000)})
	r, ok := out[0].(place.Refuse)
	if !ok || r.Reason == "" || r.Retry < clock.Second || r.Retry > 5*clock.Minute {
		t.Errorf("offer behind a long queue: %v", out)
	}
	expect(t, "other class", d.do(place.Offer{Job: "z/1", Work: batch("z", model.Low, 1, 1000)}), "place.Accept")
}

// Guards against preemption for and of equal classes, of more tasks than needed, and against room
// that goes to other work than that for which it was made.
func TestPreempt(t *testing.T) {
	d := newDesk("a")
	fill := func(job string, u model.Urgency, n int, cpu model.Millicores) []proto.Held {
		d.placed(model.JobID(job), batch(job[:1], u, n, cpu), "a")
		var list []proto.Held
		for i := range n {
			list = append(list, running(job, i, cpu))
		}
		return list
	}
	held := append(fill("l/1", model.Low, 6, 2000), fill("u/0", model.Urgent, 1, 1000)...)
	for range 6 {
		d.now += 500
		d.report("a", held...)
	}
	expect(t, "urgent", d.submit("u/1", batch("v", model.Urgent, 1, 600)), "stop l/1#0")
	expect(t, "normal", d.submit("n/1", batch("n", model.Normal, 1, 700)))
	out := d.do(place.Ended{Task: model.TaskID{Job: "l/1"}, Attempt: 1, End: proto.EndStopped})
	expect(t, "the room", out, "requeue l/1#0 saved 40", "assign u/1#0/1 a")
}

// Guards against a suspended worker that never gets work again, or gets more than a probe.
func TestSuspendAndProbe(t *testing.T) {
	d := newDesk("a")
	fail := func(job model.JobID) []place.Decision {
		return d.do(place.Ended{Task: model.TaskID{Job: job}, Attempt: 1, End: proto.EndNoStart})
	}
	for _, job := range []model.JobID{"a/1", "b/1"} {
		expect(t, "start", d.submit(job, batch(string(job[:1]), model.Normal, 1, 100)), "assign "+string(job)+"#0/1 a")
		expect(t, "failure", fail(job), "requeue "+string(job)+"#0 saved 0")
	}
	d.submit("c/1", batch("c", model.Normal, 1, 100))
	expect(t, "third failure", fail("c/1"), "place.Suspended", "requeue c/1#0 saved 0")
	expect(t, "suspended", d.submit("d/1", batch("d", model.Normal, 2, 100)))
	out := d.after(31*clock.Second, place.Tick{})
	out = append(out, d.after(100, place.Tick{})...)
	expect(t, "probe", out, "assign d/1#0/1 a")
	expect(t, "one probe only", d.after(clock.Second, place.Tick{}))
	out = d.do(place.Ended{Task: model.TaskID{Job: "d/1"}, Attempt: 1, End: proto.EndDone})
	if s := summary(out); len(s) == 0 || s[0] != "place.Resumed" {
		t.Errorf("after a good probe: %v", s)
	}
}

// Guards against a gang that goes on without one of its tasks.
func TestGangRestartsWhole(t *testing.T) {
	d := newDesk("a", "b")
	gang := model.Gang{Base: model.Base{Name: "g", Count: 2, Size: model.Size{CPU: 3000, Memory: 100}}}
	expect(t, "start", d.submit("g/1", gang), "assign g/1#0/1 a", "assign g/1#1/1 b")
	expect(t, "loss", d.do(place.WorkerGone{Worker: "b"}), "requeue g/1#1 saved 0", "stop g/1#0")
	d.report("c")
	expect(t, "not before the stop", d.after(1000, place.Tick{}))
	out := d.do(place.Ended{Task: model.TaskID{Job: "g/1"}, Attempt: 1, End: proto.EndStopped})
	out = append(out, d.after(1000, place.Tick{})...)
	expect(t, "whole again", out, "requeue g/1#0 saved 0", "assign g/1#0/2 a", "assign g/1#1/2 c")
}

// Guards against a kind of unknown size that starts everywhere at once.
func TestUnknownKindStartsSlowly(t *testing.T) {
	d := newDesk("a", "b", "c", "d", "e", "f")
	if n := len(d.submit("x/1", batch("x", model.Normal, 20, 100))); n != 4 {
		t.Errorf("%d tasks of an unknown kind start at once, want 4", n)
	}
}

// Guards against preemption that takes a class below its floor.
func TestPreemptKeepsFloors(t *testing.T) {
	d := newDesk("a")
	d.placed("l/1", batch("l", model.Low, 1, 2000), "a")
	for range 6 {
		d.now += 500
		d.report("a", running("l/1", 0, 2000), running("other/1", 0, 11_500))
	}
	expect(t, "urgent", d.submit("u/1", batch("u", model.Urgent, 1, 600)))
}

// Guards against new tasks on a worker whose measured use is high already.
func TestHotWorker(t *testing.T) {
	d := newDesk("a")
	d.report("a", running("other/1", 0, 13_800))
	expect(t, "hot", d.submit("x/1", batch("x", model.Normal, 1, 100)))
	expect(t, "cooled", d.report("a", running("other/1", 0, 13_000)), "assign x/1#0/1 a")
}
