package plan_test

import (
	"fmt"

	"vanillabridge/core/flow"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
	"vanillabridge/core/relay"
)

// Durations of the simulated relays, as in the runtime.
const (
	leaderLease    = 960 * clock.Millisecond
	reportInterval = 150 * clock.Millisecond
	relayTimeout   = 700 * clock.Millisecond
	orderTimeout   = 800 * clock.Millisecond
	// maxStartCallTime is the time from the sending of a start order to its arrival that the planner allows for.
	maxStartCallTime = 1500 * clock.Millisecond
)

// carriers are simulated relays between a leader and its workers. They use the permissions, differences of reports and
// the assignment of core/relay.
type carriers struct {
	sim         *simulation
	list        []*carrier
	leaderSince clock.Millis
	assignment  relay.Map
	memories    map[model.WorkerID]leaderMemory
	carried     int
}

type leaderMemory struct {
	name   model.Instance
	memory relay.Memory
}

type carrier struct {
	name          model.Instance
	region        model.Region
	life          int // number of its process
	down, live    bool
	awakeAt       clock.Millis // it is frozen until then
	cutLeader     bool
	cutWorkers    bool
	permit        relay.Permit
	memories      map[model.WorkerID]relay.Memory
	lastReport    uint64
	heardAt, echo clock.Millis
	heardTerm     uint64
}

func newCarriers(sim *simulation, n int) *carriers {
	cs := &carriers{sim: sim, memories: map[model.WorkerID]leaderMemory{}, leaderSince: sim.now}
	for i := range n {
		c := &carrier{name: model.Instance(fmt.Sprintf("c%d", i)), region: model.Region(fmt.Sprintf("r%d", i%3)), memories: map[model.WorkerID]relay.Memory{}}
		cs.list = append(cs.list, c)
		cs.report(c)
	}
	cs.check()
	return cs
}

// takeOver begins the next term while relays may still have the permission of the last one, as after a hand-over.
func (cs *carriers) takeOver() {
	cs.leaderSince = cs.sim.now
	clear(cs.memories)
	for _, c := range cs.list {
		c.live = false
	}
	cs.assign()
}

// report renews the permission of a relay until the end of the simulation.
func (cs *carriers) report(c *carrier) {
	sim := cs.sim
	sim.after(reportInterval, func() { cs.report(c) })
	if c.down || sim.now < c.awakeAt {
		return
	}
	askedAt, life, permitted := sim.now, c.life, c.permit
	sim.after(transitTime, func() {
		if c.cutLeader {
			return
		}
		term := sim.term
		if permitted.Allows(term, askedAt) {
			c.heardAt, c.echo, c.heardTerm = sim.now, askedAt, term
		}
		sim.after(transitTime, func() {
			cs.whenAwake(c, life, func() { c.permit = c.permit.Extend(term, askedAt, leaderLease) })
		})
	})
}

// check finds relays that are lost and that are back.
func (cs *carriers) check() {
	cs.sim.after(100, cs.check)
	changed := false
	for _, c := range cs.list {
		live := c.heardTerm == cs.sim.term && cs.sim.now-c.heardAt <= relayTimeout
		changed = changed || live != c.live
		c.live = live
	}
	if changed {
		cs.assign()
	}
}

func (cs *carriers) assign() {
	var list []relay.Core
	for _, c := range cs.list {
		list = append(list, relay.Core{Instance: c.name, Region: c.region, Live: c.live})
	}
	cs.assignment = relay.NewMap(list, map[model.Zone]model.Region{"z0": "r0", "z1": "r1", "z2": "r2"})
}

func (cs *carriers) relayOf(id model.WorkerID) *carrier {
	name, ok := cs.assignment.Relay(id, model.Zone(fmt.Sprintf("z%d", id[len(id)-1]%3)))
	for _, c := range cs.list {
		if ok && c.name == name {
			return c
		}
	}
	return nil
}

// whenAwake runs f once a relay isn't frozen, unless its process has ended.
func (cs *carriers) whenAwake(c *carrier, life int, f func()) {
	if c.down || c.life != life {
		return
	}
	if cs.sim.now < c.awakeAt {
		cs.sim.after(c.awakeAt-cs.sim.now, func() { cs.whenAwake(c, life, f) })
		return
	}
	f()
}

// carry has a relay make a call to a worker. Exactly one of answered, notSent and unanswered is called, at the leader.
func (cs *carriers) carry(term uint64, id model.WorkerID, timeout clock.Millis, call func(c *carrier, reply func(answered func())), notSent, unanswered func()) {
	sim, over := cs.sim, false
	finish := func(f func()) {
		if !over {
			over = true
			f()
		}
	}
	c := cs.relayOf(id)
	if c == nil {
		finish(notSent)
		return
	}
	cs.carried++
	echo, life := c.echo, c.life
	sim.after(timeout, func() { finish(unanswered) })
	back := func(f func()) {
		cs.whenAwake(c, life, func() {
			if !c.cutLeader {
				sim.after(transitTime, func() { finish(f) })
			}
		})
	}
	sim.after(transitTime, func() {
		if c.cutLeader {
			return
		}
		cs.whenAwake(c, life, func() {
			if relay.IsStale(sim.now, echo) || !c.permit.Allows(term, sim.now) {
				back(notSent)
				return
			}
			if !c.cutWorkers {
				sim.after(1, func() { call(c, back) })
			}
		})
	})
}

