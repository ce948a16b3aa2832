package audit_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"vanillabridge/vbstand/audit"
	"vanillabridge/vbstand/record"
)

// Guards against a check that misses a broken promise or reports an unbroken one. The name
// of each journal says which promise it breaks.
func TestJournals(t *testing.T) {
	names, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(names) < 20 {
		t.Fatalf("%d journals, %v", len(names), err)
	}
	covered := map[audit.Promise]bool{}
	for _, name := range names {
		want, _, broken := strings.Cut(strings.TrimSuffix(filepath.Base(name), ".jsonl"), "-")
		got := audit.Check(read(t, name)).Violations
		switch {
		case !broken && len(got) > 0:
			t.Errorf("%s: %v, want no violation", name, got)
		case broken && (len(got) != 1 || string(got[0].Promise) != want):
			t.Errorf("%s: %v, want one violation of %s", name, got, want)
		case broken:
			covered[got[0].Promise] = true
		}
	}
	for _, p := range audit.Promises() {
		if !covered[p] {
			t.Errorf("no journal breaks %s", p)
		}
	}
}

// Guards against a check that counts nothing, so that a test without violations proves nothing.
func TestCleanJournalIsCounted(t *testing.T) {
	r := audit.Check(read(t, "testdata/clean.jsonl"))
	for _, p := range audit.Promises() {
		if r.Checked[p] == 0 {
			t.Errorf("%s: nothing checked", p)
		}
	}
}

func read(t *testing.T, name string) []record.Line {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "j.jsonl"), data, 0o600); err != nil {
		t.Fatal(err)
	}
	lines, err := record.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}
