package fleet

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/plan"
	"vanillabridge/vbridged/peer"
)

// Options describe one instance of a domain.
type Options struct {
	// Self is the address at which other instances reach this one. Its Instance is the IP address, as
	// in the seed list.
	Self peer.Address
	// Seeds are the addresses of known cores.
	Seeds []peer.Address
	// DataDir is the data directory of a core; it is empty for instances without a disk.
	DataDir string
	// Bootstrap is set when the whole domain starts for the first time.
	Bootstrap bool
	// TolerableCoreLosses is the number of cores that may fail at the same time without loss of the quorum.
	TolerableCoreLosses int

	// Lease is how long tasks keep running without contact to the leader; MaxLease is the longest
	// lease that workers accept.
	Lease, MaxLease clock.Millis
	// MaxTaskStopTime is the longest time that a worker takes to stop a task.
	MaxTaskStopTime clock.Millis
	// GangTimeout is how long a task of a gang waits for the others to start.
	GangTimeout clock.Millis
	// JobRetention is how long the record of a finished job is retained.
	JobRetention clock.Millis

	// MaxDescriptors is the number of descriptors that the process may have open, or 0 if it is not known.
	MaxDescriptors int

	// Features are the optional behaviours of the domain that are enabled.
	Features Features

	Workers Workers
	Tickets Tickets
	Clock   clock.Source
	// Incarnation distinguishes successive processes of the same instance in logs.
	Incarnation model.Incarnation
}

// Features are optional behaviours of a domain; all are off by default.
type Features struct {
	Plan plan.Features
	// Relays lets cores carry the calls to the workers near them for the leader.
	Relays bool
}

// Names of the features in settings.
const (
	FeatureRunTimes = "runtimes"
	FeatureOverload = "overload"
	FeatureRelays   = "relays"
	FeatureShares   = "shares"
)

// ParseFeatures returns the features with the given names; it returns an error that names an unknown one.
func ParseFeatures(names []string) (Features, error) {
	var f Features
	for _, name := range names {
		switch name {
		case FeatureRunTimes:
			f.Plan.LearnRunTimes = true
		case FeatureOverload:
			f.Plan.Overload = true
		case FeatureRelays:
			f.Relays = true
		case FeatureShares:
			f.Plan.Shares = true
		default:
			return f, fault.Wrap(fault.ErrInvalid, "unknown feature %q: want %s, %s, %s or %s", name, FeatureRunTimes, FeatureOverload, FeatureRelays, FeatureShares)
		}
	}
	return f, nil
}

// Timing of the domain.
const (
	// electionTimeout is the time without contact to a leader after which cores elect another. It
	// covers several round trips between regions.
	electionTimeout = 1000 * clock.Millisecond
	// heartbeatInterval is short enough that three lost heartbeats cause no election.
	heartbeatInterval = 200 * clock.Millisecond
	// voterTimeout is how long a voter may be silent before the leader replaces it by a spare core.
	voterTimeout = 2500 * clock.Millisecond
	// announceInterval is the period at which instances announce themselves to the cores.
	announceInterval = clock.Second
	// announceTimeout limits the call of one announcement.
	announceTimeout = 800 * clock.Millisecond
	// memberTimeout is the time since its last announcement after which an instance gets no more work.
	memberTimeout = 3 * clock.Second
	// tickInterval is the period of the planner's timer events.
	tickInterval = 20 * clock.Millisecond
	// expiryInterval is the period at which expired jobs and lost instances are removed.
	expiryInterval = 10 * clock.Second
	// statsInterval is the period at which a leader logs the statistics of its planner.
	statsInterval = clock.Second
	// orderTimeout limits a start or stop order: two transits between regions and time to execute it.
	orderTimeout = 600 * clock.Millisecond
	// holdReplyGrace is added to the long-poll wait of a hold; after that the hold counts as unanswered.
	holdReplyGrace = 600 * clock.Millisecond
	// longHoldWait is the wait of a hold from which on a worker is not watched closely.
	longHoldWait = 800 * clock.Millisecond
	// holdPollInterval is the pause between two holds of a worker while descriptors are scarce.
	holdPollInterval = 400 * clock.Millisecond
	// leaderLeasePollInterval is the pause before a hold is due again that a leader without a valid lease did
	// not send.
	leaderLeasePollInterval = 50 * clock.Millisecond
	// adviseTimeout limits a ticket call, which may wait for earlier calls of the same instance.
	adviseTimeout = 5 * clock.Second
	// attemptTimeout limits one attempt of a front to have the leader serve a request.
	attemptTimeout = 900 * clock.Millisecond
	// leaderWaitTimeout is how long a front without a leader holds a request that certainly had no
	// effect. It is shorter than an election, so that the caller soon learns when to retry.
	leaderWaitTimeout = 150 * clock.Millisecond
	// leaderlessRetryAfter is the retry delay given to callers that are refused for lack of a leader.
	leaderlessRetryAfter = clock.Second
)

// DefaultTaskLease is how long tasks keep running without contact to the leader. It covers a change
// of leader: the election and the first hold of the new leader.
const DefaultTaskLease = 4500 * clock.Millisecond

// Shutdown of a front.
const (
	// usableGracePercent is the share of the time until the process is killed in which requests are
	// still served.
	usableGracePercent = 80
	// balancerRemovalTime is how long a load balancer keeps sending connections to an instance that is
	// no longer ready: two checks one second apart, and the duration of a check.
	balancerRemovalTime = 2500 * clock.Millisecond
)

// SplitGracePeriod divides the grace period of a front that shuts down: it accepts new connections
// for open, and then lets the requests in progress finish for drain.
func SplitGracePeriod(grace clock.Millis) (open, drain clock.Millis) {
	usable := grace.Percent(usableGracePercent)
	open = min(balancerRemovalTime, usable/2)
	return open, usable - open
}
