package fleet

import (
	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
)

// maxRefusalsLogged is how many lines of one kind a core logs in refusalWindow. A flood of wrong keys, or of cancellations
// of unknown jobs, leaves room in the log for everything else; the fronts still log each request.
const (
	maxRefusalsLogged = 20
	refusalWindow     = clock.Second
)

// lineLimit bounds the log lines of one kind.
type lineLimit struct {
	since           clock.Millis
	logged, skipped int
}

// admit reports whether a line is logged, and how many before it were not.
func (l *lineLimit) admit(now clock.Millis) (ok bool, skipped int) {
	if now-l.since >= refusalWindow {
		l.since, l.logged = now, 0
	}
	if l.logged >= maxRefusalsLogged {
		l.skipped++
		return false, 0
	}
	l.logged++
	skipped, l.skipped = l.skipped, 0
	return true, skipped
}

// Reasons of a refusal.
const (
	reasonNoKey      = "no key"
	reasonUnknownKey = "unknown key"
)

func refusalReason(r Request) string {
	if r.Key == (flow.KeyHash{}) {
		return reasonNoKey
	}
	return reasonUnknownKey
}

// refuse returns the answer to a request whose key the queue does not accept, and logs and counts it. The caller
// holds mu.
func (d *Domain) refuse(r Request, q flow.Queue) Reply {
	reply := Reply{Status: StatusUnauthorized, Reason: refusalReason(r), Version: d.state.Config().Version}
	d.metrics.countRefusal(reply.Reason)
	if ok, skipped := d.refusals.admit(d.now()); ok {
		klog.InfoS("request refused", "request", r.ID, "kind", r.Kind, "queue", q.Name, "reason", reply.Reason,
			"version", reply.Version, "skipped", skipped)
	}
	return reply
}

// checkKey reports whether requests need a key, and returns the refusal of a request whose key the queue does not
// accept; else an empty reply. It refuses only under a valid leader lease, before and after it reads the state, so that
// it knows each key that a newer version has added. Without one such a request does not go to the log either, nor does one
// whose key would be left out because the state has no teams: the front asks again.
func (d *Domain) checkKey(r Request) (enforced bool, refusal Reply, err error) {
	_, valid := d.validLeaseTerm()
	d.mu.Lock()
	enforced = d.state.Config().Access.Enforced
	q, _, _, outcome := d.state.Resolve(r.Host, r.Path, r.Key)
	d.mu.Unlock()
	dropsKey := !enforced && r.Key != (flow.KeyHash{})
	if outcome != ledger.OutcomeUnauthorized && !dropsKey {
		return enforced, Reply{}, nil
	}
	if valid {
		_, valid = d.validLeaseTerm()
	}
	if !valid {
		return enforced, Reply{}, fault.Wrap(fault.ErrNotLeader, "check the key of request %s: this instance holds no valid leader lease", r.ID)
	}
	if outcome != ledger.OutcomeUnauthorized {
		return enforced, Reply{}, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return enforced, d.refuse(r, q), nil
}
