package fleet

import (
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
