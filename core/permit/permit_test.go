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
	slots      = 8
	localCount = 3 // entry instances in the server's zone
	entryCount = 4
)

// profile sets the load and the fault rates of a run. Each run has one kind of fault, because a
// mixture of all seldom loads a server to its limit at the time of a fault.
type profile struct {
	conns                                       int
	runTimes, delays, copies                    []int // values to draw from; times in milliseconds
	crashes, pauses, stepDowns                  int   // per thousand steps: instance crashes, instance pauses, leader steps down
	extendPercent, electPercent, restartPercent int   // percent of steps with an extension of the lease, an election, a restart of an instance
}

var profiles = []profile{
	{16, []int{5, 500, 3000, 12000}, []int{1, 5, 60, 400, 2500}, []int{0, 1, 1, 1, 1, 2}, 4, 8, 2, 90, 10, 20},
	{16, []int{12000}, []int{5}, []int{1}, 8, 0, 0, 100, 100, 100},                                               // crashes under full load
	{8, []int{12000}, []int{5}, []int{1}, 8, 0, 0, 100, 100, 100},                                                // the same with few connections
	{16, []int{300, 1500, 12000, 12000}, []int{5, 20}, []int{1}, 0, 0, 8, 100, 100, 100},                         // changes of the granter
	{16, []int{300, 1500, 12000, 12000}, []int{5, 20, 600}, []int{1}, 0, 24, 0, 100, 100, 100},                   // pauses
	{16, []int{20, 300, 12000, 12000}, []int{5, 200, 600, 900, 1500}, []int{0, 1, 1, 2}, 0, 0, 0, 100, 100, 100}, // lossy and slow network
	{16, []int{12000}, []int{5, 200, 600, 900, 1500}, []int{0, 1, 1, 1, 1, 1, 2}, 4, 0, 0, 100, 100, 100},        // slow network with crashes
}

var (
	key   = member.Key{Name: "b", Incarnation: 1}
	names = []model.Instance{"a0", "a1", "a2", "far"}
)

// request is a request as the backend server sees it. It ends by its deadline at the latest.
type request struct {
	sent        bool
	endsAt      clock.Millis // global time at which the server ends it
	deadline    clock.Millis // on the clock of the instance
	sentAt      clock.Millis // on the clock of the instance
	incarnation int
}

type instance struct {
	incarnation   int
	up            bool
	pausedUntil   clock.Millis // global time
	driftPermille clock.Millis // of the clock's rate
	clockOffset   clock.Millis
	renewedAt     clock.Millis
	holder        *permit.Holder
	requests      []*request
}

type packet struct {
	deliverAt   clock.Millis
	to          int
	incarnation int
	request     *permit.Request
	answer      *permit.Answer
}

// simulation models the entry instances of two zones, one backend server and the network.
type simulation struct {
	profile
	t                      *rapid.T
	random                 *rand.Rand // uniform, whereas rapid prefers small and extreme numbers
	now                    clock.Millis
	instances              []*instance
	granters               []*permit.Granter
	leader                 int
	leaseEnd               clock.Millis // global time at which the leader's lease ends
	epoch                  model.Epoch
	inFlight               []packet
	requestsSent           int
	remoteSent             int
	peakRunning            int
	fullSteps              int // steps with all slots in use
	steps                  int
	reportedActive         *int
	reportsActive          bool // the server reports the number of its requests
	countedAt              clock.Millis
	usedFloorWithoutLeader bool // a request was sent on the floor while there was no leader
}

func (s *simulation) randomInt(n int) int { return s.random.IntN(n) }

func (s *simulation) randomTime(list []int) clock.Millis {
	return clock.Millis(list[s.randomInt(len(list))])
}

// localTime returns the time on the clock of an instance.
func (s *simulation) localTime(i int) clock.Millis {
	n := s.instances[i]
	return n.clockOffset + s.now*(1000+n.driftPermille)/1000
}

func (s *simulation) startInstance(i int, first bool) {
	n := s.instances[i]
	n.incarnation++
	n.up = true
	l := permit.HolderConfig{
		Instance: names[i], Incarnation: model.Incarnation(n.incarnation), Zone: "a", ZoneEntryCount: localCount, EntryCount: entryCount,
		UsableFrom: s.localTime(i),
	}
	if i >= localCount {
		l.Zone, l.ZoneEntryCount = "far", 1
	}
	if !first {
		l.UsableFrom += permit.WithDrift(permit.MaxRequestTime)
	}
	n.holder = permit.NewHolder(l)
	if i < localCount {
		n.holder.AddServer(s.localTime(i), key, "a", slots, s.conns)
		s.granters[i] = permit.NewGranter("a", localCount)
	}
}

// awake reports whether an instance is up and not paused.
func (s *simulation) awake(i int) bool {
	return s.instances[i].up && s.now >= s.instances[i].pausedUntil
}

