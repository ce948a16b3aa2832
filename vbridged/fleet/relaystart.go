package fleet

import (
	"context"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
)

// registerRelayHandlers lets this core carry calls for other leaders, if relays are enabled.
func (d *Domain) registerRelayHandlers() {
	if !d.options.Features.Relays {
		return
	}
	d.carrier = newCarrier(d.options, d.reportToLeader, d.otherLeader)
	d.network.HandleRawCall(methodCarry, cborHandler(d.carrier.handleBatch))
	d.network.HandleRawCall(methodReport, cborHandler(d.handleRelayReport))
}

// startRelays has the calls of a session to workers go through relays, if these are enabled. The caller holds mu.
func (d *Domain) startRelays(s *session) {
	if !d.options.Features.Relays {
		return
	}
	send := func(ctx context.Context, to model.Instance, b carryBatch) error {
		_, err := callCBOR[carryBatch, struct{}](ctx, d.network, to, methodCarry, b)
		return err
	}
	s.relays = newRelays(s.ctx, s.term, d.options, s.budget, d.metrics, send)
	s.workers = s.relays
	d.updateRelays(s)
	d.wg.Go(func() {
		runPeriodically(s.ctx, relayCheckInterval, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.updateRelays(s)
		})
	})
}

// updateRelays informs the relays of the workers and instances. The caller holds mu.
func (d *Domain) updateRelays(s *session) {
	s.relays.update(d.now(), d.state.Workers(), append(d.directory.all(), d.selfMember()))
}

// nearAddress returns the address of a core near a worker to which it should send its announcements, or "" if it makes
// no difference or relays are not in use.
func (d *Domain) nearAddress(w flow.Worker, leader model.Instance) string {
	d.mu.Lock()
	s := d.session
	d.mu.Unlock()
	if !d.carrier.isUsed() && (s == nil || !s.relays.isActive()) {
		return ""
	}
	return d.directory.nearAddress(d.now(), w.ID, w.Zone, leader)
}

// handleRelayReport passes the answers of a relay on, and tells it how long this core certainly still leads.
func (d *Domain) handleRelayReport(_ context.Context, from model.Instance, r relayReport) (relayReply, error) {
	d.mu.Lock()
	s := d.session
	until, term := d.leaderLease()
	d.mu.Unlock()
	remaining := until - d.now()
	if s == nil || s.term != term || remaining <= 0 {
		return relayReply{}, fault.Wrap(fault.ErrNotLeader, "report of %s: this instance holds no valid leader lease", from)
	}
	needed := s.relays.handleReport(from, r)
	return relayReply{Term: s.term, Remaining: remaining, Needed: needed}, nil
}

// reportToLeader calls handleRelayReport of the leader.
func (d *Domain) reportToLeader(ctx context.Context, leader model.Instance, r relayReport) (relayReply, error) {
	return callCBOR[relayReport, relayReply](ctx, d.network, leader, methodReport, r)
}

// otherLeader returns the leader, or "" if this core leads or knows none, and the newest known term.
func (d *Domain) otherLeader() (model.Instance, uint64) {
	name, term, leads := d.group.Leader()
	if leads {
		return "", term
	}
	return model.Instance(name), term
}

// grace returns how much longer a call takes on this way at most.
func (w *route) grace() clock.Millis {
	if w == nil || w.link == nil {
		return 0
	}
	return relayGrace
}
