package server

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/state"
)

const (
	// tombstoneCheckInterval is the period at which a leader asks whether all members of the zone's group can record
	// tombstones, until they do.
	tombstoneCheckInterval = time.Second
	// tombstoneDelayLogInterval is the time between two lines that say why they don't yet.
	tombstoneDelayLogInterval = 10 * clock.Second
)

// formsReply says which commands of a zone's log an instance can read. Versions without tombstones have no such call.
type formsReply struct {
	Tombstones bool `json:"tombstones"`
}

func localForms(context.Context, struct{}) (formsReply, error) {
	return formsReply{Tombstones: true}, nil
}

// beginTombstones proposes that cancellations of unknown jobs are recorded, if this instance leads its zone and they aren't
// yet. All members of the group have to be able to do so, those that are down too: one that comes back with an earlier
// version would skip the command.
func (s *Server) beginTombstones(ctx context.Context) {
	begun := false
	s.zone.View(func(z *state.Zone) { begun = z.RecordsTombstones() })
	if _, leading := s.Leading(); begun || !leading {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.checkForms(ctx)
	if err == nil {
		_, err = s.zoneLog.Propose(ctx, state.RecordTombstones{})
	}
	if now := s.clock.Now(); err != nil && now-s.tombstonesDelayedAt >= tombstoneDelayLogInterval {
		s.tombstonesDelayedAt = now
		klog.InfoS("cancellations of unknown jobs are not recorded yet", "zone", s.settings.Instance.Zone, "error", fault.Text(err))
	}
}

// checkForms returns an error unless all members of the zone's group can record tombstones.
func (s *Server) checkForms(ctx context.Context) error {
	status := s.zoneGroup.Status()
	for _, id := range slices.Concat(status.Voters, status.Learners) {
		if id.Name == s.settings.Instance.Name {
			continue
		}
		if err := s.checkFormsOf(ctx, id.Name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) checkFormsOf(ctx context.Context, name model.Instance) error {
	var forms formsReply
	err := s.transport.Call(ctx, name, methodForms, struct{}{}, &forms)
	if err == nil && !forms.Tombstones {
		err = fault.Wrap(fault.ErrInvalid, "it answers that it can't")
	}
	if err != nil {
		return fault.Wrap(fault.ErrUnavailable, "instance %s does not say that it can read tombstones: %v", name, err)
	}
	return nil
}

// logTombstones logs a change of the zone's state that concerns tombstones.
func logTombstones(c state.Change) {
	switch c := c.(type) {
	case state.LateJobCancelled:
		klog.InfoS("run arrived after its cancellation: the job is cancelled", "job", c.Job, "age", int64(c.Age))
	case state.TombstonesDropped:
		klog.InfoS("oldest cancellations of unknown jobs dropped: there are too many", "dropped", c.Count)
	}
}
