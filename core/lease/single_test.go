package lease_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/lease"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/proto"
)

// cluster runs a scheduler, a Tracker and workers over a simulated network that loses, delays,
// reorders and duplicates messages.
type cluster struct {
	t               *rapid.T
	now             clock.Millis
	lossy           bool
	epoch           model.Epoch
	hasLeader       bool
	sched           *place.Scheduler
	tracker         *lease.Tracker
	records         map[model.TaskID]*taskRecord // durable state, kept over elections
	orders          map[model.TaskID]place.Order
	nodes           []*node
	inFlight        []message
	startedAttempts map[string]bool // keys are "task/attempt"
}

type taskRecord struct {
	phase             string // waiting, assigned, done
	worker            model.WorkerID
	incarnation       model.Incarnation
	attempt           int
	checkpointPercent int
}

// node is an instance with a worker, whose clock runs at another rate than the leader's.
type node struct {
	id               model.WorkerID
	incarnation      model.Incarnation
	worker           *lease.Worker
	clockRate        float64
	clockOffset      clock.Millis
	pausedUntil      clock.Millis
	partitionedUntil clock.Millis // its messages are lost
	running          map[model.TaskID]*process
}

type process struct {
	attempt       int
	endsAt        clock.Millis // on the leader's clock
	startReported bool
}

type message struct {
	deliverAt   clock.Millis
	node        *node
	incarnation model.Incarnation
	sentAt      clock.Millis // on the node's clock
	req         *proto.SyncRequest
	reply       *proto.SyncReply
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		t: t, now: 1_000_000, lossy: true, records: make(map[model.TaskID]*taskRecord), startedAttempts: make(map[string]bool),
	}
	for i := range 4 {
		n := &node{id: model.WorkerID(fmt.Sprintf("w%d", i)), clockRate: 0.95 + 0.1*rapid.Float64Range(0, 1).Draw(t, "rate"), clockOffset: clock.Millis(7_000 * i)}
		c.nodes = append(c.nodes, n)
		c.startWorker(n)
	}
	c.electLeader()
	return c
}

func (c *cluster) startWorker(n *node) {
	n.incarnation++
	n.running = make(map[model.TaskID]*process)
	n.worker = lease.NewWorker(lease.Config{Worker: n.id, Incarnation: n.incarnation, Rack: "r", Capacity: model.Size{CPU: 4000, Memory: 4000}})
}

// electLeader starts a new leader from the durable state. The previous leader's lease has ended, so it
// sends no more answers, but its earlier messages may still be in flight.
func (c *cluster) electLeader() {
	c.epoch++
	c.hasLeader = true
	c.tracker = lease.NewTracker(c.epoch, lease.DefaultDuration)
	c.loadState()
}

// loadState starts a new scheduler from the durable state, as a new leader does, or one that doesn't know what was
// committed. The latter keeps its Tracker.
func (c *cluster) loadState() {
	c.sched = place.New(place.Config{Seed: uint64(c.epoch)})
	c.orders = make(map[model.TaskID]place.Order)
	for _, job := range []model.JobID{"a/1", "b/1", "g/1"} {
		e := place.Submit{Job: job, Work: workOf(job)}
		for i := range workOf(job).Common().Count {
			id := model.TaskID{Job: job, Index: i}
			r, ok := c.records[id]
			if !ok {
				r = &taskRecord{phase: "waiting"}
				c.records[id] = r
			}
			x := place.Task{Index: i, Attempt: r.attempt, CheckpointPercent: r.checkpointPercent}
			switch r.phase {
			case "done":
				continue
			case "assigned":
				x.Assignment = &place.Assignment{Worker: r.worker, Incarnation: r.incarnation}
				c.tracker.Restore(c.now, r.worker, r.incarnation)
			}
			e.Tasks = append(e.Tasks, x)
		}
		c.stepScheduler(e)
	}
}

// taskDuration exceeds the expiry timeout for one job, so that its tasks outlast a lost worker's lease.
func taskDuration(job model.JobID) clock.Millis {
	if job == "b/1" {
		return 20 * clock.Second
	}
	return 4 * clock.Second
}

func workOf(job model.JobID) model.Work {
	base := model.Base{Name: string(job[:1]), Count: 6, Size: model.Size{CPU: 300, Memory: 300}, Urgency: model.Normal}
	switch job {
	case "g/1":
		return model.Gang{Base: base.WithCount(3), Time: 4 * clock.Second}
	case "b/1":
		base.Urgency = model.Urgent
	}
	return model.Batch{Base: base, Time: 4 * clock.Second}
}

