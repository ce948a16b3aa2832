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

func keyOf(i int) member.Key {
	return member.Key{Name: model.ServerID(fmt.Sprintf("b%04d", i)), Incarnation: 1}
}

// Guards against a server that fails at once and therefore always looks idle, a set that
// ejects itself, and an ejected server that never returns.
func TestEjection(t *testing.T) {
	s := route.NewSet(route.LeastActive, 1)
	all := freeAll{}
	for i := range 4 {
		s.Put(keyOf(i), 8)
	}
	picks := func(now clock.Millis, bad int) (n int) {
		for range 400 {
			k, _ := s.Pick(now, all)
			s.Started(k)
			failed := k == keyOf(0) || (bad > 1 && k != keyOf(3))
			s.Ended(now, k, 10, failed)
			if k == keyOf(0) {
				n++
			}
		}
		return n
	}
	if n := picks(0, 1); n > 20 {
		t.Errorf("%d of 400 requests went to a server that fails all", n)
	}
	if n := picks(500, 1); n != 0 {
		t.Errorf("%d requests went to an ejected server", n)
	}
	if n := picks(40_000, 1); n == 0 {
		t.Error("an ejected server never returns")
	}
	picks(80_000, 3)
	used := map[member.Key]bool{}
	for range 400 {
		k, _ := s.Pick(80_000, all)
		used[k] = true
	}
	if len(used) < 2 {
		t.Errorf("%d of 4 servers in use although only half may be ejected", len(used))
	}
}

// Guards against a server that returns to the set while old requests are in progress: each
// of their ends would make it look less loaded than idle.
func TestReturn(t *testing.T) {
	s := route.NewSet(route.LeastActive, 1)
	s.Put(keyOf(0), 8)
	s.Put(keyOf(1), 8)
	for range 20 {
		s.Started(keyOf(0))
	}
	s.Remove(keyOf(0))
	s.Put(keyOf(0), 8)
	for range 20 {
		s.Ended(0, keyOf(0), 10, false)
	}
	count := map[member.Key]int{}
	for range 20 {
		k, _ := s.Pick(0, freeAll{})
		s.Started(k)
		count[k]++
	}
	if count[keyOf(1)] < 9 {
		t.Errorf("picks %v", count)
	}
}

// Guards against spill-over that flaps around its limit.
func TestSpillHysteresis(t *testing.T) {
	var s route.Spill
	got := []bool{}
	for _, wait := range []clock.Millis{80, 119, 121, 80, 41, 39, 80} {
		s.Update(wait, 20)
		got = append(got, s.On())
	}
	if want := []bool{false, false, true, true, true, false, false}; !slices.Equal(got, want) {
		t.Errorf("spill %v, want %v", got, want)
	}
}

type freeAll struct{}

func (freeAll) Free(clock.Millis, member.Key) int { return 1 }

// usable is what the entry instance asks for each server: its evidence and its permits.
type usable struct {
	table  *member.Table
	holder *permit.Holder
}

func (u *usable) Free(now clock.Millis, k member.Key) int {
	n := u.holder.Free(now, k)
	if n == 0 || !u.table.Usable(now, k) || !u.holder.CanConnect(now, k) {
		return 0
	}
	return n
}

// BenchmarkPick measures one routing decision with the permits and evidence of all servers:
// with free servers, and with one free server among full ones, which is the longest search.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 200, 500, 1000, 2000} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/full=%v", n, full), func(b *testing.B) {
				u := &usable{member.New(0), permit.NewHolder(permit.Limits{Zone: "a", ZoneEntries: 3, Entries: 8})}
				s := route.NewSet(route.LeastActive, 1)
				for i := range n {
					k := keyOf(i)
					for seq := range uint64(2) {
						u.table.Step(0, member.Heard{Announce: announce(k, seq+1)})
					}
					u.holder.Offer(0, k, "a", 8, 64)
					s.Put(k, 8)
					for full && i != n/2 && u.holder.Acquire(0, k) {
						s.Started(k)
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					if _, ok := s.Pick(1, u); !ok {
						b.Fatal("no server")
					}
				}
			})
		}
	}
}

// simulated is a backend server in simulated time, with a queue of its own.
type simulated struct {
	remote  bool
	slow    clock.Millis // service time is a multiple of it
	decays  bool         // it becomes slower and then fails
	running int
	queue   []job
}

type job struct{ arrived, sent clock.Millis }

type done struct {
	server int
	job    job
	failed bool
}

// fleet runs one policy over two zones of servers with 8 slots each.
type fleet struct {
	policy  string
	servers []*simulated
	set     *route.Set
	far     *route.Set
	spill   route.Spill
	random  *rand.Rand
	ends    map[clock.Millis][]done
	waiting []job
	now     clock.Millis
	turn    int
	waits   []clock.Millis
	crossed int
	errors  int
}

const (
	slots   = 8
	oneWay  = 30 * clock.Millisecond
	simTime = 60 * clock.Second
	answer  = 4 << 10 // bytes of an answer
)

func (f *fleet) Free(_ clock.Millis, k member.Key) int {
	var i int
	_, _ = fmt.Sscanf(string(k.Name), "b%d", &i)
	return slots - f.servers[i].running
}

