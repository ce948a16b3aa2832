package permit_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/permit"
)

const (
	slots   = 8
	locals  = 3 // entry instances of the server's zone
	entries = 4
)

// profile is a kind of trouble. Each run has one, because a mixture seldom brings a server
// to its limit at the moment of a fault. Faults are in a thousand steps.
type profile struct {
	conns                  int
	runs, delays, copies   []int // drawn from
	crashes, pauses, steps int   // instance dies, instance pauses, leader steps down
	extend, vote, restart  int   // percent of steps in which the lease is extended, a leader is elected, an instance restarts
}

var profiles = []profile{
	{16, []int{5, 500, 3000, 12000}, []int{1, 5, 60, 400, 2500}, []int{0, 1, 1, 1, 1, 2}, 4, 8, 2, 90, 10, 20},
	{16, []int{12000}, []int{5}, []int{1}, 8, 0, 0, 100, 100, 100},                                               // crashes under full load
	{8, []int{12000}, []int{5}, []int{1}, 8, 0, 0, 100, 100, 100},                                                // the same, short of connections
	{16, []int{300, 1500, 12000, 12000}, []int{5, 20}, []int{1}, 0, 0, 8, 100, 100, 100},                         // changes of the granter
	{16, []int{300, 1500, 12000, 12000}, []int{5, 20, 600}, []int{1}, 0, 24, 0, 100, 100, 100},                   // pauses
	{16, []int{20, 300, 12000, 12000}, []int{5, 200, 600, 900, 1500}, []int{0, 1, 1, 2}, 0, 0, 0, 100, 100, 100}, // a bad network
	{16, []int{12000}, []int{5, 200, 600, 900, 1500}, []int{0, 1, 1, 1, 1, 1, 2}, 4, 0, 0, 100, 100, 100},        // the same with crashes
}

var (
	key   = member.Key{Name: "b", Incarnation: 1}
	names = []model.Instance{"a0", "a1", "a2", "far"}
)

// job is a request as the backend server sees it: it ends by its deadline at the latest.
type job struct {
	sent bool
	end  clock.Millis // global time at which the server ends it
	till clock.Millis // deadline on the clock of the instance
	at   clock.Millis // instant of sending on that clock
	life int
}

type instance struct {
	life    int
	up      bool
	wake    clock.Millis // global time until which it is paused
	drift   clock.Millis // parts per thousand
	offset  clock.Millis
	renewed clock.Millis
	holder  *permit.Holder
	jobs    []*job
}

type packet struct {
	at     clock.Millis
	to     int
	life   int
	ask    *permit.Request
	answer *permit.Answer
}

// fleet simulates the entry instances of two zones, one backend server and the network.
type fleet struct {
	profile
	t        *rapid.T
	random   *rand.Rand // uniform; rapid prefers small and extreme numbers
	now      clock.Millis
	list     []*instance
	granters []*permit.Granter
	leader   int
	lease    clock.Millis // global end of the leader's lease
	epoch    model.Epoch
	net      []packet
	ran      int
	remote   int
	peak     int
	full     int // steps with all slots in use
	steps    int
	counted  *int
	counting bool // the server counts its requests
	counts   clock.Millis
	floored  bool // a request ran on a floor while there was no leader
}

func (f *fleet) pick(n int) int { return f.random.IntN(n) }

func (f *fleet) one(list []int) clock.Millis { return clock.Millis(list[f.pick(len(list))]) }

// local returns the clock of an instance.
func (f *fleet) local(i int) clock.Millis {
	n := f.list[i]
	return n.offset + f.now*(1000+n.drift)/1000
}

func (f *fleet) start(i int, first bool) {
	n := f.list[i]
	n.life++
	n.up = true
	l := permit.Limits{
		Instance: names[i], Incarnation: model.Incarnation(n.life), Zone: "a", ZoneEntries: locals, Entries: entries,
		FloorFrom: f.local(i),
	}
	if i >= locals {
		l.Zone, l.ZoneEntries = "far", 1
	}
	if !first {
		l.FloorFrom += permit.WithDrift(permit.RequestTime)
	}
	n.holder = permit.NewHolder(l)
	if i < locals {
		n.holder.Offer(f.local(i), key, "a", slots, f.conns)
		f.granters[i] = permit.NewGranter("a", locals)
	}
}

