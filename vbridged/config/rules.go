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
	// minHeartbeatsPerElection keeps one or two lost messages from starting an
	// election or expiring a lease.
	minHeartbeatsPerElection = 3
)

func addPeer(s *Settings, name, text string) string {
	fields := strings.Fields(text)
	if len(fields) != 4 {
		return fmt.Sprintf("has %d fields, want zone region http-address peer-address", len(fields))
	}
	var p Peer
	for _, problem := range []string{
		parseName(&p.Name, name), parseName(&p.Zone, fields[0]), parseName(&p.Region, fields[1]),
		parseAddress(&p.HTTPAddress, fields[2]), parseAddress(&p.PeerAddress, fields[3]),
	} {
		if problem != "" {
			return problem
		}
	}
	if p.HTTPAddress.Addr().IsUnspecified() || p.PeerAddress.Addr().IsUnspecified() {
		return "an address to connect to cannot be 0.0.0.0 or [::]"
	}
	s.Peers = append(s.Peers, p)
	slices.SortFunc(s.Peers, func(a, b Peer) int { return compareStrings(a.Name, b.Name) })
	return ""
}

func addWitness(s *Settings, name, text string) string {
	var w Witness
	if problem := parseName(&w.Zone, name); problem != "" {
		return problem
	}
	if problem := parseNames(&w.Voters, text); problem != "" {
		return problem
	}
	s.Witnesses = append(s.Witnesses, w)
	slices.SortFunc(s.Witnesses, func(a, b Witness) int { return compareStrings(a.Zone, b.Zone) })
	return ""
}

// validate checks the rules that involve several settings.
func (r *reader) validate() {
	s := r.settings
	r.validatePeers(s)
	r.validateGroups(s)
	r.validateWitnesses(s)
	if s.Group.ElectionTimeout < minHeartbeatsPerElection*s.Group.HeartbeatInterval {
		r.addProblem("group", "election", fmt.Sprintf("%s is less than %d heartbeats of %s", s.Group.ElectionTimeout, minHeartbeatsPerElection, s.Group.HeartbeatInterval))
	}
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		r.addProblem("tls", "certificate", "certificate and key must be set together, only one of them is set")
	}
	if s.TLS.Authority != "" && s.TLS.Certificate == "" {
		r.addProblem("tls", "authority", "is set without a certificate")
	}
}

func (r *reader) validatePeers(s Settings) {
	regionByZone := map[model.Zone]model.Region{s.Instance.Zone: s.Instance.Region}
	owners := map[netip.AddrPort]string{s.Listen.HTTPAddress: "[listen] http"}
	claimAddress := func(section, key string, a netip.AddrPort) {
		if other, taken := owners[a]; taken {
			r.addProblem(section, key, fmt.Sprintf("address %s is already used by %s", a, other))
		}
		owners[a] = strings.TrimSpace("[" + section + "] " + key)
	}
	claimAddress("listen", "peer", s.Listen.PeerAddress)
	for _, p := range s.Peers {
		if p.Name == s.Instance.Name {
			r.addProblem("peers", string(p.Name), "is this instance, list only the others")
		}
		if region, seen := regionByZone[p.Zone]; seen && region != p.Region {
			r.addProblem("peers", string(p.Name), fmt.Sprintf("zone %s is in region %s elsewhere, but in region %s here", p.Zone, region, p.Region))
		}
		regionByZone[p.Zone] = p.Region
		claimAddress("peers", string(p.Name), p.HTTPAddress)
		claimAddress("peers", string(p.Name), p.PeerAddress)
	}
}

func (r *reader) validateGroups(s Settings) {
	if len(s.Group.Voters) > maxZoneVoters {
		r.addProblem("group", "voters", fmt.Sprintf("has %d instances, limit %d", len(s.Group.Voters), maxZoneVoters))
	}
	if len(s.Group.CellVoters) > maxCellVoters {
		r.addProblem("group", "cell", fmt.Sprintf("has %d instances, limit %d", len(s.Group.CellVoters), maxCellVoters))
	}
	for _, name := range s.Group.Voters {
		if zone, known := s.zoneOf(name); !known || zone != s.Instance.Zone {
			r.addProblem("group", "voters", fmt.Sprintf("%s is not an instance of zone %s in [peers]", name, s.Instance.Zone))
		}
	}
	for _, name := range s.Group.CellVoters {
		if _, known := s.zoneOf(name); !known {
			r.addProblem("group", "cell", fmt.Sprintf("unknown instance %s, want this instance or one of [peers]", name))
		}
	}
	if s.Group.Witness == "" {
		return
	}
	if zone, known := s.zoneOf(s.Group.Witness); !known || zone == s.Instance.Zone {
		r.addProblem("group", "witness", fmt.Sprintf("%s is not an instance of another zone in [peers]", s.Group.Witness))
	}
	if len(s.Group.Voters) >= maxZoneVoters {
		r.addProblem("group", "witness", "a zone with three voters needs no witness")
	}
}

func (r *reader) validateWitnesses(s Settings) {
	for _, w := range s.Witnesses {
		if w.Zone == s.Instance.Zone {
			r.addProblem("witness", string(w.Zone), "is the zone of this instance, a witness must be in another zone")
			continue
		}
		if len(w.Voters) >= maxZoneVoters {
			r.addProblem("witness", string(w.Zone), "a zone with three voters needs no witness")
		}
		for _, name := range w.Voters {
			if zone, known := s.zoneOf(name); !known || zone != w.Zone {
				r.addProblem("witness", string(w.Zone), fmt.Sprintf("%s is not an instance of zone %s in [peers]", name, w.Zone))
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
