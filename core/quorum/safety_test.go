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

func (c chaos) pick() *replica {
	return c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(c.t, "replica")]
}

func (c chaos) percent(name string, limit int) int { return rapid.IntRange(0, limit).Draw(c.t, name) }

func (c chaos) pass() { c.run(clock.Millis(rapid.IntRange(1, 3000).Draw(c.t, "time"))) }

func (c chaos) load() {
	r := c.pick()
	if l := c.leader(); l != nil && rapid.Bool().Draw(c.t, "leader") {
		r = l
	}
	for range rapid.IntRange(1, 12).Draw(c.t, "proposals") {
		c.propose(r)
	}
	c.read(r)
	c.read(c.pick())
}

func (c chaos) network() {
	c.net.loss, c.net.dup = c.percent("loss", 40), c.percent("dup", 40)
	c.net.delay = clock.Millis(rapid.SampledFrom([]int{5, 50, 400, 1500}).Draw(c.t, "delay"))
}

func (c chaos) partition() {
	c.net.parts = map[model.Instance]int{}
	for _, p := range c.peers {
		c.net.parts[p.Name] = rapid.IntRange(0, 1).Draw(c.t, "side")
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

func (c chaos) pass3() {
	for range 3 {
		c.load()
		c.pass()
	}
}

func (c chaos) handover() { c.pick().feed(Handover{}) }

func runChaos(t *rapid.T, bounded bool) {
	top := rapid.SampledFrom(topologies).Draw(t, "topology")
	w := newWorld(t, rapid.Uint64().Draw(t, "seed"), top.peers, top.voters)
	w.bounded = bounded
	// A short silence lets membership changes happen often.
	w.timing.Silent = 2 * clock.Second
	w.timing.Lazy = 5 * clock.Second
	c := chaos{w, t}
	actions := []func(){
		c.pass, c.load, c.pass3, c.pass3, c.network, c.partition, c.heal, c.crash, c.crash, c.loseDisk,
		c.freeze, c.drift, c.handover,
	}
	if rapid.Bool().Draw(t, "calm start") {
		c.run(5 * clock.Second)
	}
	for range rapid.IntRange(10, 60).Draw(t, "actions") {
		rapid.SampledFrom(actions).Draw(t, "action")()
		c.run(clock.Millis(rapid.IntRange(0, 200).Draw(t, "gap")))
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
