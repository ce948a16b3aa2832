package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/permit"
	"vanillabridge/core/proto"
	"vanillabridge/core/route"
)

func serverKey(i int) member.Key {
	return member.Key{Name: model.ServerID(fmt.Sprintf("b%04d", i)), Incarnation: 1}
}

// Guards against a server that fails requests immediately, so that it always looks idle and attracts
// them all, against the ejection of most of the servers, and against an ejected server that is never
// tried again.
func TestEjection(t *testing.T) {
	s := route.NewServerSet(route.LeastActive, 1)
	all := alwaysFree{}
	for i := range 4 {
		s.Put(serverKey(i), 8)
	}
	requestsToFirst := func(now clock.Millis, bad int) (n int) {
		for range 400 {
			k, _ := s.Pick(now, all)
			s.RecordStart(k)
			failed := k == serverKey(0) || (bad > 1 && k != serverKey(3))
			s.RecordEnd(now, k, 10, failed)
			if k == serverKey(0) {
				n++
			}
		}
		return n
	}
	if n := requestsToFirst(0, 1); n > 20 {
		t.Errorf("%d of 400 requests went to a server that fails all requests, want at most 20", n)
	}
	if n := requestsToFirst(500, 1); n != 0 {
		t.Errorf("%d requests went to an ejected server", n)
	}
	if n := requestsToFirst(40_000, 1); n == 0 {
		t.Error("ejected server got no request after its ejection ended")
	}
	requestsToFirst(80_000, 3)
	used := map[member.Key]bool{}
	for range 400 {
		k, _ := s.Pick(80_000, all)
		used[k] = true
	}
	if len(used) < 2 {
		t.Errorf("%d of 4 servers in use, want at least 2: only half may be ejected", len(used))
	}
}

// Guards against a negative load of a server that was removed and added again while requests were in
// progress: each of them that ends would make the server look less loaded than an idle one.
func TestLoadOfReaddedServer(t *testing.T) {
	s := route.NewServerSet(route.LeastActive, 1)
	s.Put(serverKey(0), 8)
	s.Put(serverKey(1), 8)
	for range 20 {
		s.RecordStart(serverKey(0))
	}
	s.Remove(serverKey(0))
	s.Put(serverKey(0), 8)
	for range 20 {
		s.RecordEnd(0, serverKey(0), 10, false)
	}
	count := map[member.Key]int{}
	for range 20 {
		k, _ := s.Pick(0, alwaysFree{})
		s.RecordStart(k)
		count[k]++
	}
	if count[serverKey(1)] < 9 {
		t.Errorf("requests per server %v, want at least 9 of 20 on each", count)
	}
}

// Guards against spillover that starts and stops repeatedly while the wait is near the threshold.
func TestSpilloverHysteresis(t *testing.T) {
	var s route.Spillover
	got := []bool{}
	for _, wait := range []clock.Millis{80, 119, 121, 80, 41, 39, 80} {
		s.Update(wait, 20)
		got = append(got, s.Active())
	}
	if want := []bool{false, false, true, true, true, false, false}; !slices.Equal(got, want) {
		t.Errorf("spillover states %v, want %v", got, want)
	}
}

type alwaysFree struct{}

func (alwaysFree) Free(clock.Millis, member.Key) int { return 1 }

// entryPermits makes the checks that an entry instance makes for each server: recent evidence, free
// permits and free connections.
type entryPermits struct {
	table  *member.Table
	holder *permit.Holder
}

func (u *entryPermits) Free(now clock.Millis, k member.Key) int {
	n := u.holder.Free(now, k)
	if n == 0 || !u.table.Usable(now, k) || !u.holder.HasFreeConn(now, k) {
		return 0
	}
	return n
}

