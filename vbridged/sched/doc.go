// Package sched runs placement on the leader of a zone's group: it serves the
// worker protocol, commits the decisions of core/place to the zone log, and tells
// workers only what is committed.
//
// One goroutine owns all state. It takes inputs from a queue, drives the pure
// scheduler, and has at most one proposal in flight, so that decisions reach the
// log in the order in which they were made.
package sched
