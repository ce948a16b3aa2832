package fleet

import (
	"fmt"
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/vbridged/peer"
)

// Guards against announcements that all reach the leader, or go to a core that is gone or to a front.
func TestDeskOfAnnouncements(t *testing.T) {
	self := peer.Address{Instance: "c0", HTTP: "c0:1"}
	r := newRoster(self, peer.New(self, nil, nil, nil))
	if got := r.deskOf(0, "w"); got != "" {
		t.Fatalf("desk without other cores = %q", got)
	}
	now := 10 * clock.Second
	for i, heard := range []clock.Millis{now, now - goneAfter, now - goneAfter - 1} {
		name := fmt.Sprintf("c%d", i+1)
		r.learn(heard, Member{Address: peer.Address{Instance: model.Instance(name), HTTP: name + ":1"}, Core: true}, true)
	}
	r.learn(now, Member{Address: peer.Address{Instance: "f1", HTTP: "f1:1"}}, true)
	r.learn(now, Member{Address: peer.Address{Instance: "c9", HTTP: "c9:1"}, Core: true}, false) // only heard of
	count := map[string]int{}
	for i := range 400 {
		id := model.WorkerID(fmt.Sprintf("i-%d", i))
		at := r.deskOf(now, id)
		if again := r.deskOf(now, id); again != at {
			t.Fatalf("desk of %s changes from %q to %q", id, at, again)
		}
		count[at]++
	}
	if len(count) != 2 || count["c1:1"] < 100 || count["c2:1"] < 100 {
		t.Fatalf("desks = %v, want a fair share for c1 and c2 only", count)
	}
}