// BenchmarkPick measures one routing decision, including the checks of permits and evidence: with all
// servers free, and with one free server among full ones, which takes the longest search.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 200, 500, 1000, 2000} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/full=%v", n, full), func(b *testing.B) {
				u := &entryPermits{member.NewTable(0), permit.NewHolder(permit.HolderConfig{Zone: "a", ZoneEntryCount: 3, EntryCount: 8})}
				s := route.NewServerSet(route.LeastActive, 1)
				for i := range n {
					k := serverKey(i)
					for seq := range uint64(2) {
						u.table.Step(0, member.AnnouncementReceived{Announce: newAnnounce(k, seq+1)})
					}
					u.holder.AddServer(0, k, "a", 8, 64)
					s.Put(k, 8)
					for full && i != n/2 && u.holder.Acquire(0, k) {
						s.RecordStart(k)
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					if _, ok := s.Pick(1, u); !ok {
						b.Fatal("no server picked, want the free one")
					}
				}
			})
		}
	}
}

// simServer is a backend server with its own queue, in simulated time.
type simServer struct {
	remote          bool
	baseServiceTime clock.Millis // multiplied by a random factor for each request
	degrades        bool         // becomes slow after a quarter of the run and fails after half of it
	running         int
	queue           []request
}

type request struct{ arrivedAt, sentAt clock.Millis }

type completion struct {
	server  int
	request request
	failed  bool
}

// simulation runs one policy with two zones of servers, which have 8 slots each.
type simulation struct {
	policy         string
	servers        []*simServer
	localSet       *route.ServerSet
	remoteSet      *route.ServerSet
	spill          route.Spillover
	random         *rand.Rand
	completions    map[clock.Millis][]completion
	waiting        []request
	now            clock.Millis
	lastServer     int
	waits          []clock.Millis
	remoteRequests int
	errors         int
}

const (
	slots         = 8
	oneWayDelay   = 30 * clock.Millisecond
	simDuration   = 60 * clock.Second
	responseBytes = 4 << 10
)

func (sim *simulation) Free(_ clock.Millis, k member.Key) int {
	var i int
	_, _ = fmt.Sscanf(string(k.Name), "b%d", &i)
	return slots - sim.servers[i].running
}

// dispatch sends a request to a server with a free slot and reports whether there was one. The round
// robin baseline has no credits: it sends the request to the next server, which queues it.
func (sim *simulation) dispatch(r request) bool {
	if sim.policy == "round robin" {
		sim.lastServer = (sim.lastServer + 1) % len(sim.servers)
		sim.send(sim.lastServer, r)
		return true
	}
	k, ok := sim.localSet.Pick(sim.now, sim)
	if ok {
		sim.localSet.RecordStart(k)
	} else if sim.spill.Active() {
		if k, ok = sim.remoteSet.Pick(sim.now, sim); ok {
			sim.remoteSet.RecordStart(k)
		}
	}
	if !ok {
		return false
	}
	var i int
	_, _ = fmt.Sscanf(string(k.Name), "b%d", &i)
	sim.send(i, r)
	return true
}

func (sim *simulation) send(i int, r request) {
	s := sim.servers[i]
	r.sentAt = sim.now
	if s.remote {
		sim.remoteRequests++
	}
	if s.running >= slots {
		s.queue = append(s.queue, r)
		return
	}
	sim.start(i, r)
}

func (sim *simulation) start(i int, r request) {
	s := sim.servers[i]
	s.running++
	sim.waits = append(sim.waits, sim.now-r.arrivedAt)
	took := clock.Millis(float64(s.baseServiceTime) * (0.5 + sim.random.ExpFloat64()))
	failed := false
	switch {
	case s.degrades && sim.now > simDuration/2:
		took, failed = 2, true // fails immediately
	case s.degrades && sim.now > simDuration/4:
		took *= 10
	}
	if s.remote {
		took += 2 * oneWayDelay
	}
	at := sim.now + max(took, 1)
	sim.completions[at] = append(sim.completions[at], completion{server: i, request: r, failed: failed})
}

