package spec_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/spec"
)

func nameGenerator() *rapid.Generator[string] {
	return rapid.OneOf(rapid.SampledFrom([]string{"a", "b", "web"}), rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9._-]{0,9}`), rapid.String())
}

func drawSize(t *rapid.T) model.Size {
	n := rapid.OneOf(rapid.Int64Range(-2, 20_000), rapid.Int64())
	return model.Size{
		CPU: model.Millicores(n.Draw(t, "cpu")), Memory: model.Mebibytes(n.Draw(t, "memory")),
		Accel: model.Accelerators(n.Draw(t, "accel")),
	}
}

func drawBase(t *rapid.T) model.Base {
	zones := rapid.SliceOfN(rapid.SampledFrom([]model.Zone{"east-a", "west-a", "mars-a"}), 0, 4)
	return model.Base{
		Name: nameGenerator().Draw(t, "name"), Team: model.Team(nameGenerator().Draw(t, "team")), Zones: zones.Draw(t, "zones"),
		Size: drawSize(t), Urgency: rapid.SampledFrom([]model.Urgency{model.Low, model.Normal, model.Urgent}).Draw(t, "urgency"),
		Count: rapid.IntRange(-1, 200_000).Draw(t, "count"),
	}
}

func drawDocument(t *rapid.T) spec.Document {
	d := spec.New(rapid.Uint64().Draw(t, "version"))
	millis := rapid.Int64Range(-1, 1_000_000)
	for range rapid.IntRange(0, 6).Draw(t, "sections") {
		base, time := drawBase(t), clock.Millis(millis.Draw(t, "time"))
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			d = d.WithTeam(spec.Team{Name: base.Team, Quota: base.Size, Floor: base.Count})
		case 1:
			d = d.WithService(model.Service{Base: base})
		case 2:
			d = d.WithBatch(model.Batch{Base: base, Run: nameGenerator().Draw(t, "run"), Time: time, Checkpoint: time%2 == 0})
		case 3:
			d = d.WithGang(model.Gang{Base: base, Run: nameGenerator().Draw(t, "run"), Time: time})
		case 4:
			d = d.WithRoute(spec.Route{Service: base.Name, Deadline: time, Queue: base.Count, Attempts: base.Count})
		default:
			d = d.WithCaller(spec.Caller{Name: model.Caller(base.Name), Share: base.Count, Class: base.Urgency})
		}
	}
	return d
}

// Guards against a value that Print writes in a form that Parse reads as another value.
func TestPrintThenParse(t *testing.T) {
	printed := 0
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		text, err := d.Text()
		if err != nil {
			return
		}
		printed++
		reparsed, err := spec.Parse(text)
		if err != nil {
			t.Fatalf("parse: %v\n%s", err, text)
		}
		if diff := spec.Diff(d, reparsed); diff != "" || !d.Equal(reparsed) {
			t.Fatalf("printed document differs after parsing:\n%s", diff)
		}
		checkInvariants(t, reparsed)
	})
	if printed == 0 {
		t.Error("no generated document could be printed, so the property was not checked")
	}
}

// invalidOrUnusualValues are values as operators' scripts may produce them.
var invalidOrUnusualValues = []string{
	"", "0", "1", "-1", "5", "1000m", "512Mi", "512", "0m", "1e3", "99999999999999999999", "20%", "101%", "5s", "10ms", "11s",
	"true", "yes", "urgent", "a", "b", "east-a", "east-a, west-a", "east-a,,", "x", "1h", "169h",
}

// Guards against a Check that panics, or that accepts values outside the documented limits, when
// lines of a valid document are removed or get other values.
func TestCheckMutatedDocuments(t *testing.T) {
	text, err := os.ReadFile("testdata/check/example.ini")
	if err != nil {
		t.Fatal(err)
	}
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		lines := strings.Split(string(text), "\n")
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			i := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
			head, _, ok := strings.Cut(lines[i], "=")
			switch {
			case !ok || rapid.Bool().Draw(t, "remove"):
				lines[i] = ""
			default:
				lines[i] = head + "= " + rapid.SampledFrom(invalidOrUnusualValues).Draw(t, "value")
			}
		}
		d, err := spec.Parse(strings.Join(lines, "\n"))
		if err != nil {
			t.Fatalf("parse: %v", err)
		}
		if checkInvariants(t, d) {
			accepted++
		} else {
			refused++
		}
	})
	if accepted == 0 || refused == 0 {
		t.Errorf("%d documents accepted and %d refused; the property needs at least one of each", accepted, refused)
	}
}

type fataler interface{ Fatalf(string, ...any) }

// checkInvariants checks the document and reports whether it was accepted. An accepted document
// must keep every documented limit.
func checkInvariants(t fataler, d spec.Document) bool {
	cell, _, err := d.Check(knownZones)
	if err != nil {
		if len(err.Error()) == 0 {
			t.Fatalf("document refused with an empty error message")
		}
		return false
	}
	floors := 0
	for _, team := range cell.Teams() {
		floors += team.Floor
		if team.Quota.CPU < 1 || team.Quota.Memory < 1 || team.Floor < 0 {
			t.Fatalf("accepted team is outside the limits: %+v", team)
		}
	}
	if floors > 100 {
		t.Fatalf("sum of accepted floors is %d%%, limit 100%%", floors)
	}
	for _, w := range cell.Work() {
		checkWorkInvariants(t, cell, w)
	}
	for _, r := range cell.Routes() {
		if r.Deadline < 10 || r.Deadline > spec.MaxDeadline || r.Queue < 1 || r.Attempts < 1 ||
			r.Attempts > spec.MaxAttempts || r.Budget < 1 || r.Budget > spec.MaxRetryBudgetPercent || r.Backoff < 5 {
			t.Fatalf("accepted route is outside the limits: %+v", r)
		}
	}
	rechecked, notes, err := cell.Document().Check(knownZones)
	if err != nil || !rechecked.Document().Equal(cell.Document()) {
		t.Fatalf("accepted configuration is refused or changed by a second check: %v", err)
	}
	for _, n := range notes {
		if strings.Contains(n.Text, "is missing") {
			t.Fatalf("accepted configuration has a missing default: %v", n)
		}
	}
	return true
}

func checkWorkInvariants(t fataler, cell spec.Cell, w model.Work) {
	b := w.Common()
	team, ok := cell.FindTeam(b.Team)
	if !ok || !b.Size.FitsIn(team.Quota) || b.Size.CPU < 1 || b.Size.CPU > 1_024_000 || b.Size.Memory < 1 ||
		b.Size.Memory > 16<<20 || b.Size.Accel < 0 || b.Size.Accel > 64 || b.Count < 1 || b.Count > spec.MaxTasksPerWork || len(b.Zones) == 0 {
		t.Fatalf("accepted work is outside the limits: %+v", w)
	}
	for _, z := range b.Zones {
		if z == "mars-a" {
			t.Fatalf("accepted work has an unknown zone: %+v", w)
		}
	}
	var run string
	var time clock.Millis
	switch w := w.(type) {
	case model.Service:
		return
	case model.Batch:
		run, time = w.Run, w.Time
	case model.Gang:
		run, time = w.Run, w.Time
		if b.Count > spec.MaxGangTasks || !b.Size.Times(int64(b.Count)).FitsIn(team.Quota) {
			t.Fatalf("accepted gang is outside the limits: %+v", w)
		}
	}
	if run == "" || strings.ContainsAny(run, "/#") || time < clock.Second || time > 7*24*clock.Hour {
		t.Fatalf("accepted run label or time is outside the limits: %+v", w)
	}
}

// Guards against untrusted text on which Parse or Check panics, or that changes when it is printed
// and parsed again.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/check/*.ini")
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, err := spec.Parse(text)
		if err != nil {
			return
		}
		_, _, _ = d.Check(nil)
		checkInvariants(t, d)
		printed, err := d.Text()
		if err != nil {
			return
		}
		reparsed, err := spec.Parse(printed)
		if err != nil || !reparsed.Equal(d) {
			t.Fatalf("%v: printed document differs after parsing:\n%s\n%q", err, spec.Diff(d, reparsed), printed)
		}
	})
}
