package audit_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"vanillabridge/vbstand/audit"
	"vanillabridge/vbstand/record"
)

// Guards against a check that misses a violation or reports a false one. A journal named
// PROMISE-*.jsonl holds exactly one violation of that guarantee; the others hold none.
func TestJournals(t *testing.T) {
	names, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(names) < 20 {
		t.Fatalf("found %d journals in testdata, want at least 20 (error: %v)", len(names), err)
	}
	covered := map[audit.Guarantee]bool{}
	for _, name := range names {
		want, _, wantViolation := strings.Cut(strings.TrimSuffix(filepath.Base(name), ".jsonl"), "-")
		got := audit.Check(readJournal(t, name)).Violations
		switch {
		case !wantViolation && len(got) > 0:
			t.Errorf("%s: got violations %v, want none", name, got)
		case wantViolation && (len(got) != 1 || string(got[0].Guarantee) != want):
			t.Errorf("%s: got violations %v, want exactly one of %s", name, got, want)
		case wantViolation:
			covered[got[0].Guarantee] = true
		}
	}
	for _, g := range audit.Guarantees() {
		if !covered[g] {
			t.Errorf("no journal in testdata violates %s", g)
		}
	}
}

// Guards against a check that examines no case of a guarantee and therefore passes vacuously.
func TestCleanJournalIsCounted(t *testing.T) {
	r := audit.Check(readJournal(t, "testdata/clean.jsonl"))
	for _, g := range audit.Guarantees() {
		if r.Checked[g] == 0 {
			t.Errorf("%s: no case was checked", g)
		}
	}
}

func readJournal(t *testing.T, name string) []record.Line {
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
