package config

import (
	"net/netip"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/spec"
)

// Bytes is a size in bytes.
type Bytes int64

// Level is a log level: messages below it are not logged.
type Level string

// Log levels, from the least to the most severe.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Settings holds the settings of one daemon. It is passed by value; its slices must not be modified
// after Load.
type Settings struct {
	Instance  Instance
	Listen    Listen
	Peers     []Peer // sorted by name, without this instance
	Group     Group
	Witnesses []Witness // sorted by zone
	Entry     Entry
	Worker    Worker
	Drain     Drain
	Log       Log
	Trace     Trace
	TLS       TLS
}

// Instance holds the section [instance].
type Instance struct {
	Name      model.Instance
	Zone      model.Zone
	Region    model.Region
	DataDir   string // data directory; empty for an instance without a disk
	Bootstrap bool
}

// Listen holds the section [listen].
type Listen struct {
	HTTPAddress netip.AddrPort
	PeerAddress netip.AddrPort
}

// Peer holds one key of the section [peers]: another instance of the cell.
type Peer struct {
	Name        model.Instance
	Zone        model.Zone
	Region      model.Region
	HTTPAddress netip.AddrPort
	PeerAddress netip.AddrPort
}

// Group holds the section [group].
type Group struct {
	Voters            []model.Instance // initial voters of the group of this zone, without its witness
	Witness           model.Instance   // empty for none
	CellVoters        []model.Instance // initial voters of the cell group
	ElectionTimeout   clock.Millis
	HeartbeatInterval clock.Millis
}

// Witness holds one key of the section [witness]: a zone whose group has this instance as its
// witness.
type Witness struct {
	Zone   model.Zone
	Voters []model.Instance // initial voters of the group of that zone, without this instance
}

// Entry holds the section [entry].
type Entry struct {
	MaxRequestTime    clock.Millis // maximum duration of a request
	MaxHeaderBytes    Bytes        // size limit of a request header
	MaxBodyBytes      Bytes        // size limit of a request body
	MaxQueuedRequests int          // limit of requests that wait for a backend server
}

// Worker holds the section [worker].
type Worker struct {
	LeaseDuration clock.Millis
}

// Drain holds the section [drain].
type Drain struct{ Timeout clock.Millis }

// Log holds the section [log].
type Log struct {
	Level Level
	File  string // empty for standard error
}

// Trace holds the section [trace].
type Trace struct {
	MaxEvents    int    // number of events kept in memory
	File         string // empty to keep events in memory only
	MaxFileBytes Bytes  // size at which the file is rotated
}

// TLS holds the section [tls]. All fields are empty if connections are not encrypted.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Zones returns the zones of the cell with their regions, sorted by zone.
func (s Settings) Zones() []spec.KnownZone {
	zones := []spec.KnownZone{{Zone: s.Instance.Zone, Region: s.Instance.Region}}
	for _, p := range s.Peers {
		zone := spec.KnownZone{Zone: p.Zone, Region: p.Region}
		if !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	slices.SortFunc(zones, func(a, b spec.KnownZone) int { return compareStrings(a.Zone, b.Zone) })
	return zones
}

// SameZonePeers returns the other instances in the zone of this instance, sorted by name.
func (s Settings) SameZonePeers() []Peer {
	var peers []Peer
	for _, p := range s.Peers {
		if p.Zone == s.Instance.Zone {
			peers = append(peers, p)
		}
	}
	return peers
}

// FindPeer returns the other instance with the given name, if there is one.
func (s Settings) FindPeer(name model.Instance) (Peer, bool) {
	i := slices.IndexFunc(s.Peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return Peer{}, false
	}
	return s.Peers[i], true
}
