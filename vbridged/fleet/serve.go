package fleet

import (
	"context"
	"encoding/json"
	"errors"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
	"vanillabridge/vbridged/peer"
)

// transport sends the messages of the group.
type transport struct{ net *peer.Net }

// Send queues a message; it is lost if the peer can't be reached.
func (t transport) Send(to model.Instance, m quorum.Message) {
	data, err := m.Encode()
	if err != nil {
		klog.ErrorS(err, "message of the group not sent")
		return
	}
	t.net.NotifyRaw(to, methodQuorum, data)
}

// forwarder proposes at the leader.
type forwarder struct{ net *peer.Net }

// Propose proposes at another instance.
func (f forwarder) Propose(ctx context.Context, to model.Instance, _ string, data []byte) ([]byte, error) {
	var result []byte
	err := f.net.Call(ctx, to, methodPropose, data, &result)
	return result, err
}

func (d *Domain) handleQuorum(from model.Instance, payload []byte) {
	m, err := quorum.Decode(payload)
	if err != nil {
		klog.ErrorS(err, "message of the group dropped", "from", from)
		return
	}
	d.group.Receive(m)
}

func (d *Domain) handlePropose(ctx context.Context, _ model.Instance, params json.RawMessage) (any, error) {
	var data []byte
	if err := json.Unmarshal(params, &data); err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "proposal: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Std())
	defer cancel()
	return d.group.ProposeHere(ctx, data)
}

// proposeTimeout bounds a proposal; its caller has long given up by then.
const proposeTimeout = 5 * clock.Second

// attend takes an announcement in and answers with what this core knows.
func (d *Domain) attend(_ context.Context, _ model.Instance, a attendance) (roll, error) {
	if d.roster.learn(d.now(), a.Member, true) {
		klog.InfoS("core joins the directory", "instance", a.Member.Address.Instance, "zone", a.Member.Address.Zone)
		d.group.SetPeers(d.peers())
	}
	leader, term, _ := d.group.Leader()
	c := d.config()
	return roll{
		Self: d.member(), Cores: append(d.roster.cores(), d.member()), Leader: model.Instance(leader), Term: term,
		Version: c.Version, Header: c.Bounds.Header, Body: c.Bounds.Body, Idle: c.Bounds.Idle,
	}, nil
}

func (d *Domain) member() Member { return Member{Address: d.o.Self, Core: true} }

// attendAll announces this core to all others and learns the cores that they know.
func (d *Domain) attendAll() {
	for _, m := range d.roster.cores() {
		go func() {
			ctx, cancel := context.WithTimeout(d.ctx, attendTimeout.Std())
			defer cancel()
			var r roll
			if d.net.Call(ctx, m.Address.Instance, methodAttend, attendance{Member: d.member()}, &r) != nil {
				return // the next announcement follows soon; the link logs lost connections
			}
			found := d.roster.learn(d.now(), r.Self, true)
			for _, c := range r.Cores {
				found = d.roster.learn(d.now(), c, false) || found
			}
			if found {
				d.group.SetPeers(d.peers())
			}
		}()
	}
}

// request serves a caller's request that a front hands over.
func (d *Domain) request(ctx context.Context, from model.Instance, r Request) (Reply, error) {
	switch r.Kind {
	case KindSubmit, KindCancel:
		return d.change(ctx, from, r)
	case KindState, KindPending:
		return d.read(r)
	}
	return Reply{}, fault.Wrap(fault.ErrInvalid, "request of kind %q", r.Kind)
}

func (d *Domain) change(ctx context.Context, from model.Instance, r Request) (Reply, error) {
	var c ledger.Command = ledger.Cancel{Host: r.Host, Path: r.Path, Now: unixNow()}
	if r.Kind == KindSubmit {
		if r.Job == nil {
			return Reply{}, fault.Wrap(fault.ErrInvalid, "submission without a job")
		}
		c = ledger.Submit{Host: r.Host, Path: r.Path, Job: *r.Job, Now: unixNow()}
	}
	data, err := ledger.Encode(c)
	if err != nil {
		return Reply{}, err
	}
	result, err := d.group.ProposeHere(ctx, data)
	if err != nil {
		klog.InfoS("request not committed", "request", r.ID, "kind", r.Kind, "from", from, "error", fault.Text(err))
		return Reply{}, err
	}
	rep := Reply{Status: StatusUnknown, Version: d.config().Version}
	if len(result) == 1 {
		rep.Status = replyTo(ledger.Outcome(result[0]))
	}
	klog.InfoS("request committed", "request", r.ID, "kind", r.Kind, "path", r.Path, "from", from,
		"status", rep.Status, "version", rep.Version)
	return rep, nil
}

