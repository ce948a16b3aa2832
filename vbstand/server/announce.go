package server

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/proto"
)

// announceLoop announces the server once per interval until ctx ends. Each announcement is sent in its
// own goroutine, so that a paused entry instance does not delay the following ones.
func (s *Server) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(s.opt.AnnounceInterval)
	defer ticker.Stop()
	for {
		go s.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce sends one announcement to the next entry instance in turn, as a load balancer would, and
// tries the following ones if that fails.
func (s *Server) announce(ctx context.Context) {
	body := s.newAnnouncement()
	for range s.entries.Len() {
		address := s.entries.Next()
		err := s.entries.Do(ctx, "POST", address, "/v1/servers/announce", body, nil)
		if err == nil || ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("announcement to entry instance failed", "name", s.opt.Name, "entry", address, "err", err)
	}
}

// newAnnouncement returns an announcement of the current state with the next sequence number.
func (s *Server) newAnnouncement() proto.ServerAnnouncement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	body := proto.ServerAnnouncement{
		Name: s.opt.Name, Incarnation: s.incarnation, Service: s.opt.Service,
		Address: s.address, Zone: s.opt.Zone, Slots: s.opt.Slots, MaxConns: s.opt.MaxConns,
		State: s.state, Seq: s.seq,
	}
	if s.opt.AnnounceActive {
		active := s.activeRequests
		body.ActiveRequests = &active
	}
	return body
}
