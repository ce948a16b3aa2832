package quorum

import (
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// topology is a set of instances, of which the first ones found the group.
type topology struct {
	peers  []Peer
	voters int
}

var topologies = []topology{
	{plain("a", "b", "c"), 3},
	{plain("a", "b", "c", "d", "e"), 3},
	{plain("a", "b", "c", "d", "e", "f"), 5},
	{[]Peer{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}, {Name: "w", Zone: "y", Witness: true}}, 3},
	{plain("a", "b"), 1},
}

// chaos applies drawn faults to a world.
type chaos struct {
	*world
	t *rapid.T
}

// pick draws a replica; the leader is drawn more often, because most harm starts there.
func (c chaos) pick() *replica {
	if l := c.leader(); l != nil && rapid.IntRange(0, 2).Draw(c.t, "leader") == 0 {
		return l
	}
	return c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(c.t, "replica")]
}

func (c chaos) percent(name string, limit int) int { return rapid.IntRange(0, limit).Draw(c.t, name) }

// pass lets time pass, while every replica that believes to lead gets reads and proposals.
func (c chaos) pass() {
	rest := clock.Millis(rapid.IntRange(1, 3000).Draw(c.t, "time"))
	count := rapid.IntRange(0, 2).Draw(c.t, "proposals")
	for ; rest > 0; rest -= 40 {
		c.run(min(rest, 40))
		c.each(count)
	}
}

func (c chaos) each(count int) {
	for _, r := range c.nodes {
		if r.node == nil || r.node.role != leader {
			continue
		}
		c.read(r)
		for range count {
			if r.node.log.last() < r.node.commit+50 {
				c.propose(r)
			}
		}
	}
}

func (c chaos) load() {
	c.each(rapid.IntRange(1, 12).Draw(c.t, "proposals"))
	c.read(c.pick())
}

func (c chaos) network() {
	c.net.loss, c.net.dup = c.percent("loss", 40), c.percent("dup", 40)
	c.net.delay = clock.Millis(rapid.SampledFrom([]int{5, 50, 400, 1500}).Draw(c.t, "delay"))
}

func (c chaos) partition() {
	c.net.parts = map[model.Instance]int{}
	alone := c.pick().name
	for _, p := range c.peers {
		if p.Name == alone || rapid.IntRange(0, 3).Draw(c.t, "side") == 0 {
			c.net.parts[p.Name] = 1
		}
	}
}

func (c chaos) heal() {
	c.net = network{delay: 5}
	for _, r := range c.nodes {
		if r.paused {
			r.resume()
		}
		if r.node == nil {
			r.start()
		}
	}
}

func (c chaos) crash() {
	r := c.pick()
	if r.node == nil {
		r.start()
		return
	}
	r.crash(rapid.IntRange(0, 3).Draw(c.t, "survive"))
	if rapid.Bool().Draw(c.t, "restart") {
		r.start()
	}
}

// loseDisk erases a disk if the group can go on without it.
func (c chaos) loseDisk() {
	r := c.pick()
	for _, other := range c.nodes {
		if !c.livesWithout(other, r) {
			return
		}
	}
	if !c.founded() {
		return
	}
	r.crash(0)
	r.erase()
	r.start()
}

// founded reports whether all founders hold the first membership: before that, an erased
// founder may leave the others in a founding that cannot go on.
func (c chaos) founded() bool {
	for _, v := range c.voters {
		if c.at(v).disk.hard.Found == 0 {
			return false
		}
	}
	return true
}

// livesWithout reports whether every membership that other may act on keeps a majority of disks.
func (c chaos) livesWithout(other, lost *replica) bool {
	sets := []Membership{other.disk.members()}
	if other.node != nil {
		sets = append(sets, other.node.members())
	}
	for _, set := range sets {
		intact := 0
		for _, id := range set.Voters() {
			if r := c.at(id.Name); r != lost && r.inc == id.Inc {
				intact++
			}
		}
		if voters := len(set.Voters()); voters > 0 && intact <= voters/2 {
			return false
		}
	}
	return true
}

// members returns the newest membership on a disk.
func (d *durable) members() Membership {
	m := d.snap.Meta.Members
	for _, e := range d.entries {
		if e.Kind == EntryMembers {
			// A fresh value: decoding into m would overwrite the membership of the snapshot.
			var next Membership
			_ = decoder.Unmarshal(e.Data, &next)
			m = next
		}
	}
	return m
}

