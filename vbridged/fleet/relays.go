package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
	"vanillabridge/core/outbox"
	"vanillabridge/core/relay"
)

// Timing of a leader's relays.
const (
	// relayTimeout is the time since its last report after which a relay counts as lost.
	relayTimeout = 700 * clock.Millisecond
	// relayReturnDelay is how long a relay that was lost has to report before it is used again.
	relayReturnDelay = clock.Second
	// relayWait is how long a new leader waits for the relays of workers.
	relayWait = 600 * clock.Millisecond
	// relayGrace is added to the time that a relay has for a call: the way to it and back.
	relayGrace = 200 * clock.Millisecond
	// directTime is how long the leader calls a worker itself that its relay does not reach.
	directTime = 5 * clock.Second
	// relayCheckInterval is the period at which the leader looks for lost relays.
	relayCheckInterval = 100 * clock.Millisecond
	// assignInterval is the longest time between two counts of the workers of each relay.
	assignInterval = clock.Second
	// relayHoldWait is how long workers wait for an end before they answer a hold. It is longer than without relays, as
	// there are many workers, and short enough that stall detection gets two reports in 1.5 s to 3 s.
	relayHoldWait = 1200 * clock.Millisecond
	// batchTimeout limits the acknowledgement of a batch.
	batchTimeout = 800 * clock.Millisecond
	// relayStopPercent is the share of the number of workers from which on relays are used; below it they are no more.
	relayStopPercent = 80
)

// relays carries the calls of a session to workers through other cores. It implements Workers.
type relays struct {
	term    uint64
	self    model.Instance
	clock   clock.Source
	ctx     context.Context
	direct  Workers
	budget  outbox.Budget
	metrics *Metrics
	// send sends a batch to a relay and returns once the relay has taken it over.
	send func(context.Context, model.Instance, carryBatch) error
	// directOrders has an entry for each order that the leader sends itself.
	directOrders chan struct{}
	lanes        *lanes
	startedAt    clock.Millis

	mu     sync.Mutex
	active bool
	// needsAssignment is set when a relay has become usable since the last assignment, which was made at assignedAt.
	needsAssignment bool
	assignedAt      clock.Millis
	links           map[model.Instance]*relayLink
	cores           []relay.Core // without their Live flags
	regions         map[model.Zone]model.Region
	zones           map[model.WorkerID]model.Zone
	assignment      relay.Map
	homes           relay.Map // as if all cores were live
	shares          map[model.Instance]int
	lastNumber      uint64
	memories        map[flow.Incarnation]reportMemory
	troubles        map[flow.Incarnation]trouble
}

// reportMemory is what the leader remembers of the last report that a relay sent of a process.
type reportMemory struct {
	relay  model.Instance
	memory relay.Memory
}

// trouble is kept for a process whose relay got no answer to its last hold.
type trouble struct {
	// tryDirect is set until the leader has tried itself; directUntil is set if that succeeded.
	tryDirect   bool
	directUntil clock.Millis
}

// route is the way of a call to a worker: through a relay, or directly if it is nil.
type route struct {
	link      *relayLink
	closeConn bool
	// closeOrders is set if connections for orders are closed once no further order waits, because the core has one for
	// the hold of each of many workers.
	closeOrders bool
	// maxWait is the least wait of a hold that may wait, or 0.
	maxWait clock.Millis
	// wait is set while the worker's relay may still appear.
	wait bool
}

func newRelays(ctx context.Context, term uint64, o Options, b outbox.Budget, m *Metrics, send func(context.Context, model.Instance, carryBatch) error) *relays {
	return &relays{
		term: term, self: o.Self.Instance, clock: o.Clock, ctx: ctx, direct: o.Workers, budget: b, metrics: m, send: send,
		directOrders: make(chan struct{}, b.Orders), lanes: newLanes(), startedAt: o.Clock.Now(), links: map[model.Instance]*relayLink{},
		regions: map[model.Zone]model.Region{}, zones: map[model.WorkerID]model.Zone{}, shares: map[model.Instance]int{},
		memories: map[flow.Incarnation]reportMemory{}, troubles: map[flow.Incarnation]trouble{},
	}
}

// needsRelays reports whether so many workers have their calls carried by relays.
func needsRelays(b outbox.Budget, workers int, active bool) bool {
	limit := b.Orders / 2 // from there on a worker keeps one connection for orders
	if active {
		limit = limit * relayStopPercent / 100
	}
	return workers > limit
}