// place sends a job; the credit-less baseline queues at the server instead.
func (f *fleet) place(j job) bool {
	if f.policy == "round robin" {
		f.turn = (f.turn + 1) % len(f.servers)
		f.send(f.turn, j)
		return true
	}
	k, ok := f.set.Pick(f.now, f)
	if ok {
		f.set.Started(k)
	} else if f.spill.On() {
		if k, ok = f.far.Pick(f.now, f); ok {
			f.far.Started(k)
		}
	}
	if !ok {
		return false
	}
	var i int
	_, _ = fmt.Sscanf(string(k.Name), "b%d", &i)
	f.send(i, j)
	return true
}

func (f *fleet) send(i int, j job) {
	s := f.servers[i]
	j.sent = f.now
	if s.remote {
		f.crossed++
	}
	if s.running >= slots {
		s.queue = append(s.queue, j)
		return
	}
	f.start(i, j)
}

func (f *fleet) start(i int, j job) {
	s := f.servers[i]
	s.running++
	f.waits = append(f.waits, f.now-j.arrived)
	took := clock.Millis(float64(s.slow) * (0.5 + f.random.ExpFloat64()))
	failed := false
	switch {
	case s.decays && f.now > simTime/2:
		took, failed = 2, true // it fails at once
	case s.decays && f.now > simTime/4:
		took *= 10
	}
	if s.remote {
		took += 2 * oneWay
	}
	at := f.now + max(took, 1)
	f.ends[at] = append(f.ends[at], done{server: i, job: j, failed: failed})
}

func (f *fleet) end(d done) {
	s := f.servers[d.server]
	s.running--
	if d.failed {
		f.errors++
	}
	f.set.Ended(f.now, keyOf(d.server), f.now-d.job.sent, d.failed)
	f.far.Ended(f.now, keyOf(d.server), f.now-d.job.sent, d.failed)
	if len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		f.start(d.server, j)
	}
}

func (f *fleet) run(perMilli float64) {
	due := 0.0
	for ; f.now < simTime; f.now++ {
		for _, d := range f.ends[f.now] {
			f.end(d)
		}
		delete(f.ends, f.now)
		for due += perMilli * f.random.ExpFloat64(); due >= 1; due-- {
			f.waiting = append(f.waiting, job{arrived: f.now})
		}
		if len(f.waiting) > 0 {
			f.spill.Update(f.now-f.waiting[0].arrived, 20)
		} else {
			f.spill.Update(0, 20)
		}
		for len(f.waiting) > 0 && f.place(f.waiting[0]) {
			f.waiting = f.waiting[1:]
		}
	}
	for _, j := range f.waiting {
		f.waits = append(f.waits, f.now-j.arrived)
	}
	for _, s := range f.servers {
		for _, j := range s.queue {
			f.waits = append(f.waits, f.now-j.arrived)
		}
	}
}

// BenchmarkPolicy compares round robin without credits over all zones with the policies, in
// simulated time: 17 own and 17 remote servers, a quarter of them three times slower and two
// that become slow and then fail at once. The load is in percent of the own zone's capacity
// without failures.
func BenchmarkPolicy(b *testing.B) {
	for i := range 6 {
		policy, load := []string{"round robin", "smooth", "least active"}[i%3], []int{75, 110}[i/3]
		b.Run(fmt.Sprintf("load=%d/%s", load, policy), func(b *testing.B) {
			for b.Loop() {
				f := &fleet{policy: policy, random: rand.New(rand.NewPCG(1, 1)), far: route.NewSet(route.LeastActive, 2), ends: map[clock.Millis][]done{}}
				f.set = route.NewSet(route.LeastActive, 1)
				if policy == "smooth" {
					f.set = route.NewSet(route.SmoothRobin, 1)
				}
				for i := range 34 {
					s := &simulated{remote: i >= 17, slow: 40, decays: i%17 >= 15}
					if i%4 == 0 {
						s.slow = 120
					}
					f.servers = append(f.servers, s)
					if s.remote {
						f.far.Put(keyOf(i), slots)
					} else {
						f.set.Put(keyOf(i), slots)
					}
				}
				// 12 servers at 60 ms and 5 at 180 ms on average: 1.82 requests/ms in the own zone.
				f.run(float64(load) / 100 * slots * (12/60.0 + 5/180.0))
				slices.Sort(f.waits)
				b.ReportMetric(float64(f.waits[len(f.waits)/2]), "p50-wait-ms")
				b.ReportMetric(float64(f.waits[len(f.waits)*99/100]), "p99-wait-ms")
				b.ReportMetric(float64(f.waits[len(f.waits)-1]), "max-wait-ms")
				b.ReportMetric(float64(f.crossed*answer)/float64(len(f.waits)), "cross-B/req")
				b.ReportMetric(100*float64(f.errors)/float64(len(f.waits)), "errors-%")
			}
		})
	}
}

func announce(k member.Key, seq uint64) proto.Announce {
	return proto.Announce{Name: k.Name, Incarnation: k.Incarnation, Slots: 8, Conns: 64, State: proto.ServerServing, Seq: seq}
}
