package chaos_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"

	"vanillabridge/vbstand/audit"
	"vanillabridge/vbstand/record"
)

// results holds the check results of the tests by kind of fault, for the table at the end.
var results struct {
	sync.Mutex
	kinds  []string
	byKind map[string]*audit.Result
}

func TestMain(m *testing.M) {
	results.byKind = map[string]*audit.Result{}
	status := m.Run()
	printResults()
	os.Exit(status)
}

// programDir returns the folder of the built programs, or skips the test.
func programDir(t *testing.T) string {
	t.Helper()
	bin := os.Getenv("VBSTAND_BIN")
	if bin == "" {
		t.Skip("VBSTAND_BIN is not set; run make faults")
	}
	return bin
}

// checkJournals stops the workers and backend servers, then the instances, checks the journals and
// stores the result for the table.
func checkJournals(t *testing.T, c *cluster, kind string) {
	t.Helper()
	isInstance := func(name string) bool { return c.findInstance(name).name != "" }
	c.stopProcesses(func(name string) bool { return !isInstance(name) })
	c.stopProcesses(isInstance)
	lines, err := record.ReadDir(c.dir)
	if err != nil {
		t.Fatal(err)
	}
	r := audit.Check(lines)
	for _, v := range r.Violations {
		t.Errorf("broken promise %s: %s", v.Guarantee, v.Detail)
	}
	results.Lock()
	defer results.Unlock()
	results.kinds = append(results.kinds, kind)
	results.byKind[kind] = r
}

func printResults() {
	if len(results.kinds) == 0 {
		return
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "checked/violations\t"+strings.Join(results.kinds, "\t"))
	for _, g := range audit.Guarantees() {
		_, _ = fmt.Fprint(t, g)
		for _, kind := range results.kinds {
			r := results.byKind[kind]
			_, _ = fmt.Fprintf(t, "\t%d/%d", r.Checked[g], r.CountViolations(g))
		}
		_, _ = fmt.Fprintln(t)
	}
	_ = t.Flush()
}
