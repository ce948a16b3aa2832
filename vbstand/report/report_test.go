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

// Guards against figures that change without notice.
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

// Guards against a broken promise that leaves the status at 0 or is not named.
func TestBrokenPromiseIsNamed(t *testing.T) {
	names, err := filepath.Glob("../audit/testdata/*-*.jsonl")
	if err != nil || len(names) == 0 {
		t.Fatalf("no journals: %v", err)
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
		var broken *report.Broken
		promise, _, _ := strings.Cut(filepath.Base(name), "-")
		if !errors.As(err, &broken) || !strings.Contains(out.String(), "broken promise "+promise+": ") {
			t.Errorf("%s: error %v, output:\n%s", name, err, out.String())
		}
	}
}