func (cs *carriers) start(term uint64, d plan.Start) {
	sim := cs.sim
	answer := func(v plan.Verdict, at clock.Millis) {
		sim.step(term, plan.OrderAnswered{Worker: flow.Incarnation{ID: d.Worker.ID, StartedAt: d.Worker.StartedAt}, Task: d.Task, Attempt: d.Attempt, Verdict: v, Clock: at})
	}
	notSent, unanswered := func() { answer(plan.VerdictNotSent, 0) }, func() { answer(plan.VerdictUnknown, 0) }
	cs.carry(term, d.Worker.ID, orderTimeout, func(_ *carrier, reply func(func())) {
		if sim.rng.Float64() < sim.lostAnswerShare {
			sim.after(clock.Millis(sim.rng.IntN(12_000)), func() { cs.startAt(term, d) })
			return
		}
		if v, at := cs.startAt(term, d); v != plan.VerdictUnknown {
			reply(func() { answer(v, at) })
		}
	}, notSent, unanswered)
}

func (cs *carriers) startAt(term uint64, d plan.Start) (plan.Verdict, clock.Millis) {
	f := cs.sim.addressedWorker(d.Worker)
	if !cs.sim.isReachable(f) {
		return plan.VerdictUnknown, 0
	}
	v := cs.sim.handleStart(term, d)
	cs.checkLease(term, f, d.Worker.StartedAt)
	return v, cs.sim.clockOf(f)
}

func (cs *carriers) stop(term uint64, d plan.Stop) {
	nothing := func() {}
	cs.carry(term, d.Worker.ID, orderTimeout, func(_ *carrier, reply func(func())) {
		cs.sim.handleStop(term, d)
		reply(func() { cs.sim.answerStop(term, d) })
	}, nothing, nothing)
}

func (cs *carriers) hold(term uint64, incarnation flow.Incarnation, h plan.Hold) {
	sim, sentAt := cs.sim, cs.sim.now
	fail := func() {
		sim.step(term, plan.HoldFailed{Worker: incarnation, Cause: plan.FailureNoAnswer})
		sim.sendHold(term, incarnation)
	}
	id := incarnation.ID
	notSent := func() { sim.after(20, fail) }
	var base uint64
	if c := cs.relayOf(id); c != nil && cs.memories[id].name == c.name {
		base = cs.memories[id].memory.Number()
	}
	cs.carry(term, id, h.MaxWait+orderTimeout, func(c *carrier, reply func(func())) {
		receivedAt, life := sim.now, c.life
		if sim.rng.Float64() < sim.lostAnswerShare {
			sim.after(clock.Millis(sim.rng.IntN(10_000)), func() { cs.renewAt(term, h) })
			return
		}
		var wait func()
		wait = func() {
			f := cs.renewAt(term, h)
			if f == nil {
				return
			}
			if len(f.ends) == 0 && sim.now-receivedAt < h.MaxWait {
				sim.after(100, wait)
				return
			}
			report := sim.reportOf(f)
			cs.whenAwake(c, life, func() {
				var d relay.Delta
				c.lastReport++
				d, c.memories[id] = c.memories[id].Encode(sim.now, c.lastReport, base, report)
				reply(func() {
					m := cs.memories[id]
					if m.name != c.name {
						m = leaderMemory{name: c.name}
					}
					answer, memory, ok := m.memory.Decode(d)
					if term != sim.term {
						return
					}
					if !ok {
						sim.failf("%s: the report of %s differs from an unknown one", c.name, id)
					}
					cs.memories[id] = leaderMemory{name: c.name, memory: memory}
					answer.Worker, answer.SentAt, answer.ReceivedAt = incarnation, sentAt, sim.now
					sim.step(term, answer)
					sim.sendHold(term, incarnation)
				})
			})
		}
		wait()
	}, notSent, fail)
}

// renewAt handles a hold at its worker, or returns nil if the worker is not reachable.
func (cs *carriers) renewAt(term uint64, h plan.Hold) *fakeWorker {
	f := cs.sim.findWorker(h.Worker)
	if !cs.sim.isReachable(f) {
		return nil
	}
	cs.sim.renewLease(term, h, f)
	cs.checkLease(term, f, f.StartedAt)
	return f
}

// checkLease checks that a call of an earlier leader left a lease that ends when the present leader assumes it to. One that
// was meant for an earlier process of the worker may leave the longest lease; the attempts that it can start wait for that.
func (cs *carriers) checkLease(term uint64, f *fakeWorker, meantFor clock.Millis) {
	if term >= cs.sim.term || f.fencingToken != term {
		return
	}
	end := cs.sim.now + (f.leaseEnd-cs.sim.clockOf(f))*100/98
	assumed := cs.leaderSince + lease*104/100 + clock.Second
	if meantFor != f.StartedAt {
		assumed = cs.leaderSince + maxStartCallTime + maxLease*104/100
	}
	if end > assumed {
		cs.sim.failf("a call of term %d to %s in term %d leaves a lease until %d, later than the leader assumes: %d", term, f.ID, cs.sim.term, end, assumed)
	}
}

// crash ends a relay's process for a time.
func (c *carrier) crash(sim *simulation, downFor clock.Millis) {
	c.down = true
	sim.after(downFor, func() {
		c.down, c.permit, c.memories = false, relay.Permit{}, map[model.WorkerID]relay.Memory{}
		c.life++
		c.lastReport = uint64(sim.now) // numbers begin at the time
	})
}
