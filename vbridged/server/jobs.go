package server

import (
	"context"
	"crypto/rand"
	"errors"
	"strings"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/core/state"
)

// maxRun bounds a run label in bytes.
const maxRun = 128

// Run starts a run of a configured batch or gang in its owner zone. The label makes a resend
// return the same job.
func (s *Server) Run(ctx context.Context, r proto.RunRequest) (proto.JobReply, error) {
	if r.Run == "" {
		r.Run = string(s.settings.Instance.Zone) + ":" + strings.ToLower(rand.Text())
	}
	if len(r.Run) > maxRun || strings.ContainsAny(r.Run, "/# \t\r\n") {
		return proto.JobReply{}, fault.Wrap(fault.ErrInvalid, "run: %q is not a label of at most %d bytes without space, / and #", r.Run, maxRun)
	}
	w, err := s.findRun(r.Name)
	if err != nil {
		return proto.JobReply{}, err
	}
	owner := model.OwnerZone(string(model.NewJobID(r.Name, r.Run)), r.Run, w.Common().Zones)
	if owner == s.settings.Instance.Zone {
		return s.runInZone(ctx, r)
	}
	var reply proto.JobReply
	return reply, s.callZone(ctx, owner, methodRun, r, &reply)
}

func (s *Server) findRun(name string) (model.Work, error) {
	w, ok := s.snapshot.Load().cell.FindWork(name)
	if !ok {
		return nil, fault.Wrap(fault.ErrNotFound, "name: no batch or gang %q in the configuration in force", name)
	}
	if _, isService := w.(model.Service); isService {
		return nil, fault.Wrap(fault.ErrInvalid, "name: %q is a service, which the configuration itself starts", name)
	}
	return w, nil
}

// runInZone accepts a run in this zone, at its leader.
func (s *Server) runInZone(ctx context.Context, r proto.RunRequest) (proto.JobReply, error) {
	if _, leading := s.Leading(); !leading {
		var reply proto.JobReply
		return reply, s.callLeader(ctx, methodRun, r, &reply)
	}
	id := model.NewJobID(r.Name, r.Run)
	if reply, ok := s.localJob(id); ok {
		return reply, nil
	}
	w, err := s.findRun(r.Name)
	if err != nil {
		return proto.JobReply{}, err
	}
	w = model.WithRun(w, r.Run)
	if err := s.sched.Offer(ctx, id, w); err != nil {
		return proto.JobReply{}, err
	}
	command := state.AddJob{Job: id, Work: model.NewBox(w), Count: w.Common().Count, At: s.clock.Now()}
	if _, err := s.zoneLog.Propose(ctx, command); err != nil {
		return proto.JobReply{}, err
	}
	reply, ok := s.localJob(id)
	if !ok {
		return reply, fault.Wrap(fault.ErrUnknown, "job %s was committed but is not applied here", id)
	}
	return reply, nil
}

// Job describes a job, wherever it is recorded.
func (s *Server) Job(ctx context.Context, id model.JobID) (proto.JobReply, error) {
	return s.atOwner(ctx, id, methodJob, s.jobInZone)
}

// Cancel cancels a job, wherever it is recorded.
func (s *Server) Cancel(ctx context.Context, id model.JobID) (proto.JobReply, error) {
	return s.atOwner(ctx, id, methodCancel, s.cancelInZone)
}

// atOwner calls f here or its method in another zone, until a zone knows the job. A zone that
// cannot be reached may be the owner, so "not found" needs an answer of every zone.
func (s *Server) atOwner(ctx context.Context, id model.JobID, method string, f func(context.Context, model.JobID) (proto.JobReply, error)) (proto.JobReply, error) {
	reply, err := f(ctx, id)
	if !errors.Is(err, fault.ErrNotFound) {
		return reply, err
	}
	for _, p := range s.settings.Places() {
		if p.Zone == s.settings.Instance.Zone {
			continue
		}
		var found proto.JobReply
		other := s.callZone(ctx, p.Zone, method, id, &found)
		if other == nil {
			return found, nil
		}
		if !errors.Is(other, fault.ErrNotFound) {
			err = other
		}
	}
	return proto.JobReply{}, err
}

// jobInZone reads a job of this zone from a replica that has caught up.
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

func (s *Server) cancelInZone(ctx context.Context, id model.JobID) (proto.JobReply, error) {
	reply, err := s.jobInZone(ctx, id)
	if err != nil {
		return reply, err
	}
	if reply.Work.Service != nil {
		return reply, fault.Wrap(fault.ErrInvalid, "job %s is a service; take it out of the configuration", id)
	}
	if _, err := s.zoneLog.Propose(ctx, state.CancelJob{Job: id, Reason: "cancelled by an operator", At: s.clock.Now()}); err != nil {
		return proto.JobReply{}, err
	}
	return s.jobInZone(ctx, id)
}

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
		reply.Counts = job.Counts()
		reply.Tasks = taskReplies(job)
	})
	return reply, found
}

func taskReplies(job *state.Job) []proto.TaskReply {
	list := make([]proto.TaskReply, len(job.Tasks))
	for i, t := range job.Tasks {
		list[i] = proto.TaskReply{
			Index: i, Phase: t.Phase, Worker: t.Worker, Attempt: t.Attempt,
			Accepted: t.Accepted, Started: t.Started, Ended: t.Ended, Reason: t.Reason,
		}
	}
	return list
}

// Sync answers a worker, here or at the leader of its zone.
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
