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

// cell drives a scheduler, a Keeper and workers together over a network that loses, delays,
// reorders and duplicates messages.
type cell struct {
	t       *rapid.T
	now     clock.Millis
	lossy   bool
	epoch   model.Epoch
	leader  bool // there is one
	sched   *place.Scheduler
	keeper  *lease.Keeper
	record  map[model.TaskID]*record // durable
	orders  map[model.TaskID]place.Order
	nodes   []*node
	flights []flight
	started map[string]bool // attempts, as "task/attempt"
}

type record struct {
	phase       string // waiting, assigned, done
	worker      model.WorkerID
	incarnation model.Incarnation
	attempt     int
	saved       int
}

// node is an instance with a worker: its clock has another rate than the leader's.
type node struct {
	id      model.WorkerID
	inc     model.Incarnation
	worker  *lease.Worker
	rate    float64
	offset  clock.Millis
	paused  clock.Millis // until
	cut     clock.Millis // until
	running map[model.TaskID]*process
}

type process struct {
	attempt int
	ends    clock.Millis // on the leader's clock, which is the true time
	began   bool
}

type flight struct {
	at    clock.Millis
	node  *node
	inc   model.Incarnation
	sent  clock.Millis // on the node's clock
	req   *proto.SyncRequest
	reply *proto.SyncReply
}

func newCell(t *rapid.T) *cell {
	c := &cell{
		t: t, now: 1_000_000, lossy: true, record: make(map[model.TaskID]*record), started: make(map[string]bool),
	}
	for i := range 4 {
		n := &node{id: model.WorkerID(fmt.Sprintf("w%d", i)), rate: 0.95 + 0.1*rapid.Float64Range(0, 1).Draw(t, "rate"), offset: clock.Millis(7_000 * i)}
		c.nodes = append(c.nodes, n)
		c.boot(n)
	}
	c.elect()
	return c
}

func (c *cell) boot(n *node) {
	n.inc++
	n.running = make(map[model.TaskID]*process)
	n.worker = lease.New(lease.Config{Worker: n.id, Incarnation: n.inc, Rack: "r", Size: model.Size{CPU: 4000, Memory: 4000}})
}

// elect starts a new leader from the durable record. The last leader's lease has ended by then, so
// that it answers no more; its messages may still be on their way.
func (c *cell) elect() {
	c.epoch++
	c.leader = true
	c.sched = place.New(place.Config{Seed: uint64(c.epoch)})
	c.keeper = lease.NewKeeper(c.epoch, lease.Time)
	c.orders = make(map[model.TaskID]place.Order)
	for _, job := range []model.JobID{"a/1", "b/1", "g/1"} {
		e := place.Submit{Job: job, Work: work(job)}
		for i := range work(job).Common().Count {
			id := model.TaskID{Job: job, Index: i}
			r, ok := c.record[id]
			if !ok {
				r = &record{phase: "waiting"}
				c.record[id] = r
			}
			x := place.Task{Index: i, Attempt: r.attempt, Saved: r.saved}
			switch r.phase {
			case "done":
				continue
			case "assigned":
				x.Placed = &place.Placed{Worker: r.worker, Incarnation: r.incarnation}
				c.keeper.Restore(c.now, r.worker, r.incarnation)
			}
			e.Tasks = append(e.Tasks, x)
		}
		c.feed(e)
	}
}

// runTime is longer than a lease for one job, so that its tasks outlive the silence of a worker.
func runTime(job model.JobID) clock.Millis {
	if job == "b/1" {
		return 20 * clock.Second
	}
	return 4 * clock.Second
}

func work(job model.JobID) model.Work {
	base := model.Base{Name: string(job[:1]), Count: 6, Size: model.Size{CPU: 300, Memory: 300}, Urgency: model.Normal}
	switch job {
	case "g/1":
		return model.Gang{Base: base.WithCount(3), Time: 4 * clock.Second}
	case "b/1":
		base.Urgency = model.Urgent
	}
	return model.Batch{Base: base, Time: 4 * clock.Second}
}

