package member_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

const (
	instances = 3
	// stopTime is the promise: no new work this long after the server said that it leaves.
	stopTime = 3 * clock.Second
)

var key = member.Key{Name: "b", Incarnation: 1}

type node struct {
	drift, offset, wake, life clock.Millis
	cut                       clock.Millis // until when nothing reaches it
	table                     *member.Table
	links                     *member.Links
	fresh                     *member.Outbox
	direct                    bool // it got an announcement without a relay
}

type packet struct {
	at       clock.Millis
	to       int
	announce *proto.Announce
	relay    *member.Relay
	buffered bool // it reached the instance during a pause
}

type zone struct {
	t      *rapid.T
	now    clock.Millis
	nodes  []*node
	net    []packet
	seq    uint64
	leave  clock.Millis
	usable int
	relay  int // usable on an instance that only relays reached
}

func (z *zone) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(z.t, label) }

func (z *zone) local(i int) clock.Millis {
	n := z.nodes[i]
	return n.offset + z.now*(1000+n.drift)/1000
}

func (z *zone) restart(i int) {
	n := z.nodes[i]
	n.life++
	n.wake = 0
	// What the old process had not read is gone with its sockets.
	z.net = slices.DeleteFunc(z.net, func(p packet) bool { return p.to == i && p.buffered })
	n.table = member.New(z.local(i))
	n.links = member.NewLinks(name(i), model.Incarnation(n.life))
	n.fresh, n.direct = member.NewOutbox(), false
}

func name(i int) model.Instance { return model.Instance(rune('a' + i)) }

// announce sends an announcement through the balancer to any one instance.
func (z *zone) announce() {
	z.seq++
	a := proto.Announce{Name: key.Name, Incarnation: key.Incarnation, Service: "s", Slots: 8, Conns: 64, State: proto.ServerServing, Seq: z.seq}
	if z.now >= z.leave {
		a.State = proto.ServerLeaving
	}
	to := z.pick("balancer", instances)
	z.net = append(z.net, packet{at: z.now + clock.Millis([]int{2, 100, 800}[z.pick("transit", 3)]), to: to, announce: &a})
}

func (z *zone) deliver() {
	net := z.net
	z.net = nil
	for _, p := range net {
		n := z.nodes[p.to]
		now := z.local(p.to)
		switch {
		case p.at > z.now:
			z.net = append(z.net, p)
		case z.now < n.cut && !p.buffered:
		case z.now < n.wake:
			p.buffered = true
			z.net = append(z.net, p)
		case p.announce != nil:
			h := member.Heard{Announce: *p.announce, Direct: true}
			n.table.Step(now, h)
			n.fresh.Add(now, n.table, h)
			n.direct = true
		default:
			for _, h := range n.links.Unwrap(now, *p.relay) {
				n.table.Step(now, h)
			}
		}
	}
}

func (z *zone) send(i int) {
	n := z.nodes[i]
	now := z.local(i)
	list := n.fresh.Take(now)
	for to := range z.nodes {
		if to == i {
			continue
		}
		r := n.links.Wrap(now, name(to), list)
		for range make([]struct{}, []int{1, 1, 1, 0, 2}[z.pick("copies", 5)]) {
			at := z.now + clock.Millis([]int{2, 300, 3000, 30000}[z.pick("delay", 4)])
			z.net = append(z.net, packet{at: at, to: to, relay: &r})
		}
	}
}

func (z *zone) check() {
	for i, n := range z.nodes {
		if z.now < n.wake || !n.table.Usable(z.local(i), key) {
			continue
		}
		z.usable++
		if !n.direct {
			z.relay++
		}
		if z.now >= z.leave+stopTime {
			z.t.Fatalf("instance %d uses the server %v after it said that it leaves", i, z.now-z.leave)
		}
	}
}

