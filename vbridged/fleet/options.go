package fleet

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/vbridged/peer"
)

// Options describe one instance of a domain.
type Options struct {
	// Self is how other instances reach this one. Its Instance is the IP address, under which the
	// seeds are known.
	Self peer.Address
	// Seeds are instances of the core.
	Seeds []peer.Address
	// Folder holds the durable state of a core; empty for other instances.
	Folder string
	// Bootstrap says that the whole domain starts for the first time.
	Bootstrap bool
	// Losses is how many cores may be lost at one time.
	Losses int

	// Lease is how long tasks run on without contact to the leader; MaxLease what workers grant.
	Lease, MaxLease clock.Millis
	// StopTime is how long a worker takes at most to stop a task.
	StopTime clock.Millis
	// GangTime is how long a gang member waits for the others.
	GangTime clock.Millis
	// Keep is how long the state of an ended job is kept.
	Keep clock.Millis

	Workers Workers
	Tickets Tickets
	Clock   clock.Source
	// Life tells two processes of the same instance apart in logs.
	Life model.Incarnation
}

// Timing of the domain.
const (
	// electionTime is the time without a leader after which cores elect another. It covers several
	// round trips between regions.
	electionTime = 1000 * clock.Millisecond
	// heartbeatTime lets three heartbeats be lost before an election.
	heartbeatTime = 200 * clock.Millisecond
	// silentTime is how long a core is silent before a spare one replaces it.
	silentTime = 2500 * clock.Millisecond
	// attendEvery is how often instances announce themselves.
	attendEvery = clock.Second
	// attendTimeout bounds an announcement.
	attendTimeout = 800 * clock.Millisecond
	// goneAfter is how long after its last announcement an instance is not asked for anything.
	goneAfter = 3 * clock.Second
	// tickEvery is how often the plan sees time pass without other events.
	tickEvery = 20 * clock.Millisecond
	// forgetEvery is how often ended jobs are dropped.
	forgetEvery = 10 * clock.Second
	// gaugeEvery is how often a leader logs what its plan looks like.
	gaugeEvery = clock.Second
	// orderTimeout bounds a start or stop: two transits between regions and time to work.
	orderTimeout = 600 * clock.Millisecond
	// holdSlack is the time beyond the wait of a hold after which it counts as unanswered.
	holdSlack = 600 * clock.Millisecond
	// adviseTimeout bounds a ticket call, which may wait for earlier calls of this instance.
	adviseTimeout = 5 * clock.Second
	// tryTimeout bounds one try of a front at a leader.
	tryTimeout = 900 * clock.Millisecond
	// patience is how long a front waits for a leader with a request that surely had no effect. An
	// election takes longer, so the caller is told at once when to come back.
	patience = 150 * clock.Millisecond
	// retryLeaderless is what refused callers are told while there is no leader.
	retryLeaderless = clock.Second
)

// Lease is how long tasks run on without contact to the leader. It covers a change of leader: an
// election and the first hold of the new leader.
const Lease = 4500 * clock.Millisecond

// Stopping of a front.
const (
	// stopPercent is the part of the time until the process is killed that is used for requests.
	stopPercent = 80
	// rotationTime is how long a balancer goes on sending connections to an instance that is no
	// longer ready: two checks a second apart, and the time that a check takes.
	rotationTime = 2500 * clock.Millisecond
)

// StopTimes divides the time that a front has until it is killed: for how long it still takes new
// connections, and for how long it then ends requests in progress.
func StopTimes(grace clock.Millis) (open, rest clock.Millis) {
	use := grace.Percent(stopPercent)
	open = min(rotationTime, use/2)
	return open, use - open
}
