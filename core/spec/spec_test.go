package spec_test

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"vanillabridge/core/model"
	"vanillabridge/core/spec"
)

var places = []spec.Place{
	{Zone: "east-a", Region: "east"},
	{Zone: "west-a", Region: "west"},
	{Zone: "north-a", Region: "north"},
}

func parseFile(t *testing.T, name string) spec.Document {
	t.Helper()
	text, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	d, err := spec.Parse(string(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a parser that refuses or misreads the example of the design page.
func TestDesignExample(t *testing.T) {
	cell, _, err := parseFile(t, "cell.ini").Check(places)
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
