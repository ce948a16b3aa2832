package tombs_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/tombs"
)

// Guards against a set that differs from a plain list of the newest tombstones: one that is renewed keeps its old place,
// one too many or too few is dropped or pruned, or the order is lost when the set is stored.
func TestSetIsListOfNewest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set, now := tombs.New(), clock.Millis(0)
		var want []tombs.Entry
		for range rapid.IntRange(1, 60).Draw(rt, "calls") {
			now = max(1, now+clock.Millis(rapid.IntRange(-3, 6).Draw(rt, "passes")))
			switch rapid.IntRange(0, 4).Draw(rt, "call") {
			case 0:
				before := now - clock.Millis(rapid.IntRange(0, 20).Draw(rt, "age"))
				set.Prune(before)
				want = slices.DeleteFunc(want, func(e tombs.Entry) bool { return e.At < before })
			case 1:
				set = tombs.New(set.Entries()...)
			default:
				k, limit := tombs.KeyOf(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(rt, "name")), rapid.IntRange(1, 4).Draw(rt, "limit")
				before := slices.Clone(want)
				want = slices.DeleteFunc(want, func(e tombs.Entry) bool { return e.Key == k })
				at := now
				if n := len(before); n > 0 {
					at = max(at, before[n-1].At) // the clock of the next leader may be behind
				}
				want = append(want, tombs.Entry{Key: k, At: at})
				surplus := max(0, len(want)-limit)
				want = want[surplus:]
				if got := set.Record(k, now, limit); got != surplus {
					rt.Fatalf("Record has dropped %d, want %d", got, surplus)
				}
			}
			if diff := cmp.Diff(want, set.Entries(), cmpopts.IgnoreUnexported(tombs.Entry{}), cmpopts.EquateEmpty()); diff != "" || set.Len() != len(want) {
				rt.Fatalf("%d tombstones (-want +got):\n%s", set.Len(), diff)
			}
			for _, e := range want {
				if at, ok := set.Find(e.Key); !ok || at != e.At {
					rt.Fatalf("Find = %d, %t, want %d", at, ok, e.At)
				}
			}
		}
	})
}
