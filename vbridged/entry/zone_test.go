package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/permit"
	"vanillabridge/core/proto"
	"vanillabridge/vbridged/entry"
)

// settleTime is longer than a new granter holds the slots of a server that doesn't count its
// requests.
const settleTime = 14 * time.Second

// pipes is a listener and dialer without sockets, for tests in simulated time.
type pipes struct{ conns chan net.Conn }

func (p *pipes) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipes) Close() error   { return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (p *pipes) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.conns <- far
	return near, nil
}

// peer is one entry instance of a zone; its ports reach the others unless it is cut off.
type peer struct {
	*world
	zone *zone
	cut  atomic.Bool
}

// zone is an availability zone with one backend server, led by its first instance.
type zone struct {
	name   model.Zone
	peers  []*peer
	lender *zone // where requests may spill
	pipes  pipes
	busy   atomic.Int64
	peak   atomic.Int64
	served atomic.Int64
}

func (p *peer) Send(to model.Instance, m member.Relay) {
	for _, o := range p.zone.peers {
		if model.Instance(o.name()) == to && !p.cut.Load() && !o.cut.Load() {
			go o.entry.Receive(m) // the caller holds its lock
		}
	}
}

func (p *peer) name() string { return string(p.zone.name) + string(rune('1'+p.index())) }

func (p *peer) index() int {
	for i, o := range p.zone.peers {
		if o == p {
			return i
		}
	}
	return 0
}

func (p *peer) Renew(_ context.Context, to model.Zone, r permit.Request) (permit.Answer, error) {
	if p.cut.Load() {
		return permit.Answer{}, fault.ErrUnavailable
	}
	if to != p.zone.name {
		return p.zone.lender.peers[0].entry.Grant(r)
	}
	return p.zone.peers[0].entry.Grant(r)
}

func newZone(ctx context.Context, t *testing.T, wait *sync.WaitGroup, name model.Zone, count int, lender *zone) *zone {
	z := &zone{name: name, lender: lender, pipes: pipes{conns: make(chan net.Conn)}}
	for range count {
		p := &peer{zone: z, world: &world{clock: clock.NewSystem(), snap: entry.Snapshot{Routes: map[string]entry.Route{"svc": {}}}}}
		z.peers = append(z.peers, p)
	}
	for i, p := range z.peers {
		set := entry.Settings{Instance: model.Instance(p.name()), Incarnation: 1, Zone: name, Entries: 8, First: true, Seed: uint64(i)}
		for _, o := range z.peers {
			if o != p {
				set.Peers = append(set.Peers, model.Instance(o.name()))
			}
		}
		ports := entry.Ports{Clock: p.clock, Config: p, Records: p, Granter: p, Relay: p, Events: p, Dialer: &z.pipes}
		if lender != nil {
			set.Others = []model.Zone{lender.name}
			ports.Dialer = &lender.pipes
		}
		e, err := entry.New(set, ports, newMetrics())
		if err != nil {
			t.Fatal(err)
		}
		p.entry = e
	}
	z.lead()
	server := &http.Server{Handler: http.HandlerFunc(z.work), ReadHeaderTimeout: time.Minute}
	wait.Go(func() { _ = server.Serve(&z.pipes) })
	for _, p := range z.peers {
		wait.Go(func() { p.entry.Run(ctx) })
	}
	return z
}

func (z *zone) lead() { z.peers[0].entry.Lead(1, z.peers[0].clock.Now()+clock.Hour) }

// work is the backend server: it counts the requests in progress.
func (z *zone) work(w http.ResponseWriter, r *http.Request) {
	n := z.busy.Add(1)
	defer z.busy.Add(-1)
	for old := z.peak.Load(); n > old; old = z.peak.Load() {
		z.peak.CompareAndSwap(old, n)
	}
	z.served.Add(1)
	left, _ := strconv.Atoi(r.Header.Get(proto.HeaderDeadline))
	time.Sleep(min(100, time.Duration(left)) * time.Millisecond)
	_, _ = io.WriteString(w, "ok")
}

