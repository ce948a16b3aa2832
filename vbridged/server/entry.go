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

func (s *Server) openEntry() error {
	own := s.settings.Instance
	var local []model.Instance
	for _, p := range s.settings.Local() {
		local = append(local, p.Name)
	}
	var others []model.Zone
	for _, p := range s.settings.Places() {
		if p.Zone != own.Zone {
			others = append(others, p.Zone)
		}
	}
	set := entry.Settings{
		Instance:    own.Name,
		Incarnation: s.life,
		Zone:        own.Zone,
		Peers:       local,
		Entries:     len(s.settings.Peers) + 1,
		Others:      others,
		HeaderSize:  int(s.settings.Entry.Header),
		BodySize:    int64(s.settings.Entry.Body),
		Seed:        uint64(s.life),
	}
	ports := entry.Ports{
		Clock:   s.clock,
		Config:  s,
		Records: records{s},
		Granter: granter{s},
		Relay:   relay{s},
		Events:  events{s},
	}
	e, err := entry.New(set, ports, entry.NewMetrics(s.registry))
	s.entry = e
	return err
}

// relay sends announcements to other instances.
type relay struct{ server *Server }

// Send queues a relay.
func (r relay) Send(to model.Instance, m member.Relay) { r.server.net.Notify(to, methodServers, m) }

// granter reaches the granter of a zone.
type granter struct{ server *Server }

// Renew asks the leader of the zone.
func (g granter) Renew(ctx context.Context, zone model.Zone, r permit.Request) (permit.Answer, error) {
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

// records keeps the records of non-idempotent requests.
type records struct{ server *Server }

// recordCall is the body of a record command for another zone.
type recordCall struct {
	Command []byte `json:"command"`
}

// Begin opens a record. It may be repeated, because the command carries a token.
func (r records) Begin(ctx context.Context, owner model.Zone, b entry.Begin) (once.Result, error) {
	result, err := r.propose(ctx, owner, state.OpenRecord{Key: b.Key, Token: b.Token, Limit: b.Limit, At: r.server.clock.Now()})
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

// Finish stores the answer.
func (r records) Finish(ctx context.Context, owner model.Zone, k once.Key, t once.Token, a once.Answer) error {
	_, err := r.propose(ctx, owner, state.CloseRecord{Key: k, Token: t, Answer: a, At: r.server.clock.Now()})
	return err
}

// Abort removes the record.
func (r records) Abort(ctx context.Context, owner model.Zone, k once.Key, t once.Token) error {
	_, err := r.propose(ctx, owner, state.DropRecord{Key: k, Token: t, At: r.server.clock.Now()})
	return err
}

// Bounds of the wait for a record. A request holds a permit meanwhile, so a zone that cannot
// keep records would otherwise block the requests that need none.
const (
	// recordTimeout covers an election and a commit.
	recordTimeout = 1500 * time.Millisecond
	// recordPatience is how long the own zone may be without a leader before records are
	// refused at once.
	recordPatience = 1500 * clock.Millisecond
)

// propose commits a command of a record in the owner zone's log.
func (r records) propose(ctx context.Context, owner model.Zone, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if owner == r.server.settings.Instance.Zone {
		if alone := r.server.leaderless(); alone > recordPatience {
			return state.Result{}, fault.Wrap(fault.ErrUnavailable, "zone %s has had no leader for %s", owner, alone)
		}
		return r.server.zoneLog.Propose(ctx, c)
	}
	data, err := state.EncodeCommand(c)
	if err != nil {
		return state.Result{}, err
	}
	var result state.Result
	err = r.server.callZone(ctx, owner, methodRecord, recordCall{Command: data}, &result)
	return result, err
}

// recordInZone serves another zone's instance; only commands of records are accepted.
func (s *Server) recordInZone(ctx context.Context, call recordCall) (state.Result, error) {
	c, err := state.DecodeCommand(call.Command)
	if err != nil {
		return state.Result{}, err
	}
	switch c.(type) {
	case state.OpenRecord, state.CloseRecord, state.DropRecord:
		return s.zoneLog.Propose(ctx, c)
	default:
		return state.Result{}, fault.Wrap(fault.ErrInvalid, "%T is no command of a record", c)
	}
}

// events turns the events of the request path into those of the timeline.
type events struct{ server *Server }

// Record records an event.
func (e events) Record(in entry.Event) {
	switch in := in.(type) {
	case entry.Ended:
		e.server.recorder.Record(ended(in))
	case entry.ServerRose:
		subject := trace.Subject{Server: in.Server.Name, Service: in.Server.Service}
		e.server.recorder.Record(trace.ServerJoined{Subject: subject, Address: in.Server.Address})
	case entry.ServerFell:
		e.server.recorder.Record(trace.ServerLeft{Subject: trace.Subject{Server: in.Server.Name}, Reason: string(in.Cause)})
	case entry.Led:
		e.server.recorder.Record(trace.EpochChanged{Subject: e.server.about(), Epoch: in.Epoch})
	case entry.Spilled:
		e.server.recorder.Record(trace.Spilled{Subject: trace.Subject{Service: in.Service}, Began: in.On})
	}
}

func ended(in entry.Ended) trace.Event {
	subject := trace.Subject{Request: in.Request, Service: in.Service, Server: in.Server.Name}
	if in.Outcome == proto.OutcomeNotRun {
		return trace.Refused{Subject: subject, Reason: in.Cause}
	}
	return trace.Ended{Subject: subject, Attempt: in.Tries, Outcome: string(in.Outcome), Reason: in.Cause}
}
