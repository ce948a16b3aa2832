package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
	"vanillabridge/core/quorum"
	"vanillabridge/vbridged/peer"
)

// transport sends the consensus messages of the group over the network of instances.
type transport struct{ network *peer.Transport }

// Send queues a message; the message is lost if the peer cannot be reached.
func (t transport) Send(to model.Instance, m quorum.Message) {
	data, err := m.Encode()
	if err != nil {
		klog.ErrorS(err, "quorum message not sent: it cannot be encoded")
		return
	}
	t.network.NotifyRaw(to, methodQuorum, data)
}

// forwarder forwards proposals to the leader.
type forwarder struct{ network *peer.Transport }

// Propose asks another instance to append data to the log, and returns the result of applying it.
func (f forwarder) Propose(ctx context.Context, to model.Instance, _ string, data []byte) ([]byte, error) {
	var result []byte
	err := f.network.Call(ctx, to, methodPropose, data, &result)
	return result, err
}

func (d *Domain) handleQuorum(from model.Instance, payload []byte) {
	m, err := quorum.Decode(payload)
	if err != nil {
		klog.ErrorS(err, "quorum message dropped: it cannot be decoded", "from", from)
		return
	}
	d.group.Receive(m)
}

func (d *Domain) handlePropose(ctx context.Context, _ model.Instance, params json.RawMessage) (any, error) {
	var data []byte
	if err := json.Unmarshal(params, &data); err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "decode proposal: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	return d.group.ProposeLocal(ctx, data)
}

// proposeTimeout limits a forwarded proposal; it is longer than its caller waits.
const proposeTimeout = 5 * clock.Second

// handleAnnounce records an instance that announces itself and returns the cores, the leader and the
// request limits that this core knows.
func (d *Domain) handleAnnounce(_ context.Context, _ model.Instance, a announcement) (announceReply, error) {
	if d.directory.update(d.now(), a.Member, true) {
		klog.InfoS("core joins the directory", "instance", a.Member.Address.Instance, "zone", a.Member.Address.Zone)
		d.group.SetPeers(d.groupPeers())
	}
	leader, term, _ := d.group.Leader()
	c := d.config()
	return announceReply{
		Self: d.selfMember(), Cores: append(d.directory.cores(), d.selfMember()), Leader: model.Instance(leader), Term: term,
		Version: c.Version, MaxHeaderBytes: c.RequestLimits.MaxHeaderBytes, MaxBodyBytes: c.RequestLimits.MaxBodyBytes, IdleTimeout: c.RequestLimits.IdleTimeout,
		Keys: c.Access.Enforced,
	}, nil
}

func (d *Domain) selfMember() Member { return Member{Address: d.options.Self, Core: true} }

// announceToCores announces this core to all others and learns the cores that they know.
func (d *Domain) announceToCores() {
	for _, m := range d.directory.cores() {
		go func() {
			ctx, cancel := context.WithTimeout(d.ctx, announceTimeout.Duration())
			defer cancel()
			var r announceReply
			if d.network.Call(ctx, m.Address.Instance, methodAnnounce, announcement{Member: d.selfMember()}, &r) != nil {
				return // retried at the next announcement; package peer logs lost connections
			}
			foundCore := d.directory.update(d.now(), r.Self, true)
			for _, c := range r.Cores {
				foundCore = d.directory.update(d.now(), c, false) || foundCore
			}
			if foundCore {
				d.group.SetPeers(d.groupPeers())
			}
		}()
	}
}

// handleRequest serves a caller's request that a front forwards.
func (d *Domain) handleRequest(ctx context.Context, from model.Instance, r Request) (Reply, error) {
	switch r.Kind {
	case KindSubmit, KindCancel:
		return d.commitChange(ctx, from, r)
	case KindState, KindPending:
		return d.readState(r)
	}
	return Reply{}, fault.Wrap(fault.ErrInvalid, "request %s has unknown kind %q", r.ID, r.Kind)
}

// commitChange commits a submission or cancellation. A refused key costs no entry of the log.
func (d *Domain) commitChange(ctx context.Context, from model.Instance, r Request) (Reply, error) {
	if r.Kind == KindSubmit && r.Job == nil {
		return Reply{}, fault.Wrap(fault.ErrInvalid, "submission to %s has no job", r.Path)
	}
	if r.Kind == KindSubmit {
		if err := r.Job.Check(); err != nil { // an earlier version of a front may let it pass
			klog.InfoS("submission refused", "request", r.ID, "path", r.Path, "from", from, "error", fault.Text(err))
			return Reply{Status: StatusInvalid, Version: d.config().Version}, nil
		}
	}
	enforced, refusal, err := d.checkKey(r)
	if err != nil || refusal.Status != "" {
		return refusal, err
	}
	key := r.Key
	if !enforced {
		key = flow.KeyHash{} // the log of a domain without teams has no keys, whatever callers send
	}
	reply, err := d.commitAdmitted(ctx, from, r, key)
	if err == nil && reply.Status == StatusUnauthorized && key != r.Key {
		return d.commit(ctx, from, r, r.Key) // the first configuration with teams was committed meanwhile
	}
	return reply, err
}

