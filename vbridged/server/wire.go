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

// Methods of calls between instances.
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
	methodForms   = "forms"
)

// groupTransport sends messages of consensus groups to other instances.
type groupTransport struct{ transport *peer.Transport }

// Send queues a message. The message is dropped if the peer cannot be reached.
func (t groupTransport) Send(to model.Instance, m quorum.Message) {
	data, err := m.Encode()
	if err != nil {
		klog.ErrorS(err, "encode group message failed, message dropped", "group", m.Group)
		return
	}
	t.transport.Notify(to, methodQuorum, data)
}

// forwarder forwards proposals to the leader of a group.
type forwarder struct{ transport *peer.Transport }

// proposeRequest is the body of a forwarded proposal.
type proposeRequest struct {
	Group string `json:"group"`
	Data  []byte `json:"data"`
}

// Propose sends a proposal to another instance and returns its result.
func (f forwarder) Propose(ctx context.Context, to model.Instance, group string, data []byte) ([]byte, error) {
	var result []byte
	err := f.transport.Call(ctx, to, methodPropose, proposeRequest{Group: group, Data: data}, &result)
	return result, err
}

// deferredZoneLog proposes to the zone's log. It reads the log on each use, because the log is
// opened after the scheduler is created.
type deferredZoneLog struct{ server *Server }

// Propose proposes a command to the zone's log.
func (l deferredZoneLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	return l.server.zoneLog.Propose(ctx, c)
}

// registerHandlers registers the handlers of all methods.
func (s *Server) registerHandlers() {
	s.transport.Handle(methodQuorum, s.handleQuorum)
	s.transport.Handle(methodPropose, s.handlePropose)
	s.transport.Handle(methodServers, s.handleAnnouncements)
	s.transport.Handle(methodPermit, handlerFor(s.grantLocally))
	s.transport.Handle(methodSync, handlerFor(s.syncLocally))
	s.transport.Handle(methodRun, handlerFor(s.runInZone))
	s.transport.Handle(methodJob, handlerFor(s.jobInZone))
	s.transport.Handle(methodCancel, handlerFor(s.cancelInZone))
	s.transport.Handle(methodRecord, handlerFor(s.commitRecord))
	s.transport.Handle(methodStatus, handlerFor(s.localStatus))
	s.transport.Handle(methodForms, handlerFor(localForms))
}

// handlerFor wraps f as a handler that decodes the parameters and bounds the call by callTimeout.
func handlerFor[P, R any](f func(context.Context, P) (R, error)) peer.Handler {
	return func(ctx context.Context, _ model.Instance, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, fault.Wrap(fault.ErrInvalid, "decode call parameters: %v", err)
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return f(ctx, p)
	}
}

func (s *Server) handleQuorum(_ context.Context, _ model.Instance, params json.RawMessage) (any, error) {
	var data []byte
	if err := json.Unmarshal(params, &data); err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "decode group message: %v", err)
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
	var p proposeRequest
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "decode forwarded proposal: %v", err)
	}
	g, ok := s.findGroup(p.Group)
	if !ok {
		return nil, fault.Wrap(fault.ErrUnavailable, "no replica of group %q on this instance", p.Group)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return g.ProposeLocal(ctx, p.Data)
}

func (s *Server) handleAnnouncements(_ context.Context, _ model.Instance, params json.RawMessage) (any, error) {
	var m member.Relay
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "decode server announcements: %v", err)
	}
	s.entry.ReceiveRelay(m)
	return true, nil
}

func (s *Server) grantLocally(_ context.Context, r permit.Request) (permit.Answer, error) {
	return s.entry.Grant(r)
}

func (s *Server) syncLocally(ctx context.Context, r proto.SyncRequest) (proto.SyncReply, error) {
	return s.sched.Sync(ctx, r)
}
