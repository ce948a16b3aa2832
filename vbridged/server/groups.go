package server

import (
	"path/filepath"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
	"vanillabridge/core/trace"
	"vanillabridge/vbridged/config"
	"vanillabridge/vbridged/group"
	"vanillabridge/vbridged/sched"
	"vanillabridge/vbridged/zone"
)

// cellGroupName is the name of the group that all zones share.
const cellGroupName = "cell"

// zoneGroupName returns the name of a zone's group.
func zoneGroupName(z model.Zone) string { return "zone-" + string(z) }

// openGroups opens the replicas of this instance: for its own zone, for the cell, and for the zones
// that it is a witness of.
func (s *Server) openGroups() error {
	own := s.settings.Instance
	peers := []quorum.Peer{{Name: own.Name, Zone: own.Zone}}
	for _, p := range s.settings.SameZonePeers() {
		peers = append(peers, quorum.Peer{Name: p.Name, Zone: p.Zone})
	}
	voters := s.settings.Group.Voters
	if w := s.settings.Group.Witness; w != "" {
		peers = append(peers, quorum.Peer{Name: w, Zone: s.zoneOf(w), Witness: true})
		voters = append(slices.Clone(voters), w)
	}
	g, err := s.openGroup(zoneGroupName(own.Zone), peers, voters, s.zone, s.zoneTiming(), s.handleZoneRole)
	if err != nil {
		return err
	}
	s.zoneGroup = g
	s.zoneLog = zone.NewLog(g)
	if err := s.openCell(); err != nil {
		return err
	}
	for _, w := range s.settings.Witnesses {
		if err := s.openWitness(w); err != nil {
			return err
		}
	}
	return nil
}

// openCell opens the cell group. All instances may become members, so that any remaining instance
// can replace a lost voter.
func (s *Server) openCell() error {
	own := s.settings.Instance
	peers := []quorum.Peer{{Name: own.Name, Zone: own.Zone}}
	for _, p := range s.settings.Peers {
		peers = append(peers, quorum.Peer{Name: p.Name, Zone: p.Zone})
	}
	g, err := s.openGroup(cellGroupName, peers, s.settings.Group.CellVoters, s.cell, quorum.WANTiming(), s.roleChangeRecorder(cellGroupName))
	if err != nil {
		return err
	}
	s.cellGroup = g
	return nil
}

func (s *Server) openWitness(w config.Witness) error {
	name := zoneGroupName(w.Zone)
	peers := []quorum.Peer{{Name: s.settings.Instance.Name, Zone: s.settings.Instance.Zone, Witness: true}}
	for _, p := range s.settings.Peers {
		if p.Zone == w.Zone {
			peers = append(peers, quorum.Peer{Name: p.Name, Zone: p.Zone})
		}
	}
	voters := append(slices.Clone(w.Voters), s.settings.Instance.Name)
	g, err := s.openGroup(name, peers, voters, zone.NewReplica(), s.zoneTiming(), s.roleChangeRecorder(name))
	if err != nil {
		return err
	}
	s.witnesses[name] = g
	return nil
}

func (s *Server) openGroup(name string, peers []quorum.Peer, voters []model.Instance, m group.Machine, t quorum.Timing, onRoleChange func(group.RoleChange)) (*group.Group, error) {
	dataDir := ""
	if s.settings.Instance.DataDir != "" {
		dataDir = filepath.Join(s.settings.Instance.DataDir, name)
	}
	return group.Open(group.Config{
		Group:         name,
		Self:          s.settings.Instance.Name,
		Peers:         peers,
		InitialVoters: voters,
		Bootstrap:     s.settings.Instance.Bootstrap,
		DataDir:       dataDir,
		Machine:       m,
		Transport:     groupTransport{s.transport},
		Forwarder:     forwarder{s.transport},
		OnRoleChange:  onRoleChange,
		Clock:         s.clock,
		Timing:        t,
	})
}

