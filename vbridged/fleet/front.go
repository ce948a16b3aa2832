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
	"vanillabridge/core/model"
	"vanillabridge/vbridged/peer"
)

// Front is an instance without a disk that hands callers' requests to the leader.
type Front struct {
	o       Options
	net     *peer.Net
	roster  *roster
	metrics *Metrics
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu      sync.Mutex
	leader  model.Instance
	term    uint64
	heard   clock.Millis // when the leader last answered
	version uint64
	bounds  roll
	changed chan struct{}
}

// NewFront returns a front that is not yet serving.
func NewFront(o Options, m *Metrics) *Front {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Front{o: o, metrics: m, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
	f.net = peer.New(o.Self, nil, nil, nil)
	f.net.SetPings(corePings())
	f.roster = newRoster(o.Self, f.net)
	f.net.ServeRaw(methodAdvise, server(adviser(o.Tickets)))
	f.SetSeeds(o.Seeds)
	return f
}

// SetSeeds adds the instances of a new seed list.
func (f *Front) SetSeeds(list []peer.Address) {
	for _, s := range list {
		f.roster.learn(f.now(), Member{Address: s, Core: true}, false)
	}
}

// Serve starts listening for other instances and looking for the leader.
func (f *Front) Serve(l net.Listener) {
	f.net.Serve(l)
	f.wait.Go(f.follow)
}

// Stop ends the instance.
func (f *Front) Stop() {
	f.cancel()
	f.net.Close()
	f.wait.Wait()
}

func (f *Front) now() clock.Millis { return f.o.Clock.Now() }

// followEvery is how often a front without a leader asks all cores.
const followEvery = 200 * clock.Millisecond

// follow keeps the leader informed of this front, and finds the next leader.
func (f *Front) follow() {
	var last clock.Millis
	for f.ctx.Err() == nil {
		leader, ok := f.current()
		switch {
		case !ok:
			f.askCores()
		case f.now()-last >= attendEvery:
			last = f.now()
			f.attend(leader)
		}
		sleep(f.ctx, followEvery)
	}
}

func (f *Front) askCores() {
	var wait sync.WaitGroup
	for _, m := range f.roster.cores() {
		wait.Go(func() { f.attend(m.Address.Instance) })
	}
	wait.Wait()
}

// attend announces this front to a core and takes in what the core knows.
func (f *Front) attend(to model.Instance) {
	ctx, cancel := context.WithTimeout(f.ctx, attendTimeout.Std())
	defer cancel()
	var r roll
	a := attendance{Member: Member{Address: f.o.Self}}
	if err := f.net.Call(ctx, to, methodAttend, a, &r); err != nil {
		f.doubt(to)
		return
	}
	f.roster.learn(f.now(), r.Self, true)
	for _, c := range r.Cores {
		f.roster.learn(f.now(), c, false)
	}
	f.take(to, r)
}

// take adopts the leader that a core names, if its term is not older than the known one.
func (f *Front) take(from model.Instance, r roll) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Version >= f.version {
		f.version, f.bounds = r.Version, r
	}
	switch {
	case r.Leader == "" && from == f.leader:
		f.setLeader("", f.term)
	case r.Leader != "" && r.Term >= f.term:
		if r.Leader == from {
			f.heard = f.now()
		}
		f.setLeader(r.Leader, r.Term)
	}
}

// setLeader notes a leader and wakes those who wait for one. The caller holds mu.
func (f *Front) setLeader(name model.Instance, term uint64) {
	if name == f.leader && term == f.term {
		return
	}
	klog.InfoS("leader changed", "leader", name, "before", f.leader, "term", term)
	f.leader, f.term = name, term
	close(f.changed)
	f.changed = make(chan struct{})
}

// doubt forgets a leader that did not answer, so that all cores are asked.
func (f *Front) doubt(name model.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader == name {
		f.setLeader("", f.term)
	}
}

// current returns the leader, unless none is known.
func (f *Front) current() (model.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.leader != ""
}

// IsReady reports whether requests can be served: a leader answered lately.
func (f *Front) IsReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version > 0 && f.now()-f.heard <= readyFor
}

// readyFor covers a change of leader, so that a short one does not take all fronts out of rotation.
const readyFor = 4 * clock.Second

// Limits returns the bounds on headers and bodies of requests in bytes, and on idle connections;
// they are 0 before a configuration is known.
func (f *Front) Limits() (header, body int, idle clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bounds.Header, f.bounds.Body, f.bounds.Idle
}

// Do serves a request before ctx ends. All requests may be repeated without harm: submissions are
// told apart by the identifier of the job. So the front goes on at the next leader when one fails,
// and says that nothing was done only if no try can have reached the log.
func (f *Front) Do(ctx context.Context, r Request) Reply {
	from := time.Now()
	rep, tries := f.do(ctx, r)
	took := time.Since(from)
	f.metrics.request(r.Kind, rep.Status, took)
	klog.InfoS("request", "request", r.ID, "kind", r.Kind, "host", r.Host, "path", r.Path, "status", rep.Status, "phase", rep.Phase,
		"tries", tries, "took", took.Milliseconds(), "version", rep.Version, "term", f.knownTerm(), "reason", rep.Reason)
	return rep
}

func (f *Front) knownTerm() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term
}

func (f *Front) do(ctx context.Context, r Request) (Reply, int) {
	sure, tries, reason := true, 0, "no leader is known"
	for {
		leader, changed, ok := f.await(ctx, sure)
		if !ok {
			return giveUp(sure, reason), tries
		}
		tries++
		rep, err := f.try(ctx, leader, r)
		if err == nil {
			return rep, tries
		}
		reason = fault.Text(err)
		if errors.Is(err, fault.ErrInvalid) || errors.Is(err, fault.ErrTooLarge) {
			return Reply{Status: StatusInvalid, Reason: reason}, tries
		}
		if !isDecided(err) && r.Kind != KindState && r.Kind != KindPending {
			sure = false
		}
		f.doubt(leader)
		f.pause(ctx, changed)
		if ctx.Err() != nil {
			return giveUp(sure, reason), tries
		}
	}
}

// retryPause is the time between two tries when the leader has not changed.
const retryPause = 50 * clock.Millisecond

func (f *Front) pause(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(retryPause.Std())
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func giveUp(sure bool, reason string) Reply {
	if sure {
		return Reply{Status: StatusUnavailable, Retry: retryLeaderless, Reason: reason}
	}
	return Reply{Status: StatusUnknown, Reason: reason}
}

func (f *Front) try(ctx context.Context, leader model.Instance, r Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout.Std())
	defer cancel()
	return call[Request, Reply](ctx, f.net, leader, methodRequest, r)
}

// await returns the leader. Without one, a request that surely had no effect waits for a moment only;
// one that may have had an effect waits as long as its caller, because only a leader can tell.
func (f *Front) await(ctx context.Context, sure bool) (model.Instance, <-chan struct{}, bool) {
	if sure {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, patience.Std())
		defer cancel()
	}
	for {
		f.mu.Lock()
		leader, changed := f.leader, f.changed
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
