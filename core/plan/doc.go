// Package plan decides for the leader of a domain which task starts on which worker, what workers
// are told, and when an attempt is over. It is a deterministic state machine: Step takes an event
// and the time and returns decisions.
//
// Room is charged by what tasks declare, from the moment of the decision until the worker lists
// the end. An attempt is given up only when it surely doesn't run any more; see Planner.report.
package plan