// read answers from the state of a leader whose lease has not ended, before and after the look.
func (d *Domain) read(r Request) (Reply, error) {
	term, ok := d.leased()
	if !ok {
		return Reply{}, fault.Wrap(fault.ErrNotLeader, "this instance has no lease to read")
	}
	rep := d.look(r)
	rep.Term = term
	if _, ok := d.leased(); !ok {
		return Reply{}, fault.Wrap(fault.ErrNotLeader, "the lease ended during a read")
	}
	return rep, nil
}

// leased reports whether this instance surely leads now and shows all that is committed.
func (d *Domain) leased() (uint64, bool) {
	until, term := d.group.Lease()
	d.mu.Lock()
	ready := d.session != nil && d.session.term == term
	d.mu.Unlock()
	return term, ready && d.now() < until
}

func (d *Domain) look(r Request) Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.state.Config()
	rep := Reply{Status: StatusDone, Version: c.Version}
	if c.Version == 0 {
		rep.Status = StatusNoConfig
		return rep
	}
	q, rest, ok := c.Lookup(r.Host, r.Path)
	switch {
	case !ok:
		rep.Status = StatusNoQueue
	case r.Kind == KindPending:
		rep.Pending = d.state.Pending(q)
		if s := d.session; s != nil {
			rep.Pending += s.planner.Unstarted(q)
		}
	default:
		j := d.state.Job(model.JobID(rest))
		if j == nil {
			rep.Status = StatusNoJob
		} else {
			rep.Phase = j.Phase()
		}
	}
	return rep
}

// Announce takes what a worker says of itself in. It returns once the news are committed; what is
// known already is not committed again. The address is where later announcements should go, if not here.
func (d *Domain) Announce(ctx context.Context, w flow.Worker) (string, error) {
	_, term, leads := d.group.Leader()
	at := ""
	if leads {
		at = d.roster.deskOf(d.now(), w.ID)
	}
	d.mu.Lock()
	old, known := d.state.Workers()[w.ID]
	version := d.state.Config().Version
	d.mu.Unlock()
	if known && sameWorker(old, w) {
		return at, nil
	}
	result, err := d.proposeCommand(ctx, ledger.Enlist{Worker: w})
	klog.InfoS("worker announced", "worker", w.ID, "address", w.Address, "zone", w.Zone, "leaving", w.Leaving,
		"born", int64(w.Born), "seq", w.Seq, "term", term, "version", version, "committed", err == nil && len(result) == 1, "error", text(err))
	return at, err
}

// sameWorker reports whether an announcement holds no news. One of an older life holds none.
func sameWorker(old, w flow.Worker) bool {
	if w.Born < old.Born || (w.Born == old.Born && w.Seq <= old.Seq) {
		return true
	}
	return old.Born == w.Born && old.Address == w.Address && old.Pool == w.Pool && old.Capacity == w.Capacity &&
		(old.Leaving || !w.Leaving)
}

// Leave takes in that a worker is about to end. What it runs is settled when it no longer answers.
func (d *Domain) Leave(ctx context.Context, id model.WorkerID) error {
	d.mu.Lock()
	w, known := d.state.Workers()[id]
	d.mu.Unlock()
	if !known || w.Leaving {
		return nil
	}
	w.Leaving = true
	w.Seq++
	_, err := d.proposeCommand(ctx, ledger.Enlist{Worker: w})
	klog.InfoS("worker leaves", "worker", id, "error", text(err))
	return err
}

func (d *Domain) proposeCommand(ctx context.Context, c ledger.Command) ([]byte, error) {
	data, err := ledger.Encode(c)
	if err != nil {
		return nil, err
	}
	return d.group.Propose(ctx, data)
}

// Configure puts a configuration in force once it is committed.
func (d *Domain) Configure(ctx context.Context, c flow.Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	_, err := d.proposeCommand(ctx, ledger.Configure{Config: c})
	return err
}

// Configuration returns the newest configuration. It asks the leader, so that it fails rather than
// return an older one.
func (d *Domain) Configuration(ctx context.Context) (flow.Config, error) {
	if err := d.group.Barrier(ctx); err != nil {
		return flow.Config{}, err
	}
	c := d.config()
	if c.Version == 0 {
		return c, fault.Wrap(fault.ErrUnavailable, "there is no configuration yet")
	}
	return c, nil
}

// isDecided reports whether an error says that nothing was done and a repeat elsewhere may help.
func isDecided(err error) bool {
	return errors.Is(err, fault.ErrNotLeader) || errors.Is(err, fault.ErrUnavailable)
}
