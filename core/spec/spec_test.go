package spec_test

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"vanillabridge/core/fault"
	"vanillabridge/core/golden"
	"vanillabridge/core/model"
	"vanillabridge/core/spec"
)

var knownZones = []spec.KnownZone{
	{Zone: "east-a", Region: "east"},
	{Zone: "west-a", Region: "west"},
	{Zone: "north-a", Region: "north"},
}

// TestMain raises the number of rapid checks from 100 to 1000, because the properties run fast.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "1000") // before Parse, so that the command line takes precedence
	flag.Parse()
	os.Exit(m.Run())
}

func parseFile(t *testing.T, file string) spec.Document {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	d, err := spec.Parse(string(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against invalid input that is accepted without a message, and against messages that do
// not name the section, the key and the limit.
func TestCheckGolden(t *testing.T) {
	files, _ := filepath.Glob("testdata/check/*.ini")
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			cell, notes, err := parseFile(t, file).Check(knownZones)
			var out strings.Builder
			if err != nil {
				out.WriteString("refused\n" + err.Error() + "\n")
				if !errors.Is(err, fault.ErrInvalid) {
					t.Errorf("errors.Is(%v, ErrInvalid) = false", err)
				}
			}
			out.WriteString("\nnotes\n")
			for _, n := range notes {
				out.WriteString(n.String() + "\n")
			}
			if err == nil {
				text, err := cell.Document().Text()
				if err != nil {
					t.Fatal(err)
				}
				out.WriteString("\naccepted\n" + text)
			}
			golden.Check(t, strings.TrimSuffix(file, ".ini")+".golden", out.String())
		})
	}
}

// Guards against a parser that reads wrong values from the example of the design page.
func TestExample(t *testing.T) {
	cell, _, err := parseFile(t, "testdata/check/example.ini").Check(knownZones)
	if err != nil {
		t.Fatal(err)
	}
	work, _ := cell.FindWork("report")
	want := model.Batch{
		Base: model.Base{
			Name: "report", Team: "alpha", Zones: []model.Zone{"east-a"},
			Size: model.Size{CPU: 500, Memory: 256}, Urgency: model.Normal, Count: 100,
		},
		Run: "2026-12-04", Time: 60_000, Checkpoint: true,
	}
	if diff := cmp.Diff(model.Work(want), work); diff != "" {
		t.Errorf("batch report (-want +got):\n%s", diff)
	}
	if cell.Version() != 7 || cell.BaseVersion() != 6 {
		t.Errorf("version %d replaces %d, want 7 and 6", cell.Version(), cell.BaseVersion())
	}
}

// Guards against a diff that omits a change, or reports a change between two forms of one value.
func TestDiffGolden(t *testing.T) {
	old := parseFile(t, "testdata/check/example.ini")
	changed := old.WithVersion(8).Without(spec.KindGang, "train").Without(spec.KindCaller, "portal").
		WithCaller(spec.Caller{Name: "portal", Share: 4, Class: model.Urgent}).
		WithTeam(spec.Team{Name: "beta", Quota: model.Size{CPU: 1000, Memory: 1024}})
	golden.Check(t, "testdata/diff.golden", spec.Diff(old, changed))
	same, err := spec.Parse("[batch a]\ntime = 60s\n")
	if err != nil {
		t.Fatal(err)
	}
	if diff := spec.Diff(same, spec.Document{}.WithBatch(model.Batch{Base: model.Base{Name: "a"}, Time: 60_000})); diff != "~ [batch a] urgency: (none) -> low\n" {
		t.Errorf("diff of 60s and 1m has changes other than urgency:\n%s", diff)
	}
}

// Guards against oversized or binary text that reaches the INI library, where it could exhaust
// memory.
func TestParseLimits(t *testing.T) {
	for name, text := range map[string]string{
		"text":     strings.Repeat("; x\n", spec.MaxTextBytes/4+1),
		"line":     "[team " + strings.Repeat("a", spec.MaxLineBytes) + "]\n",
		"sections": strings.Repeat("[a]\n", spec.MaxSections+1),
		"lines":    "[team a]\n" + strings.Repeat("cpu = 1m\n", 1001),
	} {
		if _, err := spec.Parse(text); !errors.Is(err, fault.ErrTooLarge) {
			t.Errorf("%s: error %v, want ErrTooLarge", name, err)
		}
	}
	for _, text := range []string{"\n[team a\n", "\nno delimiter\n", "[a]\nb = \x00\n", "[a]\n\ufeff[b]\n"} {
		if _, err := spec.Parse(text); !errors.Is(err, fault.ErrInvalid) || !strings.HasPrefix(err.Error(), "line 2: ") {
			t.Errorf("%q: error %v, want ErrInvalid at line 2", text, err)
		}
	}
	if d, err := spec.Parse("[cell]\r\nversion = 3\r\n"); err != nil || d.Version() != 3 {
		t.Errorf("text with carriage returns: version %d, error %v", d.Version(), err)
	}
}

// Guards against a name that injects sections into the printed text.
func TestPrintRefusesInjection(t *testing.T) {
	for _, name := range []string{"a]\n[team b", "a b", "a;b", `"a"`, "a]", "a#b"} {
		if text, err := spec.New(1).WithTeam(spec.Team{Name: model.Team(name)}).Text(); !errors.Is(err, fault.ErrInvalid) {
			t.Errorf("team %q printed as %q, error %v, want ErrInvalid", name, text, err)
		}
	}
}

// Guards against documents that overwrite each other's sections because they share the slice of
// the document from which they were derived.
func TestWithDoesNotModifyOriginal(t *testing.T) {
	base := spec.New(1).WithTeam(spec.Team{Name: "a"}).WithTeam(spec.Team{Name: "b"})
	left, right := base.WithTeam(spec.Team{Name: "left"}), base.WithTeam(spec.Team{Name: "right"})
	if diff := spec.Diff(left, right); diff != "- [team left]\n+ [team right]\n" || spec.Diff(base, left) != "+ [team left]\n" {
		t.Errorf("diff of two documents derived from one base:\n%s", diff)
	}
	if without := right.Without(spec.KindTeam, "right"); !without.Equal(base) || spec.Diff(left, right) == "" {
		t.Errorf("document differs from its base after the added team was removed:\n%s", spec.Diff(base, without))
	}
}
