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

func testHolder(now, usableFrom clock.Millis) *permit.Holder {
	h := permit.NewHolder(permit.HolderConfig{Instance: "a0", Incarnation: 1, Zone: "a", ZoneEntryCount: 3, EntryCount: 8, UsableFrom: usableFrom})
	h.AddServer(now, key, "a", slots, 64)
	return h
}

func newAnswer(epoch, seq uint64, credits int) permit.Answer {
	return permit.Answer{
		Epoch: model.Epoch(epoch), Seq: seq,
		Grants: []permit.Grant{{Server: key, Credits: credits, Lifetime: permit.CreditLifetime}},
	}
}

// Guards against a holder that applies an outdated answer or one of an earlier epoch, that counts a
// credit's lifetime from the receipt of the answer, or that uses floors or connections too soon after
// a restart, while requests of its previous incarnation may still run.
func TestHolderIgnoresOutdatedAnswers(t *testing.T) {
	h := testHolder(0, 0)
	for range 3 {
		h.Renew(0, "a", nil)
	}
	if !h.Apply(1900, "a", newAnswer(2, 2, 2)) || h.Free(1900, key) != 4 {
		t.Errorf("Free = %d, want 4: the floor of 2 and 2 credits", h.Free(1900, key))
	}
	if h.Apply(1900, "a", newAnswer(2, 1, 6)) || h.Apply(1900, "a", newAnswer(1, 3, 6)) {
		t.Error("outdated answer or answer of an earlier epoch was applied")
	}
	if got := h.Free(permit.CreditLifetime, key); got != 2 {
		t.Errorf("Free = %d after the credit expired, counted from its request, want the floor of 2", got)
	}
	r := testHolder(0, 100)
	if r.Free(99, key) != 0 || r.AcquireConn(99, key) || r.Free(100, key) != 2 || !r.AcquireConn(100, key) {
		t.Error("floor or connections usable before UsableFrom, or not usable at it")
	}
}

// Guards against a granter that answers after its lease has ended, grants credits while those of an
// earlier epoch are valid, or relies on a server's request count from before they expired.
func TestGranterStart(t *testing.T) {
	const start = 1000
	servers := func(now clock.Millis, active int) []member.Server {
		return []member.Server{{Key: key, Slots: slots, MaxConns: 64, Eligible: true, AnnouncedAt: now, ActiveRequests: &active}}
	}
	renew := func(g *permit.Granter, now clock.Millis, seq uint64, active int) int {
		r := permit.Request{Instance: "a0", Incarnation: 1, EntryCount: localCount, Seq: seq, Uses: []permit.ServerUse{{Server: key, Wanted: 8}}}
		a, err := g.Renew(now, r, servers(now, active))
		if err != nil {
			t.Fatal(err)
		}
		if len(a.Grants) == 0 {
			return 0
		}
		return a.Grants[0].Credits
	}
	g := permit.NewGranter("a", localCount)
	g.Lead(start, 1, start+20_000)
	priorGrantsEnd := start + permit.WithDrift(permit.CreditLifetime)
	got := []int{
		renew(g, start+1, 1, 0), renew(g, priorGrantsEnd-1, 2, 0), renew(g, priorGrantsEnd+1, 3, 0),
		renew(g, priorGrantsEnd+2100, 4, 1), renew(g, priorGrantsEnd+2200, 5, 0),
	}
	want := []int{0, 0, 0, 1, 2}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("granted credits %v, want %v", got, want)
		}
	}
	renewal := permit.Request{Instance: "a0", Incarnation: 1, EntryCount: localCount, Seq: 9}
	if _, err := g.Renew(start+20_000, renewal, servers(start+20_000, 0)); !errors.Is(err, fault.ErrNotLeader) {
		t.Errorf("renewal after the end of the lease: got error %v, want ErrNotLeader", err)
	}
	g.Lead(start+20_000, 1, start+40_000)
	renewal.EntryCount = localCount + 1
	if _, err := g.Renew(start+20_001, renewal, nil); !errors.Is(err, fault.ErrInvalid) {
		t.Errorf("renewal with another number of entry instances: got error %v, want ErrInvalid", err)
	}
	// Without a count from the server, the pool stays held for the maximum time of a request.
	g.Lead(start, 2, start+40_000)
	heldSlots := func(now clock.Millis) int { return g.HeldSlots(now, member.Server{Key: key, Slots: slots}) }
	if end := priorGrantsEnd + permit.WithDrift(permit.MaxRequestTime); heldSlots(end-1) != 2 || heldSlots(end) != 0 {
		t.Errorf("held slots: %d just before the inherited requests must have ended, then %d; want 2, then 0", heldSlots(end-1), heldSlots(end))
	}
}
