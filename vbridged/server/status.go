package server

import (
	"context"
	"sync"
	"time"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/core/trace"
	"vanillabridge/vbridged/group"
)

// statusTimeout bounds the question to each other instance.
const statusTimeout = time.Second

// instanceStatus is what an instance tells another about itself.
type instanceStatus struct {
	Config uint64 `json:"config"`
}

func (s *Server) statusHere(context.Context, struct{}) (instanceStatus, error) {
	return instanceStatus{Config: s.snapshot.Load().version}, nil
}

// Status describes this instance and what it sees of the others.
func (s *Server) Status(ctx context.Context) proto.StatusReply {
	reasons := s.Unready()
	reply := proto.StatusReply{
		Instance:  s.settings.Instance.Name,
		Zone:      s.settings.Instance.Zone,
		Region:    s.settings.Instance.Region,
		Ready:     len(reasons) == 0,
		Reasons:   reasons,
		Config:    s.snapshot.Load().version,
		Instances: s.askInstances(ctx),
		Servers:   s.entry.Servers(),
		Workers:   s.sched.Workers(),
	}
	for _, g := range s.groups() {
		reply.Groups = append(reply.Groups, groupStatus(g.Status()))
	}
	return reply
}

func groupStatus(g group.Status) proto.GroupStatus {
	status := proto.GroupStatus{Group: g.Group, Leader: string(g.Leader.Name), Term: g.Term, Applied: g.AppliedIndex}
	for _, v := range g.Voters {
		status.Voters = append(status.Voters, v.String())
	}
	return status
}

// Unready lists why the instance should get no traffic. An instance without a leader in its
// zone still serves callers on its floor of permits.
func (s *Server) Unready() []string {
	reasons := []string{}
	if err := s.zoneGroup.Err(); err != nil {
		reasons = append(reasons, "zone group stopped: "+err.Error())
	}
	if !s.caughtUp() {
		reasons = append(reasons, "config: not caught up")
	}
	if ok, reason := s.entry.Ready(); !ok {
		reasons = append(reasons, reason)
	}
	return reasons
}

// caughtUp reports whether this replica has applied what its group had committed when the
// replica first heard of a leader. Once true, it stays true for the life of the process.
func (s *Server) caughtUp() bool {
	if s.joined.Load() {
		return true
	}
	st := s.zoneGroup.Status()
	if st.Leader.IsZero() || st.AppliedIndex < st.CommitIndex || st.CommitIndex == 0 {
		return false
	}
	s.joined.Store(true)
	return true
}

func (s *Server) askInstances(ctx context.Context) []proto.InstanceStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	list := make([]proto.InstanceStatus, len(s.settings.Peers))
	var wait sync.WaitGroup
	for i, p := range s.settings.Peers {
		wait.Go(func() { list[i] = s.askInstance(ctx, p.Name, p.Zone) })
	}
	wait.Wait()
	return list
}

func (s *Server) askInstance(ctx context.Context, name model.Instance, zone model.Zone) proto.InstanceStatus {
	status := proto.InstanceStatus{Instance: name, Zone: zone}
	var answer instanceStatus
	if err := s.net.Call(ctx, name, methodStatus, struct{}{}, &answer); err == nil {
		status.Reached, status.Config = true, answer.Config
	}
	return status
}

// Events returns recorded events of this process.
func (s *Server) Events(f trace.Filter) []trace.Entry { return s.recorder.Events(f) }
