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

// Wait summarises waiting times.
type Wait struct {
	Count         int
	P50, P99, Max time.Duration
}

// Summarise returns the percentiles of waiting times (nearest rank).
func Summarise(waits []time.Duration) Wait {
	if len(waits) == 0 {
		return Wait{}
	}
	sorted := slices.Sorted(slices.Values(waits))
	rank := func(percent int) time.Duration { return sorted[(len(sorted)*percent+99)/100-1] }
	return Wait{Count: len(sorted), P50: rank(50), P99: rank(99), Max: sorted[len(sorted)-1]}
}

// Class summarises the sends of one class.
type Class struct {
	Class   string
	Sends   int
	Done    int
	NotRun  int
	Other   int
	Wait    Wait
	Goodput float64 // whole answers per second
}

// Classes summarises sends by class, least urgent first, over the time that they took together.
func Classes(sends []record.Send) []Class {
	var from, to record.Micros
	for _, s := range sends {
		if from == 0 || s.Start < from {
			from = s.Start
		}
		to = max(to, s.End)
	}
	var out []Class
	for _, u := range model.Urgencies() {
		if c := class(u.String(), sends, to.Sub(from)); c.Sends > 0 {
			out = append(out, c)
		}
	}
	return out
}

func class(name string, sends []record.Send, d time.Duration) Class {
	c := Class{Class: name}
	var waits []time.Duration
	for _, s := range sends {
		if s.Class != name {
			continue
		}
		c.Sends++
		switch {
		case s.Told == record.ToldDone && s.Whole && s.Status/100 == 2:
			c.Done++
		case s.Told == record.ToldNotRun:
			c.NotRun++
		default:
			c.Other++
		}
		if s.Ran >= s.Start && s.Told == record.ToldDone {
			waits = append(waits, s.Ran.Sub(s.Start))
		}
	}
	c.Wait = Summarise(waits)
	if d > 0 {
		c.Goodput = float64(c.Done) / d.Seconds()
	}
	return c
}

// Print writes a table of classes.
func Print(w io.Writer, title string, classes []Class) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s\tsends\tdone\tnotrun\tother\twait p50\twait p99\twait max\tgoodput/s\n", title)
	for _, c := range classes {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.1f\n",
			c.Class, c.Sends, c.Done, c.NotRun, c.Other,
			short(c.Wait.P50), short(c.Wait.P99), short(c.Wait.Max), c.Goodput)
	}
	return t.Flush()
}

func short(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
