package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Capacity, and estimation of resource use.
const (
	// usablePercent is the part of a worker's CPU and memory that the charges of its tasks may fill.
	// Some is kept free because tasks are throttled when measured use reaches throttlePercent.
	usablePercent = 92
	// priorFactor multiplies the declared size of a task whose kind has no estimate yet: real use is
	// up to 4 times the declared size.
	priorFactor = 4
	// minSamples is the number of measured tasks of a kind from which their use replaces the scaled
	// declared size.
	minSamples = 3
	// wideSpreadSamples replaces minSamples for a kind whose largest use is more than
	// wideSpreadPercent of its smallest: a few samples do not show how large its tasks can be.
	wideSpreadSamples = 16
	wideSpreadPercent = 150
	// maxUnmeasured bounds the unmeasured tasks that run at one time of a kind without an estimate.
	maxUnmeasured = 4
	// maxMarginPercent and minMarginPercent bound the safety margin that is added to measured use.
	maxMarginPercent = 25
	minMarginPercent = 5
	// minUsageAge is how long a task has to run before its reported use counts: earlier reports cover
	// its start.
	minUsageAge = 400 * clock.Millisecond
	// minOwnReports is the number of usage reports after which a task is charged by its own use
	// instead of the estimate of its kind.
	minOwnReports = 4
	// defaultRunTime is assumed for a task whose run time is unknown.
	defaultRunTime = clock.Minute
)

// Thresholds for the measured use of a worker, in percent of its size in the scarcest dimension.
const (
	throttlePercent   = 85
	checkpointPercent = 90
	stopPercent       = 95
)

// Bounds on the work of one step.
const (
	maxCandidates   = 16 // workers compared for one placement
	maxExamined     = 64 // workers visited to find candidates
	indexLevels     = 64 // buckets of a pool of the free-capacity index
	maxStepStarts   = 64 // units started in a step other than Tick
	maxTickStarts   = 256
	maxStepMisses   = 8 // shapes without a placement tried in a step other than Tick
	maxTickMisses   = 32
	maxRefillChecks = 16
	maxRefillStarts = 8
	maxSampledRacks = 16  // racks examined for a task of a service
	minPlanWorkers  = 128 // workers examined for a reservation, or 4 per task if that is more
)

// Times.
const (
	// settleTime is how long a new scheduler waits for worker reports before it reports a job as
	// impossible or refuses an offer because of the expected wait.
	settleTime = 5 * clock.Second
	// minFailureBackoff delays the restart of a failed task. It doubles with each worker on which the
	// job has failed, up to maxFailureBackoff.
	minFailureBackoff = clock.Second
	maxFailureBackoff = clock.Minute
	// offerLifetime is how long an accepted offer counts as waiting work without a Submit.
	offerLifetime = 10 * clock.Second
	// unblockInterval is the longest time for which a blocked shape is not retried.
	unblockInterval = clock.Second
	// gangRetryInterval is the time between two attempts to place a blocked gang.
	gangRetryInterval = 200 * clock.Millisecond
	// reserveDelay is how long a unit waits before workers are reserved for it.
	reserveDelay = 2 * clock.Second
	// gangTakeoverDelay is how long a gang waits before it may take over workers that are reserved for
	// single tasks.
	gangTakeoverDelay = 10 * clock.Second
	// replanDelay is how long a reservation may be overdue before it is replaced or dropped.
	replanDelay = 30 * clock.Second
	// minPreemptInterval is the least time between two preemptions of one task.
	minPreemptInterval = clock.Minute
	// preemptStopTime is the expected time until preempted tasks have stopped.
	preemptStopTime = 2 * clock.Second
	// urgentPreemptPercent is the capacity share that urgent work may reach by preemption. It is below
	// the floor of the class: with that much urgent work running, enough of it ends by itself to make
	// room for more without stopping other tasks.
	urgentPreemptPercent = 40
	maxReservations      = 64 // most of them wait for preempted tasks to stop
	// maxPreemptionsPerStep bounds the waiting tasks of one shape for which tasks are preempted in one
	// step; maxPreemptionScan bounds the waiting tasks that are examined for this.
	maxPreemptionsPerStep = 4
	maxPreemptionScan     = 32
	// workersPerReservation limits the reservations for blocked tasks of one class to one for so many
	// workers.
	workersPerReservation = 16
	// successRunTime is the run time after which a task counts as a success before it has ended.
	successRunTime = 10 * clock.Second
)

// Failures.
const (
	suspendAfterJobs       = 3 // distinct jobs that fail in a row on a worker before it is suspended
	goodWorkerFailureLimit = 3 // distinct workers on which a job fails, and another task succeeds later, before the job is given up
	taskFailureLimit       = 8 // distinct workers, with or without a later success, on which a task fails before its job is given up
	minProbeBackoff        = 30 * clock.Second
	maxProbeBackoff        = 10 * clock.Minute
	kindRetention          = clock.Hour // how long the measurements of a kind without jobs are kept
	// minAvoidTime is how long a job at least avoids a worker on which it failed. After it, the job may
	// use the worker again if a task has succeeded there since the failure.
	minAvoidTime = 10 * clock.Minute
	// crashLimit is the number of workers that may be lost right after they got a task before its job is given up;
	// crashWindow is how long after its start that is.
	crashLimit      = 3
	crashWindow     = 2 * clock.Second
	maxWaitingTasks = 100_000 // per class
	minRetryHint    = clock.Second
	maxRetryHint    = 5 * clock.Minute
	maxTaskIndex    = 1 << 20
)

// floorPercent is the capacity share up to which a class goes before classes above their floor.
var floorPercent = [3]int64{model.Low: 20, model.Normal: 30, model.Urgent: 50}

// maxExpectedWait is the expected wait above which offers of a class are refused.
var maxExpectedWait = [3]clock.Millis{
	model.Low:    10 * clock.Minute,
	model.Normal: 2 * clock.Minute,
	model.Urgent: 20 * clock.Second,
}

// Config holds the settings of a Scheduler.
type Config struct {
	Zone model.Zone
	Seed uint64 // of the random order in which workers and racks are examined
	// UsageHistory holds the measurements of an earlier scheduler of the zone; it may be empty.
	UsageHistory UsageHistory
}

func usableSize(size model.Size) model.Size {
	return model.Size{
		CPU:    size.CPU * usablePercent / 100,
		Memory: size.Memory * usablePercent / 100,
		Accel:  size.Accel,
	}
}

func scaleSize(declared model.Size, factor int64) model.Size {
	need := declared.Times(factor)
	need.Accel = declared.Accel
	return need
}
