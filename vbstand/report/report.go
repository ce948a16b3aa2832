package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"vanillabridge/vbstand/audit"
	"vanillabridge/vbstand/record"
)

// ViolationsError is returned by Print when a guarantee was violated.
type ViolationsError struct{ Violations []audit.Violation }

// Error returns the number of violations; Print writes one line for each.
func (e *ViolationsError) Error() string {
	return fmt.Sprintf("%d violations of promises", len(e.Violations))
}

// Print reads the journals and metrics in dir and writes the report to w. It returns a
// *ViolationsError if a guarantee was violated.
func Print(w io.Writer, dir string) error {
	lines, err := record.ReadDir(dir)
	if err != nil {
		return err
	}
	result := audit.Check(lines)
	if err := printGuarantees(w, result); err != nil {
		return err
	}
	if err := printRequests(w, lines); err != nil {
		return err
	}
	if err := printTasks(w, lines); err != nil {
		return err
	}
	if err := printCost(w, dir, lines); err != nil {
		return err
	}
	for _, v := range result.Violations {
		if _, err := fmt.Fprintf(w, "broken promise %s: %s\n", v.Guarantee, v.Detail); err != nil {
			return err
		}
	}
	if len(result.Violations) > 0 {
		return &ViolationsError{Violations: result.Violations}
	}
	return nil
}

func printGuarantees(w io.Writer, r *audit.Result) error {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "promise\tchecked\tviolations")
	for _, g := range audit.Guarantees() {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\n", g, r.Checked[g], r.CountViolations(g))
	}
	return t.Flush()
}

// newTable writes an empty line and returns a writer for an aligned table.
func newTable(w io.Writer) *tabwriter.Writer {
	_, _ = fmt.Fprintln(w)
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
}
