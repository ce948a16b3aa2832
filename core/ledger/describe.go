package ledger

import "vanillabridge/core/flow"

// Describe returns the record that a submission would add to a queue for a team. It changes no state.
func Describe(c Submit, q flow.Queue, team string) *Job {
	j := newJob(c, q)
	j.Team = team
	return j
}
