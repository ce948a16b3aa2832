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

var places = []spec.Place{
	{Zone: "east-a", Region: "east"},
	{Zone: "west-a", Region: "west"},
	{Zone: "north-a", Region: "north"},
}

// TestMain runs each property 1000 times, ten times the default, because they are cheap.
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

// Guards against careless input that is accepted in silence, and against a message without
// section, key and limit.
func TestCheckGolden(t *testing.T) {
	files, _ := filepath.Glob("testdata/check/*.ini")
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			cell, notes, err := parseFile(t, file).Check(places)
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

// Guards against a parser that misreads the example of the design page.
func TestExample(t *testing.T) {
	cell, _, err := parseFile(t, "testdata/check/example.ini").Check(places)
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
	if cell.Version() != 7 || cell.Base() != 6 {
		t.Errorf("version %d replaces %d, want 7 and 6", cell.Version(), cell.Base())
	}
}

// Guards against a difference that hides a change, or shows another form of the same value.
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
		t.Errorf("difference of 60s and one minute:\n%s", diff)
	}
}

// Guards against text that exhausts memory or reaches the library before it is bounded.
func TestParseLimits(t *testing.T) {
	for name, text := range map[string]string{
		"text":     strings.Repeat("; x\n", spec.MaxText/4+1),
		"line":     "[team " + strings.Repeat("a", spec.MaxLine) + "]\n",
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

// Guards against a name or a value that adds sections to the printed text.
func TestPrintRefusesInjection(t *testing.T) {
	for _, name := range []string{"a]\n[team b", "a b", "a;b", `"a"`, "a]", "a#b"} {
		if text, err := spec.New(1).WithTeam(spec.Team{Name: model.Team(name)}).Text(); !errors.Is(err, fault.ErrInvalid) {
			t.Errorf("team %q printed as %q, error %v, want ErrInvalid", name, text, err)
		}
	}
}

// Guards against two documents that share memory after they were made from one.
func TestWithKeepsTheOriginal(t *testing.T) {
	base := spec.New(1).WithTeam(spec.Team{Name: "a"}).WithTeam(spec.Team{Name: "b"})
	left, right := base.WithTeam(spec.Team{Name: "left"}), base.WithTeam(spec.Team{Name: "right"})
	if diff := spec.Diff(left, right); diff != "- [team left]\n+ [team right]\n" || spec.Diff(base, left) != "+ [team left]\n" {
		t.Errorf("difference of two documents from one base:\n%s", diff)
	}
	if gone := right.Without(spec.KindTeam, "right"); !gone.Equal(base) || spec.Diff(left, right) == "" {
		t.Errorf("a document without the added team is not its base:\n%s", spec.Diff(base, gone))
	}
}
