package fleet

import (
	"fmt"
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/vbridged/peer"
)

// Guards against workers that send all announcements to the leader, or send them to a front or to a
// core that is not known to be alive.
func TestAnnounceAddress(t *testing.T) {
	self := peer.Address{Instance: "c0", HTTP: "c0:1"}
	d := newDirectory(self, peer.New(self, nil, nil, nil))
	if got := d.announceAddress(0, "w"); got != "" {
		t.Fatalf("announceAddress without other cores = %q, want none", got)
	}
	now := 10 * clock.Second
	for i, heard := range []clock.Millis{now, now - memberTimeout, now - memberTimeout - 1} {
		name := fmt.Sprintf("c%d", i+1)
		d.update(heard, Member{Address: peer.Address{Instance: model.Instance(name), HTTP: name + ":1"}, Core: true}, true)
	}
	d.update(now, Member{Address: peer.Address{Instance: "f1", HTTP: "f1:1"}}, true)
	d.update(now, Member{Address: peer.Address{Instance: "c9", HTTP: "c9:1"}, Core: true}, false) // known from others only
	count := map[string]int{}
	for i := range 400 {
		id := model.WorkerID(fmt.Sprintf("i-%d", i))
		addr := d.announceAddress(now, id)
		if again := d.announceAddress(now, id); again != addr {
			t.Fatalf("announceAddress of %s changes from %q to %q", id, addr, again)
		}
		count[addr]++
	}
	if len(count) != 2 || count["c1:1"] < 100 || count["c2:1"] < 100 {
		t.Fatalf("announcements per address = %v, want at least 100 each for c1 and c2 and none for others", count)
	}
}
