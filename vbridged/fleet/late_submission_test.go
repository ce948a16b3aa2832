package fleet_test

import (
	"fmt"
	"testing"

	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
	"vanillabridge/vbridged/fleet"
)

// Guards against a job that runs although its cancellation was answered before its submission arrived, when each of the
// cores, and so the leader, was lost in between, and after all of them have restarted.
func TestLateSubmissionIsCancelledAfterLossOfLeader(t *testing.T) {
	cores, f := startCores(t)
	configure(t, cores[0].domain, newConfig(1))
	for _, c := range cores {
		waitFor(t, "cancellations that are recorded", c.domain.RecordsTombstones)
	}
	job := &flow.Job{Steps: []flow.Step{{Count: 1}}}
	cancelled := 0
	cancelUnknown := func() string {
		cancelled++
		path := fmt.Sprintf("/a/%d", cancelled)
		waitFor(t, "an answer to the cancellation", func() bool {
			return sendRequest(f, fleet.KindCancel, path, nil).Status == fleet.StatusNoJob
		})
		return path
	}
	check := func(path, when string) {
		t.Helper()
		waitFor(t, "an answer to a read "+when, func() bool {
			return sendRequest(f, fleet.KindState, path, nil).Status == fleet.StatusNoJob
		})
		waitFor(t, "an accepted submission "+when, func() bool {
			return sendRequest(f, fleet.KindSubmit, path, job).Status == fleet.StatusDone
		})
		if got := sendRequest(f, fleet.KindState, path, nil); got.Phase != ledger.PhaseCancelled {
			t.Errorf("job that was cancelled before it was submitted, %s: %s %s, want %s", when, got.Status, got.Phase, ledger.PhaseCancelled)
		}
		if got := sendRequest(f, fleet.KindPending, "/a/", nil); got.Status != fleet.StatusDone || got.Pending != 0 {
			t.Errorf("pending jobs %s: %s %d, want 0", when, got.Status, got.Pending)
		}
	}
	check(cancelUnknown(), "at once")
	for i, c := range cores {
		path := cancelUnknown()
		c.stop()
		check(path, fmt.Sprintf("while core %d is down", i))
		c.start(t)
	}
	path := cancelUnknown()
	for _, c := range cores {
		c.stop()
	}
	for _, c := range cores {
		c.start(t)
	}
	check(path, "after a restart of all cores")
}
