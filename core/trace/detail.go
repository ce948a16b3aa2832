package trace

import (
	"fmt"
	"strconv"
	"strings"
)

// Detail returns the fields outside the subject.
func (e Accepted) Detail() string { return formatFields("caller", e.Caller, "class", e.Class) }

// Detail returns the fields outside the subject.
func (e Placed) Detail() string { return formatFields("attempt", e.Attempt, "epoch", e.Epoch) }

// Detail returns the fields outside the subject.
func (e Leased) Detail() string { return formatFields("attempt", e.Attempt) }

// Detail returns the fields outside the subject.
func (e Started) Detail() string { return formatFields("attempt", e.Attempt) }

// Detail returns the fields outside the subject.
func (e Ended) Detail() string {
	return formatFields("attempt", e.Attempt, "outcome", e.Outcome, "reason", e.Reason)
}

// Detail returns the fields outside the subject.
func (e Refused) Detail() string { return formatFields("reason", e.Reason) }

// Detail returns the fields outside the subject.
func (e Requeued) Detail() string { return formatFields("attempt", e.Attempt, "reason", e.Reason) }

// Detail returns the fields outside the subject.
func (e Commanded) Detail() string { return formatFields("command", e.Command, "reason", e.Reason) }

// Detail returns the fields outside the subject.
func (e Cancelled) Detail() string { return formatFields("reason", e.Reason) }

// Detail returns the fields outside the subject.
func (e Routed) Detail() string { return formatFields("attempt", e.Attempt) }

// Detail returns the fields outside the subject.
func (e Retried) Detail() string { return formatFields("attempt", e.Attempt, "reason", e.Reason) }

// Detail returns the fields outside the subject.
func (e Spilled) Detail() string { return formatFields("began", e.Active) }

// Detail returns the fields outside the subject.
func (e EpochChanged) Detail() string { return formatFields("epoch", e.Epoch) }

// Detail returns the fields outside the subject.
func (e LeaderChanged) Detail() string {
	return formatFields("group", e.Group, "leader", e.Leader, "term", e.Term)
}

// Detail returns the fields outside the subject.
func (e VotersChanged) Detail() string {
	return formatFields("group", e.Group, "added", e.Added, "removed", e.Removed)
}

// Detail returns the fields outside the subject.
func (e ConfigApplied) Detail() string { return formatFields("version", e.Version) }

// Detail returns the fields outside the subject.
func (e ConfigRefused) Detail() string { return formatFields("version", e.Version, "reason", e.Reason) }

// Detail returns the fields outside the subject.
func (e ServerJoined) Detail() string { return formatFields("address", e.Address) }

// Detail returns the fields outside the subject.
func (e ServerLeft) Detail() string { return formatFields("reason", e.Reason) }

// Detail returns the fields outside the subject.
func (WorkerJoined) Detail() string { return "" }

// Detail returns the fields outside the subject.
func (e WorkerLost) Detail() string { return formatFields("reason", e.Reason) }

// Detail returns the fields outside the subject.
func (e WorkerSuspended) Detail() string { return formatFields("reason", e.Reason) }

// Detail returns the fields outside the subject.
func (WorkerRestored) Detail() string { return "" }

// Detail returns the fields outside the subject.
func (PeerReached) Detail() string { return "" }

// Detail returns the fields outside the subject.
func (e PeerLost) Detail() string { return formatFields("reason", e.Reason) }

// Detail returns the fields outside the subject.
func (e Restarted) Detail() string { return formatFields("version", e.Version, "lost", e.DataLost) }

// Detail returns the fields outside the subject.
func (Ready) Detail() string { return "" }

// Detail returns the fields outside the subject.
func (e Draining) Detail() string { return formatFields("reason", e.Reason) }

// Detail returns the fields outside the subject.
func (e Drained) Detail() string { return formatFields("left", e.CutOffRequests) }

// Detail returns the fields outside the subject.
func (e Failed) Detail() string { return formatFields("part", e.Component, "reason", e.Reason) }

// formatFields formats pairs of a name and a value as "name=value", and omits zero values.
func formatFields(pairs ...any) string {
	var parts []string
	for i := 0; i+1 < len(pairs); i += 2 {
		text := fmt.Sprint(pairs[i+1])
		if text == "" || text == "0" || text == "false" {
			continue
		}
		if strings.ContainsAny(text, " \"") {
			text = strconv.Quote(text)
		}
		parts = append(parts, fmt.Sprintf("%s=%s", pairs[i], text))
	}
	return strings.Join(parts, " ")
}
