package member

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Times and thresholds of the membership rules.
const (
	// MaxAnnouncementAge is the age of the newest announcement at which a server stops being eligible.
	MaxAnnouncementAge = 2 * clock.Second
	// RiseThreshold is the number of announcements that make a server eligible.
	RiseThreshold = 2
	// MaxDialFailures is the number of consecutive failed connections at which a server stops
	// being eligible.
	MaxDialFailures = 3
	// ServerRetention is the age of the newest announcement at which a server is removed from the
	// table. It is far longer than MaxAnnouncementAge, so that a delayed announcement cannot add
	// a leaving server again as a serving one.
	ServerRetention = 5 * clock.Minute
	// MinPause is the time between two steps above which the process counts as paused. A server
	// must get no new work later than 3 s after it announced that it is leaving:
	// MaxAnnouncementAge with clock drift, MinPause and a transit time of up to 800 ms add up to
	// less than that.
	MinPause = 100 * clock.Millisecond
	// BufferedWindow is the time after a pause during which a received announcement may have
	// been buffered since the start of the pause.
	BufferedWindow = 250 * clock.Millisecond
	// MaxServers bounds the number of servers in a table. Announcements of further servers are
	// ignored.
	MaxServers = 10_000
)

// Key identifies one incarnation of a backend server. After a restart on the same address it is
// another server.
type Key struct {
	Name        model.ServerID    `json:"name"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// Server is the known state of a backend server.
type Server struct {
	Key
	Service        string
	Address        string
	Zone           model.Zone
	Slots          int // limit of concurrent requests
	MaxConns       int // limit of open connections
	Leaving        bool
	Eligible       bool
	AnnouncedAt    clock.Millis // earliest local time at which the newest announcement can have been made
	Seq            uint64       // of the newest announcement
	ActiveRequests *int         // requests in progress by the newest announcement; nil if the server does not count them
}

// Input is an input of a Table: AnnouncementReceived, DialEnded, Replaced or Tick.
type Input interface{ input() }

// AnnouncementReceived reports an announcement that was received from the server or by relay.
type AnnouncementReceived struct {
	Announce proto.ServerAnnouncement
	MaxAge   clock.Millis // upper bound on the time since the announcement was made
	Direct   bool         // received from the backend server itself
}

// DialEnded reports whether an attempt to connect to a server succeeded.
type DialEnded struct {
	Server Key
	OK     bool
}

// Replaced reports that another process answered at the address of a server.
type Replaced struct{ Server Key }

// Tick advances the time.
type Tick struct{}

func (AnnouncementReceived) input() {}
func (DialEnded) input()            {}
func (Replaced) input()             {}
func (Tick) input()                 {}

// Output is an output of a Table: BecameEligible or BecameIneligible.
type Output interface{ output() }

// BecameEligible reports that a server became eligible.
type BecameEligible struct{ Server Server }

// Cause is the reason why a server is no longer eligible.
type Cause string

// The causes of the loss of eligibility.
const (
	CauseExpired    Cause = "age"     // no announcement for MaxAnnouncementAge
	CauseDialFailed Cause = "dial"    // MaxDialFailures consecutive failed connections
	CauseLeaving    Cause = "leaving" // the server announced that it is leaving
	CauseReplaced   Cause = "restart" // another process of the server runs at its address
)

// BecameIneligible reports that a server is no longer eligible.
type BecameIneligible struct {
	Server Key
	Cause  Cause
}

func (BecameEligible) output()   {}
func (BecameIneligible) output() {}

type entry struct {
	Server
	added         uint64 // order in which the servers became known
	announcements int    // announcements since the last loss of eligibility
	dialFailures  int    // consecutive failed connections
}

// Table holds the known backend servers.
type Table struct {
	servers       map[Key]*entry
	sortedKeys    []Key  // makes the order of outputs deterministic
	lastAdded     uint64 // of the entry that was added last
	lastStep      clock.Millis
	pauseLength   clock.Millis // of the last pause
	bufferedUntil clock.Millis // end of the BufferedWindow after the last pause
}

// NewTable returns an empty table.
func NewTable(now clock.Millis) *Table {
	return &Table{servers: map[Key]*entry{}, lastStep: now}
}

// Step applies an input and returns the changes of eligibility.
func (t *Table) Step(now clock.Millis, in Input) []Output {
	t.detectPause(now)
	out := t.expireServers(now)
	switch in := in.(type) {
	case AnnouncementReceived:
		return t.handleAnnouncement(now, in, out)
	case DialEnded:
		return t.handleDialEnded(in, out)
	case Replaced:
		if e, ok := t.servers[in.Server]; ok && e.Eligible {
			out = append(out, e.makeIneligible(CauseReplaced))
		}
		return out
	default:
		return out
	}
}

// Get returns the server with key k and reports whether it is known.
func (t *Table) Get(k Key) (Server, bool) {
	e, ok := t.servers[k]
	if !ok {
		return Server{}, false
	}
	return e.Server, true
}

// Usable reports whether a new request may be sent to server k at the given time.
func (t *Table) Usable(now clock.Millis, k Key) bool {
	e, ok := t.servers[k]
	return ok && e.Eligible && now-e.AnnouncedAt < MaxAnnouncementAge
}

// Servers returns the known servers, sorted by key.
func (t *Table) Servers() []Server {
	list := make([]Server, 0, len(t.sortedKeys))
	for _, k := range t.sortedKeys {
		list = append(list, t.servers[k].Server)
	}
	return list
}

func (t *Table) detectPause(now clock.Millis) {
	if now-t.lastStep > MinPause {
		t.pauseLength = now - t.lastStep
		t.bufferedUntil = now + BufferedWindow
	}
	t.lastStep = max(t.lastStep, now)
}

func (t *Table) expireServers(now clock.Millis) []Output {
	var out []Output
	t.sortedKeys = slices.DeleteFunc(t.sortedKeys, func(k Key) bool {
		e := t.servers[k]
		if e.Eligible && now-e.AnnouncedAt >= MaxAnnouncementAge {
			out = append(out, e.makeIneligible(CauseExpired))
		}
		if now-e.AnnouncedAt < ServerRetention {
			return false
		}
		delete(t.servers, k)
		return true
	})
	return out
}

func (t *Table) handleAnnouncement(now clock.Millis, in AnnouncementReceived, out []Output) []Output {
	announcedAt := t.announcedAt(now, in)
	a := in.Announce
	k := Key{Name: a.Name, Incarnation: a.Incarnation}
	e, ok := t.servers[k]
	if !ok {
		if e = t.addServer(k, a); e == nil {
			return out
		}
	}
	// A leaving announcement applies regardless of its sequence number: an incarnation that is
	// leaving never serves again.
	if a.State == proto.ServerLeaving {
		e.Leaving = true
		if e.Eligible {
			out = append(out, e.makeIneligible(CauseLeaving))
		}
	}
	if ok && a.Seq <= e.Seq {
		return out
	}
	e.Seq = a.Seq
	e.AnnouncedAt = max(e.AnnouncedAt, announcedAt)
	e.ActiveRequests = a.ActiveRequests
	// The limits are fixed for an incarnation. Of two different values the smaller one is safe.
	e.Slots = min(e.Slots, a.Slots)
	e.MaxConns = min(e.MaxConns, a.MaxConns)
	if now-e.AnnouncedAt >= MaxAnnouncementAge {
		return out
	}
	isReplaced := false
	for _, other := range t.processesAt(e) {
		switch {
		case other.added > e.added && now-other.AnnouncedAt < MaxAnnouncementAge:
			isReplaced = true
		case other.added < e.added && other.Eligible:
			out = append(out, other.makeIneligible(CauseReplaced))
		}
	}
	e.announcements++
	if e.announcements < RiseThreshold || e.Eligible || e.Leaving || isReplaced {
		return out
	}
	e.Eligible = true
	e.dialFailures = 0
	return append(out, BecameEligible{Server: e.Server})
}

// processesAt returns the entries of the other processes of a server at its address. The one that became known last
// runs there; while that one is silent, the announcements of an earlier one count, as it may have become known late.
func (t *Table) processesAt(e *entry) []*entry {
	var list []*entry
	at, _ := slices.BinarySearchFunc(t.sortedKeys, Key{Name: e.Name}, CompareKeys)
	for ; at < len(t.sortedKeys) && t.sortedKeys[at].Name == e.Name; at++ {
		if other := t.servers[t.sortedKeys[at]]; other != e && other.Address == e.Address {
			list = append(list, other)
		}
	}
	return list
}

// announcedAt returns the earliest time at which an announcement can have been made.
func (t *Table) announcedAt(now clock.Millis, in AnnouncementReceived) clock.Millis {
	age := max(in.MaxAge, 0)
	if in.Direct && now < t.bufferedUntil {
		age = max(age, t.pauseLength)
	}
	return now - age
}

func (t *Table) addServer(k Key, a proto.ServerAnnouncement) *entry {
	if len(t.servers) >= MaxServers {
		return nil
	}
	t.lastAdded++
	e := &entry{added: t.lastAdded, Server: Server{
		Key: k, Service: a.Service, Address: a.Address, Zone: a.Zone, Slots: a.Slots, MaxConns: a.MaxConns,
	}}
	t.servers[k] = e
	at, _ := slices.BinarySearchFunc(t.sortedKeys, k, CompareKeys)
	t.sortedKeys = slices.Insert(t.sortedKeys, at, k)
	return e
}

func (t *Table) handleDialEnded(in DialEnded, out []Output) []Output {
	e, ok := t.servers[in.Server]
	if !ok {
		return out
	}
	if in.OK {
		e.dialFailures = 0
		return out
	}
	e.dialFailures++
	if e.dialFailures < MaxDialFailures || !e.Eligible {
		return out
	}
	return append(out, e.makeIneligible(CauseDialFailed))
}

func (e *entry) makeIneligible(c Cause) Output {
	e.Eligible = false
	e.announcements = 0
	e.dialFailures = 0
	return BecameIneligible{Server: e.Key, Cause: c}
}

// CompareKeys orders keys by name, then incarnation.
func CompareKeys(a, b Key) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	case a.Incarnation < b.Incarnation:
		return -1
	case a.Incarnation > b.Incarnation:
		return 1
	default:
		return 0
	}
}
