// Package caller is a load generator that simulates a caller: it sends a bounded number of requests,
// verifies each answer and records the outcome of every send.
package caller
