package server

import (
	"context"
	"time"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/permit"
	"vanillabridge/core/proto"
	"vanillabridge/core/state"
	"vanillabridge/core/trace"
	"vanillabridge/vbridged/entry"
)

func (s *Server) initEntry() error {
	own := s.settings.Instance
	var zonePeers []model.Instance
	for _, p := range s.settings.SameZonePeers() {
		zonePeers = append(zonePeers, p.Name)
	}
	var spilloverZones []model.Zone
	for _, z := range s.settings.Zones() {
		if z.Zone != own.Zone {
			spilloverZones = append(spilloverZones, z.Zone)
		}
	}
	settings := entry.Settings{
		Instance:          own.Name,
		Incarnation:       s.incarnation,
		Zone:              own.Zone,
		Peers:             zonePeers,
		EntryCount:        len(s.settings.Peers) + 1,
		SpilloverZones:    spilloverZones,
		MaxRequestTime:    s.settings.Entry.MaxRequestTime,
		MaxQueuedRequests: s.settings.Entry.MaxQueuedRequests,
		MaxHeaderBytes:    int(s.settings.Entry.MaxHeaderBytes),
		MaxBodyBytes:      int64(s.settings.Entry.MaxBodyBytes),
		Seed:              uint64(s.incarnation),
	}
	ports := entry.Ports{
		Clock:   s.clock,
		Config:  s,
		Records: recordClient{s},
		Granter: permitClient{s},
		Relay:   announcementRelay{s},
		Events:  traceEventRecorder{s},
	}
	e, err := entry.New(settings, ports, entry.NewMetrics(s.registry))
	s.entry = e
	return err
}

// announcementRelay sends server announcements to other instances.
type announcementRelay struct{ server *Server }

// Send queues m for delivery to another instance.
func (r announcementRelay) Send(to model.Instance, m member.Relay) {
	r.server.transport.Notify(to, methodServers, m)
}

// permitClient renews permits at the granter of a zone, which runs on the zone's leader.
type permitClient struct{ server *Server }

// Renew sends a renewal to the leader of the zone.
func (g permitClient) Renew(ctx context.Context, zone model.Zone, r permit.Request) (permit.Answer, error) {
	s := g.server
	var answer permit.Answer
	if zone != s.settings.Instance.Zone {
		return answer, s.callZone(ctx, zone, methodPermit, r, &answer)
	}
	if _, leading := s.Leading(); leading {
		return s.entry.Grant(r)
	}
	return answer, s.callLeader(ctx, methodPermit, r, &answer)
}

// recordClient keeps the records of non-idempotent requests in the log of their owner zone.
type recordClient struct{ server *Server }

// recordRequest is the body of a call that commits a record command in another zone.
type recordRequest struct {
	Command []byte `json:"command"`
}

// Begin opens a record. It is safe to retry, because the command carries a token.
func (r recordClient) Begin(ctx context.Context, owner model.Zone, b entry.BeginRequest) (once.Result, error) {
	result, err := r.propose(ctx, owner, state.OpenRecord{Key: b.Key, Token: b.Token, TimeLeft: b.TimeLeft, At: r.server.clock.Now()})
	if err != nil {
		return nil, err
	}
	switch result.Record {
	case state.RecordFresh:
		return once.Fresh{}, nil
	case state.RecordRunning:
		return once.Running{}, nil
	case state.RecordDone:
		return once.Done{Answer: *result.Answer}, nil
	case state.RecordUnknown:
		return once.Unknown{}, nil
	default:
		return nil, fault.Wrap(fault.ErrOverloaded, "record of key %q: %s", b.Key.Key, result.Reason)
	}
}

// Finish stores the answer in the record and closes it.
func (r recordClient) Finish(ctx context.Context, owner model.Zone, k once.Key, t once.Token, a once.Answer) error {
	_, err := r.propose(ctx, owner, state.CloseRecord{Key: k, Token: t, Answer: a, At: r.server.clock.Now()})
	return err
}

// Abort removes the record.
func (r recordClient) Abort(ctx context.Context, owner model.Zone, k once.Key, t once.Token) error {
	_, err := r.propose(ctx, owner, state.DropRecord{Key: k, Token: t, At: r.server.clock.Now()})
	return err
}

// Limits on the wait for a record. A request holds a permit while it waits, so without limits a
// zone that cannot commit records would also block requests that need no record.
const (
	// recordCommandTimeout bounds a record command. It leaves time for an election and a commit.
	recordCommandTimeout = 1500 * time.Millisecond
	// maxTimeWithoutLeader is the time without a leader of the local zone after which record
	// commands are rejected immediately.
	maxTimeWithoutLeader = 1500 * clock.Millisecond
)

// propose commits a record command in the log of the owner zone.
func (r recordClient) propose(ctx context.Context, owner model.Zone, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, recordCommandTimeout)
	defer cancel()
	if owner == r.server.settings.Instance.Zone {
		if elapsed := r.server.timeWithoutLeader(); elapsed > maxTimeWithoutLeader {
			return state.Result{}, fault.Wrap(fault.ErrUnavailable, "zone %s has had no leader for %s", owner, elapsed)
		}
		return r.server.zoneLog.Propose(ctx, c)
	}
	data, err := state.EncodeCommand(c)
	if err != nil {
		return state.Result{}, err
	}
	var result state.Result
	err = r.server.callZone(ctx, owner, methodRecord, recordRequest{Command: data}, &result)
	return result, err
}

// commitRecord commits a record command for an instance of another zone. It rejects all other
// commands.
func (s *Server) commitRecord(ctx context.Context, request recordRequest) (state.Result, error) {
	c, err := state.DecodeCommand(request.Command)
	if err != nil {
		return state.Result{}, err
	}
	switch c.(type) {
	case state.OpenRecord, state.CloseRecord, state.DropRecord:
		return s.zoneLog.Propose(ctx, c)
	default:
		return state.Result{}, fault.Wrap(fault.ErrInvalid, "%T is not a record command", c)
	}
}

// traceEventRecorder converts events of the request path to trace events.
type traceEventRecorder struct{ server *Server }

// Record records the trace event for in, if there is one.
func (e traceEventRecorder) Record(in entry.Event) {
	switch in := in.(type) {
	case entry.RequestEnded:
		e.server.recorder.Record(endedEvent(in))
	case entry.ServerEligible:
		subject := trace.Subject{Server: in.Server.Name, Service: in.Server.Service}
		e.server.recorder.Record(trace.ServerJoined{Subject: subject, Address: in.Server.Address})
	case entry.ServerIneligible:
		e.server.recorder.Record(trace.ServerLeft{Subject: trace.Subject{Server: in.Server.Name}, Reason: string(in.Cause)})
	case entry.GranterStarted:
		e.server.recorder.Record(trace.EpochChanged{Subject: e.server.traceSubject(), Epoch: in.Epoch})
	case entry.SpilloverChanged:
		e.server.recorder.Record(trace.Spilled{Subject: trace.Subject{Service: in.Service}, Active: in.Active})
	}
}

// endedEvent returns the trace event for an ended request: a refusal if the request did not run.
func endedEvent(in entry.RequestEnded) trace.Event {
	subject := trace.Subject{Request: in.Request, Service: in.Service, Server: in.Server.Name}
	if in.Outcome == proto.OutcomeNotRun {
		return trace.Refused{Subject: subject, Reason: in.Cause}
	}
	return trace.Ended{Subject: subject, Attempt: in.Attempts, Outcome: string(in.Outcome), Reason: in.Cause}
}
