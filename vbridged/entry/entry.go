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

// Entry serves callers' requests on one entry instance.
type Entry struct {
	set       Settings
	ports     Ports
	metrics   *Metrics
	prefix    string                       // of request identifiers
	number    atomic.Uint64                // of the newest request
	urges     map[model.Zone]chan struct{} // asks for an early renewal
	floorFrom clock.Millis                 // before it no permit is used

	mu       sync.Mutex // guards the fields below
	members  *member.Table
	links    *member.Links
	holder   *permit.Holder
	granter  *permit.Granter
	outbox   *member.Outbox // announcements to relay
	idle     map[member.Key][]*wire
	services map[string]*service
	ids      admit.ID // of the newest request in a queue
	draining bool
	running  int           // requests in progress
	drained  chan struct{} // closed when draining and nothing is in progress
}

// New returns an entry that serves after Run was started.
func New(set Settings, ports Ports, metrics *Metrics) (*Entry, error) {
	set, err := set.check()
	if err != nil {
		return nil, err
	}
	if ports.Dialer == nil {
		ports.Dialer = &net.Dialer{}
	}
	now := ports.Clock.Now()
	limits := set.limits(now)
	e := &Entry{
		set: set, ports: ports, metrics: metrics,
		prefix:  string(set.Instance) + "-" + strconv.FormatUint(uint64(set.Incarnation), 36) + "-",
		members: member.New(now),
		links:   member.NewLinks(set.Instance, set.Incarnation),
		holder:  permit.NewHolder(limits), floorFrom: limits.FloorFrom,
		granter:  permit.NewGranter(set.Zone, len(set.Peers)+1),
		outbox:   member.NewOutbox(),
		idle:     map[member.Key][]*wire{},
		services: map[string]*service{},
		urges:    map[model.Zone]chan struct{}{},
		drained:  make(chan struct{}),
	}
	for _, zone := range e.zones() {
		e.urges[zone] = make(chan struct{}, 1)
	}
	return e, nil
}

// zones returns the zones with whose granters credits are renewed.
func (e *Entry) zones() []model.Zone {
	return append([]model.Zone{e.set.Zone}, e.set.Others...)
}

// Handler serves the path /s/{service}/{path}.
func (e *Entry) Handler() http.Handler { return http.HandlerFunc(e.serve) }

// Announcements serves POST /v1/servers/announce.
func (e *Entry) Announcements() http.Handler { return http.HandlerFunc(e.announce) }

// Receive takes a relay of another instance of the zone.
func (e *Entry) Receive(m member.Relay) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	for _, h := range e.links.Unwrap(now, m) {
		e.heard(now, h)
	}
}

// Lead says that this instance leads the zone group in an epoch. It is repeated whenever the
// leader's lease is extended; no other leader may start before until.
func (e *Entry) Lead(epoch model.Epoch, until clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	if !e.granter.Leading(now) {
		e.ports.Events.Record(Led{Epoch: epoch})
	}
	e.granter.Lead(now, epoch, until)
}

// Unlead says that this instance no longer leads the zone group.
func (e *Entry) Unlead() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.granter.Unlead()
	e.ports.Events.Record(Unled{})
}

// Grant answers a renewal as the granter of the zone.
func (e *Entry) Grant(r permit.Request) (permit.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	e.step(now, member.Tick{})
	return e.granter.Renew(now, r, e.members.Servers())
}

// Servers returns the backend servers that this instance knows.
func (e *Entry) Servers() []proto.ServerStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.ports.Clock.Now()
	list := []proto.ServerStatus{}
	for _, s := range e.members.Servers() {
		state := proto.ServerServing
		if s.Leaving {
			state = proto.ServerLeaving
		}
		list = append(list, proto.ServerStatus{
			Server: s.Name, Service: s.Service, Address: s.Address, State: state,
			Eligible: e.members.Usable(now, s.Key), Age: now - s.Evidence, Active: e.holder.Used(now, s.Key),
		})
	}
	return list
}

// Ready reports whether this instance serves, and why not.
func (e *Entry) Ready() (ok bool, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		return false, "entry: draining"
	case e.ports.Clock.Now() < e.floorFrom:
		return false, "entry: requests from before the start may still run"
	default:
		return true, ""
	}
}

// Drain refuses new requests and returns when those in progress have ended, or with the
// error of ctx.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	if e.running == 0 {
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

// enter counts a request in progress; it reports false when draining.
func (e *Entry) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	e.running++
	return true
}

func (e *Entry) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if e.draining && e.running == 0 {
		e.closeDrained()
	}
}
