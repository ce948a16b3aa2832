package fleet

import (
	"context"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
)

// Explained is an explanation with what it was read from.
type Explained struct {
	plan.Explanation
	Leader model.Instance `json:"leader"`
	// LeaderAddress is the HTTP address of the leader if another instance leads.
	LeaderAddress string `json:"leaderAddress,omitempty"`
	Term          uint64 `json:"term"`
	Version       uint64 `json:"version"` // of the configuration
}

// Explain says where a job would go now, and why; it changes nothing. Only a leader under a valid lease knows: before and
// after it reads. On any other instance the error is ErrNotLeader, and the result names the leader if one is known.
func (d *Domain) Explain(ctx context.Context, q plan.Question) (Explained, error) {
	if err := ctx.Err(); err != nil {
		return Explained{}, fault.Wrap(fault.ErrUnavailable, "explain: %v", err)
	}
	term, valid := d.validLeaseTerm()
	if !valid {
		return d.leaderElsewhere()
	}
	e := Explained{Leader: d.options.Self.Instance, Term: term}
	d.mu.Lock()
	s := d.session
	if s != nil && s.term == term {
		e.Explanation, e.Version = s.planner.Explain(d.now(), q), d.state.Config().Version
	}
	d.mu.Unlock()
	if after, valid := d.validLeaseTerm(); !valid || after != term {
		return d.leaderElsewhere()
	}
	return e, nil
}

// leaderElsewhere returns the known leader with ErrNotLeader.
func (d *Domain) leaderElsewhere() (Explained, error) {
	name, term, leads := d.leader()
	e := Explained{Leader: model.Instance(name), Term: term}
	switch {
	case name == "":
		return e, fault.Wrap(fault.ErrNotLeader, "explain: no leader is known")
	case leads:
		return e, fault.Wrap(fault.ErrNotLeader, "explain: this instance leads, but its lease is not valid yet or no more")
	}
	for _, m := range d.directory.cores() {
		if m.Address.Instance == e.Leader {
			e.LeaderAddress = m.Address.HTTP
		}
	}
	return e, fault.Wrap(fault.ErrNotLeader, "explain: the leader is %s", name)
}