func (c *cluster) stepScheduler(e place.Event) {
	for _, d := range c.sched.Step(c.now, e) {
		switch d := d.(type) {
		case place.Assign:
			c.commitAssignment(d)
		case place.Order:
			c.orders[d.Task] = d
		case place.Requeue:
			if r := c.records[d.Task]; r.attempt == d.Attempt && r.phase == "assigned" {
				r.phase, r.checkpointPercent = "waiting", d.CheckpointPercent
			}
		}
	}
}

// commitAssignment records an assignment. On a lossy network one commit in ten fails.
func (c *cluster) commitAssignment(d place.Assign) {
	if c.lossy && rapid.IntRange(0, 9).Draw(c.t, "commit") == 0 {
		for _, p := range d.Placements {
			c.stepScheduler(place.AssignNotCommitted{Task: p.Task, Attempt: p.Attempt})
		}
		return
	}
	for _, p := range d.Placements {
		*c.records[p.Task] = taskRecord{phase: "assigned", worker: p.Worker, incarnation: p.Incarnation, attempt: p.Attempt, checkpointPercent: p.CheckpointPercent}
	}
}

// send puts a message on the network, which may lose, delay or duplicate it.
func (c *cluster) send(m message) {
	if m.node.partitionedUntil > c.now {
		return
	}
	copies := 1
	if c.lossy {
		copies = rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(c.t, "copies")
	}
	for range copies {
		m.deliverAt = c.now + 2
		if c.lossy {
			m.deliverAt += rapid.SampledFrom([]clock.Millis{0, 100, 800, 3000, 15_000}).Draw(c.t, "delay")
		}
		c.inFlight = append(c.inFlight, m)
	}
}

// receiveRequest handles a worker's request at the leader.
func (c *cluster) receiveRequest(m message) {
	if !c.hasLeader {
		return
	}
	req := *m.req
	reply := proto.SyncReply{Epoch: c.epoch, Seq: req.Seq, Lease: lease.DefaultDuration}
	switch c.tracker.Receive(c.now, req) {
	case lease.Stale:
		return
	case lease.Current:
		for _, e := range req.Ends {
			c.recordTaskEnd(req, e)
			reply.EndAcks = append(reply.EndAcks, proto.TaskEndAck{Task: e.Task, Attempt: e.Attempt})
		}
		c.stepScheduler(place.WorkerReport{Worker: req.Worker, Incarnation: req.Incarnation, Rack: req.Rack, Size: req.Size, Held: req.Held})
		c.tracker.RecordAnswer(c.now, req.Worker)
		reply.Tasks = c.assignedTasks(req)
		if proto.TasksMatch(req.Held, reply.Tasks) {
			reply.TasksUnchanged, reply.Tasks = true, nil
		}
	}
	c.send(message{node: m.node, incarnation: m.incarnation, sentAt: m.sentAt, reply: &reply})
}

func (c *cluster) recordTaskEnd(req proto.SyncRequest, e proto.TaskEnd) {
	r := c.records[e.Task]
	if r.phase != "assigned" || r.attempt != e.Attempt || r.worker != req.Worker || r.incarnation != req.Incarnation {
		return
	}
	if e.End == proto.EndDone {
		r.phase = "done"
	}
	c.stepScheduler(place.Ended{Task: e.Task, Attempt: e.Attempt, End: e.End, PeakUsage: e.PeakUsage, RunTime: e.RunTime, CheckpointPercent: e.CheckpointPercent})
}

func (c *cluster) assignedTasks(req proto.SyncRequest) []proto.AssignedTask {
	var list []proto.AssignedTask
	for _, id := range c.sortedTasks() {
		r := c.records[id]
		if r.phase != "assigned" || r.worker != req.Worker || r.incarnation != req.Incarnation {
			continue
		}
		a := proto.AssignedTask{Task: id, Attempt: r.attempt, Command: proto.CommandRun}
		if o, ok := c.orders[id]; ok && o.Attempt == r.attempt {
			a.Command = o.Command
		}
		list = append(list, a)
	}
	return list
}

func (c *cluster) sortedTasks() []model.TaskID {
	return slices.SortedFunc(maps.Keys(c.records), func(a, b model.TaskID) int { return strings.Compare(a.String(), b.String()) })
}

func (n *node) localTime(now clock.Millis) clock.Millis {
	return n.clockOffset + clock.Millis(float64(now-1_000_000)*n.clockRate)
}