// commit commits a submission or cancellation with a key.
func (d *Domain) commit(ctx context.Context, from model.Instance, r Request, key flow.KeyHash) (Reply, error) {
	var c ledger.Command = ledger.Cancel{Host: r.Host, Path: r.Path, Now: unixNow(), Key: key}
	if r.Kind == KindSubmit {
		c = ledger.Submit{Host: r.Host, Path: r.Path, Job: *r.Job, Now: unixNow(), Key: key}
	}
	data, err := ledger.Encode(c)
	if err != nil {
		return Reply{}, err
	}
	result, err := d.group.ProposeLocal(ctx, data)
	if err != nil {
		klog.InfoS("request not committed", "request", r.ID, "kind", r.Kind, "from", from, "error", fault.Text(err))
		return Reply{}, err
	}
	reply := Reply{Status: StatusUnknown, Version: d.config().Version}
	if len(result) == 1 {
		reply.Status, reply.Reason = replyOf(ledger.Outcome(result[0]))
	}
	if reply.Status == StatusUnauthorized && key == r.Key { // a newer version was committed before the command
		d.mu.Lock()
		q, _, _, _ := d.state.Resolve(r.Host, r.Path, r.Key)
		reply = d.refuse(r, q)
		d.mu.Unlock()
	}
	klog.InfoS("request committed", "request", r.ID, "kind", r.Kind, "path", r.Path, "from", from,
		"status", reply.Status, "reason", reply.Reason, "version", reply.Version)
	return reply, nil
}

// readState answers a read request from the local state. The leader lease must be valid before and
// after the state is read, so that the answer cannot be older than a newer leader's state.
func (d *Domain) readState(r Request) (Reply, error) {
	term, ok := d.validLeaseTerm()
	if !ok {
		return Reply{}, fault.Wrap(fault.ErrNotLeader, "read %s: this instance holds no valid leader lease", r.Path)
	}
	reply := d.buildReadReply(r)
	reply.Term = term
	if _, ok := d.validLeaseTerm(); !ok {
		return Reply{}, fault.Wrap(fault.ErrNotLeader, "read %s: the leader lease ended during the read", r.Path)
	}
	return reply, nil
}

// validLeaseTerm returns the term of the leader lease, and whether the lease is valid and the local
// state includes all that earlier leaders committed.
func (d *Domain) validLeaseTerm() (uint64, bool) {
	until, term := d.leaderLease()
	d.mu.Lock()
	ready := d.session != nil && d.session.term == term
	d.mu.Unlock()
	return term, ready && d.now() < until
}

func (d *Domain) buildReadReply(r Request) Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := Reply{Status: StatusDone, Version: d.state.Config().Version}
	q, id, team, outcome := d.state.Resolve(r.Host, r.Path, r.Key)
	switch {
	case outcome == ledger.OutcomeUnauthorized:
		reply = d.refuse(r, q)
	case outcome != ledger.OutcomeDone:
		reply.Status = statusOf(outcome)
	case r.Kind == KindPending:
		reply.Pending = d.state.PendingJobs(q)
		if s := d.session; s != nil {
			reply.Pending += s.planner.UnstartedJobs(q)
		}
	default:
		j := d.state.VisibleJob(id, team)
		if j == nil {
			reply.Status = StatusNoJob
		} else {
			reply.Phase = j.Phase()
		}
	}
	return reply
}

