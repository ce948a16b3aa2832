package member_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

const (
	instanceCount = 3
	// maxStopTime is the guarantee: no new work later than this after the server announced that
	// it is leaving.
	maxStopTime = 3 * clock.Second
)

var key = member.Key{Name: "b", Incarnation: 1}

type node struct {
	drift, offset, pausedUntil, incarnation clock.Millis
	partitionedUntil                        clock.Millis // until then no packet reaches the node
	table                                   *member.Table
	clocks                                  *member.PeerClocks
	outbox                                  *member.Outbox
	announcedDirectly                       bool // it received an announcement from the server itself
}

type packet struct {
	deliverAt clock.Millis
	to        int
	announce  *proto.ServerAnnouncement
	relay     *member.Relay
	buffered  bool // it arrived while the instance was paused
}

type zone struct {
	t                  *rapid.T
	now                clock.Millis
	nodes              []*node
	inFlight           []packet
	seq                uint64
	leavesAt           clock.Millis
	usableCount        int
	usableByRelayCount int // usable on an instance that got announcements by relay only
}

func (z *zone) drawInt(label string, n int) int { return rapid.IntRange(0, n-1).Draw(z.t, label) }

func (z *zone) localTime(i int) clock.Millis {
	n := z.nodes[i]
	return n.offset + z.now*(1000+n.drift)/1000
}

func (z *zone) restart(i int) {
	n := z.nodes[i]
	n.incarnation++
	n.pausedUntil = 0
	// Packets that the old process had not read are lost with its sockets.
	z.inFlight = slices.DeleteFunc(z.inFlight, func(p packet) bool { return p.to == i && p.buffered })
	n.table = member.NewTable(z.localTime(i))
	n.clocks = member.NewPeerClocks(instanceName(i), model.Incarnation(n.incarnation))
	n.outbox, n.announcedDirectly = member.NewOutbox(), false
}

func instanceName(i int) model.Instance { return model.Instance(rune('a' + i)) }

// announce sends an announcement to a random instance, as through a load balancer.
func (z *zone) announce() {
	z.seq++
	a := proto.ServerAnnouncement{Name: key.Name, Incarnation: key.Incarnation, Service: "s", Slots: 8, MaxConns: 64, State: proto.ServerServing, Seq: z.seq}
	if z.now >= z.leavesAt {
		a.State = proto.ServerLeaving
	}
	to := z.drawInt("balancer", instanceCount)
	z.inFlight = append(z.inFlight, packet{deliverAt: z.now + clock.Millis([]int{2, 100, 800}[z.drawInt("transit", 3)]), to: to, announce: &a})
}

func (z *zone) deliver() {
	net := z.inFlight
	z.inFlight = nil
	for _, p := range net {
		n := z.nodes[p.to]
		now := z.localTime(p.to)
		switch {
		case p.deliverAt > z.now:
			z.inFlight = append(z.inFlight, p)
		case z.now < n.partitionedUntil && !p.buffered:
		case z.now < n.pausedUntil:
			p.buffered = true
			z.inFlight = append(z.inFlight, p)
		case p.announce != nil:
			in := member.AnnouncementReceived{Announce: *p.announce, Direct: true}
			n.table.Step(now, in)
			n.outbox.Add(now, n.table, in)
			n.announcedDirectly = true
		default:
			for _, in := range n.clocks.ReceiveRelay(now, *p.relay) {
				n.table.Step(now, in)
			}
		}
	}
}

func (z *zone) sendRelays(i int) {
	n := z.nodes[i]
	now := z.localTime(i)
	list := n.outbox.Take(now)
	for to := range z.nodes {
		if to == i {
			continue
		}
		r := n.clocks.NewRelay(now, instanceName(to), list)
		for range make([]struct{}, []int{1, 1, 1, 0, 2}[z.drawInt("copies", 5)]) {
			at := z.now + clock.Millis([]int{2, 300, 3000, 30000}[z.drawInt("delay", 4)])
			z.inFlight = append(z.inFlight, packet{deliverAt: at, to: to, relay: &r})
		}
	}
}

func (z *zone) checkUsable() {
	for i, n := range z.nodes {
		if z.now < n.pausedUntil || !n.table.Usable(z.localTime(i), key) {
			continue
		}
		z.usableCount++
		if !n.announcedDirectly {
			z.usableByRelayCount++
		}
		if z.now >= z.leavesAt+maxStopTime {
			z.t.Fatalf("instance %d uses the server %v after it announced that it is leaving", i, z.now-z.leavesAt)
		}
	}
}

func (z *zone) step(i int) {
	z.now += 50
	z.deliver()
	if i%10 == 0 {
		z.announce()
	}
	z.checkUsable()
	for n, node := range z.nodes {
		if z.now < node.pausedUntil {
			continue
		}
		node.table.Step(z.localTime(n), member.Tick{})
		if (i+n)%5 == 0 {
			z.sendRelays(n)
		}
	}
	at := z.drawInt("instance", instanceCount)
	switch z.drawInt("fault", 100) {
	case 45, 46:
		z.nodes[at].partitionedUntil = z.now + clock.Millis([]int{2000, 5000, 15000}[z.drawInt("cut", 3)])
	case 47, 48:
		z.nodes[at].pausedUntil = z.now + clock.Millis([]int{100, 1000, 5000, 20000}[z.drawInt("pause", 4)])
	case 53:
		z.restart(at)
	}
}

