package quorum_test

import (
	"testing"

	"vanillabridge/core/model"
	"vanillabridge/core/quorum"
)

// Guards against predefined timings that New rejects. WANTiming was invalid once, so that no
// daemon could open the cell group.
func TestTimingsAreValid(t *testing.T) {
	for name, timing := range map[string]quorum.Timing{"default": quorum.DefaultTiming(), "wide": quorum.WANTiming()} {
		self := quorum.NewID("a", 1)
		_, err := quorum.New(0, quorum.Config{
			Group: "g", Self: self, Peers: []quorum.Peer{{Name: "a", Zone: "z"}},
			InitialVoters: []model.Instance{"a"}, Timing: timing, Limits: quorum.DefaultLimits(),
		}, quorum.RestoredState{})
		if err != nil {
			t.Errorf("timing %s: %v", name, err)
		}
	}
}
