// Package quorum is a replicated log as a deterministic state machine: elections,
// replication, snapshots, learners, membership changes, witnesses and linearizable reads.
//
// A Node takes inputs with the current time and returns outputs. It does no I/O. Output
// that depends on state which is not yet durable is withheld until the Persisted input
// that covers it.
package quorum
