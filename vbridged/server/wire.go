package server

import (
	"context"
	"encoding/json"

	"k8s.io/klog/v2"

	"vanillabridge/core/fault"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/permit"
	"vanillabridge/core/proto"
	"vanillabridge/core/quorum"
	"vanillabridge/core/state"
	"vanillabridge/vbridged/peer"
)

// Methods between instances.
const (
	methodQuorum  = "quorum"
	methodPropose = "propose"
	methodPermit  = "permit"
	methodServers = "servers"
	methodSync    = "sync"
	methodRun     = "run"
	methodJob     = "job"
	methodCancel  = "cancel"
	methodRecord  = "record"
	methodStatus  = "status"
)

// transport sends the messages of the groups.
type transport struct{ net *peer.Net }

// Send queues a message; it is lost if the peer cannot be reached.
func (t transport) Send(to model.Instance, m quorum.Message) {
	data, err := m.Encode()
	if err != nil {
		klog.ErrorS(err, "encode a message of a group failed", "group", m.Group)
		return
	}
	t.net.Notify(to, methodQuorum, data)
}

// forwarder proposes at the leader of a group.
type forwarder struct{ net *peer.Net }

// proposal is the body of a forwarded proposal.
type proposal struct {
	Group string `json:"group"`
	Data  []byte `json:"data"`
}

// Propose proposes at another instance.
func (f forwarder) Propose(ctx context.Context, to model.Instance, group string, data []byte) ([]byte, error) {
	var result []byte
	err := f.net.Call(ctx, to, methodPropose, proposal{Group: group, Data: data}, &result)
	return result, err
}

// logPort proposes to the zone's log, which is opened after the scheduler is made.
type logPort struct{ server *Server }

// Propose proposes a command.
func (l logPort) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	return l.server.zoneLog.Propose(ctx, c)
}

// register sets the handlers of all methods.
func (s *Server) register() {
	s.net.Handle(methodQuorum, s.handleQuorum)
	s.net.Handle(methodPropose, s.handlePropose)
	s.net.Handle(methodServers, s.handleServers)
	s.net.Handle(methodPermit, handler(s.renewHere))
	s.net.Handle(methodSync, handler(s.syncHere))
	s.net.Handle(methodRun, handler(s.runInZone))
	s.net.Handle(methodJob, handler(s.jobInZone))
	s.net.Handle(methodCancel, handler(s.cancelInZone))
	s.net.Handle(methodRecord, handler(s.recordInZone))
	s.net.Handle(methodStatus, handler(s.statusHere))
}

// handler decodes the parameters of a method and bounds its time.
func handler[P, R any](f func(context.Context, P) (R, error)) peer.Handler {
	return func(ctx context.Context, _ model.Instance, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, fault.Wrap(fault.ErrInvalid, "parameters: %v", err)
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return f(ctx, p)
	}
}

func (s *Server) handleQuorum(_ context.Context, _ model.Instance, params json.RawMessage) (any, error) {
	var data []byte
	if err := json.Unmarshal(params, &data); err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "message of a group: %v", err)
	}
	m, err := quorum.Decode(data)
	if err != nil {
		return nil, err
	}
	if g, ok := s.findGroup(m.Group); ok {
		g.Receive(m)
	}
	return true, nil
}

func (s *Server) handlePropose(ctx context.Context, _ model.Instance, params json.RawMessage) (any, error) {
	var p proposal
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "proposal: %v", err)
	}
	g, ok := s.findGroup(p.Group)
	if !ok {
		return nil, fault.Wrap(fault.ErrUnavailable, "no replica of group %q here", p.Group)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return g.ProposeHere(ctx, p.Data)
}

func (s *Server) handleServers(_ context.Context, _ model.Instance, params json.RawMessage) (any, error) {
	var m member.Relay
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "announcements: %v", err)
	}
	s.entry.Receive(m)
	return true, nil
}

func (s *Server) renewHere(_ context.Context, r permit.Request) (permit.Answer, error) {
	return s.entry.Grant(r)
}

func (s *Server) syncHere(ctx context.Context, r proto.SyncRequest) (proto.SyncReply, error) {
	return s.sched.Sync(ctx, r)
}
