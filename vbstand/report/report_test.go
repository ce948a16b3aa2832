package report_test

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"vanillabridge/vbstand/report"
)

var update = flag.Bool("update", false, "write the golden file")

// Guards against unintended changes of the report, by comparing it with the golden file.
func TestReportOfCleanJournal(t *testing.T) {
	var out bytes.Buffer
	if err := report.Print(&out, "testdata"); err != nil {
		t.Fatal(err)
	}
	golden := filepath.Join("testdata", "report.golden")
	if *update {
		if err := os.WriteFile(golden, out.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), out.String()); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
}

// Guards against a violation for which Print returns no error or does not name the guarantee.
func TestViolatedGuaranteeIsNamed(t *testing.T) {
	names, err := filepath.Glob("../audit/testdata/*-*.jsonl")
	if err != nil || len(names) == 0 {
		t.Fatalf("found no journals with violations (error: %v)", err)
	}
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "j.jsonl"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		err = report.Print(&out, dir)
		var violationsErr *report.ViolationsError
		guarantee, _, _ := strings.Cut(filepath.Base(name), "-")
		if !errors.As(err, &violationsErr) || !strings.Contains(out.String(), "broken promise "+guarantee+": ") {
			t.Errorf("%s: got error %v, want a ViolationsError and a line naming the guarantee; output:\n%s", name, err, out.String())
		}
	}
}