// RecordWorker records the data that a worker announces about itself, and returns once they are
// committed; data that are known already are not committed again. The returned address is that of the
// core to which the worker should send later announcements, or "" for this one.
//
// An announcement that can't be that of a worker of this domain changes nothing, not even what is known of the newest
// announcement: its error is of fault.ErrInvalid, or of fault.ErrNotFound if no configuration names its pool.
func (d *Domain) RecordWorker(ctx context.Context, w flow.Worker) (string, error) {
	if err := w.Check(unixNow()); err != nil {
		return "", err
	}
	if err := d.checkPool(w); err != nil {
		return "", err
	}
	leader, term, leads := d.group.Leader()
	nextAddress := d.nearAddress(w, model.Instance(leader))
	if leads && nextAddress == "" {
		nextAddress = d.directory.announceAddress(d.now(), w.ID)
	}
	d.mu.Lock()
	old, known := d.state.Workers()[w.ID]
	version := d.state.Config().Version
	late := d.announcements.isLate(w)
	d.mu.Unlock()
	if late || (known && isRedundantAnnouncement(old, w)) {
		if leader == "" {
			// The others may have committed a change since, so that this announcement changes something.
			return "", fault.Wrap(fault.ErrUnavailable, "record worker %s: no leader is known", w.ID)
		}
		return nextAddress, nil
	}
	result, err := d.proposeCommand(ctx, ledger.RegisterWorker{Worker: w})
	klog.InfoS("worker announced", "worker", w.ID, "address", w.Address, "zone", w.Zone, "leaving", w.Leaving,
		"born", int64(w.StartedAt), "seq", w.Seq, "term", term, "version", version, "committed", err == nil && len(result) == 1, "error", errorText(err))
	return nextAddress, err
}

// checkPool returns an error if the configuration names no pool of the worker. A known process may go on announcing itself
// after its pool was removed: it may run tasks, and has to be able to leave.
func (d *Domain) checkPool(w flow.Worker) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.state.Config()
	if c.Version == 0 || slices.ContainsFunc(c.Pools, func(p flow.Pool) bool { return p.Name == w.Pool }) {
		return nil
	}
	if old, known := d.state.Workers()[w.ID]; known && old.Incarnation() == w.Incarnation() && old.Pool == w.Pool {
		return nil
	}
	return fault.Wrap(fault.ErrNotFound, "worker %s: pool %q is not one of the %d of configuration version %d", w.ID, w.Pool, len(c.Pools), c.Version)
}

// isRedundantAnnouncement reports whether an announcement changes nothing. One that is out of order or
// comes from an earlier incarnation of the worker is ignored and so counts as redundant.
func isRedundantAnnouncement(old, w flow.Worker) bool {
	same := old.Incarnation() == w.Incarnation()
	if old.Incarnation().IsLaterThan(w.Incarnation()) || (same && w.Seq <= old.Seq) {
		return true
	}
	return same && old.Address == w.Address && old.Pool == w.Pool && old.Capacity == w.Capacity &&
		(old.Leaving || !w.Leaving)
}

// MarkWorkerLeft records that the process of a worker ends now, and returns once the ends that the worker has listed
// are committed: the process waits for that. Tasks that still run end with their lease.
func (d *Domain) MarkWorkerLeft(ctx context.Context, id model.WorkerID) error {
	d.mu.Lock()
	w, known := d.state.Workers()[id]
	d.mu.Unlock()
	if !known || w.HasLeft() {
		return nil
	}
	if !w.Leaving {
		// The call names no process, so it may be a late one of a process that had the identifier before.
		klog.InfoS("leave call ignored: the worker has not announced that it leaves", "worker", id, "born", int64(w.StartedAt))
		return nil
	}
	_, err := d.proposeCommand(ctx, ledger.RegisterWorker{Worker: w.WithLeft()})
	klog.InfoS("worker leaves", "worker", id, "born", int64(w.StartedAt), "error", errorText(err))
	if err == nil {
		sleep(ctx, plan.LeaveSettleTime)
	}
	return err
}

func (d *Domain) proposeCommand(ctx context.Context, c ledger.Command) ([]byte, error) {
	data, err := ledger.Encode(c)
	if err != nil {
		return nil, err
	}
	return d.group.Propose(ctx, data)
}

// Configure checks a configuration and proposes it. It returns once the command is committed; a
// version that is not higher than the one in force changes nothing.
func (d *Domain) Configure(ctx context.Context, c flow.Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	if c.Access.Enforced && !d.config().Access.Enforced {
		if err := d.checkForms(ctx, d.directory.liveCores(d.now()), formsTeams); err != nil {
			return err
		}
	}
	_, err := d.proposeCommand(ctx, ledger.Configure{Config: c})
	return err
}

// Configuration returns the newest committed configuration. It confirms with the leader that this
// replica is up to date, and fails rather than return an older configuration.
func (d *Domain) Configuration(ctx context.Context) (flow.Config, error) {
	if err := d.group.Barrier(ctx); err != nil {
		return flow.Config{}, err
	}
	c := d.config()
	if c.Version == 0 {
		return c, fault.Wrap(fault.ErrUnavailable, "read configuration: none has been committed yet")
	}
	return c, nil
}

// isRetryableElsewhere reports whether an error guarantees that the request had no effect and that
// another instance may serve it.
func isRetryableElsewhere(err error) bool {
	return errors.Is(err, fault.ErrNotLeader) || errors.Is(err, fault.ErrUnavailable)
}
