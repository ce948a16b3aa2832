package config

import (
	"net/netip"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/spec"
)

// Bytes is an amount of memory in bytes.
type Bytes int64

// Level is the least severe level that is logged.
type Level string

// The levels of the log.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Settings are the settings of one daemon. They are passed by value and their slices are never
// changed after Load.
type Settings struct {
	Instance  Instance
	Listen    Listen
	Peers     []Peer // by name, without this instance
	Group     Group
	Witnesses []Witness // by zone
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
	Data      string // folder; empty for an instance without a disk
	Bootstrap bool
}

// Listen holds the section [listen].
type Listen struct {
	HTTP netip.AddrPort
	Peer netip.AddrPort
}

// Peer is one key of the section [peers].
type Peer struct {
	Name   model.Instance
	Zone   model.Zone
	Region model.Region
	HTTP   netip.AddrPort
	Peer   netip.AddrPort
}

// Group holds the section [group].
type Group struct {
	Voters    []model.Instance // initial voters of the own zone's group, its witness aside
	Witness   model.Instance   // empty for none
	Cell      []model.Instance // initial voters of the cell group
	Election  clock.Millis
	Heartbeat clock.Millis
}

// Witness is one key of the section [witness]: a zone whose group has this instance as its
// witness.
type Witness struct {
	Zone   model.Zone
	Voters []model.Instance // initial voters of that zone's group, this instance aside
}

// Entry holds the section [entry].
type Entry struct {
	Time        clock.Millis // longest request
	Header      Bytes        // longest request header
	Body        Bytes        // longest request body
	Queue       int          // requests waiting for a backend server
	Connections int          // to one backend server
}

// Worker holds the section [worker].
type Worker struct {
	Lease clock.Millis
	Sync  clock.Millis
}

// Drain holds the section [drain].
type Drain struct{ Time clock.Millis }

// Log holds the section [log].
type Log struct {
	Level Level
	File  string // empty for standard error
}

// Trace holds the section [trace].
type Trace struct {
	Size  int    // events kept in memory
	File  string // empty for none
	Limit Bytes  // of the file
}

// TLS holds the section [tls]; all fields are empty if connections are not encrypted.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Places returns the zones of the cell with their regions, by zone.
func (s Settings) Places() []spec.Place {
	places := []spec.Place{{Zone: s.Instance.Zone, Region: s.Instance.Region}}
	for _, p := range s.Peers {
		place := spec.Place{Zone: p.Zone, Region: p.Region}
		if !slices.Contains(places, place) {
			places = append(places, place)
		}
	}
	slices.SortFunc(places, func(a, b spec.Place) int { return compareText(a.Zone, b.Zone) })
	return places
}

// Local returns the other instances of the own zone, by name.
func (s Settings) Local() []Peer {
	var local []Peer
	for _, p := range s.Peers {
		if p.Zone == s.Instance.Zone {
			local = append(local, p)
		}
	}
	return local
}

// FindPeer returns the other instance of that name.
func (s Settings) FindPeer(name model.Instance) (Peer, bool) {
	i := slices.IndexFunc(s.Peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return Peer{}, false
	}
	return s.Peers[i], true
}
