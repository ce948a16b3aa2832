package entry

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/member"
	"vanillabridge/core/proto"
)

// maxAnnounceBytes bounds the size of the body of an announcement.
const maxAnnounceBytes = 4 << 10

func (e *Entry) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a proto.ServerAnnouncement
	body := http.MaxBytesReader(w, r.Body, maxAnnounceBytes)
	if err := json.NewDecoder(body).Decode(&a); err != nil {
		writeErrorReply(w, http.StatusBadRequest, proto.ErrorReply{Error: "decode announcement: " + err.Error()})
		return
	}
	if field, err := validateAnnounce(a); err != nil {
		writeErrorReply(w, http.StatusBadRequest, proto.ErrorReply{Error: err.Error(), Field: field})
		return
	}
	// The load balancer can deliver an announcement to another zone, whose entry instances must
	// not count the server as their own.
	if a.Zone != e.settings.Zone {
		writeErrorReply(w, http.StatusMisdirectedRequest, proto.ErrorReply{Error: "announcement is for zone " + string(a.Zone) + ", not " + string(e.settings.Zone), Field: "zone"})
		return
	}
	e.mu.Lock()
	e.applyAnnounce(e.ports.Clock.Now(), member.AnnouncementReceived{Announce: a, Direct: true})
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func validateAnnounce(a proto.ServerAnnouncement) (field string, err error) {
	switch {
	case a.Name == "" || len(a.Name) > 128:
		return "name", fault.Wrap(fault.ErrInvalid, "name has %d bytes, want 1 to 128", len(a.Name))
	case a.Incarnation == 0:
		return "incarnation", fault.Wrap(fault.ErrInvalid, "incarnation is 0")
	case a.Service == "" || len(a.Service) > 128:
		return "service", fault.Wrap(fault.ErrInvalid, "service has %d bytes, want 1 to 128", len(a.Service))
	case a.Slots < 1:
		return "slots", fault.Wrap(fault.ErrInvalid, "slots is %d, want at least 1", a.Slots)
	case a.MaxConns < 1:
		return "conns", fault.Wrap(fault.ErrInvalid, "conns is %d, want at least 1", a.MaxConns)
	case a.State != proto.ServerServing && a.State != proto.ServerLeaving:
		return "state", fault.Wrap(fault.ErrInvalid, "state %q is neither serving nor leaving", a.State)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return "address", fault.Wrap(fault.ErrInvalid, "address %q is not an IP address and port", a.Address)
	}
	return "", nil
}

// applyAnnounce adds an announcement to the server table and the permit holder, and queues it
// for relay if it came from the server itself; e.mu is held.
func (e *Entry) applyAnnounce(now clock.Millis, received member.AnnouncementReceived) {
	k := member.Key{Name: received.Announce.Name, Incarnation: received.Announce.Incarnation}
	before, _ := e.servers.Get(k)
	e.stepServers(now, received)
	s, ok := e.servers.Get(k)
	if !ok {
		return
	}
	e.holder.AddServer(now, k, s.Zone, s.Slots, s.MaxConns)
	if !received.Direct {
		return
	}
	// Relayed announcements are not relayed again, so that they don't circulate in the zone.
	if s.Seq != before.Seq || s.Leaving != before.Leaving {
		e.outbox.Add(now, e.servers, received)
	}
}

// stepServers applies an input to the server table and acts on its outputs; e.mu is held.
func (e *Entry) stepServers(now clock.Millis, in member.Input) {
	for _, out := range e.servers.Step(now, in) {
		switch out := out.(type) {
		case member.BecameEligible:
			e.getOrCreateService(out.Server.Service).servers.Put(out.Server.Key, out.Server.Slots)
			e.ports.Events.Record(ServerEligible{Server: out.Server})
		case member.BecameIneligible:
			e.ports.Events.Record(ServerIneligible{Server: out.Server, Cause: out.Cause})
			e.closeIdleConns(now, out.Server)
			for _, s := range e.services {
				s.servers.Remove(out.Server)
			}
		}
	}
}
