package main

import (
	"os"
	"strings"
	"testing"

	"vanillabridge/core/spec"
)

// Guards against a documentation page whose example program, output or table of keys is out of
// date, and against an example whose configuration is refused.
func TestPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	program, err := os.ReadFile("main.go")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := cell().Check(nil); err != nil {
		t.Error(err)
	}
	text, err := cell().Text()
	if err != nil {
		t.Fatal(err)
	}
	var keys strings.Builder
	if err := spec.Reference(&keys); err != nil {
		t.Fatal(err)
	}
	for what, want := range map[string]string{
		"program": "```go\n" + string(program) + "```\n", "output": "```ini\n" + text + "```\n", "table of keys": "\n" + keys.String() + "\n",
	} {
		if !strings.Contains(string(page), want) {
			t.Errorf("docs/configuration.md lacks the current %s:\n%s", what, want)
		}
	}
}