func (c *cluster) stepWorker(n *node, in lease.Input) {
	for _, o := range n.worker.Step(n.localTime(c.now), in) {
		switch o := o.(type) {
		case lease.Send:
			c.send(message{node: n, incarnation: n.incarnation, sentAt: n.localTime(c.now), req: &o.Request})
		case lease.Start:
			key := fmt.Sprintf("%s/%d", o.Task, o.Attempt)
			if c.startedAttempts[key] {
				c.t.Fatalf("attempt %s is started twice", key)
			}
			c.startedAttempts[key] = true
			n.running[o.Task] = &process{attempt: o.Attempt, endsAt: c.now + taskDuration(o.Task.Job)}
		case lease.Stop:
			delete(n.running, o.Task)
			c.stepWorker(n, lease.Finished{TaskEnd: proto.TaskEnd{Task: o.Task, Attempt: o.Attempt, End: proto.EndStopped}})
		}
	}
}

func (c *cluster) step() {
	c.now += 50
	for i := 0; i < len(c.inFlight); i++ {
		m := c.inFlight[i]
		if m.deliverAt > c.now {
			continue
		}
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
		i--
		switch {
		case m.node.partitionedUntil > c.now:
		case m.req != nil:
			c.receiveRequest(m)
		case m.node.incarnation == m.incarnation && m.node.pausedUntil <= c.now:
			c.stepWorker(m.node, lease.Reply{SentAt: m.sentAt, Body: *m.reply})
		}
	}
	if c.hasLeader {
		c.stepScheduler(place.Tick{})
		for _, w := range c.tracker.ExpireLeases(c.now) {
			c.stepScheduler(place.WorkerLost{Worker: w})
		}
	}
	for _, n := range c.nodes {
		if n.pausedUntil <= c.now {
			c.stepNode(n)
		}
	}
	c.checkSingleRun()
}

// stepNode advances a node by one step. A pause stops the whole instance: its processes make no
// progress, and after it the worker's state machine is the first to run.
func (c *cluster) stepNode(n *node) {
	c.stepWorker(n, lease.Tick{})
	for _, id := range slices.SortedFunc(maps.Keys(n.running), func(a, b model.TaskID) int { return strings.Compare(a.String(), b.String()) }) {
		p := n.running[id]
		if p == nil {
			continue
		}
		if !p.startReported {
			p.startReported = true
			c.stepWorker(n, lease.Started{Task: id, Attempt: p.attempt})
		}
		c.stepWorker(n, lease.UsageMeasured{Task: id, Attempt: p.attempt, Usage: model.Size{CPU: 250, Memory: 250}})
		if c.now >= p.endsAt {
			delete(n.running, id)
			c.stepWorker(n, lease.Finished{TaskEnd: proto.TaskEnd{Task: id, Attempt: p.attempt, End: proto.EndDone, PeakUsage: model.Size{CPU: 250, Memory: 250}, RunTime: 4 * clock.Second}})
		}
	}
}

// checkSingleRun fails the test if a task runs on two nodes. Processes of a paused node do not run.
func (c *cluster) checkSingleRun() {
	runsOn := make(map[model.TaskID]*node)
	for _, n := range c.nodes {
		if n.pausedUntil > c.now {
			continue
		}
		for id := range n.running {
			if o := runsOn[id]; o != nil {
				c.t.Fatalf("%s runs on %s and %s", id, o.id, n.id)
			}
			runsOn[id] = n
		}
	}
}

func (c *cluster) injectFault() {
	n := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(c.t, "node")]
	duration := clock.Millis(rapid.IntRange(1, 30).Draw(c.t, "seconds")) * clock.Second
	switch rapid.SampledFrom([]string{"restart", "pause", "cut", "leader", "reload", "none"}).Draw(c.t, "fault") {
	case "restart":
		c.startWorker(n)
	case "pause":
		n.pausedUntil = c.now + duration
	case "cut":
		n.partitionedUntil = c.now + duration
	case "reload":
		c.loadState()
	case "leader":
		c.hasLeader = false
		c.runFor(min(duration, 3*clock.Second))
		c.electLeader()
	}
}

func (c *cluster) runFor(d clock.Millis) {
	for until := c.now + d; c.now < until; {
		c.step()
	}
}

// Guards against a task that runs on two workers, an attempt that is started twice and a task that is
// never finished, under message loss, delay, reordering and duplication, failed commits, pauses,
// network partitions, restarts of workers, changes of the leader and leaders that load their state anew.
func TestSingleRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			c.runFor(clock.Millis(rapid.IntRange(200, 6000).Draw(t, "time")))
			c.injectFault()
		}
		c.lossy = false
		c.runFor(150 * clock.Second)
		for _, id := range c.sortedTasks() {
			if r := c.records[id]; r.phase != "done" {
				t.Fatalf("task %s did not finish: %s, attempt %d on worker %s", id, r.phase, r.attempt, r.worker)
			}
		}
	})
}