func (s *Server) zoneTiming() quorum.Timing {
	t := quorum.DefaultTiming()
	t.ElectionTimeout = s.settings.Group.ElectionTimeout
	t.HeartbeatInterval = s.settings.Group.HeartbeatInterval
	return t
}

func (s *Server) zoneOf(name model.Instance) model.Zone {
	for _, p := range s.settings.Peers {
		if p.Name == name {
			return p.Zone
		}
	}
	return s.settings.Instance.Zone
}

// groups returns all open groups.
func (s *Server) groups() []*group.Group {
	list := []*group.Group{}
	for _, g := range []*group.Group{s.zoneGroup, s.cellGroup} {
		if g != nil {
			list = append(list, g)
		}
	}
	for _, g := range s.witnesses {
		list = append(list, g)
	}
	return list
}

func (s *Server) findGroup(name string) (*group.Group, bool) {
	switch name {
	case zoneGroupName(s.settings.Instance.Zone):
		return s.zoneGroup, s.zoneGroup != nil
	case cellGroupName:
		return s.cellGroup, s.cellGroup != nil
	default:
		g, ok := s.witnesses[name]
		return g, ok
	}
}

func (s *Server) closeGroups() {
	for _, g := range s.groups() {
		if err := g.Close(); err != nil {
			klog.ErrorS(err, "close group failed")
		}
	}
}

// handleZoneRole passes a role change of the zone group to the scheduler and the permit granter.
func (s *Server) handleZoneRole(r group.RoleChange) {
	s.roleChangeRecorder(zoneGroupName(s.settings.Instance.Zone))(r)
	s.sched.SetRole(model.Epoch(r.Term), r.IsLeader)
	if !r.IsLeader {
		s.entry.StepDown()
	}
}

// roleChangeRecorder returns a function that records role changes of a group as trace events.
func (s *Server) roleChangeRecorder(name string) func(group.RoleChange) {
	return func(r group.RoleChange) {
		s.recorder.Record(trace.LeaderChanged{Subject: s.traceSubject(), Group: name, Leader: string(r.Leader), Term: r.Term})
	}
}

// Leading returns the term of the zone group and whether this instance holds an unexpired leader
// lease.
func (s *Server) Leading() (model.Epoch, bool) {
	leaseEnd, term := s.zoneGroup.Lease()
	return model.Epoch(term), s.clock.Now() < leaseEnd
}

// refreshLeaderLease passes the current leader lease to the permit granter, and stores the time at
// which a leader was last known.
func (s *Server) refreshLeaderLease() {
	if leaseEnd, term := s.zoneGroup.Lease(); s.clock.Now() < leaseEnd {
		s.entry.Lead(model.Epoch(term), leaseEnd)
	}
	if leader, _, _ := s.zoneGroup.Leader(); leader != "" {
		s.leaderSeenAtMs.Store(int64(s.clock.Now()))
	}
}

// timeWithoutLeader returns the time since this instance last knew a leader of its zone group.
func (s *Server) timeWithoutLeader() clock.Millis {
	return s.clock.Now() - clock.Millis(s.leaderSeenAtMs.Load())
}

// leaseRefreshInterval is the interval at which refreshLeaderLease runs.
const leaseRefreshInterval = 50 * time.Millisecond

// schedOptions returns the options of the scheduler. The zone's log is resolved only on use,
// because the scheduler is created before the zone group is opened.
func (s *Server) schedOptions() sched.Options {
	return sched.Options{
		Zone:       s.settings.Instance.Zone,
		Lease:      s.settings.Worker.LeaseDuration,
		Address:    s.settings.Listen.HTTPAddress.String(),
		Seed:       uint64(s.incarnation),
		Log:        deferredZoneLog{s},
		State:      s.zone,
		Leadership: s,
		Events:     s.recorder,
		Clock:      s.clock,
		Metrics:    sched.NewMetrics(s.registry),
	}
}
