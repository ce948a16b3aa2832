package fleet

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/outbox"
	"vanillabridge/core/plan"
	"vanillabridge/core/quorum"
	"vanillabridge/vbridged/group"
	"vanillabridge/vbridged/peer"
)

// groupName is the name of a domain's replicated group.
const groupName = "domain"

// Methods of the calls between the instances of a domain.
const (
	methodQuorum   = "quorum"
	methodPropose  = "propose"
	methodAnnounce = "attend"
	methodRequest  = "request"
	methodAdvise   = "advise"
	// methodKeyed carries requests with a key; instances that know no keys have no handler for it.
	methodKeyed = "keyed"
	// methodForms is answered by cores that can read commands with teams, with the forms that they can read.
	methodForms = "forms"
)

// Domain runs a domain on one of its cores: it keeps a replica of the domain's state, and schedules
// the jobs while this core leads.
type Domain struct {
	options    Options
	network    *peer.Transport
	directory  *directory
	group      *group.Group
	metrics    *Metrics
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	carrier    *carrier      // nil without relays
	groupReady chan struct{} // closed once the field group is set
	// leaderLease returns the expiry of the leader lease and its term; it is that of the group.
	leaderLease func() (clock.Millis, uint64)
	// leader returns the known leader and its term, and whether this instance leads; it is that of the group.
	leader func() (name string, term uint64, leads bool)

	mu      sync.Mutex
	state   *ledger.State
	session *session
	// announcements holds what workers have announced to this core.
	announcements announcements
	refusals      lineLimit
	// Limits of the lines about tombstones.
	unknownCancellations, lateSubmissions, tombstoneDrops lineLimit
	// tombstonesDelayedAt is when this core last logged why tombstones aren't recorded yet.
	tombstonesDelayedAt clock.Millis
	// roleTerm is the term of the last role change that the group reported.
	roleTerm uint64
}

// session holds the planner of one term in which this instance leads.
type session struct {
	term          uint64
	planner       *plan.Planner
	ctx           context.Context
	cancel        context.CancelFunc
	ticketCallers []model.Instance
	budget        outbox.Budget
	orders        *outbox.Outbox[plan.Decision] // orders that wait for their turn; guarded by Domain.mu
	holdSlots     chan struct{}                 // one entry for each hold in progress
	submissions   submissions                   // guarded by Domain.mu
	workers       Workers
	relays        *relays // nil without relays
}