// announce makes the backend server announce itself to one instance for a time.
func (z *zone) announce(t *testing.T, to *peer, length time.Duration) {
	for range length / (500 * time.Millisecond) {
		a := announceOf("b", z.pipes.Addr())
		a.Zone = z.name
		z.peers[0].seq++
		a.Seq = z.peers[0].seq
		if status := to.tryAnnounce(a); status != http.StatusNoContent {
			t.Errorf("announcement: status %d", status)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// load sends a request every 5 ms to each instance for a time and counts the answers.
func load(peers []*peer, length time.Duration) map[proto.Outcome]int {
	var mu sync.Mutex
	var wait sync.WaitGroup
	got := map[proto.Outcome]int{}
	for range length / (5 * time.Millisecond) {
		for _, p := range peers {
			wait.Go(func() {
				r := httptest.NewRequest(http.MethodGet, "/s/svc/x", nil)
				r.Header.Set(proto.HeaderDeadline, "1000")
				rec := httptest.NewRecorder()
				p.entry.Handler().ServeHTTP(rec, r)
				mu.Lock()
				defer mu.Unlock()
				got[proto.Outcome(rec.Header().Get(proto.HeaderOutcome))]++
			})
		}
		time.Sleep(5 * time.Millisecond)
	}
	wait.Wait()
	return got
}

// Guards against instances of a zone that together exceed the slots of a server, leave
// granted slots unused, or stop serving on their floor when they are cut off, and against
// work for a server that has fallen silent.
func TestZoneSharesServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		z := newZone(ctx, t, &wait, "a", 3, nil)
		wait.Go(func() { z.announce(t, z.peers[1], 20*time.Second) })
		time.Sleep(settleTime)
		if got := load(z.peers, 2*time.Second); got[proto.OutcomeUnknown] > 0 || z.peak.Load() != 8 {
			t.Errorf("outcomes %v, peak %d of 8 slots", got, z.peak.Load())
		}
		z.peers[1].cut.Store(true) // it still hears the server itself
		before := z.served.Load()
		if got := load(z.peers[1:2], time.Second); got[proto.OutcomeDone] == 0 || z.peak.Load() > 8 {
			t.Errorf("cut off: outcomes %v, peak %d", got, z.peak.Load())
		}
		if z.served.Load() == before {
			t.Error("the floor of a cut-off instance is unused")
		}
		time.Sleep(4 * time.Second)
		before = z.served.Load()
		if got := load(z.peers, time.Second); got[proto.OutcomeNotRun] != 600 || z.served.Load() != before {
			t.Errorf("silent server: outcomes %v, %d requests", got, z.served.Load()-before)
		}
		close(z.pipes.conns)
		cancel()
		wait.Wait()
		for _, p := range z.peers {
			if err := p.entry.Drain(t.Context()); err != nil {
				t.Error(err)
			}
		}
	})
}

// Guards against spill-over that never starts, exceeds what the other zone's granter gives,
// or reaches a zone that can't be asked.
func TestSpill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		far := newZone(ctx, t, &wait, "b", 2, nil)
		near := newZone(ctx, t, &wait, "a", 1, far)
		wait.Go(func() { far.announce(t, far.peers[0], 30*time.Second) })
		time.Sleep(settleTime)
		got := load(near.peers, 4*time.Second)
		if got[proto.OutcomeDone] == 0 || far.peak.Load() != 4 {
			t.Errorf("no server in the own zone: outcomes %v, peak %d, want the pool of 4", got, far.peak.Load())
		}
		near.peers[0].cut.Store(true)
		time.Sleep(3 * time.Second)
		if got := load(near.peers, time.Second); got[proto.OutcomeDone] > 0 {
			t.Errorf("cut off: outcomes %v", got)
		}
		close(far.pipes.conns)
		close(near.pipes.conns)
		cancel()
		wait.Wait()
	})
}
