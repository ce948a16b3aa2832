package fleet

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
	"vanillabridge/vbridged/peer"
)

// Front is an instance without a disk that forwards callers' requests to the leader.
type Front struct {
	options   Options
	network   *peer.Transport
	directory *directory
	metrics   *Metrics
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu              sync.Mutex
	leader          model.Instance
	term            uint64
	lastLeaderReply clock.Millis  // time of the leader's last answer to an announcement
	configVersion   uint64        // newest version that a core has named; 0 if none is known
	requestLimits   announceReply // answer with the newest configuration version so far
	leaderChanged   chan struct{} // closed and replaced when the leader or its term changes
}

// NewFront returns a front that does not yet serve other instances; see Serve.
func NewFront(o Options, m *Metrics) *Front {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Front{options: o, metrics: m, ctx: ctx, cancel: cancel, leaderChanged: make(chan struct{})}
	f.network = peer.New(o.Self, nil, nil, nil)
	f.network.SetPingConfig(corePingConfig())
	f.directory = newDirectory(o.Self, f.network)
	f.network.HandleRawCall(methodAdvise, cborHandler(adviseHandler(o.Tickets)))
	f.SetSeeds(o.Seeds)
	return f
}

// SetSeeds adds the instances of a new seed list; it removes none.
func (f *Front) SetSeeds(list []peer.Address) {
	for _, s := range list {
		f.directory.update(f.now(), Member{Address: s, Core: true}, false)
	}
}

// Serve accepts connections of other instances on l and starts to search for the leader.
func (f *Front) Serve(l net.Listener) {
	f.network.Serve(l)
	f.wg.Go(f.trackLeader)
	f.wg.Go(func() { logPauses(f.ctx, f.options.Clock, f.options.JobRetention) })
}

// Stop closes the connections to other instances and waits for the front's goroutines.
func (f *Front) Stop() {
	f.cancel()
	f.network.Close()
	f.wg.Wait()
}

func (f *Front) now() clock.Millis { return f.options.Clock.Now() }

// trackInterval is the period at which a front that knows no leader announces itself to all cores.
const trackInterval = 200 * clock.Millisecond

// trackLeader announces this front to the leader periodically. While no leader is known, it announces
// the front to all cores, whose answers name the leader.
func (f *Front) trackLeader() {
	var last clock.Millis
	for f.ctx.Err() == nil {
		leader, ok := f.knownLeader()
		switch {
		case !ok:
			f.announceToCores()
		case f.now()-last >= announceInterval:
			last = f.now()
			f.announce(leader)
		}
		sleep(f.ctx, trackInterval)
	}
}

func (f *Front) announceToCores() {
	var wg sync.WaitGroup
	for _, m := range f.directory.cores() {
		wg.Go(func() { f.announce(m.Address.Instance) })
	}
	wg.Wait()
}

// announce announces this front to a core and learns from the answer the cores, the leader and the
// request limits.
func (f *Front) announce(to model.Instance) {
	ctx, cancel := context.WithTimeout(f.ctx, announceTimeout.Duration())
	defer cancel()
	var r announceReply
	a := announcement{Member: Member{Address: f.options.Self}}
	if err := f.network.Call(ctx, to, methodAnnounce, a, &r); err != nil {
		f.forgetLeader(to)
		return
	}
	f.directory.update(f.now(), r.Self, true)
	for _, c := range r.Cores {
		f.directory.update(f.now(), c, false)
	}
	f.applyAnnounceReply(to, r)
}

// applyAnnounceReply adopts the leader that a core names unless its term is older than the known one,
// and the core's request limits unless its configuration is older.
func (f *Front) applyAnnounceReply(from model.Instance, r announceReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Version >= f.configVersion {
		f.configVersion, f.requestLimits = r.Version, r
	}
	switch {
	case r.Leader == "" && from == f.leader:
		f.setLeader("", f.term)
	case r.Leader != "" && r.Term >= f.term:
		if r.Leader == from {
			f.lastLeaderReply = f.now()
		}
		f.setLeader(r.Leader, r.Term)
	}
}

// setLeader records the leader and wakes the requests that wait for one. The caller holds mu.
func (f *Front) setLeader(name model.Instance, term uint64) {
	if name == f.leader && term == f.term {
		return
	}
	klog.InfoS("leader changed", "leader", name, "before", f.leader, "term", term)
	f.leader, f.term = name, term
	close(f.leaderChanged)
	f.leaderChanged = make(chan struct{})
}

// forgetLeader clears the leader if it is name, which did not answer. All cores are then asked for
// the leader.
func (f *Front) forgetLeader(name model.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader == name {
		f.setLeader("", f.term)
	}
}