// awake reports whether an instance takes steps.
func (f *fleet) awake(i int) bool { return f.list[i].up && f.now >= f.list[i].wake }

func (f *fleet) server(i int) []member.Server {
	return []member.Server{{
		Key: key, Service: "s", Zone: "a", Slots: slots, Conns: f.conns, Eligible: true,
		Evidence: f.local(i) - (f.now - f.counts), Active: f.counted,
	}}
}

func (f *fleet) renew(i int) {
	n := f.list[i]
	n.renewed = f.now
	var needs []permit.Need
	if i >= locals {
		needs = []permit.Need{{Service: "s", Want: f.want()}}
	} else {
		n.holder.Want(key, f.want())
	}
	r := n.holder.Renew(f.local(i), "a", needs)
	f.post(packet{to: f.leader, life: -1, ask: &r}, i)
}

// want is mostly all slots; a server short of connections leaves some to the other zone.
func (f *fleet) want() int {
	if f.pick(3) > 0 {
		return slots
	}
	return f.pick(slots + 1)
}

// post sends a message that may be lost, late, repeated or overtaken.
func (f *fleet) post(p packet, from int) {
	if p.ask != nil {
		p.life = from
	}
	for range make([]struct{}, f.one(f.copies)) {
		p.at = f.now + f.one(f.delays)
		f.net = append(f.net, p)
	}
}

func (f *fleet) deliver() {
	net := f.net
	f.net = nil
	for _, p := range net {
		switch {
		case p.at > f.now || (f.list[p.to].up && !f.awake(p.to)):
			f.net = append(f.net, p) // a paused process reads it later
		case !f.list[p.to].up:
		case p.ask != nil:
			a, err := f.granters[p.to].Renew(f.local(p.to), *p.ask, f.server(p.to))
			if err == nil {
				f.post(packet{to: p.life, life: f.list[p.life].life, answer: &a}, p.to)
			}
		case p.life == f.list[p.to].life:
			f.list[p.to].holder.Apply(f.local(p.to), "a", *p.answer)
		}
	}
}

// elect gives the leadership to a local instance once the old lease is over.
func (f *fleet) elect() {
	if f.now < f.lease {
		if f.awake(f.leader) && f.granters[f.leader].Leading(f.local(f.leader)) && f.pick(100) < f.extend {
			f.lead(f.leader)
		}
		return
	}
	next := f.pick(locals)
	if !f.awake(next) || f.pick(100) >= f.vote {
		return
	}
	f.epoch++
	f.leader = next
	f.lead(next)
}

func (f *fleet) lead(i int) {
	f.lease = f.now + 1000
	// The leader's own end of the lease is earlier by the drift bound.
	f.granters[i].Lead(f.local(i), f.epoch, f.local(i)+940)
}

func (f *fleet) request(i int) {
	n := f.list[i]
	if !n.holder.Connect(f.local(i), key) {
		return
	}
	if !n.holder.Acquire(f.local(i), key) {
		n.holder.Disconnect(f.local(i), key, 0)
		return
	}
	n.jobs = append(n.jobs, &job{till: f.local(i) + permit.RequestTime, life: n.life})
}

// progress sends, ends or abandons the requests of an instance.
func (f *fleet) progress(i int) {
	n := f.list[i]
	n.jobs = slices.DeleteFunc(n.jobs, func(j *job) bool { return f.advance(i, n, j) })
}

// advance takes the next step of a request and reports whether the instance forgets it.
func (f *fleet) advance(i int, n *instance, j *job) bool {
	now := f.local(i)
	switch {
	case !j.sent && f.pick(8) == 5:
		return false
	case !j.sent && now < j.till && n.holder.Covered(now, key):
		f.send(i, j)
		return false
	case !j.sent, j.end <= f.now:
		n.holder.Release(now, key, true, j.till)
		n.holder.Disconnect(now, key, 0)
	case f.pick(24) == 13 || now >= j.till:
		n.holder.Release(now, key, false, permit.LastRun(j.at))
		n.holder.Disconnect(now, key, permit.LastRun(j.at))
		old.jobs = append(old.jobs, j)
	default:
		return false
	}
	return true
}

