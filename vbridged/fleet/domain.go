package fleet

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
	"vanillabridge/core/quorum"
	"vanillabridge/vbridged/group"
	"vanillabridge/vbridged/peer"
)

// groupName names the replicated group of a domain.
const groupName = "domain"

// Methods between the instances of a domain.
const (
	methodQuorum  = "quorum"
	methodPropose = "propose"
	methodAttend  = "attend"
	methodRequest = "request"
	methodAdvise  = "advise"
)

// Domain is a core: an instance that keeps a replica of the state, and plans while it leads.
type Domain struct {
	o       Options
	net     *peer.Net
	roster  *roster
	group   *group.Group
	metrics *Metrics
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	opened  chan struct{} // closed once group is set

	mu      sync.Mutex
	state   *ledger.State
	session *session
	// roleTerm is the newest term for which a role was reported.
	roleTerm uint64
}

// session is the plan of one term that this instance leads.
type session struct {
	term    uint64
	planner *plan.Planner
	ctx     context.Context
	cancel  context.CancelFunc
	callers []model.Instance
}

// Open starts the replica; Serve starts the rest.
func Open(o Options, m *Metrics) (*Domain, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Domain{o: o, metrics: m, state: ledger.New(), ctx: ctx, cancel: cancel, opened: make(chan struct{})}
	d.net = peer.New(o.Self, nil, nil, nil)
	d.net.SetPings(corePings())
	d.roster = newRoster(o.Self, d.net)
	var voters []model.Instance
	for _, s := range o.Seeds {
		voters = append(voters, s.Instance)
		d.roster.learn(0, Member{Address: s, Core: true}, false)
	}
	timing := quorum.DefaultTiming()
	timing.Election, timing.Heartbeat, timing.Silent = electionTime, heartbeatTime, silentTime
	timing.Join = joinEvery
	g, err := group.Open(group.Config{
		Group: groupName, Self: o.Self.Instance, Peers: d.peers(), Voters: voters,
		Wanted: 2*o.Losses + 1, Bootstrap: o.Bootstrap, Folder: o.Folder,
		Machine: machine{d}, Transport: transport{d.net}, Forwarder: forwarder{d.net},
		OnRole: d.role, Clock: o.Clock, Timing: timing, Linger: lingerTime,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	d.group = g
	close(d.opened)
	d.register()
	return d, nil
}

// joinEvery is how often a core that no leader knows announces itself; with a short period a
// domain is founded soon after its cores listen.
const joinEvery = 250 * clock.Millisecond

// lingerTime is how long a proposal may wait for others. It is short beside a round trip between
// regions, and under load it makes one message to each core out of many.
const lingerTime = 8 * clock.Millisecond

// corePings notices a connection that went silent well within the time that a loss may last.
func corePings() peer.Pings {
	return peer.Pings{Local: time.Second, Across: time.Second, Timeout: time.Second}
}

// peers lists the instances that may serve in the group. They count alike wherever they are, so
// that a lost one can be replaced by any other.
func (d *Domain) peers() []quorum.Peer {
	list := []quorum.Peer{{Name: d.o.Self.Instance}}
	for _, m := range d.roster.cores() {
		list = append(list, quorum.Peer{Name: m.Address.Instance})
	}
	return list
}

func (d *Domain) register() {
	d.net.HandleRaw(methodQuorum, d.handleQuorum)
	d.net.Handle(methodPropose, d.handlePropose)
	d.net.Handle(methodAttend, handle(d.attend))
	d.net.ServeRaw(methodRequest, server(d.request))
	d.net.ServeRaw(methodAdvise, server(adviser(d.o.Tickets)))
}

// adviser makes ticket calls for the leader.
func adviser(t Tickets) func(context.Context, model.Instance, adviseQuery) (Advice, error) {
	return func(ctx context.Context, _ model.Instance, q adviseQuery) (Advice, error) {
		return t.Advise(ctx, q.Step, q.Workers)
	}
}

// server decodes the parameters of a raw call and encodes its result. Requests and ticket calls are
// most of the leader's calls, and JSON took a fifth of its processor.
func server[P, R any](f func(context.Context, model.Instance, P) (R, error)) peer.RawServer {
	return func(ctx context.Context, from model.Instance, payload []byte) ([]byte, error) {
		var p P
		if err := cbor.Unmarshal(payload, &p); err != nil {
			return nil, fault.Wrap(fault.ErrInvalid, "parameters: %v", err)
		}
		r, err := f(ctx, from, p)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(r)
	}
}

// call makes a raw call whose parameters and result server decodes and encodes.
func call[P, R any](ctx context.Context, n *peer.Net, to model.Instance, method string, params P) (R, error) {
	var r R
	payload, err := cbor.Marshal(params)
	if err != nil {
		return r, fault.Wrap(fault.ErrInvalid, "call %s: encode: %v", method, err)
	}
	data, err := n.CallRaw(ctx, to, method, payload)
	if err != nil {
		return r, err
	}
	if err := cbor.Unmarshal(data, &r); err != nil {
		return r, fault.Wrap(fault.ErrUnknown, "call %s at %s: answer: %v", method, to, err)
	}
	return r, nil
}

// handle decodes the parameters of a method.
func handle[P, R any](f func(context.Context, model.Instance, P) (R, error)) peer.Handler {
	return func(ctx context.Context, from model.Instance, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, fault.Wrap(fault.ErrInvalid, "parameters: %v", err)
		}
		return f(ctx, from, p)
	}
}

// Serve starts listening for other instances and working.
func (d *Domain) Serve(l net.Listener) {
	d.net.Serve(l)
	d.wait.Go(func() { every(d.ctx, attendEvery, d.attendAll) })
	d.wait.Go(func() { every(d.ctx, tickEvery, func() { d.step(plan.Tick{}) }) })
	d.wait.Go(func() { every(d.ctx, forgetEvery, d.forget) })
	d.wait.Go(func() { every(d.ctx, gaugeEvery, d.gauge) })
}

// every calls f at once and then periodically until ctx ends.
func every(ctx context.Context, period clock.Millis, f func()) {
	ticker := time.NewTicker(period.Std())
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

// Stop hands leadership over and ends the instance.
func (d *Domain) Stop(ctx context.Context) {
	if _, _, mine := d.group.Leader(); mine {
		if err := d.group.Handover(ctx); err != nil {
			klog.InfoS("hand-over failed", "error", err.Error())
		}
	}
	d.cancel()
	d.endSession()
	d.net.Close()
	if err := d.group.Close(); err != nil {
		klog.ErrorS(err, "close of the group failed")
	}
	d.wait.Wait()
}

// SetSeeds adds the instances of a new seed list.
func (d *Domain) SetSeeds(list []peer.Address) {
	for _, s := range list {
		if d.roster.learn(d.now(), Member{Address: s, Core: true}, false) {
			d.group.SetPeers(d.peers())
		}
	}
}

func (d *Domain) now() clock.Millis { return d.o.Clock.Now() }

// role starts or ends the plan when leadership changes.
func (d *Domain) role(r group.Role) {
	klog.InfoS("role changed", "leads", r.Mine, "leader", r.Leader, "term", r.Term)
	d.metrics.role(r.Mine, r.Term)
	d.mu.Lock()
	d.roleTerm = r.Term
	d.mu.Unlock()
	d.endSession()
	if r.Mine {
		d.wait.Go(func() { d.begin(r.Term) })
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

// begin makes a plan once all that earlier leaders committed is applied.
func (d *Domain) begin(term uint64) {
	<-d.opened
	if err := d.group.Barrier(d.ctx); err != nil {
		klog.InfoS("plan not started", "term", term, "error", err.Error())
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.roleTerm != term || d.session != nil || d.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	cfg := plan.Config{
		Term: term, Lease: d.o.Lease, MaxLease: d.o.MaxLease, Stop: d.o.StopTime, Gang: d.o.GangTime,
		Offset: unixNow() - d.now(),
	}
	planner, out := plan.New(d.now(), cfg, d.state)
	d.session = &session{term: term, planner: planner, ctx: ctx, cancel: cancel}
	klog.InfoS("plan started", "term", term, "jobs", len(d.state.Jobs()), "workers", len(d.state.Workers()))
	d.perform(d.session, out)
}

func unixNow() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }

// step hands an event to the plan, if this instance has one.
func (d *Domain) step(e plan.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.session; s != nil {
		if _, tick := e.(plan.Tick); tick {
			d.updateCallers(s)
		}
		d.perform(s, s.planner.Step(d.now(), e))
	}
}

// stepIn is step for the results of calls of one session.
func (d *Domain) stepIn(s *session, e plan.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session == s {
		d.perform(s, s.planner.Step(d.now(), e))
	}
}

// enoughCallers is the number of other instances from which on the leader makes no ticket calls
// itself: its processor is the scarce one.
const enoughCallers = 4

// updateCallers tells the plan which instances can make ticket calls. The caller holds mu.
func (d *Domain) updateCallers(s *session) {
	list := d.roster.present(d.now())
	if len(list) < enoughCallers {
		list = append(list, d.o.Self.Instance)
	}
	if slices.Equal(list, s.callers) {
		return
	}
	s.callers = list
	d.perform(s, s.planner.Step(d.now(), plan.Callers{List: list}))
}

// machine applies the log to the state and tells the plan.
type machine struct{ d *Domain }

// Apply executes a committed command and returns its outcome.
func (m machine) Apply(index uint64, data []byte) []byte {
	c, err := ledger.Decode(data)
	if err != nil {
		// Every replica fails to decode the same bytes, so skipping them keeps replicas equal.
		klog.ErrorS(err, "command of the log skipped", "index", index)
		return []byte{0}
	}
	d := m.d
	d.mu.Lock()
	defer d.mu.Unlock()
	outcome := d.state.Apply(c)
	if s := d.session; s != nil {
		d.perform(s, s.planner.Step(d.now(), plan.Applied{Command: c}))
	}
	return []byte{byte(outcome)}
}

// Snapshot encodes the state.
func (m machine) Snapshot() ([]byte, error) {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	return m.d.state.Snapshot()
}

// Restore replaces the state.
func (m machine) Restore(data []byte) error {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	return m.d.state.Restore(data)
}

// forget drops jobs that ended long ago.
func (d *Domain) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.session; s != nil {
		d.perform(s, []plan.Decision{plan.Propose{Command: ledger.Forget{Before: unixNow() - d.o.Keep}}})
	}
	d.roster.forgetGone(d.now())
}

// config returns the configuration that this replica has applied.
func (d *Domain) config() flow.Config {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Config()
}
