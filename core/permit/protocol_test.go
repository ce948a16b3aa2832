package permit_test

import (
	"errors"
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/permit"
)

func testHolder(now, floorFrom clock.Millis) *permit.Holder {
	h := permit.NewHolder(permit.Limits{Instance: "a0", Incarnation: 1, Zone: "a", ZoneEntries: 3, Entries: 8, FloorFrom: floorFrom})
	h.Offer(now, key, "a", slots, 64)
	return h
}

func answer(epoch, seq uint64, credits int) permit.Answer {
	return permit.Answer{
		Epoch: model.Epoch(epoch), Seq: seq,
		Grants: []permit.Grant{{Server: key, Credits: credits, Life: permit.GrantTime}},
	}
}

// Guards against a holder that takes an overtaken answer, one of an older epoch, or counts a
// credit from the receipt of the answer, and against use right after a restart.
func TestHolderAnswers(t *testing.T) {
	h := testHolder(0, 0)
	for range 3 {
		h.Renew(0, "a", nil)
	}
	if !h.Apply(1900, "a", answer(2, 2, 2)) || h.Free(1900, key) != 4 {
		t.Errorf("free %d, want the floor of 2 and 2 credits", h.Free(1900, key))
	}
	if h.Apply(1900, "a", answer(2, 1, 6)) || h.Apply(1900, "a", answer(1, 3, 6)) {
		t.Error("an overtaken answer or one of an older epoch was applied")
	}
	if got := h.Free(permit.GrantTime, key); got != 2 {
		t.Errorf("free %d after the life of the credit, counted from its request", got)
	}
	r := testHolder(0, 100)
	if r.Free(99, key) != 0 || r.Connect(99, key) || r.Free(100, key) != 2 || !r.Connect(100, key) {
		t.Error("floor or connections are used too early or not at all")
	}
}

// Guards against a granter that answers after its lease, grants while credits of an earlier
// epoch are in force, or trusts a count made before they ended.
func TestGranterStart(t *testing.T) {
	const start = 1000
	list := func(now clock.Millis, active int) []member.Server {
		return []member.Server{{Key: key, Slots: slots, Conns: 64, Eligible: true, Evidence: now, Active: &active}}
	}
	renew := func(g *permit.Granter, now clock.Millis, seq uint64, active int) int {
		r := permit.Request{Instance: "a0", Incarnation: 1, Entries: locals, Seq: seq, Uses: []permit.Use{{Server: key, Want: 8}}}
		a, err := g.Renew(now, r, list(now, active))
		if err != nil {
			t.Fatal(err)
		}
		if len(a.Grants) == 0 {
			return 0
		}
		return a.Grants[0].Credits
	}
	g := permit.NewGranter("a", locals)
	g.Lead(start, 1, start+20_000)
	oldEnd := start + permit.WithDrift(permit.GrantTime)
	got := []int{
		renew(g, start+1, 1, 0), renew(g, oldEnd-1, 2, 0), renew(g, oldEnd+1, 3, 0),
		renew(g, oldEnd+2100, 4, 1), renew(g, oldEnd+2200, 5, 0),
	}
	want := []int{0, 0, 0, 1, 2}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("granted %v, want %v", got, want)
		}
	}
	late := permit.Request{Instance: "a0", Incarnation: 1, Entries: locals, Seq: 9}
	if _, err := g.Renew(start+20_000, late, list(start+20_000, 0)); !errors.Is(err, fault.ErrNotLeader) {
		t.Errorf("after the lease: %v", err)
	}
	g.Lead(start+20_000, 1, start+40_000)
	late.Entries = locals + 1
	if _, err := g.Renew(start+20_001, late, nil); !errors.Is(err, fault.ErrInvalid) {
		t.Errorf("another number of entry instances: %v", err)
	}
	// Without a count the pool stays held for the longest time of a request.
	g.Lead(start, 2, start+40_000)
	none := func(now clock.Millis) int { return g.Held(now, member.Server{Key: key, Slots: slots}) }
	if end := oldEnd + permit.WithDrift(permit.RequestTime); none(end-1) != 2 || none(end) != 0 {
		t.Errorf("held %d, then %d", none(end-1), none(end))
	}
}