func (f *fleet) send(i int, j *job) {
	j.sent, j.at = true, f.local(i)
	j.end = f.now + min(f.one(f.runs), j.till-f.local(i))
	f.ran++
	if i >= locals {
		f.remote++
	}
	f.floored = f.floored || (i < locals && f.now > f.lease+3000)
}

// old holds the requests that no instance remembers but the server may still run.
var old instance

func (f *fleet) crash(i int) {
	n := f.list[i]
	n.up = false
	old.jobs = append(old.jobs, n.jobs...)
	n.jobs = nil
}

// active counts the requests that run on the server and its open connections.
func (f *fleet) active() (running, open int) {
	for _, n := range append(f.list, &old) {
		for _, j := range n.jobs {
			if j.sent && f.now < j.end {
				running++
			}
			if f.now < j.end || n != &old {
				open++
			}
		}
	}
	return running, open
}

func (f *fleet) step() {
	f.now += f.one([]int{100, 30, 400, 5, 100})
	for i := range f.list {
		if f.awake(i) && f.pick(3) < 2 {
			f.request(i)
			f.request(i)
			f.progress(i)
		}
	}
	f.deliver()
	f.elect()
	for i, n := range f.list {
		if f.awake(i) && f.now-n.renewed >= permit.RenewTime {
			f.renew(i)
		}
	}
	if f.now-f.counts >= 500 && f.counting {
		n, _ := f.active()
		f.counted = &n
	}
	if f.now-f.counts >= 500 {
		f.counts = f.now
	}
	i := f.pick(len(f.list))
	n := f.list[i]
	switch what := f.pick(1000); {
	case !n.up && f.pick(100) < f.restart:
		f.start(i, false)
	case !f.awake(i):
	case what < f.crashes:
		f.crash(i)
	case what < f.crashes+f.steps:
		f.granters[f.leader].Unlead()
	case what < f.crashes+f.steps+f.pauses:
		n.wake = f.now + f.one([]int{50, 1500, 3000, 6000, 30000})
	default:
		f.progress(i)
	}
}

func newFleet(t *rapid.T) *fleet {
	seed := rapid.Uint64().Draw(t, "seed")
	f := &fleet{
		profile: rapid.SampledFrom(profiles).Draw(t, "profile"), t: t, random: rand.New(rand.NewPCG(seed, seed)),
		granters: make([]*permit.Granter, locals), counting: rapid.Bool().Draw(t, "counting"),
	}
	old.jobs = nil
	for i := range names {
		f.list = append(f.list, &instance{
			drift: clock.Millis(rapid.IntRange(-20, 20).Draw(t, "drift")), offset: clock.Millis(1_000_000 * (i + 1)),
		})
		f.start(i, true)
	}
	return f
}

// Guards against grants, floors and restarts that together give a backend server more
// requests or connections than it can carry, whatever is lost, late, repeated, crashed or
// paused, and over changes of the granter.
func TestCapacity(t *testing.T) {
	var sum fleet
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range 1500 {
			f.step()
			running, open := f.active()
			if running > slots || open > f.conns {
				t.Fatalf("%d requests and %d connections at %v", running, open, f.now)
			}
			sum.peak = max(sum.peak, running)
			if running == slots {
				sum.full++
			}
			sum.steps++
		}
		sum.ran, sum.remote, sum.floored = sum.ran+f.ran, sum.remote+f.remote, sum.floored || f.floored
	})
	t.Logf("%d requests, %d from another zone, all slots in use in %d of %d steps", sum.ran, sum.remote, sum.full, sum.steps)
	if sum.ran < 1000 || sum.remote < 100 || sum.peak < slots || !sum.floored {
		t.Fatalf("the property saw too little: on a floor without a leader: %v", sum.floored)
	}
}

// Guards against a floor and pool that exceed the slots, or a lone instance without a floor.
func TestFloor(t *testing.T) {
	for n := 0; n < 200; n++ {
		for e := 1; e < 50; e++ {
			floor := permit.Floor(n, e)
			if e*floor+permit.Pool(n, e) != n {
				t.Fatalf("%d slots, %d entries: floor %d, pool %d", n, e, floor, permit.Pool(n, e))
			}
			if n >= e && floor == 0 {
				t.Fatalf("%d slots, %d entries: no floor", n, e)
			}
		}
	}
}
