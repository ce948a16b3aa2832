package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Capacity and learning.
const (
	// usablePercent is the part of a worker's processor and memory that charges may fill. Measured
	// use above throttlePercent slows tasks down, so charges stay below it.
	usablePercent = 92
	// priorFactor scales the declared size of a task without evidence, because declared sizes are
	// off by up to 4.
	priorFactor = 4
	// minSamples is the number of tasks of a kind whose use replaces the prior.
	minSamples = 3
	// spreadSamples replaces minSamples for a kind whose tasks differ by more than spreadPercent:
	// few samples of such a kind say little about its largest tasks.
	spreadSamples = 16
	spreadPercent = 150
	// learners bounds the unmeasured tasks of a kind without evidence.
	learners = 4
	// marginFirst and marginLast bound the margin over measured use, in percent.
	marginFirst = 25
	marginLast  = 5
	// evidenceAge is how long a task runs before a report counts: an earlier one covers its start.
	evidenceAge = 400 * clock.Millisecond
	// ownReports is the number of reports after which a task's own use replaces that of its kind.
	ownReports = 4
	// defaultTime stands in for an unknown run time of a task.
	defaultTime = clock.Minute
)

// Measured use of a worker, in percent of its size in the scarcest dimension.
const (
	throttlePercent   = 85
	checkpointPercent = 90
	stopPercent       = 95
)

// Choice of workers and bounds on the work of one step.
const (
	candidates   = 16
	examined     = 64 // workers looked at to find candidates
	levels       = 64 // buckets of the free-capacity index
	stepStarts   = 64 // starts in a step other than Tick
	tickStarts   = 256
	stepMisses   = 8 // shapes that fit nowhere, tried in a step other than Tick
	tickMisses   = 32
	refillChecks = 16
	refillStarts = 8
	rackSample   = 16
	planWorkers  = 128 // workers looked at for a reservation, or 4 per task if that is more
)

// Times.
const (
	// settle is how long a new scheduler waits for reports before it calls a shape impossible or
	// refuses an offer.
	settle = 5 * clock.Second
	// againAfter delays a task that failed, doubling up to againMost.
	againAfter = clock.Second
	againMost  = clock.Minute
	// offerKept is how long an accepted offer counts as waiting.
	offerKept = 10 * clock.Second
	// wakeEvery is the longest time for which a blocked shape is not tried.
	wakeEvery = clock.Second
	// gangEvery is the time between two attempts to place a blocked gang.
	gangEvery = 200 * clock.Millisecond
	// reserveAfter is how long a unit waits before workers are reserved for it.
	reserveAfter = 2 * clock.Second
	// gangPatience is how long a gang leaves the reservations of single tasks alone.
	gangPatience = 10 * clock.Second
	// replanAfter is how long a reservation may be late before it is planned anew.
	replanAfter = 30 * clock.Second
	// preemptEvery bounds how often a task is preempted.
	preemptEvery = clock.Minute
	// claimTime is the expected time until preempted tasks have stopped.
	claimTime = 2 * clock.Second
	// preemptUntil is the share of the capacity, in percent, up to which urgent work preempts. It is
	// below the floor: so much urgent work ends by itself that the next need not stop other tasks.
	preemptUntil = 40
	claims       = 64 // reservations, most of which wait for preempted tasks
	// claimsAtOnce and claimsDepth bound the tasks of one shape that are helped in one step, and
	// those that are looked at.
	claimsAtOnce = 4
	claimsDepth  = 32
	// reserveWorkers is the number of workers per reservation for blocked tasks of one class.
	reserveWorkers = 16
	// provedAfter is the run time after which a task without end counts as a success.
	provedAfter = 10 * clock.Second
)

// Failures.
const (
	suspendJobs = 3 // distinct jobs failing in a row suspend a worker
	failWorkers = 3 // distinct good workers on which a job fails for good
	failAny     = 8 // distinct workers on which a task fails for good, whether or not they are good
	probeAfter  = 30 * clock.Second
	probeMost   = 10 * clock.Minute
	kindKept    = clock.Hour
	// avoidFor is the least time for which a job avoids a worker on which it failed; after it, a
	// success on the worker ends the avoidance.
	avoidFor     = 10 * clock.Minute
	queueAtMost  = 100_000 // waiting tasks of a class
	retryLeast   = clock.Second
	retryMost    = 5 * clock.Minute
	maxTaskIndex = 1 << 20
)

// floorPercent is the share of the capacity that a class gets before classes above their floor.
var floorPercent = [3]int64{model.Low: 20, model.Normal: 30, model.Urgent: 50}

// waitBound is the expected wait above which offers of a class are refused.
var waitBound = [3]clock.Millis{
	model.Low:    10 * clock.Minute,
	model.Normal: 2 * clock.Minute,
	model.Urgent: 20 * clock.Second,
}

// Config describes a scheduler.
type Config struct {
	Zone model.Zone
	Seed uint64 // of the random choice among equal candidates
	// Learned is what an earlier scheduler of the zone has learned; it may be empty.
	Learned Learned
}

func usable(size model.Size) model.Size {
	return model.Size{
		CPU:    size.CPU * usablePercent / 100,
		Memory: size.Memory * usablePercent / 100,
		Accel:  size.Accel,
	}
}

func scaled(declared model.Size, factor int64) model.Size {
	need := declared.Times(factor)
	need.Accel = declared.Accel
	return need
}
