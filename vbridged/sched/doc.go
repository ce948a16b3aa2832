// Package sched runs the scheduler on the leader of a zone's replicated group. It
// serves the sync protocol of the workers, proposes the placement decisions of
// core/place to the zone log, and sends only committed decisions to workers.
//
// A single goroutine owns all state. It takes inputs from a queue, passes them to
// core/place, which does no I/O, and has at most one proposal in flight, so that
// decisions reach the log in the order in which they were made.
package sched