// Open starts the replica of a core. Serve then starts the listener and the periodic tasks.
func Open(o Options, m *Metrics) (*Domain, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Domain{options: o, metrics: m, state: ledger.New(), ctx: ctx, cancel: cancel, groupReady: make(chan struct{}), announcements: announcements{}}
	d.network = peer.New(o.Self, nil, nil, nil)
	d.network.SetPingConfig(corePingConfig())
	d.directory = newDirectory(o.Self, d.network)
	var voters []model.Instance
	for _, s := range o.Seeds {
		voters = append(voters, s.Instance)
		d.directory.update(0, Member{Address: s, Core: true}, false)
	}
	timing := quorum.DefaultTiming()
	timing.ElectionTimeout, timing.HeartbeatInterval, timing.VoterTimeout = electionTimeout, heartbeatInterval, voterTimeout
	timing.JoinInterval = joinInterval
	g, err := group.Open(group.Config{
		Group: groupName, Self: o.Self.Instance, Peers: d.groupPeers(), InitialVoters: voters,
		TargetVoters: 2*o.TolerableCoreLosses + 1, Bootstrap: o.Bootstrap, DataDir: o.DataDir,
		Machine: stateMachine{d}, Transport: transport{d.network}, Forwarder: forwarder{d.network},
		OnRoleChange: d.handleRoleChange, Clock: o.Clock, Timing: timing, Linger: proposalBatchDelay,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	d.group, d.leaderLease, d.leader = g, g.Lease, g.Leader
	close(d.groupReady)
	d.registerHandlers()
	return d, nil
}

// joinInterval is the period at which a core outside the group's membership announces itself. It is
// short so that a new domain forms soon after its cores listen.
const joinInterval = 250 * clock.Millisecond

// proposalBatchDelay is how long a proposal may wait for further ones that are sent with it. It is
// short compared with a round trip between regions, and under load it combines many messages to each
// core into one.
const proposalBatchDelay = 8 * clock.Millisecond

// corePingConfig returns ping periods that detect a silent connection well within the allowed
// recovery time after the loss of an instance.
func corePingConfig() peer.PingConfig {
	return peer.PingConfig{SameRegionInterval: time.Second, CrossRegionInterval: time.Second, Timeout: time.Second}
}

// groupPeers lists the instances that may become voters of the group. Their zone is left out, so
// that any of them can replace a lost voter.
func (d *Domain) groupPeers() []quorum.Peer {
	list := []quorum.Peer{{Name: d.options.Self.Instance}}
	for _, m := range d.directory.cores() {
		list = append(list, quorum.Peer{Name: m.Address.Instance})
	}
	return list
}

func (d *Domain) registerHandlers() {
	d.network.HandleRaw(methodQuorum, d.handleQuorum)
	d.network.Handle(methodPropose, d.handlePropose)
	d.network.Handle(methodAnnounce, jsonHandler(d.handleAnnounce))
	d.network.HandleRawCall(methodRequest, cborHandler(func(ctx context.Context, from model.Instance, r plainRequest) (Reply, error) {
		return d.handleRequest(ctx, from, r.request())
	}))
	d.network.HandleRawCall(methodKeyed, cborHandler(d.handleRequest))
	d.network.HandleRawCall(methodForms, handleForms)
	d.network.HandleRawCall(methodAdvise, cborHandler(adviseHandler(d.options.Tickets)))
	d.registerRelayHandlers()
}

// adviseHandler returns a handler that makes ticket calls on behalf of the leader.
func adviseHandler(t Tickets) func(context.Context, model.Instance, adviseRequest) (Advice, error) {
	return func(ctx context.Context, _ model.Instance, params adviseRequest) (Advice, error) {
		return t.Advise(ctx, params.Step, params.Workers)
	}
}

// Serve accepts connections of other instances on l and starts the periodic tasks.
func (d *Domain) Serve(l net.Listener) {
	d.network.Serve(l)
	d.wg.Go(func() { runPeriodically(d.ctx, announceInterval, d.announceToCores) })
	d.wg.Go(func() { runPeriodically(d.ctx, tickInterval, func() { d.stepPlan(plan.Tick{}) }) })
	d.wg.Go(func() { runPeriodically(d.ctx, expiryInterval, d.removeExpired) })
	d.wg.Go(func() { runPeriodically(d.ctx, statsInterval, d.reportPlanStats) })
	d.wg.Go(func() { runPeriodically(d.ctx, tombstoneCheckInterval, d.beginTombstones) })
	d.wg.Go(func() { logPauses(d.ctx, d.options.Clock, d.options.JobRetention) })
	d.wg.Go(func() { d.carrier.run(d.ctx) })
}

// runPeriodically calls f immediately and then once per period until ctx ends.
func runPeriodically(ctx context.Context, period clock.Millis, f func()) {
	ticker := time.NewTicker(period.Duration())
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Stop transfers leadership to another core if this one leads, and then stops the instance.
func (d *Domain) Stop(ctx context.Context) {
	if _, _, isLeader := d.group.Leader(); isLeader {
		if err := d.group.TransferLeadership(ctx); err != nil {
			klog.InfoS("leadership transfer at shutdown failed", "error", err.Error())
		}
	}
	d.cancel()
	d.endSession()
	d.network.Close()
	if err := d.group.Close(); err != nil {
		klog.ErrorS(err, "closing the replicated group failed")
	}
	d.wg.Wait()
}

// Stopped returns a channel that is closed once the replica of this core has stopped for good: its disk
// failed, or Stop was called. The process should then end, so that it starts again from its disk.
func (d *Domain) Stopped() <-chan struct{} { return d.group.Stopped() }

// SetSeeds adds the instances of a new seed list; it removes none.
func (d *Domain) SetSeeds(list []peer.Address) {
	for _, s := range list {
		if d.directory.update(d.now(), Member{Address: s, Core: true}, false) {
			d.group.SetPeers(d.groupPeers())
		}
	}
}

func (d *Domain) now() clock.Millis { return d.options.Clock.Now() }

// handleRoleChange ends the session of an earlier term, and starts one if this instance leads now.
func (d *Domain) handleRoleChange(r group.RoleChange) {
	klog.InfoS("role changed", "leads", r.IsLeader, "leader", r.Leader, "term", r.Term)
	d.metrics.setRole(r.IsLeader, r.Term)
	d.mu.Lock()
	d.roleTerm = r.Term
	d.mu.Unlock()
	d.endSession()
	if r.IsLeader {
		d.wg.Go(func() { d.startSession(r.Term) })
	}
}

func (d *Domain) endSession() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session != nil {
		d.session.cancel()
		d.session = nil
	}
}

// startSession creates the planner once all entries that earlier leaders committed are applied.
func (d *Domain) startSession(term uint64) {
	<-d.groupReady
	if err := d.group.Barrier(d.ctx); err != nil {
		klog.InfoS("plan not started: the replica did not catch up with the log", "term", term, "error", err.Error())
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.roleTerm != term || d.session != nil || d.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	cfg := plan.Config{
		Term: term, Lease: d.options.Lease, MaxLease: d.options.MaxLease, StopTimeout: d.options.MaxTaskStopTime, GangTimeout: d.options.GangTimeout,
		UnixOffset: unixNow() - d.now(), Features: d.options.Features.Plan,
	}
	planner, out := plan.New(d.now(), cfg, d.state)
	budget := outbox.DivideDescriptors(d.options.MaxDescriptors)
	d.session = &session{
		term: term, planner: planner, ctx: ctx, cancel: cancel, budget: budget,
		orders: outbox.New[plan.Decision](budget.Orders), holdSlots: make(chan struct{}, budget.Holds), workers: d.options.Workers,
	}
	d.startRelays(d.session)
	klog.InfoS("plan started", "term", term, "jobs", len(d.state.Jobs()), "workers", len(d.state.Workers()))
	d.executeDecisions(d.session, out)
}

func unixNow() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }

// stepPlan passes an event to the planner, if this instance leads.
func (d *Domain) stepPlan(e plan.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.session; s != nil {
		if _, tick := e.(plan.Tick); tick {
			d.updateTicketCallers(s)
			s.orders.Expire(d.now())
		}
		d.executeDecisions(s, s.planner.Step(d.now(), e))
	}
}

// stepSession passes the result of a call to the planner of the session that made the call. It drops
// the result if that session has ended.
func (d *Domain) stepSession(s *session, e plan.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session == s {
		d.executeDecisions(s, s.planner.Step(d.now(), e))
	}
}

// minRemoteTicketCallers is the number of other live instances from which on the leader makes no
// ticket calls itself, because its CPU is the bottleneck.
const minRemoteTicketCallers = 4

// updateTicketCallers informs the planner which instances can make ticket calls. The caller holds mu.
func (d *Domain) updateTicketCallers(s *session) {
	list := d.directory.liveInstances(d.now())
	if len(list) < minRemoteTicketCallers {
		list = append(list, d.options.Self.Instance)
	}
	if slices.Equal(list, s.ticketCallers) {
		return
	}
	s.ticketCallers = list
	d.executeDecisions(s, s.planner.Step(d.now(), plan.CallersChanged{List: list}))
}

// stateMachine applies committed commands to the state and reports them to the planner.
type stateMachine struct{ domain *Domain }

// Apply executes a committed command and returns its ledger.Outcome as one byte.
func (m stateMachine) Apply(index uint64, data []byte) []byte {
	c, err := ledger.Decode(data)
	if err != nil {
		// Every replica fails to decode the same bytes, so all skip the entry and stay equal.
		klog.ErrorS(err, "log entry skipped: it cannot be decoded", "index", index)
		return []byte{0}
	}
	d := m.domain
	d.mu.Lock()
	defer d.mu.Unlock()
	outcome := d.apply(index, c)
	if s := d.session; s != nil {
		d.executeDecisions(s, s.planner.Step(d.now(), plan.Applied{Command: c, Outcome: outcome}))
	}
	return []byte{byte(outcome)}
}

// Snapshot encodes the state.
func (m stateMachine) Snapshot() ([]byte, error) {
	m.domain.mu.Lock()
	defer m.domain.mu.Unlock()
	return m.domain.state.Snapshot()
}

// Restore replaces the state by that of a snapshot.
func (m stateMachine) Restore(data []byte) error {
	m.domain.mu.Lock()
	defer m.domain.mu.Unlock()
	return m.domain.state.Restore(data)
}

// removeExpired proposes the removal of jobs that ended more than Options.JobRetention ago, and
// removes instances without a disk that no longer announce themselves.
func (d *Domain) removeExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.session; s != nil {
		d.executeDecisions(s, []plan.Decision{plan.Propose{Command: ledger.PruneJobs{EndedBefore: unixNow() - d.options.JobRetention}}})
	}
	d.announcements.forget(d.state.Workers())
	d.directory.removeSilentFronts(d.now())
}

// config returns the configuration that this replica has applied.
func (d *Domain) config() flow.Config {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Config()
}
