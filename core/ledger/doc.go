// Package ledger is the replicated state of a domain: its configuration, workers, jobs, and where
// each task was assigned and how it ended. Commands are applied in the order of the log; the
// result depends on nothing else.
package ledger
