package group

import (
	"testing"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
)

// Guards against a group that can't commit and logs nothing, a log line for each tick of such a time, and lines in calm
// times and during an election.
func TestStallIsReported(t *testing.T) {
	const electionTimeout = clock.Second
	calm := quorum.State{LeaderID: quorum.NewID(model.Instance("a"), 1), CommitIndex: 7, LastIndex: 7}
	uncommitted, leaderless := calm, calm
	uncommitted.LastIndex = 8
	leaderless.LeaderID = quorum.ID{}
	committed := calm
	committed.CommitIndex, committed.LastIndex = 9, 10
	var m stallMonitor
	for _, step := range []struct {
		at    clock.Millis
		state quorum.State
		want  stallReport
	}{
		{1000, calm, noReport},
		{9000, calm, noReport},
		{9050, leaderless, noReport},
		{10900, leaderless, noReport},
		{10950, uncommitted, noReport},
		{11000, uncommitted, reportStall},
		{11050, leaderless, noReport},
		{15950, leaderless, noReport},
		{16000, leaderless, reportStall},
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
