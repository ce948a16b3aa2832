package relay

import (
	"cmp"
	"maps"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/core/plan"
)

// Key identifies an attempt of a task.
type Key struct {
	_       struct{} `cbor:",toarray"`
	Task    flow.Task
	Attempt int
}

// Row is the progress of a running attempt.
type Row struct {
	_            struct{} `cbor:",toarray"`
	Key          Key
	Checkpoint   string
	Percent      int
	LatencyOrCPU int
}

// EndRow is the end of an attempt.
type EndRow struct {
	_          struct{} `cbor:",toarray"`
	EndNumber  int64
	Key        Key
	End        ledger.End
	Checkpoint string
}

// Delta is a worker's report as the difference to an earlier one.
type Delta struct {
	_ struct{} `cbor:",toarray"`
	// Number identifies the report, Base the one that it differs from; a Base of 0 means that all is listed.
	Number, Base uint64
	Clock        clock.Millis
	// Running lists the attempts that are new or have changed, Gone those that don't run any more.
	Running []Row
	Gone    []Key
	// Finished lists all ends that aren't acknowledged.
	Finished []EndRow
}

// progressInterval is the shortest time between two reports of the progress of an attempt. The planner takes an attempt
// for stalled after 1.5 s without progress.
const progressInterval = 400 * clock.Millisecond

// Memory is what relay and leader remember of the last report of a worker. The zero value remembers nothing.
type Memory struct {
	number uint64
	rows   map[Key]memoryRow
}

type memoryRow struct {
	row    Row
	sentAt clock.Millis
}

// Number returns the number of the remembered report, or 0.
func (m Memory) Number() uint64 { return m.number }

// Encode returns a report as the difference to the one that the leader remembers, and what the relay remembers of it.
// The number is that of the new report and higher than all before; base is the one that the leader remembers. If the
// relay remembers another one, all is listed.
func (m Memory) Encode(now clock.Millis, number, base uint64, report plan.HoldAnswered) (Delta, Memory) {
	d := Delta{Number: number, Clock: report.Clock}
	known := m.rows
	if base == m.number && base != 0 {
		d.Base = base
	} else {
		known = nil
	}
	next := Memory{number: number, rows: make(map[Key]memoryRow, len(report.Running))}
	for _, r := range report.Running {
		row := Row{Key: Key{Task: r.Task, Attempt: r.Attempt}, Checkpoint: r.Checkpoint, Percent: r.Percent, LatencyOrCPU: r.LatencyOrCPU}
		old, ok := known[row.Key]
		if ok && (old.row == row || (now-old.sentAt < progressInterval && row.Percent < 100)) {
			next.rows[row.Key] = old
			continue
		}
		next.rows[row.Key] = memoryRow{row: row, sentAt: now}
		d.Running = append(d.Running, row)
	}
	for _, key := range sortedKeys(known) {
		if _, ok := next.rows[key]; !ok {
			d.Gone = append(d.Gone, key)
		}
	}
	for _, f := range report.Finished {
		d.Finished = append(d.Finished, EndRow{EndNumber: f.EndNumber, Key: Key{Task: f.Task, Attempt: f.Attempt}, End: f.End, Checkpoint: f.Checkpoint})
	}
	return d, next
}

// Decode returns the report that a difference stands for, and what the leader remembers of it. It reports false if the
// leader doesn't remember the report that it differs from.
func (m Memory) Decode(d Delta) (plan.HoldAnswered, Memory, bool) {
	next := Memory{number: d.Number, rows: map[Key]memoryRow{}}
	if d.Base != 0 {
		if d.Base != m.number {
			return plan.HoldAnswered{}, m, false
		}
		for key, r := range m.rows {
			next.rows[key] = r
		}
	}
	for _, key := range d.Gone {
		delete(next.rows, key)
	}
	for _, row := range d.Running {
		next.rows[row.Key] = memoryRow{row: row}
	}
	report := plan.HoldAnswered{Clock: d.Clock}
	for _, key := range sortedKeys(next.rows) {
		row := next.rows[key].row
		report.Running = append(report.Running, plan.RunningAttempt{
			Task: key.Task, Attempt: key.Attempt, Checkpoint: row.Checkpoint, Percent: row.Percent, LatencyOrCPU: row.LatencyOrCPU,
		})
	}
	for _, f := range d.Finished {
		report.Finished = append(report.Finished, plan.EndedAttempt{EndNumber: f.EndNumber, Task: f.Key.Task, Attempt: f.Key.Attempt, End: f.End, Checkpoint: f.Checkpoint})
	}
	return report, next, true
}

// sortedKeys returns the keys of remembered rows in a fixed order.
func sortedKeys(rows map[Key]memoryRow) []Key {
	return slices.SortedFunc(maps.Keys(rows), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence), cmp.Compare(a.Task.Step, b.Task.Step),
			cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
}
