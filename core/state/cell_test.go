package state_test

import (
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/state"
)

// Guards against two winners among equal versions, against a resend that is accepted twice,
// and against a version that goes back; with a snapshot and restore at any point.
func TestCellOneWinner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cell := state.NewCell()
		winners := map[uint64]string{} // base version: document
		answers := map[string]uint64{} // key: version
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			version, _ := cell.Config()
			key := rapid.SampledFrom([]string{"", "k", "l", "m"}).Draw(t, "key")
			s := state.Submit{
				Key:      key,
				Base:     rapid.Uint64Range(0, version+1).Draw(t, "base"),
				Document: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "document"),
			}
			got := cell.Apply(s)
			checkSubmit(t, s, got, version, winners, answers)
			if after, _ := cell.Config(); after < version {
				t.Fatalf("version went from %d back to %d", version, after)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				cell = restoredCell(t, cell)
			}
		}
	})
}

func checkSubmit(t *rapid.T, s state.Submit, got state.SubmitResult, version uint64, winners map[uint64]string, answers map[string]uint64) {
	if !got.Accepted {
		return
	}
	if first, ok := answers[s.Key]; ok && s.Key != "" {
		if got.Version != first {
			t.Fatalf("a resend of key %q got version %d, the first answer was %d", s.Key, got.Version, first)
		}
		return
	}
	if s.Base != version || got.Version != version+1 {
		t.Fatalf("a document based on %d became version %d while %d was in force", s.Base, got.Version, version)
	}
	if _, ok := winners[s.Base]; ok {
		t.Fatalf("two documents based on version %d were accepted", s.Base)
	}
	winners[s.Base] = s.Document
	answers[s.Key] = got.Version
}

func restoredCell(t *rapid.T, cell *state.Cell) *state.Cell {
	data, err := cell.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fresh := state.NewCell()
	if err := fresh.Restore(data); err != nil {
		t.Fatal(err)
	}
	return fresh
}
