// Package worker simulates a worker: it syncs with an entry instance, holds tasks under a lease, runs
// them as timers, reports their resource usage and records the start and end of every task.
package worker
