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

// statusTimeout bounds the status query to each other instance.
const statusTimeout = time.Second

// localStatusReply is the answer to a status query from another instance.
type localStatusReply struct {
	Config uint64 `json:"config"`
}

func (s *Server) localStatus(context.Context, struct{}) (localStatusReply, error) {
	return localStatusReply{Config: s.config.Load().version}, nil
}

// Status describes this instance and its view of the others.
func (s *Server) Status(ctx context.Context) proto.StatusReply {
	reasons := s.UnreadyReasons()
	reply := proto.StatusReply{
		Instance:      s.settings.Instance.Name,
		Zone:          s.settings.Instance.Zone,
		Region:        s.settings.Instance.Region,
		Ready:         len(reasons) == 0,
		Reasons:       reasons,
		ConfigVersion: s.config.Load().version,
		Instances:     s.queryInstances(ctx),
		Servers:       s.entry.Servers(),
		Workers:       s.sched.WorkerCount(),
	}
	for _, g := range s.groups() {
		reply.Groups = append(reply.Groups, groupStatus(g.Status()))
	}
	return reply
}

func groupStatus(g group.Status) proto.GroupStatus {
	status := proto.GroupStatus{Group: g.Group, Leader: string(g.Leader.Name), Term: g.Term, AppliedIndex: g.AppliedIndex}
	for _, v := range g.Voters {
		status.Voters = append(status.Voters, v.String())
	}
	return status
}

// UnreadyReasons lists the reasons why the instance should get no traffic. A missing zone leader is not
// one of them, because the instance can still serve callers on its minimum of permits.
func (s *Server) UnreadyReasons() []string {
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

// caughtUp reports whether the zone replica has applied all entries that it knew to be committed
// while a leader was known. Once true, it stays true for the lifetime of the process.
func (s *Server) caughtUp() bool {
	if s.hasCaughtUp.Load() {
		return true
	}
	st := s.zoneGroup.Status()
	if st.Leader.IsZero() || st.AppliedIndex < st.CommitIndex || st.CommitIndex == 0 {
		return false
	}
	s.hasCaughtUp.Store(true)
	return true
}

// queryInstances queries the status of all other instances concurrently.
func (s *Server) queryInstances(ctx context.Context) []proto.InstanceStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	list := make([]proto.InstanceStatus, len(s.settings.Peers))
	var wait sync.WaitGroup
	for i, p := range s.settings.Peers {
		wait.Go(func() { list[i] = s.queryInstance(ctx, p.Name, p.Zone) })
	}
	wait.Wait()
	return list
}

func (s *Server) queryInstance(ctx context.Context, name model.Instance, zone model.Zone) proto.InstanceStatus {
	status := proto.InstanceStatus{Instance: name, Zone: zone}
	var answer localStatusReply
	if err := s.transport.Call(ctx, name, methodStatus, struct{}{}, &answer); err == nil {
		status.Reachable, status.ConfigVersion = true, answer.Config
	}
	return status
}

// Events returns the recorded trace events of this process that match f.
func (s *Server) Events(f trace.Filter) []trace.Entry { return s.recorder.Events(f) }
