package model_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"vanillabridge/core/model"
)

// Guards against an owner that depends on the order in which an instance lists the zones. Two
// instances could then choose different owners and both run the same job.
func TestOwnerZoneIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		zones := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}-[a-c]`), 1, 8, rapid.ID).Draw(t, "zones")
		list := make([]model.Zone, len(zones))
		for i, z := range zones {
			list[i] = model.Zone(z)
		}
		want := model.OwnerZone(key, key, list)
		slices.Reverse(list)
		if got := model.OwnerZone(key, key, list); got != want {
			t.Fatalf("OwnerZone = %q, but %q with the zones reversed", want, got)
		}
	})
}

// Guards against an ignored zone prefix, and against an owner outside the allowed zones.
func TestOwnerZonePrefix(t *testing.T) {
	zones := []model.Zone{"east-a", "west-a"}
	if got := model.OwnerZone("k", "west-a:1", zones); got != "west-a" {
		t.Errorf("OwnerZone with a zone prefix = %q, want west-a", got)
	}
	if got := model.OwnerZone("k", "north-a:1", zones); got != "east-a" && got != "west-a" {
		t.Errorf("OwnerZone = %q, which is not one of the allowed zones", got)
	}
}

// Guards against an encoded form that loses the kind or a field of the work.
func TestEncodedWorkRoundTrip(t *testing.T) {
	base := model.Base{Name: "a", Team: "t", Zones: []model.Zone{"z"}, Count: 2}
	for _, w := range []model.Work{model.Service{Base: base}, model.Batch{Base: base, Run: "r"}, model.Gang{Base: base, Run: "r"}} {
		if diff := cmp.Diff(w, model.EncodeWork(w).Decode()); diff != "" {
			t.Errorf("EncodeWork(w).Decode() differs from w (-want +got):\n%s", diff)
		}
	}
}
