// Package state implements the replicated state machines: Zone, with one
// instance for each availability zone, and Cell, which all zones share.
//
// Both are deterministic: commands carry the time at which they were proposed,
// and applying the same commands in the same order gives the same state and the
// same results on every replica.
package state