func (sim *simulation) complete(c completion) {
	s := sim.servers[c.server]
	s.running--
	if c.failed {
		sim.errors++
	}
	sim.localSet.RecordEnd(sim.now, serverKey(c.server), sim.now-c.request.sentAt, c.failed)
	sim.remoteSet.RecordEnd(sim.now, serverKey(c.server), sim.now-c.request.sentAt, c.failed)
	if len(s.queue) > 0 {
		r := s.queue[0]
		s.queue = s.queue[1:]
		sim.start(c.server, r)
	}
}

func (sim *simulation) simulate(requestsPerMs float64) {
	due := 0.0
	for ; sim.now < simDuration; sim.now++ {
		for _, c := range sim.completions[sim.now] {
			sim.complete(c)
		}
		delete(sim.completions, sim.now)
		for due += requestsPerMs * sim.random.ExpFloat64(); due >= 1; due-- {
			sim.waiting = append(sim.waiting, request{arrivedAt: sim.now})
		}
		if len(sim.waiting) > 0 {
			sim.spill.Update(sim.now-sim.waiting[0].arrivedAt, 20)
		} else {
			sim.spill.Update(0, 20)
		}
		for len(sim.waiting) > 0 && sim.dispatch(sim.waiting[0]) {
			sim.waiting = sim.waiting[1:]
		}
	}
	for _, r := range sim.waiting {
		sim.waits = append(sim.waits, sim.now-r.arrivedAt)
	}
	for _, s := range sim.servers {
		for _, r := range s.queue {
			sim.waits = append(sim.waits, sim.now-r.arrivedAt)
		}
	}
}

// BenchmarkPolicy compares the policies with round robin over all zones without credits, in simulated
// time. There are 17 local and 17 remote servers. A quarter of them is three times slower, and two per
// zone become slow and then fail immediately. The load is in percent of the local zone's capacity
// without failures.
func BenchmarkPolicy(b *testing.B) {
	for i := range 6 {
		policy, load := []string{"round robin", "smooth", "least active"}[i%3], []int{75, 110}[i/3]
		b.Run(fmt.Sprintf("load=%d/%s", load, policy), func(b *testing.B) {
			for b.Loop() {
				sim := &simulation{policy: policy, random: rand.New(rand.NewPCG(1, 1)), remoteSet: route.NewServerSet(route.LeastActive, 2), completions: map[clock.Millis][]completion{}}
				sim.localSet = route.NewServerSet(route.LeastActive, 1)
				if policy == "smooth" {
					sim.localSet = route.NewServerSet(route.SmoothRoundRobin, 1)
				}
				for i := range 34 {
					s := &simServer{remote: i >= 17, baseServiceTime: 40, degrades: i%17 >= 15}
					if i%4 == 0 {
						s.baseServiceTime = 120
					}
					sim.servers = append(sim.servers, s)
					if s.remote {
						sim.remoteSet.Put(serverKey(i), slots)
					} else {
						sim.localSet.Put(serverKey(i), slots)
					}
				}
				// 12 servers at 60 ms and 5 at 180 ms on average: 1.82 requests/ms in the local zone.
				sim.simulate(float64(load) / 100 * slots * (12/60.0 + 5/180.0))
				slices.Sort(sim.waits)
				b.ReportMetric(float64(sim.waits[len(sim.waits)/2]), "p50-wait-ms")
				b.ReportMetric(float64(sim.waits[len(sim.waits)*99/100]), "p99-wait-ms")
				b.ReportMetric(float64(sim.waits[len(sim.waits)-1]), "max-wait-ms")
				b.ReportMetric(float64(sim.remoteRequests*responseBytes)/float64(len(sim.waits)), "cross-B/req")
				b.ReportMetric(100*float64(sim.errors)/float64(len(sim.waits)), "errors-%")
			}
		})
	}
}

func newAnnounce(k member.Key, seq uint64) proto.ServerAnnouncement {
	return proto.ServerAnnouncement{Name: k.Name, Incarnation: k.Incarnation, Slots: 8, MaxConns: 64, State: proto.ServerServing, Seq: seq}
}
