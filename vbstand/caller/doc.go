// Package caller is a stand-in for callers: a bounded load generator that verifies each
// answer and records what it was told.
package caller
