// Package quorum implements a Raft-like replicated log as a deterministic state machine:
// elections, replication, snapshots, learners, membership changes, witnesses and linearizable
// reads.
//
// A Node takes inputs together with the current time and returns outputs. It does no I/O. An
// output that depends on state which is not yet durable is held back until a Persisted input
// reports that state as durable.
package quorum