// knownLeader returns the leader and whether one is known.
func (f *Front) knownLeader() (model.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.leader != ""
}

// IsReady reports whether requests can be served: a configuration is known and the leader answered
// within maxReadySilence.
func (f *Front) IsReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configVersion > 0 && f.now()-f.lastLeaderReply <= maxReadySilence
}

// maxReadySilence is how long a front stays ready without an answer of the leader. It covers a short
// change of leader, which would otherwise make load balancers remove all fronts at once.
const maxReadySilence = 4 * clock.Second

// Limits returns the maximum sizes of request headers and bodies in bytes and the idle time-out of
// connections; all are 0 until a configuration is known.
func (f *Front) Limits() (header, body int, idle clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requestLimits.MaxHeaderBytes, f.requestLimits.MaxBodyBytes, f.requestLimits.IdleTimeout
}

// Do serves a request before ctx ends. All requests are idempotent, submissions by the job's
// identifier, so the front retries at the next leader when one fails. It reports StatusUnavailable
// only if no attempt can have reached the log.
func (f *Front) Do(ctx context.Context, r Request) Reply {
	start := time.Now()
	reply, attempts := f.doWithRetries(ctx, r)
	took := time.Since(start)
	f.metrics.observeRequest(r.Kind, reply.Status, took)
	klog.InfoS("request", "request", r.ID, "kind", r.Kind, "host", r.Host, "path", r.Path, "status", reply.Status, "phase", reply.Phase,
		"tries", attempts, "took", took.Milliseconds(), "version", reply.Version, "term", f.knownTerm(), "reason", reply.Reason)
	return reply
}

func (f *Front) knownTerm() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term
}

func (f *Front) doWithRetries(ctx context.Context, r Request) (Reply, int) {
	noEffect, attempts, reason := true, 0, "no leader is known"
	for {
		leader, changed, ok := f.awaitLeader(ctx, noEffect)
		if !ok {
			return failureReply(noEffect, reason), attempts
		}
		attempts++
		reply, err := f.tryLeader(ctx, leader, r)
		if err == nil {
			return settleRefusal(reply, noEffect), attempts
		}
		reason = fault.Text(err)
		if errors.Is(err, fault.ErrInvalid) || errors.Is(err, fault.ErrTooLarge) {
			return settleRefusal(Reply{Status: StatusInvalid, Reason: reason}, noEffect), attempts
		}
		if !isRetryableElsewhere(err) && r.Kind != KindState && r.Kind != KindPending {
			noEffect = false
		}
		f.forgetLeader(leader)
		f.waitForRetry(ctx, changed)
		if ctx.Err() != nil {
			return failureReply(noEffect, reason), attempts
		}
	}
}

// retryInterval is the time between two attempts while the leader does not change.
const retryInterval = 50 * clock.Millisecond

func (f *Front) waitForRetry(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(retryInterval.Duration())
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func failureReply(noEffect bool, reason string) Reply {
	if noEffect {
		return Reply{Status: StatusUnavailable, RetryAfter: leaderlessRetryAfter, Reason: reason}
	}
	return Reply{Status: StatusUnknown, Reason: reason}
}

func (f *Front) tryLeader(ctx context.Context, leader model.Instance, r Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout.Duration())
	defer cancel()
	if r.Key == (flow.KeyHash{}) || !f.needsKeys() {
		reply, err := callCBOR[plainRequest, Reply](ctx, f.network, leader, methodRequest, r.plain())
		if err != nil || reply.Status != StatusUnauthorized || r.Key == (flow.KeyHash{}) {
			return reply, err
		}
		// The leader has a newer configuration, the first one with teams.
	}
	return callCBOR[Request, Reply](ctx, f.network, leader, methodKeyed, r)
}

// needsKeys reports whether requests are sent with their key. They are not while the configuration has no teams:
// the messages are then as short as before, and cores that know no keys understand them.
func (f *Front) needsKeys() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configVersion == 0 || f.requestLimits.Keys
}

// awaitLeader returns the leader, and waits for one if none is known. A request that certainly had no
// effect waits for leaderWaitTimeout; one that may have had an effect waits until ctx ends, because
// only a leader knows its outcome.
func (f *Front) awaitLeader(ctx context.Context, noEffect bool) (model.Instance, <-chan struct{}, bool) {
	if noEffect {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, leaderWaitTimeout.Duration())
		defer cancel()
	}
	for {
		f.mu.Lock()
		leader, changed := f.leader, f.leaderChanged
		f.mu.Unlock()
		if leader != "" {
			return leader, changed, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", nil, false
		}
	}
}