func (s *simulation) serverList(i int) []member.Server {
	return []member.Server{{
		Key: key, Service: "s", Zone: "a", Slots: slots, MaxConns: s.conns, Eligible: true,
		AnnouncedAt: s.localTime(i) - (s.now - s.countedAt), ActiveRequests: s.reportedActive,
	}}
}

func (s *simulation) renew(i int) {
	n := s.instances[i]
	n.renewedAt = s.now
	var needs []permit.ServiceNeed
	if i >= localCount {
		needs = []permit.ServiceNeed{{Service: "s", Wanted: s.randomDemand()}}
	} else {
		n.holder.SetWanted(key, s.randomDemand())
	}
	r := n.holder.Renew(s.localTime(i), "a", needs)
	s.post(packet{to: s.leader, incarnation: -1, request: &r}, i)
}

// randomDemand returns all slots in two of three draws and any number otherwise. A server with few
// connections leaves some slots for the other zone.
func (s *simulation) randomDemand() int {
	if s.randomInt(3) > 0 {
		return slots
	}
	return s.randomInt(slots + 1)
}

// post sends a message, which may be lost, delayed, duplicated or reordered.
func (s *simulation) post(p packet, from int) {
	if p.request != nil {
		p.incarnation = from
	}
	for range make([]struct{}, s.randomTime(s.copies)) {
		p.deliverAt = s.now + s.randomTime(s.delays)
		s.inFlight = append(s.inFlight, p)
	}
}

func (s *simulation) deliver() {
	net := s.inFlight
	s.inFlight = nil
	for _, p := range net {
		switch {
		case p.deliverAt > s.now || (s.instances[p.to].up && !s.awake(p.to)):
			s.inFlight = append(s.inFlight, p) // a paused instance receives it later
		case !s.instances[p.to].up:
		case p.request != nil:
			a, err := s.granters[p.to].Renew(s.localTime(p.to), *p.request, s.serverList(p.to))
			if err == nil {
				s.post(packet{to: p.incarnation, incarnation: s.instances[p.incarnation].incarnation, answer: &a}, p.to)
			}
		case p.incarnation == s.instances[p.to].incarnation:
			s.instances[p.to].holder.Apply(s.localTime(p.to), "a", *p.answer)
		}
	}
}

// electLeader may extend the leader's lease or, once the lease has ended, make a local instance the
// leader.
func (s *simulation) electLeader() {
	if s.now < s.leaseEnd {
		if s.awake(s.leader) && s.granters[s.leader].Leading(s.localTime(s.leader)) && s.randomInt(100) < s.extendPercent {
			s.extendLease(s.leader)
		}
		return
	}
	next := s.randomInt(localCount)
	if !s.awake(next) || s.randomInt(100) >= s.electPercent {
		return
	}
	s.epoch++
	s.leader = next
	s.extendLease(next)
}

func (s *simulation) extendLease(i int) {
	s.leaseEnd = s.now + 1000
	// The lease ends earlier on the leader's own clock, by the bound on clock drift.
	s.granters[i].Lead(s.localTime(i), s.epoch, s.localTime(i)+940)
}

func (s *simulation) startRequest(i int) {
	n := s.instances[i]
	if !n.holder.AcquireConn(s.localTime(i), key) {
		return
	}
	if !n.holder.Acquire(s.localTime(i), key) {
		n.holder.ReleaseConn(s.localTime(i), key, 0)
		return
	}
	n.requests = append(n.requests, &request{deadline: s.localTime(i) + permit.MaxRequestTime, incarnation: n.incarnation})
}

// advanceRequests sends, ends or abandons the requests of an instance.
func (s *simulation) advanceRequests(i int) {
	n := s.instances[i]
	n.requests = slices.DeleteFunc(n.requests, func(r *request) bool { return s.advance(i, n, r) })
}

// advance performs the next step of a request and reports whether the instance is done with it.
func (s *simulation) advance(i int, n *instance, r *request) bool {
	now := s.localTime(i)
	switch {
	case !r.sent && s.randomInt(8) == 5:
		return false
	case !r.sent && now < r.deadline && n.holder.WithinPermits(now, key):
		s.sendRequest(i, r)
		return false
	case !r.sent, r.endsAt <= s.now:
		n.holder.Release(now, key, true, r.deadline)
		n.holder.ReleaseConn(now, key, 0)
	case s.randomInt(24) == 13 || now >= r.deadline:
		n.holder.Release(now, key, false, permit.LatestRunEnd(r.sentAt))
		n.holder.ReleaseConn(now, key, permit.LatestRunEnd(r.sentAt))
		untracked.requests = append(untracked.requests, r)
	default:
		return false
	}
	return true
}