func (c *cell) feed(e place.Event) {
	for _, d := range c.sched.Step(c.now, e) {
		switch d := d.(type) {
		case place.Assign:
			c.assign(d)
		case place.Order:
			c.orders[d.Task] = d
		case place.Requeue:
			if r := c.record[d.Task]; r.attempt == d.Attempt && r.phase == "assigned" {
				r.phase, r.saved = "waiting", d.Saved
			}
		}
	}
}

// assign commits an assignment, or fails to.
func (c *cell) assign(d place.Assign) {
	if c.lossy && rapid.IntRange(0, 9).Draw(c.t, "commit") == 0 {
		for _, p := range d.Placements {
			c.feed(place.Unassigned{Task: p.Task, Attempt: p.Attempt})
		}
		return
	}
	for _, p := range d.Placements {
		*c.record[p.Task] = record{phase: "assigned", worker: p.Worker, incarnation: p.Incarnation, attempt: p.Attempt, saved: p.Saved}
	}
}

// send puts a message on the network.
func (c *cell) send(f flight) {
	if f.node.cut > c.now {
		return
	}
	copies := 1
	if c.lossy {
		copies = rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(c.t, "copies")
	}
	for range copies {
		f.at = c.now + 2
		if c.lossy {
			f.at += rapid.SampledFrom([]clock.Millis{0, 100, 800, 3000, 15_000}).Draw(c.t, "delay")
		}
		c.flights = append(c.flights, f)
	}
}

// receive handles a request at the leader.
func (c *cell) receive(f flight) {
	if !c.leader {
		return
	}
	req := *f.req
	reply := proto.SyncReply{Epoch: c.epoch, Seq: req.Seq, Lease: lease.Time}
	switch c.keeper.Receive(c.now, req) {
	case lease.Stale:
		return
	case lease.Current:
		for _, e := range req.Ends {
			c.end(req, e)
			reply.Confirms = append(reply.Confirms, proto.Confirm{Task: e.Task, Attempt: e.Attempt})
		}
		c.feed(place.WorkerReport{Worker: req.Worker, Incarnation: req.Incarnation, Rack: req.Rack, Size: req.Size, Held: req.Held})
		c.keeper.Answered(c.now, req.Worker)
		reply.Tasks = c.tasks(req)
		if proto.IsSame(req.Held, reply.Tasks) {
			reply.Same, reply.Tasks = true, nil
		}
	}
	c.send(flight{node: f.node, inc: f.inc, sent: f.sent, reply: &reply})
}

func (c *cell) end(req proto.SyncRequest, e proto.TaskEnd) {
	r := c.record[e.Task]
	if r.phase != "assigned" || r.attempt != e.Attempt || r.worker != req.Worker || r.incarnation != req.Incarnation {
		return
	}
	if e.End == proto.EndDone {
		r.phase = "done"
	}
	c.feed(place.Ended{Task: e.Task, Attempt: e.Attempt, End: e.End, Usage: e.Usage, Time: e.Time, Saved: e.Saved})
}

func (c *cell) tasks(req proto.SyncRequest) []proto.Assigned {
	var list []proto.Assigned
	for _, id := range c.sortedTasks() {
		r := c.record[id]
		if r.phase != "assigned" || r.worker != req.Worker || r.incarnation != req.Incarnation {
			continue
		}
		a := proto.Assigned{Task: id, Attempt: r.attempt, Command: proto.CommandRun}
		if o, ok := c.orders[id]; ok && o.Attempt == r.attempt {
			a.Command = o.Command
		}
		list = append(list, a)
	}
	return list
}

func (c *cell) sortedTasks() []model.TaskID {
	return slices.SortedFunc(maps.Keys(c.record), func(a, b model.TaskID) int { return strings.Compare(a.String(), b.String()) })
}

func (n *node) local(now clock.Millis) clock.Millis {
	return n.offset + clock.Millis(float64(now-1_000_000)*n.rate)
}

