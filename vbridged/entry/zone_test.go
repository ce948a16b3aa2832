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

// granterWarmUp is longer than the time for which a new granter withholds the slots of a server
// that does not report its running requests.
const granterWarmUp = 14 * time.Second

// pipeListener is a listener and dialer without sockets, for tests in simulated time.
type pipeListener struct{ conns chan net.Conn }

func (p *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipeListener) Close() error   { return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (p *pipeListener) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	p.conns <- server
	return client, nil
}

// testPeer is one entry instance of a zone. Its ports reach the others unless it is
// partitioned.
type testPeer struct {
	*testEnv
	zone        *testZone
	partitioned atomic.Bool
}

// testZone is an availability zone with one backend server, led by its first instance.
type testZone struct {
	name          model.Zone
	peers         []*testPeer
	spilloverZone *testZone // zone to which requests may spill
	listener      pipeListener
	running       atomic.Int64
	peak          atomic.Int64
	served        atomic.Int64
}

func (p *testPeer) Send(to model.Instance, m member.Relay) {
	for _, other := range p.zone.peers {
		if model.Instance(other.name()) == to && !p.partitioned.Load() && !other.partitioned.Load() {
			go other.entry.ReceiveRelay(m) // asynchronously, because the sender holds its lock
		}
	}
}

func (p *testPeer) name() string { return string(p.zone.name) + string(rune('1'+p.index())) }

func (p *testPeer) index() int {
	for i, other := range p.zone.peers {
		if other == p {
			return i
		}
	}
	return 0
}

func (p *testPeer) Renew(_ context.Context, to model.Zone, r permit.Request) (permit.Answer, error) {
	if p.partitioned.Load() {
		return permit.Answer{}, fault.ErrUnavailable
	}
	if to != p.zone.name {
		return p.zone.spilloverZone.peers[0].entry.Grant(r)
	}
	return p.zone.peers[0].entry.Grant(r)
}

func newZone(ctx context.Context, t *testing.T, wait *sync.WaitGroup, name model.Zone, count int, spilloverZone *testZone) *testZone {
	z := &testZone{name: name, spilloverZone: spilloverZone, listener: pipeListener{conns: make(chan net.Conn)}}
	for range count {
		p := &testPeer{zone: z, testEnv: &testEnv{clock: clock.NewSystem(), config: entry.ConfigSnapshot{Routes: map[string]entry.Route{"svc": {}}}}}
		z.peers = append(z.peers, p)
	}
	for i, p := range z.peers {
		settings := entry.Settings{Instance: model.Instance(p.name()), Incarnation: 1, Zone: name, EntryCount: 8, FirstStart: true, Seed: uint64(i)}
		for _, other := range z.peers {
			if other != p {
				settings.Peers = append(settings.Peers, model.Instance(other.name()))
			}
		}
		ports := entry.Ports{Clock: p.clock, Config: p, Records: p, Granter: p, Relay: p, Events: p, Dialer: &z.listener}
		if spilloverZone != nil {
			settings.SpilloverZones = []model.Zone{spilloverZone.name}
			ports.Dialer = &spilloverZone.listener
		}
		e, err := entry.New(settings, ports, newMetrics())
		if err != nil {
			t.Fatal(err)
		}
		p.entry = e
	}
	z.makeLeader()
	server := &http.Server{Handler: http.HandlerFunc(z.serveRequest), ReadHeaderTimeout: time.Minute}
	wait.Go(func() { _ = server.Serve(&z.listener) })
	for _, p := range z.peers {
		wait.Go(func() { p.entry.Run(ctx) })
	}
	return z
}

func (z *testZone) makeLeader() { z.peers[0].entry.Lead(1, z.peers[0].clock.Now()+clock.Hour) }

// serveRequest is the handler of the backend server. It counts the requests in progress.
func (z *testZone) serveRequest(w http.ResponseWriter, r *http.Request) {
	n := z.running.Add(1)
	defer z.running.Add(-1)
	for old := z.peak.Load(); n > old; old = z.peak.Load() {
		z.peak.CompareAndSwap(old, n)
	}
	z.served.Add(1)
	left, _ := strconv.Atoi(r.Header.Get(proto.HeaderDeadline))
	time.Sleep(min(100, time.Duration(left)) * time.Millisecond)
	_, _ = io.WriteString(w, "ok")
}

