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

// fataler is the part of testing.T and rapid.T that the simulated cluster uses.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// event is a callback that runs at a point of true time.
type event struct {
	at  clock.Millis
	run func()
}

// linkFaults configures the faults of the simulated network. Messages pass only between instances
// with the same partition number.
type linkFaults struct {
	lossPercent, duplicatePercent int
	maxDelay                      clock.Millis
	partitions                    map[model.Instance]int
}

// cluster simulates replicas, their disks, clocks and network, and checks safety properties while
// it runs.
type cluster struct {
	t   fataler
	rng *rand.Rand
	now clock.Millis
	// queue is sorted by time; events at the same time run in the order in which they were added.
	queue  []event
	peers  []Peer
	voters []model.Instance
	// targetVoters is Config.TargetVoters of all replicas.
	targetVoters int
	timing       Timing
	limits       Limits
	// maxSyncTime is the longest time that a sync takes.
	maxSyncTime   clock.Millis
	snapshotEvery uint64
	links         linkFaults
	replicas      []*replica
	// clocksBounded is set if all clocks stay within the drift bound, so that no read may be stale.
	clocksBounded bool

	leaders   map[uint64]ID // by term
	committed []Entry
	// readFloors holds the lowest index that each read may return.
	readFloors      map[readKey]uint64
	readsAnswered   int
	lastRequestID   uint64
	lastIncarnation uint64
	bytesTo         map[model.Instance]int
	sentByKind      map[MessageKind]int
	// largestMessage is the size of the largest message, in bytes.
	largestMessage int
}

func newCluster(t fataler, seed uint64, peers []Peer, voters int) *cluster {
	cl := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), peers: peers, timing: DefaultTiming(),
		limits:      Limits{MessageBytes: 200, MaxInflight: 4, UncommittedBytes: 1 << 20, ChunkBytes: 64, SnapshotBytes: 1 << 20, TrailingEntries: 3, LearnerLag: 4},
		maxSyncTime: 20, snapshotEvery: 8, clocksBounded: true,
		links:   linkFaults{maxDelay: 5},
		leaders: map[uint64]ID{}, readFloors: map[readKey]uint64{}, bytesTo: map[model.Instance]int{}, sentByKind: map[MessageKind]int{},
	}
	for _, p := range peers[:voters] {
		cl.voters = append(cl.voters, p.Name)
	}
	for _, p := range peers {
		r := &replica{cluster: cl, name: p.Name, clockRate: 1, canBootstrap: true}
		cl.replicas = append(cl.replicas, r)
		r.eraseDisk()
		r.start()
	}
	return cl
}

func peersInOneZone(names ...model.Instance) []Peer {
	var out []Peer
	for _, n := range names {
		out = append(out, Peer{Name: n, Zone: "z"})
	}
	return out
}

func (cl *cluster) schedule(d clock.Millis, do func()) {
	at := cl.now + d
	i := sort.Search(len(cl.queue), func(i int) bool { return cl.queue[i].at > at })
	cl.queue = slices.Insert(cl.queue, i, event{at, do})
}

func (cl *cluster) run(d clock.Millis) {
	end := cl.now + d
	for len(cl.queue) > 0 && cl.queue[0].at <= end {
		e := cl.queue[0]
		cl.queue = cl.queue[1:]
		cl.now = e.at
		e.run()
	}
	cl.now = end
}

func (cl *cluster) replicaNamed(name model.Instance) *replica {
	i := slices.IndexFunc(cl.replicas, func(r *replica) bool { return r.name == name })
	return cl.replicas[i]
}

// leader returns the running leader with the highest term, or nil.
func (cl *cluster) leader() *replica {
	var best *replica
	for _, r := range cl.replicas {
		if r.node != nil && !r.paused && r.node.role == leader && (best == nil || r.node.hardState.Term > best.node.hardState.Term) {
			best = r
		}
	}
	return best
}

