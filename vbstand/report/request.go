package report

import (
	"fmt"
	"io"

	"vanillabridge/vbstand/record"
	"vanillabridge/vbstand/stats"
)

const (
	// basePhase is the phase in which only the regular load is sent, without a flood.
	basePhase = "base"
	// floodSuffix marks a phase that holds the flood sent during the phase without the suffix.
	floodSuffix = "-flood"
)

// printRequests prints a table of the sends by class for each phase, then the retention.
func printRequests(w io.Writer, lines []record.Line) error {
	var names []string
	phases := map[string][]record.Send{}
	for _, l := range lines {
		if l.Send == nil {
			continue
		}
		if phases[l.Send.Phase] == nil {
			names = append(names, l.Send.Phase)
		}
		phases[l.Send.Phase] = append(phases[l.Send.Phase], *l.Send)
	}
	for _, name := range names {
		_, _ = fmt.Fprintln(w)
		if err := stats.Print(w, "requests "+name, stats.SummariseByClass(phases[name])); err != nil {
			return err
		}
	}
	return printRetention(w, names, phases)
}

// printRetention prints the goodput of the regular load during each flood, compared with its
// goodput in basePhase.
func printRetention(w io.Writer, names []string, phases map[string][]record.Send) error {
	base := map[string]stats.ClassSummary{}
	for _, c := range stats.SummariseByClass(phases[basePhase]) {
		base[c.Class] = c
	}
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "retention\tclass\tgoodput/s\twithout flood\tretention")
	for _, name := range names {
		if phases[name+floodSuffix] == nil {
			continue
		}
		for _, c := range stats.SummariseByClass(phases[name]) {
			if b := base[c.Class]; b.Goodput > 0 {
				_, _ = fmt.Fprintf(t, "%s\t%s\t%.1f\t%.1f\t%.0f%%\n",
					name, c.Class, c.Goodput, b.Goodput, 100*c.Goodput/b.Goodput)
			}
		}
	}
	return t.Flush()
}
