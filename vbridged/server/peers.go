package server

import (
	"context"
	"errors"
	"time"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/vbridged/peer"
)

// callTimeout bounds the handling of a call between instances. It is longer than the timeouts of
// the callers, so it only ends calls that were already abandoned.
const callTimeout = 10 * time.Second

func (s *Server) initTransport() error {
	own := s.settings.Instance
	self := peer.Address{
		Instance: own.Name, Zone: own.Zone, Region: own.Region,
		Peer: s.settings.Listen.PeerAddress.String(), HTTP: s.settings.Listen.HTTPAddress.String(),
	}
	others := make([]peer.Address, 0, len(s.settings.Peers))
	for _, p := range s.settings.Peers {
		others = append(others, peer.Address{
			Instance: p.Name, Zone: p.Zone, Region: p.Region,
			Peer: p.PeerAddress.String(), HTTP: p.HTTPAddress.String(),
		})
	}
	provider, err := s.tlsProvider()
	if err != nil {
		return err
	}
	s.transport = peer.New(self, others, provider, s.recorder)
	return nil
}

// tlsProvider returns nil if the settings name no certificate.
func (s *Server) tlsProvider() (peer.TLSProvider, error) {
	c := s.settings.TLS
	if c.Certificate == "" {
		return nil, nil
	}
	return peer.NewFileTLS(peer.TLSFiles{Certificate: c.Certificate, Key: c.Key, Authority: c.Authority})
}

// otherInstances returns the instances of a zone except this one. In the local zone the leader
// comes first.
func (s *Server) otherInstances(zone model.Zone) []model.Instance {
	var list []model.Instance
	leader := model.Instance("")
	if zone == s.settings.Instance.Zone {
		name, _, _ := s.zoneGroup.Leader()
		leader = model.Instance(name)
	}
	for _, p := range s.settings.Peers {
		switch {
		case p.Zone != zone:
		case p.Name == leader:
			list = append([]model.Instance{p.Name}, list...)
		default:
			list = append(list, p.Name)
		}
	}
	return list
}

// callZone calls a method on the instances of a zone in turn until one answers. It tries the next
// instance only after an error that means that the call had no effect.
func (s *Server) callZone(ctx context.Context, zone model.Zone, method string, params, result any) error {
	err := fault.Wrap(fault.ErrUnavailable, "zone %q has no other instance in the settings", zone)
	for _, to := range s.otherInstances(zone) {
		err = s.transport.Call(ctx, to, method, params, result)
		if !errors.Is(err, fault.ErrUnavailable) && !errors.Is(err, fault.ErrNotLeader) {
			return err
		}
	}
	return err
}

// callLeader calls a method on the leader of the local zone group. It fails if no leader is known
// or if this instance is the leader.
func (s *Server) callLeader(ctx context.Context, method string, params, result any) error {
	name, _, isLeader := s.zoneGroup.Leader()
	if isLeader || name == "" || model.Instance(name) == s.settings.Instance.Name {
		return fault.Wrap(fault.ErrUnavailable, "zone %q has no known leader on another instance", s.settings.Instance.Zone)
	}
	return s.transport.Call(ctx, model.Instance(name), method, params, result)
}
