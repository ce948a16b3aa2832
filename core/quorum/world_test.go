package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// failer is the part of testing.T and rapid.T that the simulated world needs.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// event is something that happens at an instant of true time.
type event struct {
	at clock.Millis
	do func()
}

// network holds the faults of the links, in percent and milliseconds.
type network struct {
	loss, dup int
	delay     clock.Millis
	parts     map[model.Instance]int
}

// world simulates replicas, their disks, clocks and network, and checks safety as it goes.
type world struct {
	t   failer
	rng *rand.Rand
	now clock.Millis
	// queue is sorted by time and then by age.
	queue  []event
	peers  []Peer
	voters []model.Instance
	timing Timing
	limits Limits
	// fsync is the longest time that a sync takes.
	fsync clock.Millis
	every uint64
	net   network
	nodes []*replica
	// bounded says that all clocks stay within the drift bound, so that lease reads must hold.
	bounded bool

	leaders   map[uint64]ID
	committed []Entry
	reads     map[uint64]uint64
	answered  int
	proposals uint64
	incs      uint64
	bytes     map[model.Instance]int
	sent      map[Kind]int
	// largest is the size of the largest message, in bytes.
	largest int
}

func newWorld(t failer, seed uint64, peers []Peer, voters int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), peers: peers, timing: DefaultTiming(),
		limits: Limits{Message: 200, Window: 4, Pending: 1 << 20, Chunk: 64, Snapshot: 1 << 20, Trail: 3, Lag: 4},
		fsync:  20, every: 8, bounded: true,
		net:     network{delay: 5},
		leaders: map[uint64]ID{}, reads: map[uint64]uint64{}, bytes: map[model.Instance]int{}, sent: map[Kind]int{},
	}
	for _, p := range peers[:voters] {
		w.voters = append(w.voters, p.Name)
	}
	for _, p := range peers {
		r := &replica{w: w, name: p.Name, rate: 1, boot: true}
		r.offset = clock.Millis(w.rng.IntN(1_000_000))
		w.nodes = append(w.nodes, r)
		r.erase()
		r.start()
	}
	return w
}

func plain(names ...model.Instance) []Peer {
	var out []Peer
	for _, n := range names {
		out = append(out, Peer{Name: n, Zone: "z"})
	}
	return out
}

func (w *world) after(d clock.Millis, do func()) {
	at := w.now + d
	i := sort.Search(len(w.queue), func(i int) bool { return w.queue[i].at > at })
	w.queue = slices.Insert(w.queue, i, event{at, do})
}

func (w *world) run(d clock.Millis) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := w.queue[0]
		w.queue = w.queue[1:]
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) at(name model.Instance) *replica {
	i := slices.IndexFunc(w.nodes, func(r *replica) bool { return r.name == name })
	return w.nodes[i]
}

// leader returns the live leader with the highest term, or nil.
func (w *world) leader() *replica {
	var best *replica
	for _, r := range w.nodes {
		if r.node != nil && !r.paused && r.node.role == leader && (best == nil || r.node.hard.Term > best.node.hard.Term) {
			best = r
		}
	}
	return best
}

func (w *world) mustLead(within clock.Millis) *replica {
	w.t.Helper()
	for end := w.now + within; w.now < end; w.run(10) {
		if l := w.leader(); l != nil && l.node.commit >= l.node.lead.first {
			return l
		}
	}
	w.t.Fatalf("no leader within %v:\n%s", within, w.dump())
	return nil
}

// dump describes all replicas.
func (w *world) dump() string {
	var b strings.Builder
	for _, r := range w.nodes {
		fmt.Fprintf(&b, "%s#%d boot %t", r.name, r.inc, r.boot)
		if n := r.node; n != nil {
			fmt.Fprintf(&b, " role %d known %s term %d found %x log %d..%d commit %d applied %d voters %v learners %v",
				n.role, n.known, n.hard.Term, n.hard.Found, n.log.base, n.log.last(), n.commit, n.applied, n.voters(), n.members().Learners())
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func (w *world) send(from *replica, s Send) {
	w.sent[s.Message.Kind]++
	b, err := s.Message.Encode()
	if err != nil {
		w.t.Fatalf("encode: %v", err)
	}
	w.bytes[s.To] += len(b)
	w.largest = max(w.largest, len(b))
	m, err := Decode(b)
	if err != nil {
		w.t.Fatalf("%s sent a message that does not decode: %v", from.name, err)
	}
	copies := 1
	if w.rng.IntN(100) < w.net.dup {
		copies++
	}
	for range copies {
		if w.rng.IntN(100) < w.net.loss {
			continue
		}
		w.after(1+clock.Millis(w.rng.Int64N(int64(w.net.delay))), func() {
			if w.net.parts[from.name] == w.net.parts[s.To] {
				w.at(s.To).feed(Receive{m})
			}
		})
	}
}

// lead checks that a term has one leader, and that it holds everything that is committed.
func (w *world) lead(r *replica, o Role) {
	if !o.Leader {
		return
	}
	if old, ok := w.leaders[o.Term]; ok && old != r.node.cfg.Self {
		w.t.Fatalf("term %d has leaders %s and %s", o.Term, old, r.node.cfg.Self)
	}
	w.leaders[o.Term] = r.node.cfg.Self
	for _, e := range w.committed {
		if e.Index < r.node.log.base {
			continue
		}
		if term, ok := r.node.log.term(e.Index); !ok || term != e.Term {
			w.t.Fatalf("%s leads term %d without committed entry %d of term %d", r.name, o.Term, e.Index, e.Term)
		}
	}
}

func (w *world) read(r *replica) {
	w.proposals++
	w.reads[w.proposals] = uint64(len(w.committed))
	r.feed(Read{w.proposals})
}

// checkRead checks that a read sees all that any replica had applied when it was asked.
func (w *world) checkRead(r *replica, o Ready) {
	w.answered++
	if floor := w.reads[o.ID]; w.bounded && o.Index < floor {
		w.t.Fatalf("%s answers a read with index %d, but %d was committed before:\n%s", r.name, o.Index, floor, w.dump())
	}
}

func (w *world) propose(r *replica) {
	w.proposals++
	r.feed(Propose{[]Proposal{{ID: w.proposals, Data: []byte(fmt.Sprintf("p%d", w.proposals))}}})
}
