package stats

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"vanillabridge/core/model"
	"vanillabridge/vbstand/record"
)

// WaitSummary holds the count and percentiles of waiting times.
type WaitSummary struct {
	Count         int
	P50, P99, Max time.Duration
}

// SummariseWaits returns the percentiles of waiting times by the nearest-rank method.
func SummariseWaits(waits []time.Duration) WaitSummary {
	if len(waits) == 0 {
		return WaitSummary{}
	}
	sorted := slices.Sorted(slices.Values(waits))
	rank := func(percent int) time.Duration { return sorted[(len(sorted)*percent+99)/100-1] }
	return WaitSummary{Count: len(sorted), P50: rank(50), P99: rank(99), Max: sorted[len(sorted)-1]}
}

// ClassSummary holds the sends of one urgency class by outcome, their waits and their goodput.
type ClassSummary struct {
	Class   string
	Sends   int
	Done    int // done, with a valid answer of status 2xx
	NotRun  int
	Other   int // any other outcome, or an invalid answer
	Wait    WaitSummary
	Goodput float64 // successful answers per second
}

// SummariseByClass summarises sends by class, least urgent first. Goodput is measured from the first
// start to the last end of all sends.
func SummariseByClass(sends []record.Send) []ClassSummary {
	var from, to record.Micros
	for _, s := range sends {
		if from == 0 || s.Start < from {
			from = s.Start
		}
		to = max(to, s.End)
	}
	var out []ClassSummary
	for _, u := range model.Urgencies() {
		if c := summariseClass(u.String(), sends, to.Sub(from)); c.Sends > 0 {
			out = append(out, c)
		}
	}
	return out
}

func summariseClass(name string, sends []record.Send, d time.Duration) ClassSummary {
	c := ClassSummary{Class: name}
	var waits []time.Duration
	for _, s := range sends {
		if s.Class != name {
			continue
		}
		c.Sends++
		switch {
		case s.Outcome == record.OutcomeDone && s.BodyValid && s.Status/100 == 2:
			c.Done++
		case s.Outcome == record.OutcomeNotRun:
			c.NotRun++
		default:
			c.Other++
		}
		if s.RunStarted >= s.Start && s.Outcome == record.OutcomeDone {
			waits = append(waits, s.RunStarted.Sub(s.Start))
		}
	}
	c.Wait = SummariseWaits(waits)
	if d > 0 {
		c.Goodput = float64(c.Done) / d.Seconds()
	}
	return c
}

// Print writes a table with a row for each class.
func Print(w io.Writer, title string, classes []ClassSummary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s\tsends\tdone\tnotrun\tother\twait p50\twait p99\twait max\tgoodput/s\n", title)
	for _, c := range classes {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.1f\n",
			c.Class, c.Sends, c.Done, c.NotRun, c.Other,
			formatDuration(c.Wait.P50), formatDuration(c.Wait.P99), formatDuration(c.Wait.Max), c.Goodput)
	}
	return t.Flush()
}

func formatDuration(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
