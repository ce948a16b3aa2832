package report

import (
	"fmt"
	"io"

	"vanillabridge/vbstand/record"
	"vanillabridge/vbstand/stats"
)

const (
	// basePhase is the phase of requests without a flood.
	basePhase = "base"
	// floodSuffix ends the names of phases that are the flood itself.
	floodSuffix = "-flood"
)

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
		if err := stats.Print(w, "requests "+name, stats.Classes(phases[name])); err != nil {
			return err
		}
	}
	return printRetention(w, names, phases)
}

// printRetention compares the goodput of the same load with and without a flood.
func printRetention(w io.Writer, names []string, phases map[string][]record.Send) error {
	base := map[string]stats.Class{}
	for _, c := range stats.Classes(phases[basePhase]) {
		base[c.Class] = c
	}
	t := table(w)
	_, _ = fmt.Fprintln(t, "retention\tclass\tgoodput/s\twithout flood\tretention")
	for _, name := range names {
		if phases[name+floodSuffix] == nil {
			continue
		}
		for _, c := range stats.Classes(phases[name]) {
			if b := base[c.Class]; b.Goodput > 0 {
				_, _ = fmt.Fprintf(t, "%s\t%s\t%.1f\t%.1f\t%.0f%%\n",
					name, c.Class, c.Goodput, b.Goodput, 100*c.Goodput/b.Goodput)
			}
		}
	}
	return t.Flush()
}
