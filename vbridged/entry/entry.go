package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"vanillabridge/core/admit"
	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/permit"
	"vanillabridge/core/proto"
)

// Entry forwards callers' requests to backend servers on one entry instance.
type Entry struct {
	settings          Settings
	ports             Ports
	metrics           *Metrics
	requestIDPrefix   string                       // prefix of request identifiers, unique to this process
	lastRequestNumber atomic.Uint64                // number of the newest request
	earlyRenewals     map[model.Zone]chan struct{} // signals a renewal before the next period
	permitsUsableFrom clock.Millis                 // no permit is used before this time

	mu              sync.Mutex // guards the fields below
	servers         *member.Table
	peerClocks      *member.PeerClocks
	holder          *permit.Holder
	granter         *permit.Granter
	outbox          *member.Outbox // announcements to relay
	idleConns       map[member.Key][]*backendConn
	services        map[string]*service
	lastQueueID     admit.ID // identifier of the newest queued request
	draining        bool
	runningRequests int
	drained         chan struct{} // closed when draining and no request is in progress
}

// New returns an Entry, which serves requests once Run has been started.
func New(settings Settings, ports Ports, metrics *Metrics) (*Entry, error) {
	settings, err := settings.check()
	if err != nil {
		return nil, err
	}
	if ports.Dialer == nil {
		ports.Dialer = &net.Dialer{}
	}
	now := ports.Clock.Now()
	config := settings.holderConfig(now)
	e := &Entry{
		settings: settings, ports: ports, metrics: metrics,
		requestIDPrefix: string(settings.Instance) + "-" + strconv.FormatUint(uint64(settings.Incarnation), 36) + "-",
		servers:         member.NewTable(now),
		peerClocks:      member.NewPeerClocks(settings.Instance, settings.Incarnation),
		holder:          permit.NewHolder(config), permitsUsableFrom: config.UsableFrom,
		granter:       permit.NewGranter(settings.Zone, len(settings.Peers)+1),
		outbox:        member.NewOutbox(),
		idleConns:     map[member.Key][]*backendConn{},
		services:      map[string]*service{},
		earlyRenewals: map[model.Zone]chan struct{}{},
		drained:       make(chan struct{}),
	}
	for _, zone := range e.renewalZones() {
		e.earlyRenewals[zone] = make(chan struct{}, 1)
	}
	return e, nil
}

// renewalZones returns the zones whose granters give credits to this instance.
func (e *Entry) renewalZones() []model.Zone {
	return append([]model.Zone{e.settings.Zone}, e.settings.SpilloverZones...)
}

// Handler returns the handler of /s/{service}/{path}, which forwards callers' requests.
func (e *Entry) Handler() http.Handler { return http.HandlerFunc(e.serve) }

// AnnounceHandler returns the handler of POST /v1/servers/announce.
func (e *Entry) AnnounceHandler() http.Handler { return http.HandlerFunc(e.handleAnnounce) }

// ReceiveRelay applies the announcements that another instance of the zone relayed.
func (e *Entry) ReceiveRelay(relay member.Relay) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	for _, received := range e.peerClocks.ReceiveRelay(now, relay) {
		e.applyAnnounce(now, received)
	}
}

// Lead makes this instance the granter of the zone, because it leads the zone group in an
// epoch. It is called again whenever the leader's lease is extended; no other leader may start
// before leaseEnd.
func (e *Entry) Lead(epoch model.Epoch, leaseEnd clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	if !e.granter.Leading(now) {
		e.ports.Events.Record(GranterStarted{Epoch: epoch})
	}
	e.granter.Lead(now, epoch, leaseEnd)
}

// StepDown ends the granting of permits, because this instance no longer leads the zone group.
func (e *Entry) StepDown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.granter.StepDown()
	e.ports.Events.Record(GranterStopped{})
}

// Grant answers a renewal as the granter of the zone.
func (e *Entry) Grant(r permit.Request) (permit.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	e.stepServers(now, member.Tick{})
	return e.granter.Renew(now, r, e.servers.Servers())
}

// Servers returns the state of the backend servers that this instance knows.
func (e *Entry) Servers() []proto.ServerStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	list := []proto.ServerStatus{}
	for _, s := range e.servers.Servers() {
		state := proto.ServerServing
		if s.Leaving {
			state = proto.ServerLeaving
		}
		list = append(list, proto.ServerStatus{
			Server: s.Name, Service: s.Service, Address: s.Address, State: state,
			Eligible: e.servers.Usable(now, s.Key), Age: now - s.AnnouncedAt, ActiveRequests: e.holder.Used(now, s.Key),
		})
	}
	return list
}

// Ready reports whether this instance accepts requests, and the reason if it does not.
func (e *Entry) Ready() (ok bool, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		return false, "entry: draining"
	case e.ports.Clock.Now() < e.permitsUsableFrom:
		return false, "entry: requests of the previous process may still be running"
	default:
		return true, ""
	}
}

// Drain makes the Entry refuse new requests and waits until those in progress have ended or
// ctx is done.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	if e.runningRequests == 0 {
		e.closeDrained()
	}
	e.mu.Unlock()
	select {
	case <-e.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Entry) closeDrained() {
	select {
	case <-e.drained:
	default:
		close(e.drained)
	}
}

// beginRequest counts a request in progress, or reports false when draining.
func (e *Entry) beginRequest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	e.runningRequests++
	return true
}

func (e *Entry) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runningRequests--
	if e.draining && e.runningRequests == 0 {
		e.closeDrained()
	}
}
