package fleet

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/vbridged/peer"
)

// earlierRequest is the request of the version before keys.
type earlierRequest struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Kind Kind
	Host string
	Path string
	Job  *flow.Job
}

func listenLoopback(t *testing.T) (net.Listener, peer.Address) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := l.Addr().String()
	return l, peer.Address{Instance: model.Instance(a), Peer: a, HTTP: a}
}

// newFrontOf returns a front that knows one core and a configuration version; it does not search for a leader.
func newFrontOf(t *testing.T, core peer.Address, known announceReply) *Front {
	t.Helper()
	l, self := listenLoopback(t)
	f := NewFront(Options{Self: self, Seeds: []peer.Address{core}, Clock: clock.NewBoot()}, NewMetrics(prometheus.NewRegistry()))
	f.network.Serve(l)
	t.Cleanup(f.Stop)
	f.applyAnnounceReply(core.Instance, known)
	return f
}

// newCore returns a core that answers nothing but what the test adds.
func newCore(t *testing.T) (*peer.Transport, net.Listener, peer.Address) {
	t.Helper()
	l, self := listenLoopback(t)
	n := peer.New(self, nil, nil, nil)
	t.Cleanup(n.Close)
	n.HandleRawCall("probe", func(context.Context, model.Instance, []byte) ([]byte, error) { return nil, nil })
	return n, l, self
}

// tryConnected sends a request once the link to the core is up.
func tryConnected(t *testing.T, f *Front, core peer.Address, r Request) (Reply, error) {
	t.Helper()
	for range 200 {
		if _, err := f.network.CallRaw(t.Context(), core.Instance, "probe", nil); err == nil {
			return f.tryLeader(t.Context(), core.Instance, r)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no connection to the core")
	return Reply{}, nil
}

// Guards against fronts and cores of the versions before and after keys that don't understand each other while they
// are replaced one by one, and against a core that can't check keys but serves requests where there are teams.
func TestInstancesOfBothVersionsTalk(t *testing.T) {
	core, l, address := newCore(t)
	core.HandleRawCall(methodRequest, cborHandler(func(_ context.Context, _ model.Instance, r earlierRequest) (Reply, error) {
		return Reply{Status: StatusDone, Reason: string(r.Kind) + " " + r.ID + " " + r.Host + r.Path}, nil
	}))
	core.Serve(l)
	for _, c := range []struct {
		name  string
		known announceReply
		key   string
		want  error
	}{
		{"without a key", announceReply{Version: 1}, "", nil},
		{"with a key, no teams", announceReply{Version: 1}, "k", nil},
		{"without a key, teams", announceReply{Version: 1, Keys: true}, "", nil},
		{"with a key, teams", announceReply{Version: 1, Keys: true}, "k", fault.ErrUnavailable},
	} {
		got, err := tryConnected(t, newFrontOf(t, address, c.known), address, requestAs(KindState, c.key))
		if !errors.Is(err, c.want) || (c.want == nil && got.Reason != "state r h/a/j") {
			t.Errorf("%s: reply %+v, error %v; want error %v", c.name, got, err, c.want)
		}
	}
}

// Guards against a caller with a good key that is refused by a front which does not know yet that there are teams.
func TestFrontRepeatsRefusedRequestWithItsKey(t *testing.T) {
	core, l, address := newCore(t)
	var got []string
	core.HandleRawCall(methodRequest, cborHandler(func(context.Context, model.Instance, plainRequest) (Reply, error) {
		got = append(got, methodRequest)
		return Reply{Status: StatusUnauthorized}, nil
	}))
	core.HandleRawCall(methodKeyed, cborHandler(func(_ context.Context, _ model.Instance, r Request) (Reply, error) {
		got = append(got, methodKeyed)
		if r.Key != flow.HashKey("k") {
			return Reply{Status: StatusUnauthorized}, nil
		}
		return Reply{Status: StatusDone}, nil
	}))
	core.Serve(l)
	f := newFrontOf(t, address, announceReply{Version: 1})
	for key, want := range map[string]struct {
		status Status
		calls  []string
	}{
		"":      {StatusUnauthorized, []string{methodRequest}},
		"k":     {StatusDone, []string{methodRequest, methodKeyed}},
		"wrong": {StatusUnauthorized, []string{methodRequest, methodKeyed}},
	} {
		got = nil
		reply, err := tryConnected(t, f, address, requestAs(KindSubmit, key))
		if diff := cmp.Diff(want.calls, got); err != nil || reply.Status != want.status || diff != "" {
			t.Errorf("key %q: %s, error %v, want %s; calls (-want +got):\n%s", key, reply.Status, err, want.status, diff)
		}
	}
}

// Guards against a configuration with teams that is committed while a core of an earlier version is up: its replica
// would skip the command and differ from the others from then on.
func TestTeamsWaitForCoresThatCanReadThem(t *testing.T) {
	for _, canRead := range []bool{false, true} {
		core, coreListener, address := newCore(t)
		if canRead {
			core.HandleRawCall(methodForms, handleForms)
		}
		core.Serve(coreListener)
		l, self := listenLoopback(t)
		n := peer.New(self, nil, nil, nil)
		t.Cleanup(n.Close)
		n.Serve(l)
		d := &Domain{options: Options{Clock: &manualClock{now: 1000}}, network: n, directory: newDirectory(self, n), state: ledger.New()}
		d.directory.update(1000, Member{Address: address, Core: true}, true)
		for range 200 {
			if _, err := n.CallRaw(t.Context(), address.Instance, "probe", nil); err == nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if err := d.checkForms(t.Context(), d.directory.liveCores(1000), formsTeams); errors.Is(err, fault.ErrUnavailable) == canRead || (err == nil) != canRead {
			t.Errorf("core that can read teams, %t: error %v", canRead, err)
		}
		if !canRead {
			c := flow.Config{Version: 1, Access: flow.Access{Enforced: true}}
			if err := d.Configure(t.Context(), c); !errors.Is(err, fault.ErrUnavailable) {
				t.Errorf("configuration with teams: error %v, want %v", err, fault.ErrUnavailable)
			}
		}
	}
}
