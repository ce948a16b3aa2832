package group

import (
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/quorum"
)

// Guards against a group that can't commit and logs nothing, a log line for each tick of such a time, and lines in calm
// times and during an election.
func TestStallIsReported(t *testing.T) {
	const electionTimeout = clock.Second
	calm := quorum.State{CommitIndex: 7}
	waiting := quorum.State{CommitIndex: 7, ExpectsCommit: true}
	committed := quorum.State{CommitIndex: 9, ExpectsCommit: true}
	var m stallMonitor
	for _, step := range []struct {
		at    clock.Millis
		state quorum.State
		want  stallReport
	}{
		{1000, calm, noReport},
		{9000, calm, noReport},
		{9050, waiting, noReport},
		{10900, waiting, noReport},
		{10950, waiting, noReport},
		{11000, waiting, reportStall},
		{11050, waiting, noReport},
		{15950, waiting, noReport},
		{16000, waiting, reportStall},
		{16500, committed, reportStallEnd},
		{16550, committed, noReport},
		{18499, committed, noReport},
		{18500, committed, reportStall},
	} {
		got, lasted := m.observe(step.at, step.state, electionTimeout)
		if got != step.want {
			t.Errorf("at %v: report %d, want %d", step.at, got, step.want)
		}
		if got == reportStallEnd && lasted != 7500 {
			t.Errorf("the stall lasted %v, want 7.5s", lasted)
		}
	}
}