func (z *zone) step(i int) {
	z.now += 50
	z.deliver()
	if i%10 == 0 {
		z.announce()
	}
	z.check()
	for n, node := range z.nodes {
		if z.now < node.wake {
			continue
		}
		node.table.Step(z.local(n), member.Tick{})
		if (i+n)%5 == 0 {
			z.send(n)
		}
	}
	at := z.pick("instance", instances)
	switch z.pick("fault", 100) {
	case 45, 46:
		z.nodes[at].cut = z.now + clock.Millis([]int{2000, 5000, 15000}[z.pick("cut", 3)])
	case 47, 48:
		z.nodes[at].wake = z.now + clock.Millis([]int{100, 1000, 5000, 20000}[z.pick("pause", 4)])
	case 53:
		z.restart(at)
	}
}

// Guards against stale evidence that lets an instance send work to a server that is leaving:
// late, repeated or overtaken relays, buffers read after a pause, restarts, a cut.
func TestLeaving(t *testing.T) {
	usable, relay := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		z := &zone{t: t, leave: clock.Millis(rapid.IntRange(2000, 15000).Draw(t, "leave"))}
		for i := range instances {
			z.nodes = append(z.nodes, &node{
				drift: clock.Millis(rapid.IntRange(-20, 20).Draw(t, "drift")), offset: clock.Millis((i + 1) * 1_000_000),
			})
			z.restart(i)
		}
		for i := range 500 {
			z.step(i)
		}
		usable, relay = usable+z.usable, relay+z.relay
	})
	t.Logf("usable %d times, %d by relays only", usable, relay)
	if usable < 1000 || relay < 100 {
		t.Fatal("the property saw too little")
	}
}

// Guards against a server that rises on one announcement, a leaving one that returns under
// the same incarnation, and a fall on fewer than three failed connections.
func TestRiseAndFall(t *testing.T) {
	a := proto.Announce{Name: key.Name, Incarnation: key.Incarnation, Slots: 8, Conns: 64, State: proto.ServerServing}
	table := member.New(0)
	hear := func(now clock.Millis, seq uint64, state proto.ServerState) bool {
		a.Seq, a.State = seq, state
		table.Step(now, member.Heard{Announce: a, Direct: true})
		return table.Usable(now, key)
	}
	fail := func() bool {
		table.Step(20, member.DialEnded{Server: key})
		return table.Usable(20, key)
	}
	got := []bool{
		hear(0, 1, proto.ServerServing), hear(0, 1, proto.ServerServing), hear(10, 2, proto.ServerServing),
		fail(), fail(), fail(),
		hear(20, 3, proto.ServerServing), hear(20, 4, proto.ServerServing),
		hear(30, 5, proto.ServerLeaving), hear(40, 6, proto.ServerServing), hear(50, 7, proto.ServerServing),
	}
	want := []bool{false, false, true, true, true, false, false, true, false, false, false}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("eligible %v, want %v", got, want)
		}
	}
}

// Guards against a relay that makes old evidence fresh: it was kept during a pause of the
// sender, or echoes the clock of an earlier life of the receiver.
func TestRelayAge(t *testing.T) {
	a := proto.Announce{Name: key.Name, Incarnation: key.Incarnation, Slots: 8, Conns: 64, State: proto.ServerServing, Seq: 1}
	sender, receiver := member.NewLinks("s", 1), member.NewLinks("r", 7)
	table, out := member.New(0), member.NewOutbox()
	out.Add(0, table, member.Heard{Announce: a, Direct: true})
	sender.Unwrap(4000, receiver.Wrap(90_000, "s", nil))
	kept := sender.Wrap(5000, "r", out.Take(5000))
	if got := receiver.Unwrap(91_010, kept)[0].Age; got < 5000 || got > 5500 {
		t.Errorf("age %v of an announcement kept for 5 s", got)
	}
	reborn := member.NewLinks("r", 8)
	out.Add(5000, table, member.Heard{Announce: a, Direct: true})
	if got := reborn.Unwrap(91_010, sender.Wrap(5000, "r", out.Take(5000)))[0].Age; got < member.EvidenceTime {
		t.Errorf("age %v with the clock of an earlier life", got)
	}
}
