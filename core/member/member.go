package member

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Times and counts of the membership rules.
const (
	// EvidenceTime is the age at which evidence no longer makes a server eligible.
	EvidenceTime = 2 * clock.Second
	// RiseCount is the number of announcements after which a server becomes eligible.
	RiseCount = 2
	// DialFailures is the number of consecutive failed connections after which a server falls.
	DialFailures = 3
	// ForgetTime is the age of evidence at which a server is forgotten. It is far above
	// EvidenceTime, so that a late message cannot undo the sticky leaving state.
	ForgetTime = 5 * clock.Minute
	// PauseTime is the gap between two steps that counts as a pause of the process. Work
	// must end 3 s after a server said that it leaves: EvidenceTime with drift, this gap
	// and up to 800 ms in transit add up to less.
	PauseTime = 100 * clock.Millisecond
	// PauseTail is the time after a pause in which announcements may come from buffers that
	// filled during the pause.
	PauseTail = 250 * clock.Millisecond
	// MaxServers bounds the number of servers that announcements can create.
	MaxServers = 10_000
)

// Key names one life of a backend server. A restart on the same address is another server.
type Key struct {
	Name        model.ServerID    `json:"name"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// Server is what is known of a backend server.
type Server struct {
	Key
	Service  string
	Address  string
	Zone     model.Zone
	Slots    int
	Conns    int
	Leaving  bool
	Eligible bool
	Evidence clock.Millis // local instant at which the newest announcement was made, at the earliest
	Seq      uint64
	Active   *int // requests in progress at Evidence, if the server counts them
}

// Input is one of Heard, DialEnded and Tick.
type Input interface{ input() }

// Heard reports an announcement, received directly or by relay.
type Heard struct {
	Announce proto.Announce
	Age      clock.Millis // upper bound of the time since the announcement was made
	Direct   bool         // received from the backend server itself
}

// DialEnded reports whether a connection to a server could be opened.
type DialEnded struct {
	Server Key
	OK     bool
}

// Tick lets time pass.
type Tick struct{}

func (Heard) input()     {}
func (DialEnded) input() {}
func (Tick) input()      {}

// Output is one of Rose and Fell.
type Output interface{ output() }

// Rose says that a server became eligible.
type Rose struct{ Server Server }

// Cause says why a server fell.
type Cause string

// The causes of a fall.
const (
	CauseAge     Cause = "age"
	CauseDial    Cause = "dial"
	CauseLeaving Cause = "leaving"
)

// Fell says that a server is no longer eligible.
type Fell struct {
	Server Key
	Cause  Cause
}

func (Rose) output() {}
func (Fell) output() {}

type entry struct {
	Server
	heard    int // announcements since the last fall
	failures int // consecutive failed connections
}

// Table holds the known backend servers.
type Table struct {
	servers map[Key]*entry
	order   []Key // sorted, so that equal inputs give equal outputs
	last    clock.Millis
	gap     clock.Millis // length of the last pause
	tail    clock.Millis // until when buffered announcements may arrive
}

// New returns an empty table.
func New(now clock.Millis) *Table {
	return &Table{servers: map[Key]*entry{}, last: now}
}

// Step applies an input and returns the changes of eligibility.
func (t *Table) Step(now clock.Millis, in Input) []Output {
	t.notePause(now)
	out := t.expire(now)
	switch in := in.(type) {
	case Heard:
		return t.heard(now, in, out)
	case DialEnded:
		return t.dialEnded(in, out)
	default:
		return out
	}
}

// Get returns the server and whether it is known.
func (t *Table) Get(k Key) (Server, bool) {
	e, ok := t.servers[k]
	if !ok {
		return Server{}, false
	}
	return e.Server, true
}

// Usable reports whether k may get a new request at this moment.
func (t *Table) Usable(now clock.Millis, k Key) bool {
	e, ok := t.servers[k]
	return ok && e.Eligible && now-e.Evidence < EvidenceTime
}

// Servers returns the known servers in the order of their keys.
func (t *Table) Servers() []Server {
	list := make([]Server, 0, len(t.order))
	for _, k := range t.order {
		list = append(list, t.servers[k].Server)
	}
	return list
}

func (t *Table) notePause(now clock.Millis) {
	if now-t.last > PauseTime {
		t.gap = now - t.last
		t.tail = now + PauseTail
	}
	t.last = max(t.last, now)
}

func (t *Table) expire(now clock.Millis) []Output {
	var out []Output
	t.order = slices.DeleteFunc(t.order, func(k Key) bool {
		e := t.servers[k]
		if e.Eligible && now-e.Evidence >= EvidenceTime {
			out = append(out, e.fall(CauseAge))
		}
		if now-e.Evidence < ForgetTime {
			return false
		}
		delete(t.servers, k)
		return true
	})
	return out
}

func (t *Table) heard(now clock.Millis, in Heard, out []Output) []Output {
	evidence := t.evidence(now, in)
	a := in.Announce
	k := Key{Name: a.Name, Incarnation: a.Incarnation}
	e, ok := t.servers[k]
	if !ok {
		if e = t.add(k, a); e == nil {
			return out
		}
	}
	// A delayed copy of "leaving" counts whatever its sequence: the state is sticky.
	if a.State == proto.ServerLeaving {
		e.Leaving = true
		if e.Eligible {
			out = append(out, e.fall(CauseLeaving))
		}
	}
	if ok && a.Seq <= e.Seq {
		return out
	}
	e.Seq = a.Seq
	e.Evidence = max(e.Evidence, evidence)
	e.Active = a.Active
	// The limits are fixed for an incarnation; of two values the smaller is safe.
	e.Slots = min(e.Slots, a.Slots)
	e.Conns = min(e.Conns, a.Conns)
	if now-e.Evidence >= EvidenceTime {
		return out
	}
	e.heard++
	if e.heard < RiseCount || e.Eligible || e.Leaving {
		return out
	}
	e.Eligible = true
	e.failures = 0
	return append(out, Rose{Server: e.Server})
}

// evidence returns the instant at which an announcement was made, at the earliest.
func (t *Table) evidence(now clock.Millis, in Heard) clock.Millis {
	age := max(in.Age, 0)
	if in.Direct && now < t.tail {
		age = max(age, t.gap)
	}
	return now - age
}

func (t *Table) add(k Key, a proto.Announce) *entry {
	if len(t.servers) >= MaxServers {
		return nil
	}
	e := &entry{Server: Server{
		Key: k, Service: a.Service, Address: a.Address, Zone: a.Zone, Slots: a.Slots, Conns: a.Conns,
	}}
	t.servers[k] = e
	at, _ := slices.BinarySearchFunc(t.order, k, Compare)
	t.order = slices.Insert(t.order, at, k)
	return e
}

func (t *Table) dialEnded(in DialEnded, out []Output) []Output {
	e, ok := t.servers[in.Server]
	if !ok {
		return out
	}
	if in.OK {
		e.failures = 0
		return out
	}
	e.failures++
	if e.failures < DialFailures || !e.Eligible {
		return out
	}
	return append(out, e.fall(CauseDial))
}

func (e *entry) fall(c Cause) Output {
	e.Eligible = false
	e.heard = 0
	e.failures = 0
	return Fell{Server: e.Key, Cause: c}
}

// Compare orders keys by name, then incarnation.
func Compare(a, b Key) int {
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
