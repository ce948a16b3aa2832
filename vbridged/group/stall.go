package group

import (
	"fmt"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/quorum"
)

const (
	// stallElections is how many election timeouts a replica waits for a commit before it logs why there is none. An
	// election without failures ends within two.
	stallElections = 2
	// stallLogInterval is the time between two log lines about the same stall.
	stallLogInterval = 5 * clock.Second
)

// stallMonitor decides when a replica logs that it sees no commits. It is used by one goroutine.
type stallMonitor struct {
	// commitIndex is the commit index at since, the last time at which nothing was waited for or an entry was committed.
	commitIndex uint64
	since       clock.Millis
	// loggedAt is when the present stall was logged last, or 0.
	loggedAt clock.Millis
}

// stallReport tells what to log about a stall.
type stallReport uint8

const (
	noReport stallReport = iota
	reportStall
	reportStallEnd
)

// observe takes the state of the replica at a time and returns what is to be logged, and how long the stall lasts. A
// replica sees a stall while it expects a commit and the commit index stays.
func (m *stallMonitor) observe(now clock.Millis, s quorum.State, electionTimeout clock.Millis) (stallReport, clock.Millis) {
	if m.since == 0 || !s.ExpectsCommit || s.CommitIndex != m.commitIndex {
		lasted, logged := now-m.since, m.loggedAt > 0
		*m = stallMonitor{commitIndex: s.CommitIndex, since: now}
		if logged {
			return reportStallEnd, lasted
		}
		return noReport, 0
	}
	if now-m.since < stallElections*electionTimeout || m.loggedAt > 0 && now-m.loggedAt < stallLogInterval {
		return noReport, 0
	}
	m.loggedAt = now
	return reportStall, now - m.since
}

// logStall logs why this replica sees no commits: the membership in force, the one that is committed, and the voters
// that are missing or refuse their vote. One replica's lines suffice to tell what a group waits for.
func (g *Group) logStall() {
	now := g.cfg.Clock.Now()
	s := g.node.State()
	report, lasted := g.stall.observe(now, s, g.cfg.Timing.ElectionTimeout)
	switch report {
	case reportStall:
		c := g.node.CommitStatus()
		klog.InfoS("replica sees no commits", "group", g.cfg.Group, "self", g.self.String(), "for", int64(lasted),
			"leads", s.IsLeader, "leader", s.LeaderID.Name, "term", s.Term, "commitIndex", s.CommitIndex, "lastIndex", s.LastIndex,
			"membershipIndex", c.MembershipIndex, "voters", formatIDs(c.Members.Voters()), "previousVoters", formatIDs(c.PreviousVoters), "learners", formatIDs(c.Members.Learners()),
			"committedMembershipIndex", c.CommittedIndex, "committedVoters", formatIDs(c.Committed.Voters()),
			"missing", formatMissing(now, c.MissingVoters), "refusing", formatIDs(c.RefusingVoters))
	case reportStallEnd:
		klog.InfoS("replica sees commits again", "group", g.cfg.Group, "self", g.self.String(), "after", int64(lasted), "leader", s.LeaderID.Name, "commitIndex", s.CommitIndex)
	}
}

func formatIDs(ids []quorum.ID) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, id.String())
	}
	return out
}

// formatMissing describes missing voters with the milliseconds since each was heard from, and the later identity of its
// instance if its disk is lost.
func formatMissing(now clock.Millis, voters []quorum.MissingVoter) []string {
	out := make([]string, 0, len(voters))
	for _, v := range voters {
		text := fmt.Sprintf("%s for %d ms", v.ID, int64(now-v.Since))
		if !v.SucceededBy.IsZero() {
			text += fmt.Sprintf(", disk lost, now %s", v.SucceededBy)
		}
		out = append(out, text)
	}
	return out
}
