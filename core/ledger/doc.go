// Package ledger is the replicated state machine of a domain. Its state holds the configuration, the
// workers, and the jobs with the assignment and the end of each task. Commands are applied in the
// order of the log, and the resulting state depends on nothing else.
package ledger