// isActive reports whether relays are in use.
func (r *relays) isActive() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// update takes over the workers and the known instances, finds lost relays, and reassigns the workers.
func (r *relays) update(now clock.Millis, workers map[model.WorkerID]flow.Worker, members []Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	active := needsRelays(r.budget, len(workers), r.active)
	if active != r.active {
		klog.InfoS("relays switched", "used", active, "workers", len(workers), "orderConnections", r.budget.Orders, "term", r.term)
	}
	r.active = active
	if !active {
		return
	}
	var cores []relay.Core
	regions := len(r.regions)
	for _, m := range members {
		if m.Address.Zone != "" {
			r.regions[m.Address.Zone] = m.Address.Region
		}
		if m.Core {
			cores = append(cores, relay.Core{Instance: m.Address.Instance, Zone: m.Address.Zone, Region: m.Address.Region})
		}
	}
	changed := !slices.Equal(cores, r.cores) || len(r.regions) != regions
	r.cores = cores
	for _, l := range r.links {
		switch {
		case l.live && now-l.heardAt > relayTimeout:
			l.live, l.usableAt = false, 0
			r.logMove(l, "relay lost", now)
			r.failAll(l)
			changed = true
		case !l.live && now-l.heardAt <= relayTimeout && l.usableAt != 0 && now >= l.usableAt:
			l.live = true
			r.logMove(l, "relay used", now)
			changed = true
		}
	}
	changed = changed || r.needsAssignment
	if !changed && len(workers) == len(r.zones) && now-r.assignedAt < assignInterval {
		return
	}
	r.assignedAt, r.needsAssignment = now, false
	clear(r.zones)
	for id, w := range workers {
		r.zones[id] = w.Zone
	}
	if changed {
		r.assignment, r.homes = relay.NewMap(r.withLive(false), r.regions), relay.NewMap(r.withLive(true), r.regions)
	}
	clear(r.shares)
	for id, zone := range r.zones {
		if name, ok := r.assignment.Relay(id, zone); ok {
			r.shares[name]++
		}
	}
	isGone := func(process flow.Incarnation) bool { return workers[process.ID].Incarnation() != process }
	maps.DeleteFunc(r.memories, func(process flow.Incarnation, _ reportMemory) bool { return isGone(process) })
	maps.DeleteFunc(r.troubles, func(process flow.Incarnation, _ trouble) bool { return isGone(process) })
	r.metrics.setRelays(r.relayStats(now))
}

// relayStats describes the relays, this core among them.
func (r *relays) relayStats(now clock.Millis) map[model.Instance]relayStats {
	list := map[model.Instance]relayStats{}
	for name, n := range r.shares {
		list[name] = relayStats{workers: n, age: -1}
	}
	for name, l := range r.links {
		list[name] = relayStats{workers: r.shares[name], batches: l.batches, age: now - l.heardAt}
	}
	return list
}

// withLive returns the cores with their Live flags, or with all of them set.
func (r *relays) withLive(all bool) []relay.Core {
	list := slices.Clone(r.cores)
	for i, c := range list {
		l := r.links[c.Instance]
		list[i].Live = all || c.Instance == r.self || (l != nil && l.live)
	}
	return list
}

func (r *relays) logMove(l *relayLink, event string, now clock.Millis) {
	klog.InfoS(event, "relay", l.name, "workers", r.shares[l.name], "calls", len(l.pending), "age", int64(now-l.heardAt), "term", r.term)
}

// route returns the way of the next call to a process of a worker.
func (r *relays) route(process flow.Incarnation) route {
	if r == nil {
		return route{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	id, t := process.ID, r.troubles[process]
	if !r.active {
		return route{}
	}
	zone := r.zones[id]
	name, ok := r.assignment.Relay(id, zone)
	if l := r.links[name]; ok && l != nil && l.live && !t.tryDirect && now >= t.directUntil {
		return route{link: l, closeConn: r.shares[name] > l.conns, closeOrders: r.shares[name] > l.conns/2, maxWait: relayHoldWait}
	}
	home, _ := r.homes.Relay(id, zone)
	waits := home != r.self && r.links[home] == nil && now-r.startedAt < relayWait
	own := r.shares[r.self]
	return route{closeConn: name != r.self || !r.budget.KeepsConnections(own), closeOrders: !r.budget.KeepsConnections(2 * own), maxWait: relayHoldWait, wait: waits}
}

// handleReport passes the answers of a relay to the calls that wait for them, and reports whether relays are in use.
func (r *relays) handleReport(from model.Instance, report relayReport) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	l := r.links[from]
	if l == nil {
		if !report.HasPermit || report.Term != r.term {
			return r.active
		}
		l = &relayLink{name: from, pending: map[uint64]*pendingCall{}, wake: make(chan struct{}, 1), usableAt: now, live: true}
		r.needsAssignment = true
		klog.InfoS("relay found", "relay", from, "conns", report.Conns, "term", r.term)
		r.links[from] = l
		go r.sendBatches(l)
	}
	l.noteClock(report)
	if report.Term != r.term || !report.HasPermit {
		return r.active // its answers are those of another term
	}
	if l.usableAt == 0 || (!l.live && now-l.heardAt > relayTimeout) {
		l.usableAt = now + relayReturnDelay
	}
	l.heardAt, l.conns = now, report.Conns
	l.batches++
	for _, a := range report.Answers {
		l.finish(a.Number, a)
	}
	return r.active
}
