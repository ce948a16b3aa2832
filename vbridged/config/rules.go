package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"vanillabridge/core/model"
)

const (
	maxZoneVoters = 3
	maxCellVoters = 5
	// minHeartbeats and minSyncs keep one or two lost messages from causing an election or the
	// end of a lease.
	minHeartbeats = 3
	minSyncs      = 4
)

func addPeer(s *Settings, name, text string) string {
	fields := strings.Fields(text)
	if len(fields) != 4 {
		return fmt.Sprintf("has %d fields, want zone region http-address peer-address", len(fields))
	}
	var p Peer
	for _, wrong := range []string{
		readName(&p.Name, name), readName(&p.Zone, fields[0]), readName(&p.Region, fields[1]),
		readAddress(&p.HTTP, fields[2]), readAddress(&p.Peer, fields[3]),
	} {
		if wrong != "" {
			return wrong
		}
	}
	if p.HTTP.Addr().IsUnspecified() || p.Peer.Addr().IsUnspecified() {
		return "an address to connect to cannot be 0.0.0.0 or [::]"
	}
	s.Peers = append(s.Peers, p)
	slices.SortFunc(s.Peers, func(a, b Peer) int { return compareText(a.Name, b.Name) })
	return ""
}

func addWitness(s *Settings, name, text string) string {
	var w Witness
	if wrong := readName(&w.Zone, name); wrong != "" {
		return wrong
	}
	if wrong := readNames(&w.Voters, text); wrong != "" {
		return wrong
	}
	s.Witnesses = append(s.Witnesses, w)
	slices.SortFunc(s.Witnesses, func(a, b Witness) int { return compareText(a.Zone, b.Zone) })
	return ""
}

// rules applies the checks that concern several settings.
func (r *reader) rules() {
	s := r.settings
	r.peers(s)
	r.groups(s)
	r.witnesses(s)
	if s.Group.Election < minHeartbeats*s.Group.Heartbeat {
		r.problem("group", "election", fmt.Sprintf("%s is less than %d heartbeats of %s", s.Group.Election, minHeartbeats, s.Group.Heartbeat))
	}
	if s.Worker.Lease < minSyncs*s.Worker.Sync {
		r.problem("worker", "lease", fmt.Sprintf("%s is less than %d syncs of %s", s.Worker.Lease, minSyncs, s.Worker.Sync))
	}
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		r.problem("tls", "certificate", "certificate and key belong together; only one of them is set")
	}
	if s.TLS.Authority != "" && s.TLS.Certificate == "" {
		r.problem("tls", "authority", "is set without a certificate")
	}
}

func (r *reader) peers(s Settings) {
	regions := map[model.Zone]model.Region{s.Instance.Zone: s.Instance.Region}
	used := map[netip.AddrPort]string{s.Listen.HTTP: "[listen] http"}
	claim := func(section, key string, a netip.AddrPort) {
		if other, taken := used[a]; taken {
			r.problem(section, key, fmt.Sprintf("address %s is also that of %s", a, other))
		}
		used[a] = strings.TrimSpace("[" + section + "] " + key)
	}
	claim("listen", "peer", s.Listen.Peer)
	for _, p := range s.Peers {
		if p.Name == s.Instance.Name {
			r.problem("peers", string(p.Name), "is this instance; list the others only")
		}
		if region, seen := regions[p.Zone]; seen && region != p.Region {
			r.problem("peers", string(p.Name), fmt.Sprintf("zone %s is in region %s elsewhere, here in %s", p.Zone, region, p.Region))
		}
		regions[p.Zone] = p.Region
		claim("peers", string(p.Name), p.HTTP)
		claim("peers", string(p.Name), p.Peer)
	}
}

func (r *reader) groups(s Settings) {
	if len(s.Group.Voters) > maxZoneVoters {
		r.problem("group", "voters", fmt.Sprintf("has %d instances, limit %d", len(s.Group.Voters), maxZoneVoters))
	}
	if len(s.Group.Cell) > maxCellVoters {
		r.problem("group", "cell", fmt.Sprintf("has %d instances, limit %d", len(s.Group.Cell), maxCellVoters))
	}
	for _, name := range s.Group.Voters {
		if zone, known := s.zoneOf(name); !known || zone != s.Instance.Zone {
			r.problem("group", "voters", fmt.Sprintf("%s is not an instance of zone %s in [peers]", name, s.Instance.Zone))
		}
	}
	for _, name := range s.Group.Cell {
		if _, known := s.zoneOf(name); !known {
			r.problem("group", "cell", fmt.Sprintf("unknown instance %s, want this instance or one of [peers]", name))
		}
	}
	if s.Group.Witness == "" {
		return
	}
	if zone, known := s.zoneOf(s.Group.Witness); !known || zone == s.Instance.Zone {
		r.problem("group", "witness", fmt.Sprintf("%s is not an instance of another zone in [peers]", s.Group.Witness))
	}
	if len(s.Group.Voters) >= maxZoneVoters {
		r.problem("group", "witness", "a zone with three voters needs no witness")
	}
}

func (r *reader) witnesses(s Settings) {
	for _, w := range s.Witnesses {
		if w.Zone == s.Instance.Zone {
			r.problem("witness", string(w.Zone), "is the zone of this instance; a witness is in another zone")
			continue
		}
		if len(w.Voters) >= maxZoneVoters {
			r.problem("witness", string(w.Zone), "a zone with three voters needs no witness")
		}
		for _, name := range w.Voters {
			if zone, known := s.zoneOf(name); !known || zone != w.Zone {
				r.problem("witness", string(w.Zone), fmt.Sprintf("%s is not an instance of zone %s in [peers]", name, w.Zone))
			}
		}
	}
}

func (s Settings) zoneOf(name model.Instance) (model.Zone, bool) {
	if name == s.Instance.Name {
		return s.Instance.Zone, true
	}
	p, known := s.FindPeer(name)
	return p.Zone, known
}
