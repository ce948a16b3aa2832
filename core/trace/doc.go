// Package trace implements the timeline of a cell: each process records typed events with
// stamps of a hybrid logical clock, and the events of several processes are merged into one
// causal order, filtered, and rendered as text, JSON lines or HTML.
package trace