func (s *simulation) sendRequest(i int, r *request) {
	r.sent, r.sentAt = true, s.localTime(i)
	r.endsAt = s.now + min(s.randomTime(s.runTimes), r.deadline-s.localTime(i))
	s.requestsSent++
	if i >= localCount {
		s.remoteSent++
	}
	s.usedFloorWithoutLeader = s.usedFloorWithoutLeader || (i < localCount && s.now > s.leaseEnd+3000)
}

// untracked holds the requests that no instance tracks any more but the server may still run.
var untracked instance

func (s *simulation) crash(i int) {
	n := s.instances[i]
	n.up = false
	untracked.requests = append(untracked.requests, n.requests...)
	n.requests = nil
}

// countActive counts the requests that run on the server and its open connections.
func (s *simulation) countActive() (running, open int) {
	for _, n := range append(s.instances, &untracked) {
		for _, r := range n.requests {
			if r.sent && s.now < r.endsAt {
				running++
			}
			if s.now < r.endsAt || n != &untracked {
				open++
			}
		}
	}
	return running, open
}

func (s *simulation) step() {
	s.now += s.randomTime([]int{100, 30, 400, 5, 100})
	for i := range s.instances {
		if s.awake(i) && s.randomInt(3) < 2 {
			s.startRequest(i)
			s.startRequest(i)
			s.advanceRequests(i)
		}
	}
	s.deliver()
	s.electLeader()
	for i, n := range s.instances {
		if s.awake(i) && s.now-n.renewedAt >= permit.RenewInterval {
			s.renew(i)
		}
	}
	if s.now-s.countedAt >= 500 && s.reportsActive {
		n, _ := s.countActive()
		s.reportedActive = &n
	}
	if s.now-s.countedAt >= 500 {
		s.countedAt = s.now
	}
	i := s.randomInt(len(s.instances))
	n := s.instances[i]
	switch draw := s.randomInt(1000); {
	case !n.up && s.randomInt(100) < s.restartPercent:
		s.startInstance(i, false)
	case !s.awake(i):
	case draw < s.crashes:
		s.crash(i)
	case draw < s.crashes+s.stepDowns:
		s.granters[s.leader].StepDown()
	case draw < s.crashes+s.stepDowns+s.pauses:
		n.pausedUntil = s.now + s.randomTime([]int{50, 1500, 3000, 6000, 30000})
	default:
		s.advanceRequests(i)
	}
}

func newSimulation(t *rapid.T) *simulation {
	seed := rapid.Uint64().Draw(t, "seed")
	s := &simulation{
		profile: rapid.SampledFrom(profiles).Draw(t, "profile"), t: t, random: rand.New(rand.NewPCG(seed, seed)),
		granters: make([]*permit.Granter, localCount), reportsActive: rapid.Bool().Draw(t, "counting"),
	}
	untracked.requests = nil
	for i := range names {
		s.instances = append(s.instances, &instance{
			driftPermille: clock.Millis(rapid.IntRange(-20, 20).Draw(t, "drift")), clockOffset: clock.Millis(1_000_000 * (i + 1)),
		})
		s.startInstance(i, true)
	}
	return s
}

// Guards against credits, floors and restarts that together put more requests or connections on a
// backend server than it has slots or connections for, under message loss, delay, duplication and
// reordering, crashes, pauses and changes of the granter.
func TestCapacity(t *testing.T) {
	var sum simulation
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range 1500 {
			s.step()
			running, open := s.countActive()
			if running > slots || open > s.conns {
				t.Fatalf("server has %d requests in progress and %d open connections at %v", running, open, s.now)
			}
			sum.peakRunning = max(sum.peakRunning, running)
			if running == slots {
				sum.fullSteps++
			}
			sum.steps++
		}
		sum.requestsSent, sum.remoteSent, sum.usedFloorWithoutLeader = sum.requestsSent+s.requestsSent, sum.remoteSent+s.remoteSent, sum.usedFloorWithoutLeader || s.usedFloorWithoutLeader
	})
	t.Logf("sent %d requests, %d from another zone; all slots in use in %d of %d steps", sum.requestsSent, sum.remoteSent, sum.fullSteps, sum.steps)
	if sum.requestsSent < 1000 || sum.remoteSent < 100 || sum.peakRunning < slots || !sum.usedFloorWithoutLeader {
		t.Fatalf("too few of the cases were exercised; floor used without a leader: %v", sum.usedFloorWithoutLeader)
	}
}

// Guards against floors and a pool that do not add up to the slots, and against an entry instance
// without a floor on a server that has a slot for each.
func TestFloor(t *testing.T) {
	for n := 0; n < 200; n++ {
		for e := 1; e < 50; e++ {
			floor := permit.FloorSlots(n, e)
			if e*floor+permit.PoolSlots(n, e) != n {
				t.Fatalf("%d slots, %d entry instances: floor %d and pool %d do not add up", n, e, floor, permit.PoolSlots(n, e))
			}
			if n >= e && floor == 0 {
				t.Fatalf("%d slots, %d entry instances: no floor", n, e)
			}
		}
	}
}
