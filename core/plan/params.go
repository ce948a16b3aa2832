package plan

import "vanillabridge/core/clock"

// Config holds the term and the durations that depend on the deployment.
type Config struct {
	// Term is the term of the leader.
	Term uint64
	// Lease is how long tasks keep running without contact to a leader. It is longer than a change of
	// leader takes.
	Lease clock.Millis
	// MaxLease is the longest lease that workers accept.
	MaxLease clock.Millis
	// StopTimeout is the longest time that a worker takes to stop a task.
	StopTimeout clock.Millis
	// GangTimeout is how long a gang member waits for the other members before it ends.
	GangTimeout clock.Millis
	// UnixOffset is the Unix time minus the leader's clock at the start of the planner.
	UnixOffset clock.Millis
	Features   Features
}

// Features are optional behaviours of a planner; all are off by default.
type Features struct {
	// LearnRunTimes uses the run times of finished tasks instead of declared estimates.
	LearnRunTimes bool
	// Overload chooses who waits, yields and is refused by what callers lose when the workers are full.
	Overload bool
	// Shares lets teams take turns by their weights while the workers are full for long.
	Shares bool
}

const (
	// startOrderTTL is how long a start order is valid: longer than two transits between regions and a
	// retry, and shorter than 2 s, after which delayed orders may still arrive; these must have expired.
	startOrderTTL = 1500 * clock.Millisecond
	// maxStartRepeats is how often a start order without an answer is sent again.
	maxStartRepeats = 2
	// maxDriftPercent is by how many percent a worker's clock may run slower than the leader's.
	maxDriftPercent = 2
	// contactTimeout is how long after its last report a worker counts as reachable and gets new tasks.
	// A reachable worker reports at least every maxHoldWait plus a round trip.
	contactTimeout = 2 * clock.Second
	// maxHoldWait is how long a worker may wait for an end before it answers a hold.
	maxHoldWait = 800 * clock.Millisecond
	// leavingHoldWait is maxHoldWait for a worker that is leaving. Its last answer has to arrive, and its ends have to
	// be committed, before its process ends, which is LeaveSettleTime after it has announced that.
	leavingHoldWait = 150 * clock.Millisecond
	// LeaveSettleTime is how long the announcement of a worker that its process ends now is left unacknowledged: a
	// hold of leavingHoldWait with its transits, and a commit.
	LeaveSettleTime = 350 * clock.Millisecond
	// leaveHoldPause is how long after that announcement no hold is sent, so that the worker lists no ends whose answer
	// would be lost with its process.
	leaveHoldPause = 2 * LeaveSettleTime
	// minHoldInterval is the pause between a report and the next hold. It batches the ends of a busy
	// worker: those within this time share a report.
	minHoldInterval = 25 * clock.Millisecond
	// holdRetryDelay is the pause after a failed hold.
	holdRetryDelay = 250 * clock.Millisecond
	// maxRefusedConns is the number of refused connections in a row after which a worker that has left, and has no tasks,
	// is declared lost.
	maxRefusedConns = 2
	// stopResendInterval is the time between two stop orders for the same attempt.
	stopResendInterval = 500 * clock.Millisecond
	// dismissTimeout is how long a worker without tasks may be unreachable before it is removed.
	dismissTimeout = 20 * clock.Second
	// minFlushInterval is the shortest time between two proposals of assignments or ends. Under load it
	// batches many of them in one log entry, because each entry costs a message to each follower.
	minFlushInterval = 15 * clock.Millisecond
	// minPassInterval is the shortest time between two placement passes. Under load it batches many
	// events in one pass.
	minPassInterval = 10 * clock.Millisecond
	// maxDepthForTickets is the number of steps that may wait ahead of a step whose first tickets are
	// requested. With more, the tickets would expire before the step can be placed.
	maxDepthForTickets = 32
	// maxWideGangLead is how much earlier a gang of widestGang tasks or more counts as due. It is about the
	// time in which it finds room at the worst load.
	maxWideGangLead = 3 * clock.Second
	widestGang      = 100
	// priorityDelay is how much later a step counts as due for each priority number of its queue, up to
	// maxDelayedPriority. It is about the time for which tasks keep a worker.
	priorityDelay      = 3 * clock.Second
	maxDelayedPriority = 4
	// placementRetryDelay is the pause before the placement of a step is tried again, per
	// maxDepthForTickets steps that wait ahead of it, and at most maxRetryDelayFactor times as long. It
	// is short compared with the objectives of urgent queues.
	placementRetryDelay = 40 * clock.Millisecond
	maxRetryDelayFactor = 8
	// ticketCapacityFactor is the ratio of the slots that a ticket call is expected to give to those that
	// the step needs: some are taken by other steps until the answer comes.
	ticketCapacityFactor = 3
	// extraWorkersTimeShare bounds the time that workers named beyond the need may add to a ticket call,
	// as a share of the call's fixed time.
	extraWorkersTimeShare = 0.3
	// minFreeShare is the smallest share of a worker's capacity that is assumed to be free when a ticket
	// call is answered, because some of its tasks will have ended.
	minFreeShare = 0.15
	// initialApprovalRate is the assumed share of workers that get a ticket before any call was answered.
	// approvalRateWeight is the weight of a new answer in the moving average. minApprovalRate bounds the
	// number of workers that a call names.
	initialApprovalRate = 0.5
	approvalRateWeight  = 0.1
	minApprovalRate     = 0.05
	// ticketWorkerStride is the distance in the list of workers between the first workers considered for
	// two successive ticket calls. It spreads the calls over the workers.
	ticketWorkerStride = 37
	// maxWorkersPerCall is the number of workers that one ticket call may name.
	maxWorkersPerCall = 100
	// splitTimeShare is the time that the workers named in one call of a split request may add to it, as a
	// share of the call's fixed time.
	splitTimeShare = 0.5
	// maxWorkersPerRequest is the number of workers that the calls of one request may name.
	maxWorkersPerRequest = 400
	// idleCallersPerRequest is the inverse of the share of the idle callers that one request may use.
	idleCallersPerRequest = 4
	// gangTicketFactor is how many times the tasks of a step should fit on the workers that are expected to
	// be permitted, if these were empty.
	gangTicketFactor = 4
	// maxTicketCandidates and maxWorkersSearched bound the search for the workers that a ticket call names:
	// the workers found, from which those with most free slots are named, and the workers considered.
	maxTicketCandidates = maxWorkersPerRequest
	maxWorkersSearched  = 2 * maxWorkersPerRequest
	// ticketExpiryMargin is the part of a ticket's validity reserved for the commit of the assignment and
	// the transit of the start order.
	ticketExpiryMargin = 300 * clock.Millisecond
	// ticketCallTimeout is the time after the expected end of a ticket call at which it counts as lost.
	ticketCallTimeout = 3 * clock.Second
	// maxCallerBacklog is the longest expected wait for a caller at which it still gets another call. It
	// covers the transit to a caller in another region. With a longer backlog, calls would be made in
	// order of arrival instead of rank.
	maxCallerBacklog = 200 * clock.Millisecond
	// callerFailureBackoff is how long a caller is not used after a failed call. An instance that is down
	// leaves the list of callers within a few seconds.
	callerFailureBackoff = clock.Second
	// ticketCallInterval is the shortest time between two ticket calls for further workers of one step.
	ticketCallInterval = 200 * clock.Millisecond
	// shortTicketCall is the longest duration of a ticket call that may use the reserved callers.
	shortTicketCall = 100 * clock.Millisecond
	// reservedCallersDivisor sets the share of callers reserved for short ticket calls: one in this many.
	// Short calls of 20 ms at 100 a second keep 2 of 40 callers busy; an eighth of them, 5, leaves room
	// for a burst of twice that rate.
	reservedCallersDivisor = 8
	// overheadWeightDivisor is the inverse of the weight of a new call in the moving average of a
	// caller's overhead.
	overheadWeightDivisor = 4
	// maxCallerOverhead bounds the overhead that is taken into account: two transits between regions and
	// a margin. It lets a caller that was slow once be used again soon.
	maxCallerOverhead = 150 * clock.Millisecond
	// minWorkTransitRatio is the ratio of the work of a step to the round trip to a worker below which
	// the worker counts as far: a round trip of 60 ms between regions matters for work of up to 1.2 s.
	minWorkTransitRatio = 20
	// gangAccumulateDelay is how long a gang waits before it accumulates capacity by reservations.
	gangAccumulateDelay = 500 * clock.Millisecond
	// gangCapacityFactor is how many times the tasks of a gang should fit on its permitted workers if they
	// were empty, so that the gang can accumulate capacity while other tasks use most of it.
	gangCapacityFactor = 3
	// ticketRenewalShare is the share of its slots that a gang must have accumulated to renew its tickets.
	ticketRenewalShare = 0.5
	// minAccumulatingGangs is the number of gangs that may accumulate capacity at any time. Further ones may
	// while less than maxReservedShare of the capacity is reserved: reserved capacity does no work.
	minAccumulatingGangs = 2
	maxReservedShare     = 0.08
	// maxOverloadReservedShare replaces maxReservedShare under overload.
	maxOverloadReservedShare = 0.2
	// widestDrainedGang is the number of tasks from which on a gang counts as due earlier by maxWideGangLead.
	widestDrainedGang = 32
	// drainedCost is added to the cost of a worker that is drained for a gang which starts before the task would end.
	drainedCost = 2
	// maxDrainTime is the longest expected time until a gang starts for which workers are drained.
	maxDrainTime = 4 * clock.Second
	// drainPlanInterval is how long the choice of the workers that are drained for a gang stands.
	drainPlanInterval = 200 * clock.Millisecond
	// startOverhead is the time from the placement of an attempt until its end is committed, beyond its run.
	startOverhead = 300 * clock.Millisecond
	// runMarginPercent is by how much longer than expected a run may take on a slow worker.
	runMarginPercent = 35
	// backfillMarginPercent is the part of its expected run time after which a task counts as ended.
	backfillMarginPercent = 125
	// minProgressForEnd is the progress in percent from which on the end of a task is expected by it.
	minProgressForEnd = 10
	// maxGangRoomTime bounds the time in which a gang is expected to find room.
	maxGangRoomTime = 6 * clock.Second
)
