package state_test

import (
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/state"
)

// Guards against accepting two documents based on the same version, against accepting a resend
// as a new version, and against a version that decreases. A snapshot and restore happens at
// random points.
func TestCellAcceptsOneDocumentPerVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cell := state.NewCell()
		acceptedByBase := map[uint64]string{} // base version: document
		versionByKey := map[string]uint64{}   // key: version
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			version, _ := cell.Config()
			key := rapid.SampledFrom([]string{"", "k", "l", "m"}).Draw(t, "key")
			s := state.Submit{
				Key:         key,
				BaseVersion: rapid.Uint64Range(0, version+1).Draw(t, "base"),
				Document:    rapid.SampledFrom([]string{"x", "y"}).Draw(t, "document"),
			}
			got := cell.Apply(s)
			checkSubmitResult(t, s, got, version, acceptedByBase, versionByKey)
			if after, _ := cell.Config(); after < version {
				t.Fatalf("version decreased from %d to %d", version, after)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				cell = restoreCell(t, cell)
			}
		}
	})
}

func checkSubmitResult(t *rapid.T, s state.Submit, got state.SubmitResult, version uint64, acceptedByBase map[uint64]string, versionByKey map[string]uint64) {
	if !got.Accepted {
		return
	}
	if first, ok := versionByKey[s.Key]; ok && s.Key != "" {
		if got.Version != first {
			t.Fatalf("resend with key %q got version %d, the first result was %d", s.Key, got.Version, first)
		}
		return
	}
	if s.BaseVersion != version || got.Version != version+1 {
		t.Fatalf("document based on version %d became version %d while version %d was in force", s.BaseVersion, got.Version, version)
	}
	if _, ok := acceptedByBase[s.BaseVersion]; ok {
		t.Fatalf("two documents based on version %d were accepted", s.BaseVersion)
	}
	acceptedByBase[s.BaseVersion] = s.Document
	versionByKey[s.Key] = got.Version
}

func restoreCell(t *rapid.T, cell *state.Cell) *state.Cell {
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
