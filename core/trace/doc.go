// Package trace is the timeline of a cell: each process records typed events under a hybrid
// logical clock, and the events of several processes are merged into one causal order,
// filtered and rendered.
package trace
