package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"vanillabridge/vbstand/audit"
	"vanillabridge/vbstand/record"
)

// Broken is the error of a report with violations.
type Broken struct{ Violations []audit.Violation }

// Error prints one line for each violation.
func (b *Broken) Error() string {
	return fmt.Sprintf("%d violations of promises", len(b.Violations))
}

// Print reads the journals and metrics in dir and prints the report; the error is a Broken
// if a promise was broken.
func Print(w io.Writer, dir string) error {
	lines, err := record.ReadDir(dir)
	if err != nil {
		return err
	}
	result := audit.Check(lines)
	if err := printPromises(w, result); err != nil {
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
		if _, err := fmt.Fprintf(w, "broken promise %s: %s\n", v.Promise, v.Detail); err != nil {
			return err
		}
	}
	if len(result.Violations) > 0 {
		return &Broken{Violations: result.Violations}
	}
	return nil
}

func printPromises(w io.Writer, r *audit.Result) error {
	t := table(w)
	_, _ = fmt.Fprintln(t, "promise\tchecked\tviolations")
	for _, p := range audit.Promises() {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\n", p, r.Checked[p], r.Broken(p))
	}
	return t.Flush()
}

func table(w io.Writer) *tabwriter.Writer {
	_, _ = fmt.Fprintln(w)
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
}