// Guards against outdated announcements that let an instance send new work to a leaving server.
// They come from relays that are delayed, duplicated or reordered, from buffers that are read
// after a pause, from restarts and from network partitions.
func TestNoNewWorkOnLeavingServer(t *testing.T) {
	usableCount, usableByRelayCount := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		z := &zone{t: t, leavesAt: clock.Millis(rapid.IntRange(2000, 15000).Draw(t, "leave"))}
		for i := range instanceCount {
			z.nodes = append(z.nodes, &node{
				drift: clock.Millis(rapid.IntRange(-20, 20).Draw(t, "drift")), offset: clock.Millis((i + 1) * 1_000_000),
			})
			z.restart(i)
		}
		for i := range 500 {
			z.step(i)
		}
		usableCount, usableByRelayCount = usableCount+z.usableCount, usableByRelayCount+z.usableByRelayCount
	})
	t.Logf("server usable %d times, %d of them by relays only", usableCount, usableByRelayCount)
	if usableCount < 1000 || usableByRelayCount < 100 {
		t.Fatal("server was usable too rarely to cover the property, want 1000 times and 100 by relays only")
	}
}

// Guards against a server that becomes eligible after one announcement, a leaving server that
// becomes eligible again under the same incarnation, and a loss of eligibility after fewer than
// three failed connections.
func TestEligibility(t *testing.T) {
	a := proto.ServerAnnouncement{Name: key.Name, Incarnation: key.Incarnation, Slots: 8, MaxConns: 64, State: proto.ServerServing}
	table := member.NewTable(0)
	announce := func(now clock.Millis, seq uint64, state proto.ServerState) bool {
		a.Seq, a.State = seq, state
		table.Step(now, member.AnnouncementReceived{Announce: a, Direct: true})
		return table.Usable(now, key)
	}
	failDial := func() bool {
		table.Step(20, member.DialEnded{Server: key})
		return table.Usable(20, key)
	}
	got := []bool{
		announce(0, 1, proto.ServerServing), announce(0, 1, proto.ServerServing), announce(10, 2, proto.ServerServing),
		failDial(), failDial(), failDial(),
		announce(20, 3, proto.ServerServing), announce(20, 4, proto.ServerServing),
		announce(30, 5, proto.ServerLeaving), announce(40, 6, proto.ServerServing), announce(50, 7, proto.ServerServing),
	}
	want := []bool{false, false, true, true, true, false, false, true, false, false, false}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("eligible %v, want %v", got, want)
		}
	}
}

// Guards against a relay that makes an old announcement look new: the sender kept it during a
// pause, or it echoes a clock reading of an earlier incarnation of the receiver.
func TestRelayAge(t *testing.T) {
	a := proto.ServerAnnouncement{Name: key.Name, Incarnation: key.Incarnation, Slots: 8, MaxConns: 64, State: proto.ServerServing, Seq: 1}
	sender, receiver := member.NewPeerClocks("s", 1), member.NewPeerClocks("r", 7)
	table, out := member.NewTable(0), member.NewOutbox()
	out.Add(0, table, member.AnnouncementReceived{Announce: a, Direct: true})
	sender.ReceiveRelay(4000, receiver.NewRelay(90_000, "s", nil))
	kept := sender.NewRelay(5000, "r", out.Take(5000))
	if got := receiver.ReceiveRelay(91_010, kept)[0].MaxAge; got < 5000 || got > 5500 {
		t.Errorf("age %v of an announcement that was kept for 5 s, want 5 s to 5.5 s", got)
	}
	restarted := member.NewPeerClocks("r", 8)
	out.Add(5000, table, member.AnnouncementReceived{Announce: a, Direct: true})
	if got := restarted.ReceiveRelay(91_010, sender.NewRelay(5000, "r", out.Take(5000)))[0].MaxAge; got < member.MaxAnnouncementAge {
		t.Errorf("age %v although the echo is from an earlier incarnation, want at least MaxAnnouncementAge", got)
	}
}

// Guards against requests for a former process of a server at the address of the next one, and against a live process that
// stays unused because a former one became known after it.
func TestLatestProcessAtAddressIsUsed(t *testing.T) {
	second := member.Key{Name: key.Name, Incarnation: 2}
	seqs := map[member.Key]uint64{}
	announce := func(table *member.Table, now clock.Millis, k member.Key) {
		seqs[k]++
		a := proto.ServerAnnouncement{Name: k.Name, Incarnation: k.Incarnation, Service: "s", Address: "10.0.0.1:80", Slots: 8, MaxConns: 64, State: proto.ServerServing, Seq: seqs[k]}
		table.Step(now, member.AnnouncementReceived{Announce: a, Direct: true})
	}
	table := member.NewTable(0)
	var got []string
	for i, k := range []member.Key{key, key, second, key, key, second, key} {
		now := clock.Millis(i+1) * 50
		announce(table, now, k)
		got = append(got, fmt.Sprint(table.Usable(now, key), table.Usable(now, second)))
	}
	want := []string{"false false", "true false", "false false", "false false", "false false", "false true", "false true"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("use of the former and the present process after each announcement (-want +got):\n%s", diff)
	}
	table = member.NewTable(0)
	announce(table, 50, second)
	announce(table, 100, second)
	announce(table, 150, key) // late, of the former process
	const interval = 500 * clock.Millisecond
	end := 150 + member.MaxAnnouncementAge + interval
	for now := clock.Millis(200); now <= end; now += 50 {
		table.Step(now, member.Tick{})
		if now%interval == 0 {
			announce(table, now, second)
		}
	}
	if !table.Usable(end, second) {
		t.Errorf("%s after a late announcement of the former process the present one is still not used", end-150)
	}
}