// announceFor announces the backend server to one instance for the given time.
func (z *testZone) announceFor(t *testing.T, to *testPeer, length time.Duration) {
	for range length / (500 * time.Millisecond) {
		a := newAnnouncement("b", z.listener.Addr())
		a.Zone = z.name
		z.peers[0].announceSeq++
		a.Seq = z.peers[0].announceSeq
		if status := to.postAnnounce(a); status != http.StatusNoContent {
			t.Errorf("POST announcement: status %d, want 204", status)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// sendLoad sends a request every 5 ms to each instance for the given time and counts the
// outcomes.
func sendLoad(peers []*testPeer, length time.Duration) map[proto.Outcome]int {
	var mu sync.Mutex
	var wait sync.WaitGroup
	outcomes := map[proto.Outcome]int{}
	for range length / (5 * time.Millisecond) {
		for _, p := range peers {
			wait.Go(func() {
				r := httptest.NewRequest(http.MethodGet, "/s/svc/x", nil)
				r.Header.Set(proto.HeaderDeadline, "1000")
				rec := httptest.NewRecorder()
				p.entry.Handler().ServeHTTP(rec, r)
				mu.Lock()
				defer mu.Unlock()
				outcomes[proto.Outcome(rec.Header().Get(proto.HeaderOutcome))]++
			})
		}
		time.Sleep(5 * time.Millisecond)
	}
	wait.Wait()
	return outcomes
}

// Guards against instances of a zone that together exceed the slots of a server, that leave
// granted slots unused, or that stop using their floor when partitioned, and against requests
// to a server that no longer announces itself.
func TestZoneSharesServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		z := newZone(ctx, t, &wait, "a", 3, nil)
		wait.Go(func() { z.announceFor(t, z.peers[1], 20*time.Second) })
		time.Sleep(granterWarmUp)
		if got := sendLoad(z.peers, 2*time.Second); got[proto.OutcomeUnknown] > 0 || z.peak.Load() != 8 {
			t.Errorf("outcomes %v, peak of %d concurrent requests; want none unknown and a peak of 8", got, z.peak.Load())
		}
		z.peers[1].partitioned.Store(true) // it still receives announcements of the server
		before := z.served.Load()
		if got := sendLoad(z.peers[1:2], time.Second); got[proto.OutcomeDone] == 0 || z.peak.Load() > 8 {
			t.Errorf("partitioned instance: outcomes %v, peak of %d; want some done and a peak of at most 8", got, z.peak.Load())
		}
		if z.served.Load() == before {
			t.Error("the partitioned instance does not use its floor")
		}
		time.Sleep(4 * time.Second)
		before = z.served.Load()
		if got := sendLoad(z.peers, time.Second); got[proto.OutcomeNotRun] != 600 || z.served.Load() != before {
			t.Errorf("server without announcements: outcomes %v, %d requests served; want 600 notrun and none served", got, z.served.Load()-before)
		}
		close(z.listener.conns)
		cancel()
		wait.Wait()
		for _, p := range z.peers {
			if err := p.entry.Drain(t.Context()); err != nil {
				t.Error(err)
			}
		}
	})
}

// Guards against spillover that does not start, that exceeds what the granter of the other zone
// grants, or that goes to a zone whose granter cannot be reached.
func TestSpillover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		remote := newZone(ctx, t, &wait, "b", 2, nil)
		local := newZone(ctx, t, &wait, "a", 1, remote)
		wait.Go(func() { remote.announceFor(t, remote.peers[0], 30*time.Second) })
		time.Sleep(granterWarmUp)
		got := sendLoad(local.peers, 4*time.Second)
		if got[proto.OutcomeDone] == 0 || remote.peak.Load() != 4 {
			t.Errorf("no server in the own zone: outcomes %v, peak of %d; want some done and a peak of 4, the pool of the other zone", got, remote.peak.Load())
		}
		local.peers[0].partitioned.Store(true)
		time.Sleep(3 * time.Second)
		if got := sendLoad(local.peers, time.Second); got[proto.OutcomeDone] > 0 {
			t.Errorf("granter unreachable: outcomes %v, want none done", got)
		}
		close(remote.listener.conns)
		close(local.listener.conns)
		cancel()
		wait.Wait()
	})
}
