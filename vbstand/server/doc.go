// Package server simulates a backend server: it announces itself to entry instances, answers requests
// after a service time, injects faults if configured, and records the start and end of every run.
package server
