package plan_test

import (
	"fmt"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
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
	name    model.Instance
	process flow.Incarnation // whose report is remembered
	memory  relay.Memory
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
	answer := func(v plan.Verdict, at clock.Millis) { sim.step(term, startAnswer(d, v, at)) }
	notSent, unanswered := func() { answer(plan.VerdictNotSent, 0) }, func() { answer(plan.VerdictUnknown, 0) }
	cs.carry(term, d.Worker.ID, orderTimeout, func(_ *carrier, reply func(func())) {
		start := func(f *fakeWorker) { cs.startAt(term, d, f) }
		f, failure := sim.reach(d.Worker)
		switch {
		case f == nil:
			sim.holdUp(d.Worker, start)
			if v, at := sim.failedOrder(d.Worker, failure); v != plan.VerdictUnknown {
				reply(func() { answer(v, at) })
			}
		case sim.rng.Float64() < sim.lostAnswerShare:
			sim.carryOutLate(clock.Millis(sim.rng.Int64N(int64(maxCallDelay))), d.Worker, f, start)
		default:
			v := cs.startAt(term, d, f)
			at := sim.clockOf(f)
			sim.after(sim.extraDelay(f), func() { reply(func() { answer(v, at) }) })
		}
	}, notSent, unanswered)
}

func (cs *carriers) startAt(term uint64, d plan.Start, f *fakeWorker) plan.Verdict {
	v := cs.sim.handleStart(term, d, f)
	cs.checkLease(term, f)
	return v
}

func (cs *carriers) stop(term uint64, d plan.Stop) {
	nothing := func() {}
	cs.carry(term, d.Worker.ID, orderTimeout, func(_ *carrier, reply func(func())) {
		if v, at := cs.sim.deliverStop(term, d); v != plan.VerdictUnknown {
			reply(func() { cs.sim.step(term, stopAnswer(d, v, at)) })
		}
	}, nothing, nothing)
}

func (cs *carriers) hold(term uint64, incarnation flow.Incarnation, h plan.Hold) {
	sim, sentAt := cs.sim, cs.sim.now
	fail := func(cause plan.Failure) func() { return func() { sim.failHold(term, incarnation, 0, cause) } }
	id := incarnation.ID
	notSent := func() { sim.failHold(term, incarnation, 20, plan.FailureNoAnswer) }
	var base uint64
	if c := cs.relayOf(id); c != nil && cs.memories[id].name == c.name {
		base = cs.memories[id].memory.Number()
	}
	cs.carry(term, id, h.MaxWait+orderTimeout, func(c *carrier, reply func(answered func())) {
		receivedAt, life := sim.now, c.life
		renew := func(f *fakeWorker) { cs.renewAt(term, h, f) }
		f, failure := sim.reach(h.Worker)
		switch {
		case failure == plan.FailureNoAnswer:
			sim.holdUp(h.Worker, renew)
			return
		case f == nil:
			reply(fail(failure))
			return
		case sim.rng.Float64() < sim.lostAnswerShare:
			sim.carryOutLate(clock.Millis(sim.rng.IntN(10_000)), h.Worker, f, renew)
			return
		}
		var wait func()
		wait = func() {
			if !sim.isReachable(f) {
				if _, failure := sim.reach(h.Worker); failure == plan.FailureRestarted || failure == plan.FailureOtherIncarnation {
					reply(fail(failure))
				}
				return
			}
			renew(f)
			if f.StartedAt != h.Worker.StartedAt {
				reply(fail(plan.FailureRestarted))
				return
			}
			if len(f.ends) == 0 && sim.now-receivedAt < h.MaxWait {
				sim.after(100, wait)
				return
			}
			report := sim.reportOf(f)
			report.Worker = incarnation
			sim.after(sim.extraDelay(f), func() {
				cs.passOn(c, life, term, base, report, reply, func(answer plan.HoldAnswered) {
					answer.Worker, answer.SentAt, answer.ReceivedAt = incarnation, sentAt, sim.now
					sim.step(term, answer)
					sim.sendHold(term, incarnation)
				})
			})
		}
		wait()
	}, notSent, fail(plan.FailureNoAnswer))
}

// passOn passes a report of a worker on to the leader, as the difference to an earlier one.
func (cs *carriers) passOn(c *carrier, life int, term, base uint64, report plan.HoldAnswered, reply func(answered func()), answered func(plan.HoldAnswered)) {
	sim, id := cs.sim, report.Worker.ID
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
			if !ok && m.process == report.Worker {
				sim.failf("%s: the report of %s differs from an unknown one", c.name, id)
			}
			if !ok {
				// A hold to another process of the worker was under way too, and their answers have overtaken each other.
				delete(cs.memories, id)
				sim.failHold(term, report.Worker, 0, plan.FailureNoAnswer)
				return
			}
			cs.memories[id] = leaderMemory{name: c.name, process: report.Worker, memory: memory}
			answered(answer)
		})
	})
}

// renewAt handles a hold that a relay has carried to a process.
func (cs *carriers) renewAt(term uint64, h plan.Hold, f *fakeWorker) {
	cs.sim.renewLease(term, h, f)
	cs.checkLease(term, f)
}

// checkLease checks that a call of an earlier leader left a lease that ends when the present leader assumes it to.
func (cs *carriers) checkLease(term uint64, f *fakeWorker) {
	if term >= cs.sim.term || f.fencingToken != term {
		return
	}
	end := cs.sim.now + (f.leaseEnd-cs.sim.clockOf(f))*100/98
	if assumed := cs.leaderSince + lease*104/100 + clock.Second; end > assumed {
		cs.sim.violate(otherViolation, "a call of term %d to %s in term %d leaves a lease until %d, later than the leader assumes: %d", term, f.ID, cs.sim.term, end, assumed)
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
