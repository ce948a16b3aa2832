// Package worker is a stand-in for a worker: it holds tasks under leases, runs them as
// timers, reports their use and records every true start and end.
package worker
