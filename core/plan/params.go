package plan

import "vanillabridge/core/clock"

// Config holds the times that the deployment sets.
type Config struct {
	// Term is the term of the leader.
	Term uint64
	// Lease is how long tasks run on without contact. It is longer than a change of leader.
	Lease clock.Millis
	// MaxLease is the longest lease that workers grant.
	MaxLease clock.Millis
	// Stop is how long a worker takes at most to stop a task.
	Stop clock.Millis
	// Gang is how long a gang member waits for the others.
	Gang clock.Millis
	// Offset is the time since 1970 less the leader's clock when the planner started.
	Offset clock.Millis
}

const (
	// orderLife is how long a start order is valid: longer than two transits between regions and a
	// repeat, shorter than the 2 s after which late orders are carried out.
	orderLife = 1500 * clock.Millisecond
	// repeats is how often a start without an answer is sent again.
	repeats = 2
	// driftPercent is how slow a worker's clock may run.
	driftPercent = 2
	// contactFor is how long after its last report a worker gets new tasks. Reports come at least
	// every holdWait and a transit.
	contactFor = 2 * clock.Second
	// holdWait is how long a worker waits for an end before it reports.
	holdWait = 800 * clock.Millisecond
	// holdGap bounds the reports of a busy worker: ends within this time share one.
	holdGap = 25 * clock.Millisecond
	// retryGap is the pause before a worker that failed to answer is asked again.
	retryGap = 250 * clock.Millisecond
	// refusals is how many refused connections in a row mean that a worker's life is over.
	refusals = 2
	// stopEvery is the time between two orders to stop the same attempt.
	stopEvery = 500 * clock.Millisecond
	// dismissAfter is how long a worker may be unreachable before it is forgotten.
	dismissAfter = 20 * clock.Second
	// logGap bounds how often ends and assignments are committed: under load many share an entry of
	// the log, which costs a message to each core.
	logGap = 15 * clock.Millisecond
	// placeGap bounds how often waiting steps are looked at: under load many events come between.
	placeGap = 10 * clock.Millisecond
	// askDepth is the number of waiting steps in front of a step beyond which its tickets would run
	// out before its turn.
	askDepth = 32
	// lookAgain is the pause between looks at a step that found no room, for each askDepth steps that
	// wait before it, up to mostDepth times. It is short beside the objectives of urgent queues.
	lookAgain = 40 * clock.Millisecond
	mostDepth = 8
	// askRoom is how many times the room that a step needs the workers asked about are expected to
	// give: some of it is taken until the answer comes.
	askRoom = 3
	// cheapPart is the part of a ticket call's own time that further workers may add to it.
	cheapPart = 0.3
	// spareShare is the part of a worker's capacity that counts as room at least, in tasks that end
	// before the answer comes.
	spareShare = 0.15
	// firstRate is the assumed share of workers that may run a step; rateWeight is the weight of a
	// new answer, and leastRate bounds the number of workers asked about.
	firstRate  = 0.5
	rateWeight = 0.1
	leastRate  = 0.05
	// askStride spreads the workers that steps ask about first.
	askStride = 37
	// mostAsked is the number of workers that one ticket call may name.
	mostAsked = 100
	// ticketMargin is the part of a ticket's life kept for the commit and the order's transit.
	ticketMargin = 300 * clock.Millisecond
	// askTimeout is the time beyond the expected one after which a ticket call counts as lost.
	askTimeout = 3 * clock.Second
	// mostBacklog bounds the calls that wait for one caller. It covers the transit to a caller in
	// another region; with more, the order in which steps came would count instead of their rank.
	mostBacklog = 200 * clock.Millisecond
	// callerPause is how long a caller whose call failed is not used; an instance that is gone leaves
	// the list of callers within a few seconds.
	callerPause = clock.Second
	// askAgain is the pause between ticket calls of one step.
	askAgain = 200 * clock.Millisecond
	// shortAsk separates ticket calls that may use every caller from those kept off the reserved ones.
	shortAsk = 100 * clock.Millisecond
	// reservedPart is the part of the callers that long ticket calls leave free. Short calls of 20 ms at
	// 100 a second keep 2 of 40 callers busy; an eighth is room for a burst of twice that.
	reservedPart = 8
	// extraWeight divides the weight of a new figure for the transit of a caller's calls.
	extraWeight = 4
	// mostExtra bounds that figure: two transits between regions and some more. A caller that was slow
	// once is tried again soon.
	mostExtra = 150 * clock.Millisecond
	// nearPart is how often the transit to a worker and back must fit into the work of a step for the
	// distance not to count: 60 ms between regions count for work of up to 1.2 s.
	nearPart = 20
	// collectAfter is how long a gang waits before room is kept free for it.
	collectAfter = 500 * clock.Millisecond
	// gangRoom is how many times its tasks the workers known to be allowed should hold when empty, so
	// that a gang gathers room while others use most of it.
	gangRoom = 3
	// renewPart is the part of its room with which a gang that collects renews its tickets.
	renewPart = 0.5
	// collectors bounds the gangs for which room is kept free at one time, and collectWorkers is the
	// number of workers for each one more.
	collectors     = 2
	collectWorkers = 25
)