func (c chaos) freeze() {
	if r := c.pick(); r.paused {
		r.resume()
	} else {
		r.pause()
	}
}

func (c chaos) drift() {
	limit := 48
	if !c.bounded {
		limit = 900
	}
	c.pick().setRate(1 + float64(rapid.IntRange(-limit, limit).Draw(c.t, "drift"))/1000)
}

func (c chaos) handover() { c.pick().feed(Handover{}) }

func runChaos(t *rapid.T, bounded bool) {
	top := rapid.SampledFrom(topologies).Draw(t, "topology")
	w := newWorld(t, rapid.Uint64().Draw(t, "seed"), top.peers, top.voters)
	w.bounded = bounded
	// A short silence lets membership changes happen often.
	w.timing.Silent = 1500
	w.timing.Lazy = 5 * clock.Second
	c := chaos{w, t}
	actions := []func(){
		c.pass, c.pass, c.pass, c.load, c.network, c.partition, c.partition, c.heal, c.crash, c.crash, c.loseDisk,
		c.freeze, c.drift, c.handover,
	}
	if rapid.Bool().Draw(t, "calm start") {
		c.run(5 * clock.Second)
	}
	for range rapid.IntRange(10, 60).Draw(t, "actions") {
		rapid.SampledFrom(actions).Draw(t, "action")()
		c.run(clock.Millis(rapid.IntRange(0, 100).Draw(t, "gap")))
	}
	c.recover()
}

// recover ends all faults and checks that the group works again.
func (c chaos) recover() {
	c.heal()
	for _, r := range c.nodes {
		r.setRate(1)
	}
	c.run(40 * clock.Second)
	l := c.mustLead(20 * clock.Second)
	before := len(c.committed)
	c.propose(l)
	c.run(5 * clock.Second)
	if len(c.committed) <= before {
		c.t.Fatalf("a proposal at %s is not committed in 5 s without faults", l.name)
	}
	for _, r := range c.nodes {
		if m, ok := l.node.members().Find(r.node.cfg.Self); ok && !m.Witness && r.applied < uint64(before)+1 {
			c.t.Fatalf("%s applied index %d of %d", r.name, r.applied, len(c.committed))
		}
	}
}

// Guards against two leaders in a term, logs that differ, committed entries that are lost,
// stale lease reads, and groups that do not recover, under all faults together.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runChaos(t, true) })
}

// Guards against log safety that depends on clocks: rates are far outside the bound, so only
// reads may be wrong.
func TestSafetyWithWildClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runChaos(t, false) })
}

// Guards against stale reads at a leader that loses its majority while it still holds its lease:
// to a voter that was cut off before, to one that restarts, or by a handover, with clocks at the
// ends of the drift bound.
func TestLeaseReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), plain("a", "b", "c"), 3)
		for range 4 {
			w.cut()
			w.commitAll(3, 20)
			loseLeased(t, w)
			w.run(5 * clock.Second)
		}
	})
}

// loseLeased takes the majority from a leader with a lease, and reads at all replicas meanwhile.
func loseLeased(t *rapid.T, w *world) {
	old := w.leader()
	slow := rapid.Bool().Draw(t, "old leader is slow")
	var rest []*replica
	for _, r := range w.nodes {
		fast := r != old
		if !slow {
			fast = rapid.Bool().Draw(t, "fast")
		}
		r.setRate(0.952)
		if fast {
			r.setRate(1.048)
		}
		if r != old {
			rest = append(rest, r)
		}
	}
	kind := rapid.SampledFrom([]string{"cut", "restart", "handover"}).Draw(t, "kind")
	if kind == "handover" {
		old.feed(Handover{})
	} else {
		w.cut(rest[0].name)
		w.run(clock.Millis(rapid.IntRange(2000, 4000).Draw(t, "alone")))
	}
	w.run(clock.Millis(rapid.IntRange(0, 120).Draw(t, "then")))
	w.cut(old.name)
	if kind == "restart" {
		rest[1].crash(9)
		rest[1].start()
	}
	for range 300 {
		w.read(old)
		for _, r := range rest {
			w.read(r)
			if r.node.role == leader && r.node.log.last() < r.node.commit+20 {
				w.propose(r)
			}
		}
		w.run(5)
	}
}
