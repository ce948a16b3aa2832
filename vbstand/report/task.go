package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"vanillabridge/core/model"
	"vanillabridge/vbstand/record"
	"vanillabridge/vbstand/stats"
)

// printTasks prints the waiting times of the tasks of each job, and the packing.
func printTasks(w io.Writer, lines []record.Line) error {
	first := firstStarts(lines)
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "tasks\tclass\tstarted\tof\twait p50\twait p99\twait max\tspread of starts")
	for _, l := range lines {
		if l.Job == nil || !l.Job.Final || l.Job.AcceptedAt == 0 {
			continue
		}
		var waits []time.Duration
		var low, high time.Duration
		for i := range l.Job.Count {
			at, ok := first[model.TaskID{Job: l.Job.Job, Index: i}]
			if !ok {
				continue
			}
			wait := at.Sub(l.Job.AcceptedAt)
			if len(waits) == 0 || wait < low {
				low = wait
			}
			high = max(high, wait)
			waits = append(waits, wait)
		}
		s := stats.SummariseWaits(waits)
		_, _ = fmt.Fprintf(t, "%s %s\t%s\t%d\t%d\t%v\t%v\t%v\t%v\n", l.Job.Kind, l.Job.Job, l.Job.Class,
			s.Count, l.Job.Count, roundToMillis(s.P50), roundToMillis(s.P99), roundToMillis(s.Max), roundToMillis(high-low))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	share, d := measurePacking(lines, first)
	_, err := fmt.Fprintf(w, "\npacking: %.0f%% of the scarcest resource in use, over %v in which tasks waited\n", 100*share, roundToMillis(d))
	return err
}

func roundToMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// firstStarts returns the time of the first start of each task.
func firstStarts(lines []record.Line) map[model.TaskID]record.Micros {
	first := map[model.TaskID]record.Micros{}
	for _, l := range lines {
		if l.Task == nil || l.Task.Step != record.TaskStart {
			continue
		}
		if at, ok := first[l.Task.Task]; !ok || l.Task.Time < at {
			first[l.Task.Task] = l.Task.Time
		}
	}
	return first
}

// change is a change of the number of waiting tasks or of the usage of a worker.
type change struct {
	at           record.Micros
	waitingDelta int
	usage        *record.Task
}

// measurePacking returns the mean share of the scarcest resource in actual use, over the time in
// which tasks were waiting, and the length of that time.
func measurePacking(lines []record.Line, first map[model.TaskID]record.Micros) (float64, time.Duration) {
	var changes []change
	for _, l := range lines {
		switch {
		case l.Task != nil:
			changes = append(changes, change{at: l.Task.Time, usage: l.Task})
		case l.Job != nil && l.Job.Final && l.Job.AcceptedAt != 0:
			for i := range l.Job.Count {
				if at, ok := first[model.TaskID{Job: l.Job.Job, Index: i}]; ok && at > l.Job.AcceptedAt {
					changes = append(changes, change{at: l.Job.AcceptedAt, waitingDelta: 1}, change{at: at, waitingDelta: -1})
				}
			}
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	workers := map[model.WorkerID]*record.Task{}
	waiting := 0
	var area float64
	var total time.Duration
	for i, c := range changes {
		waiting += c.waitingDelta
		if c.usage != nil {
			workers[c.usage.Worker] = c.usage
		}
		if i+1 < len(changes) && waiting > 0 {
			d := changes[i+1].at.Sub(c.at)
			area += usedShare(workers) * d.Seconds()
			total += d
		}
	}
	if total == 0 {
		return 0, 0
	}
	return area / total.Seconds(), total
}

// usedShare returns the share of the scarcest resource that the workers use together.
func usedShare(workers map[model.WorkerID]*record.Task) float64 {
	var used, size model.Size
	for _, t := range workers {
		used, size = used.Plus(t.TotalUsage), size.Plus(t.WorkerSize)
	}
	return used.DominantShare(size)
}