func (c *cell) input(n *node, in lease.Input) {
	for _, o := range n.worker.Step(n.local(c.now), in) {
		switch o := o.(type) {
		case lease.Send:
			c.send(flight{node: n, inc: n.inc, sent: n.local(c.now), req: &o.Request})
		case lease.Start:
			key := fmt.Sprintf("%s/%d", o.Task, o.Attempt)
			if c.started[key] {
				c.t.Fatalf("attempt %s is started twice", key)
			}
			c.started[key] = true
			n.running[o.Task] = &process{attempt: o.Attempt, ends: c.now + runTime(o.Task.Job)}
		case lease.Stop:
			delete(n.running, o.Task)
			c.input(n, lease.Finished{TaskEnd: proto.TaskEnd{Task: o.Task, Attempt: o.Attempt, End: proto.EndStopped}})
		}
	}
}

func (c *cell) step() {
	c.now += 50
	for i := 0; i < len(c.flights); i++ {
		f := c.flights[i]
		if f.at > c.now {
			continue
		}
		c.flights = slices.Delete(c.flights, i, i+1)
		i--
		switch {
		case f.node.cut > c.now:
		case f.req != nil:
			c.receive(f)
		case f.node.inc == f.inc && f.node.paused <= c.now:
			c.input(f.node, lease.Reply{Sent: f.sent, Body: *f.reply})
		}
	}
	if c.leader {
		c.feed(place.Tick{})
		for _, w := range c.keeper.Gone(c.now) {
			c.feed(place.WorkerGone{Worker: w})
		}
	}
	for _, n := range c.nodes {
		if n.paused <= c.now {
			c.turn(n)
		}
	}
	c.single()
}

// turn lets a node work for one step. A pause stops the whole instance, so its processes make no
// progress and the worker's machine has the first turn after it.
func (c *cell) turn(n *node) {
	c.input(n, lease.Tick{})
	for _, id := range slices.SortedFunc(maps.Keys(n.running), func(a, b model.TaskID) int { return strings.Compare(a.String(), b.String()) }) {
		p := n.running[id]
		if p == nil {
			continue
		}
		if !p.began {
			p.began = true
			c.input(n, lease.Began{Task: id, Attempt: p.attempt})
		}
		c.input(n, lease.Measured{Task: id, Attempt: p.attempt, Usage: model.Size{CPU: 250, Memory: 250}})
		if c.now >= p.ends {
			delete(n.running, id)
			c.input(n, lease.Finished{TaskEnd: proto.TaskEnd{Task: id, Attempt: p.attempt, End: proto.EndDone, Usage: model.Size{CPU: 250, Memory: 250}, Time: 4 * clock.Second}})
		}
	}
}

// single fails the test when a task runs on two nodes. Processes of a paused node do not run.
func (c *cell) single() {
	seen := make(map[model.TaskID]*node)
	for _, n := range c.nodes {
		if n.paused > c.now {
			continue
		}
		for id := range n.running {
			if o := seen[id]; o != nil {
				c.t.Fatalf("%s runs on %s and %s", id, o.id, n.id)
			}
			seen[id] = n
		}
	}
}

func (c *cell) disturb() {
	n := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(c.t, "node")]
	long := clock.Millis(rapid.IntRange(1, 30).Draw(c.t, "seconds")) * clock.Second
	switch rapid.SampledFrom([]string{"restart", "pause", "cut", "leader", "none"}).Draw(c.t, "fault") {
	case "restart":
		c.boot(n)
	case "pause":
		n.paused = c.now + long
	case "cut":
		n.cut = c.now + long
	case "leader":
		c.leader = false
		c.run(min(long, 3*clock.Second))
		c.elect()
	}
}

func (c *cell) run(d clock.Millis) {
	for until := c.now + d; c.now < until; {
		c.step()
	}
}

// Guards against a task that runs in two places, an attempt that is started twice and a task that
// is lost, over message loss, delay, reordering and duplication, failed commits, pauses, cuts,
// restarts of workers and changes of the leader.
func TestSingleRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(t)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			c.run(clock.Millis(rapid.IntRange(200, 6000).Draw(t, "time")))
			c.disturb()
		}
		c.lossy = false
		c.run(150 * clock.Second)
		for _, id := range c.sortedTasks() {
			if r := c.record[id]; r.phase != "done" {
				t.Fatalf("%s is %s, attempt %d on %s", id, r.phase, r.attempt, r.worker)
			}
		}
	})
}
