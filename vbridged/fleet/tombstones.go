package fleet

import (
	"slices"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
)

const (
	// tombstoneCheckInterval is the period at which a leader asks whether all cores can record tombstones, until they do.
	tombstoneCheckInterval = clock.Second
	// tombstoneDelayLogInterval is the time between two lines that say why they don't yet.
	tombstoneDelayLogInterval = 10 * clock.Second
)

// reasonCancelledBefore is the reason in the reply to a submission that arrives after its cancellation.
const reasonCancelledBefore = "cancelled before it was submitted"

// beginTombstones proposes that cancellations of unknown jobs are recorded, if this instance leads and they aren't yet.
// All members of the group have to be able to do so, those that are down too: one that comes back with an earlier version
// would skip the command.
func (d *Domain) beginTombstones() {
	d.mu.Lock()
	s, begun := d.session, d.state.RecordsTombstones()
	d.mu.Unlock()
	if s == nil || begun {
		return
	}
	status := d.group.Status()
	err := d.checkForms(s.ctx, d.otherCores(slices.Concat(status.Voters, status.Learners)), formsTombstones)
	if err != nil {
		d.logTombstonesDelayed(s.term, err)
		return
	}
	data, err := ledger.Encode(ledger.RecordTombstones{})
	if err != nil {
		klog.ErrorS(err, "command not proposed: it cannot be encoded")
		return
	}
	d.group.ProposeAsync(s.term, data, func(_ []byte, err error) {
		if err != nil {
			d.logTombstonesDelayed(s.term, err)
		}
	})
}

// otherCores returns the instances of the members of the group, and the live cores that aren't members yet, without this one.
func (d *Domain) otherCores(members []quorum.ID) []model.Instance {
	list := d.directory.liveCores(d.now())
	for _, m := range members {
		list = append(list, m.Name)
	}
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(name model.Instance) bool { return name == d.options.Self.Instance })
}

func (d *Domain) logTombstonesDelayed(term uint64, cause error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if last := d.tombstonesDelayedAt; last == 0 || d.now()-last >= tombstoneDelayLogInterval {
		d.tombstonesDelayedAt = d.now()
		klog.InfoS("cancellations of unknown jobs are not recorded yet", "term", term, "error", fault.Text(cause))
	}
}

// apply applies a command of the log, and logs what it does with tombstones. The caller holds mu.
func (d *Domain) apply(index uint64, c ledger.Command) ledger.Outcome {
	switch c := c.(type) {
	case ledger.Submit:
		cancelledAt, late := d.state.CancelledBefore(c)
		outcome := d.state.Apply(c)
		if late {
			d.logLateSubmission(index, c, cancelledAt)
		}
		return outcome
	case ledger.Cancel:
		dropped := d.state.DroppedTombstones()
		outcome := d.state.Apply(c)
		if outcome == ledger.OutcomeNoJob {
			d.logUnknownCancellation(index, c)
		}
		if dropped = d.state.DroppedTombstones() - dropped; dropped > 0 {
			d.logDroppedTombstones(index, c, dropped)
		}
		return outcome
	case ledger.RecordTombstones:
		klog.InfoS("cancellations of unknown jobs are recorded from now on", "index", index)
	}
	return d.state.Apply(c)
}

func (d *Domain) logUnknownCancellation(index uint64, c ledger.Cancel) {
	if logged, skipped := d.unknownCancellations.admit(d.now()); logged {
		klog.InfoS("cancellation names no job", "host", c.Host, "path", c.Path, "team", d.teamOf(c), "index", index, "term", d.roleTerm, "leads", d.session != nil,
			"recorded", d.state.RecordsTombstones(), "tombstones", d.state.Tombstones(), "skipped", skipped)
	}
}

func (d *Domain) logLateSubmission(index uint64, c ledger.Submit, cancelledAt clock.Millis) {
	leads := d.session != nil
	if leads {
		d.metrics.lateSubmissions.Inc()
	}
	if logged, skipped := d.lateSubmissions.admit(d.now()); logged {
		klog.InfoS("submission arrived after its cancellation: the job is cancelled", "host", c.Host, "path", c.Path, "index", index, "term", d.roleTerm,
			"leads", leads, "age", int64(c.Now-cancelledAt), "answer", string(statusOf(ledger.OutcomeCancelled)), "skipped", skipped)
	}
}

func (d *Domain) logDroppedTombstones(index uint64, c ledger.Cancel, dropped uint64) {
	d.metrics.droppedTombstones.Add(float64(dropped))
	if logged, skipped := d.tombstoneDrops.admit(d.now()); logged {
		klog.InfoS("oldest tombstones of a team dropped: it has cancelled too many unknown jobs", "team", d.teamOf(c), "path", c.Path, "index", index,
			"dropped", dropped, "tombstones", d.state.Tombstones(), "skipped", skipped)
	}
}

// teamOf returns the team of the caller of a cancellation.
func (d *Domain) teamOf(c ledger.Cancel) string {
	_, _, team, _ := d.state.Resolve(c.Host, c.Path, c.Key)
	return team
}