func (cl *cluster) waitForLeader(within clock.Millis) *replica {
	cl.t.Helper()
	for end := cl.now + within; cl.now < end; cl.run(10) {
		if l := cl.leader(); l != nil && l.node.commitIndex >= l.node.leaderState.noOpIndex {
			return l
		}
	}
	cl.t.Fatalf("no leader within %v:\n%s", within, cl.dump())
	return nil
}

// dump returns a description of all replicas.
func (cl *cluster) dump() string {
	var b strings.Builder
	for _, r := range cl.replicas {
		fmt.Fprintf(&b, "%s#%d can bootstrap %t", r.name, r.incarnation, r.canBootstrap)
		if n := r.node; n != nil {
			fmt.Fprintf(&b, " role %d leader %s term %d bootstrap %x log %d..%d commit %d applied %d voters %v learners %v",
				n.role, n.leaderID, n.hardState.Term, n.hardState.BootstrapID, n.log.baseIndex, n.log.lastIndex(), n.commitIndex, n.appliedIndex, n.voters(), n.members().Learners())
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func (cl *cluster) send(from *replica, s Send) {
	cl.sentByKind[s.Message.Kind]++
	b, err := s.Message.Encode()
	if err != nil {
		cl.t.Fatalf("encode message: %v", err)
	}
	cl.bytesTo[s.To] += len(b)
	cl.largestMessage = max(cl.largestMessage, len(b))
	m, err := Decode(b)
	if err != nil {
		cl.t.Fatalf("%s sent a message that does not decode: %v", from.name, err)
	}
	copies := 1
	if cl.rng.IntN(100) < cl.links.duplicatePercent {
		copies++
	}
	for range copies {
		if cl.rng.IntN(100) < cl.links.lossPercent {
			continue
		}
		cl.schedule(1+clock.Millis(cl.rng.Int64N(int64(cl.links.maxDelay))), func() {
			if cl.links.partitions[from.name] == cl.links.partitions[s.To] {
				cl.replicaNamed(s.To).deliver(Receive{m})
			}
		})
	}
}

// checkLeader checks that a term has one leader and that its log holds all committed entries.
func (cl *cluster) checkLeader(r *replica, o RoleChange) {
	if !o.IsLeader {
		return
	}
	if old, ok := cl.leaders[o.Term]; ok && old != r.node.cfg.Self {
		cl.t.Fatalf("term %d has leaders %s and %s", o.Term, old, r.node.cfg.Self)
	}
	cl.leaders[o.Term] = r.node.cfg.Self
	for _, e := range cl.committed {
		if e.Index < r.node.log.baseIndex {
			continue
		}
		if term, ok := r.node.log.term(e.Index); !ok || term != e.Term {
			cl.t.Fatalf("%s leads term %d without committed entry %d of term %d", r.name, o.Term, e.Index, e.Term)
		}
	}
}

// readKey identifies a read. Each process counts its reads from 1.
type readKey struct {
	replica    *replica
	generation int
	id         uint64
}

func (cl *cluster) read(r *replica) {
	r.lastReadID++
	cl.readFloors[readKey{r, r.generation, r.lastReadID}] = uint64(len(cl.committed))
	r.deliver(ReadIndex{r.lastReadID})
}

// checkRead checks that a read covers all entries that any replica had applied when the read was
// requested.
func (cl *cluster) checkRead(r *replica, o ReadConfirmed) {
	cl.readsAnswered++
	if floor := cl.readFloors[readKey{r, r.generation, o.ID}]; cl.clocksBounded && o.Index < floor {
		cl.t.Fatalf("%s answers a read with index %d, but %d was committed before:\n%s", r.name, o.Index, floor, cl.dump())
	}
}

func (cl *cluster) propose(r *replica) {
	cl.lastRequestID++
	r.deliver(Propose{[]Proposal{{ID: cl.lastRequestID, Data: []byte(fmt.Sprintf("p%d", cl.lastRequestID))}}})
}
