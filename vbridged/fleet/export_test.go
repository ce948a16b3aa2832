package fleet

import (
	"vanillabridge/core/ledger"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
)

// WorkerCapacity returns the capacity of a worker that this replica has applied.
func (d *Domain) WorkerCapacity(id model.WorkerID) model.Size {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Workers()[id].Capacity
}

// ObserveRunTime exposes the observation of a finished step.
func ObserveRunTime(m *Metrics, f plan.Forecast) { m.observeRunTime(f) }

// HasLeft reports whether a worker has announced that its process ends now.
func (d *Domain) HasLeft(id model.WorkerID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Workers()[id].HasLeft()
}

// LogDecisions logs decisions of a planner in a term.
func LogDecisions(m *Metrics, term uint64, list ...plan.Decision) {
	d := &Domain{metrics: m, state: ledger.New()}
	for _, decision := range list {
		switch x := decision.(type) {
		case plan.LogEvent:
			d.logDecision(&session{term: term}, x)
		case plan.LogDone:
			d.logDone(&session{term: term}, x)
		}
	}
}

// LogOrder logs the outcome of an order in a term.
func LogOrder(m *Metrics, term uint64, order plan.Decision, v plan.Verdict) {
	(&Domain{metrics: m}).orderAnswer(&session{term: term}, order, v, 0, 0)
}

// RecordsTombstones reports whether this replica records cancellations of unknown jobs.
func (d *Domain) RecordsTombstones() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.RecordsTombstones()
}
