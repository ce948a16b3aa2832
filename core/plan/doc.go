// Package plan schedules the tasks of a domain for its leader: it decides which task starts on
// which worker, which orders workers get, and when an attempt has ended. It is a deterministic
// state machine: Step takes an event and the time and returns decisions.
//
// A task is charged with the capacity that it declares, from its placement until its worker reports
// its end. An attempt is declared lost only when it provably neither runs nor can still start; see
// Planner.handleHoldAnswered.
package plan
