package server

import (
	"context"
	"crypto/rand"
	"errors"
	"strings"

	"k8s.io/klog/v2"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/core/state"
)

// maxRunLabelBytes bounds the length of a run label.
const maxRunLabelBytes = 128

// Run starts a run of a configured batch or gang in its owner zone. It is idempotent: a request
// with the same label returns the same job.
func (s *Server) Run(ctx context.Context, r proto.RunRequest) (proto.JobReply, error) {
	if r.RunLabel == "" {
		r.RunLabel = string(s.settings.Instance.Zone) + ":" + strings.ToLower(rand.Text())
	}
	if len(r.RunLabel) > maxRunLabelBytes || strings.ContainsAny(r.RunLabel, "/# \t\r\n") {
		return proto.JobReply{}, fault.Wrap(fault.ErrInvalid, "run: %q is not a label of at most %d bytes without space, / and #", r.RunLabel, maxRunLabelBytes)
	}
	w, err := s.findRunnable(r.Name)
	if err != nil {
		return proto.JobReply{}, err
	}
	owner := model.OwnerZone(string(model.NewJobID(r.Name, r.RunLabel)), r.RunLabel, w.Common().Zones)
	if owner == s.settings.Instance.Zone {
		return s.runInZone(ctx, r)
	}
	var reply proto.JobReply
	return reply, s.callZone(ctx, owner, methodRun, r, &reply)
}

// findRunnable returns the batch or gang of a name from the active configuration.
func (s *Server) findRunnable(name string) (model.Work, error) {
	w, ok := s.config.Load().cell.FindWork(name)
	if !ok {
		return nil, fault.Wrap(fault.ErrNotFound, "name: no batch or gang %q in the active configuration", name)
	}
	if _, isService := w.(model.Service); isService {
		return nil, fault.Wrap(fault.ErrInvalid, "name: %q is a service, which the configuration itself starts", name)
	}
	return w, nil
}

// runInZone accepts a run in this zone. If another instance leads the zone, the call is forwarded
// to it.
func (s *Server) runInZone(ctx context.Context, r proto.RunRequest) (proto.JobReply, error) {
	if _, leading := s.Leading(); !leading {
		var reply proto.JobReply
		return reply, s.callLeader(ctx, methodRun, r, &reply)
	}
	id := model.NewJobID(r.Name, r.RunLabel)
	if reply, ok := s.localJob(id); ok {
		return reply, nil
	}
	w, err := s.findRunnable(r.Name)
	if err != nil {
		return proto.JobReply{}, err
	}
	w = model.WithRun(w, r.RunLabel)
	if err := s.sched.CheckAdmission(ctx, id, w); err != nil {
		return proto.JobReply{}, err
	}
	command := state.AddJob{Job: id, Work: model.EncodeWork(w), TaskCount: w.Common().Count, At: s.clock.Now()}
	if _, err := s.zoneLog.Propose(ctx, command); err != nil {
		return proto.JobReply{}, err
	}
	reply, ok := s.localJob(id)
	if !ok {
		return reply, fault.Wrap(fault.ErrUnknown, "job %s was committed but is not in the state of this replica", id)
	}
	return reply, nil
}

// Job describes a job from the zone that records it.
func (s *Server) Job(ctx context.Context, id model.JobID) (proto.JobReply, error) {
	return s.callOwnerZone(ctx, id, methodJob, s.jobInZone)
}

// Cancel cancels a job in the zone that records it.
func (s *Server) Cancel(ctx context.Context, id model.JobID) (proto.JobReply, error) {
	return s.callOwnerZone(ctx, id, methodCancel, s.cancelInZone)
}

// callOwnerZone calls f in this zone and then method in each other zone, until one finds the job.
// It returns "not found" only if every zone answered so, because an unreachable zone may be the
// owner.
func (s *Server) callOwnerZone(ctx context.Context, id model.JobID, method string, f func(context.Context, model.JobID) (proto.JobReply, error)) (proto.JobReply, error) {
	reply, err := f(ctx, id)
	if !errors.Is(err, fault.ErrNotFound) {
		return reply, err
	}
	for _, z := range s.settings.Zones() {
		if z.Zone == s.settings.Instance.Zone {
			continue
		}
		var found proto.JobReply
		callErr := s.callZone(ctx, z.Zone, method, id, &found)
		if callErr == nil {
			return found, nil
		}
		if !errors.Is(callErr, fault.ErrNotFound) {
			err = callErr
		}
	}
	return proto.JobReply{}, err
}

// jobInZone describes a job of this zone by a linearizable read of the local replica.
func (s *Server) jobInZone(ctx context.Context, id model.JobID) (proto.JobReply, error) {
	if err := s.zoneGroup.Barrier(ctx); err != nil {
		return proto.JobReply{}, err
	}
	reply, ok := s.localJob(id)
	if !ok {
		return reply, fault.Wrap(fault.ErrNotFound, "job %s", id)
	}
	return reply, nil
}

// cancelInZone cancels a job of this zone. That there is no such job is recorded before it is answered, because its run may
// still be on its way.
func (s *Server) cancelInZone(ctx context.Context, id model.JobID) (proto.JobReply, error) {
	reply, err := s.jobInZone(ctx, id)
	unknown := errors.Is(err, fault.ErrNotFound)
	if err != nil && !unknown {
		return reply, err
	}
	if reply.Work.Service != nil {
		return reply, fault.Wrap(fault.ErrInvalid, "job %s is a service; remove it from the configuration", id)
	}
	result, err := s.zoneLog.Propose(ctx, state.CancelJob{Job: id, Reason: "cancelled by an operator", At: s.clock.Now()})
	if err != nil {
		return proto.JobReply{}, err
	}
	if unknown {
		klog.InfoS("cancellation names no job", "job", id, "zone", s.settings.Instance.Zone, "recorded", result.Changed)
	}
	return s.jobInZone(ctx, id)
}

// localJob describes a job from the state of the local replica, which may be stale.
func (s *Server) localJob(id model.JobID) (proto.JobReply, bool) {
	reply := proto.JobReply{Job: id, Zone: s.settings.Instance.Zone}
	found := false
	s.zone.View(func(z *state.Zone) {
		job, ok := z.Job(id)
		if !ok {
			return
		}
		found = true
		reply.Work = job.Work
		reply.Reason = job.Reason
		reply.Counts = job.PhaseCounts()
		reply.Tasks = taskReplies(job)
	})
	return reply, found
}

func taskReplies(job *state.Job) []proto.TaskReply {
	list := make([]proto.TaskReply, len(job.Tasks))
	for i, t := range job.Tasks {
		list[i] = proto.TaskReply{
			Index: i, Phase: t.Phase, Worker: t.Worker, Attempt: t.Attempt,
			Accepted: t.AcceptedAt, Started: t.StartedAt, Ended: t.EndedAt, Reason: t.Reason,
		}
	}
	return list
}

// Sync answers the sync request of a worker on this instance if it leads the worker's zone, and
// forwards it otherwise.
func (s *Server) Sync(ctx context.Context, r proto.SyncRequest) (proto.SyncReply, error) {
	var reply proto.SyncReply
	if r.Zone != s.settings.Instance.Zone {
		return reply, s.callZone(ctx, r.Zone, methodSync, r, &reply)
	}
	reply, err := s.sched.Sync(ctx, r)
	if !errors.Is(err, fault.ErrNotLeader) {
		return reply, err
	}
	return reply, s.callLeader(ctx, methodSync, r, &reply)
}
