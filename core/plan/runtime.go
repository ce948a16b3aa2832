package plan

import (
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/expect"
	"vanillabridge/core/flow"
	"vanillabridge/core/ledger"
)

const (
	// materialPercent is by how many percent a forecast has to change for the latest starts of a job to follow.
	materialPercent = 10
	// forecastWeight is the weight of the forecast from other steps, in tasks, once tasks of a step have ended: the
	// tasks of a step differ little compared with the steps of a kind.
	forecastWeight = 1
	// maxMeasured is the number of measured tasks of a step that are kept, the last ones, so that the cost of a task's
	// end doesn't grow with the width of its step.
	maxMeasured = 64
)

// Forecast is an expected run time in the log, with what it rests on.
type Forecast struct {
	Queue string
	// Declared is the estimate, Expected the forecast, and Actual the measured run time or 0. With Actual, Expected is
	// the forecast when the job was accepted.
	Declared, Expected, Actual clock.Millis
	// Runs and Teams are the evidence; see expect.Forecast.
	Runs, Teams int
}

// runTimes is what the leader knows of the run time of a step. The zero value stands for the declared estimate.
type runTimes struct {
	expected clock.Millis // 0 if it is not learned
	// accepted is the forecast when the job was accepted.
	accepted expect.Forecast
	// measured holds the run times of the tasks of the step that ended last, in no order.
	measured []clock.Millis
	// tasksDone counts the tasks whose success was reported or committed.
	tasksDone int
}

// expectedRunTime returns the expected duration of a task of the step: the declared estimate unless finished runs
// say better. Those of a gang don't: it is as slow as its slowest worker, and objectives count sound ones.
func (st *step) expectedRunTime() clock.Millis {
	if st.runTimes.expected > 0 && !st.spec.Gang {
		return st.runTimes.expected
	}
	return st.spec.Estimate
}

// learnsRunTimes reports whether the run times of a step are learned: those of long-running tasks have no end, and
// those of best-effort tasks say only what the others left over.
func (p *Planner) learnsRunTimes(st *step) bool {
	return p.cfg.Features.LearnRunTimes && !st.spec.LongRunning && !st.spec.BestEffort
}

// setForecast sets the expected run time of a step of a new job.
func (p *Planner) setForecast(st *step) {
	if !p.learnsRunTimes(st) {
		return
	}
	st.runTimes.accepted = p.state.RunTimes().Forecast(ledger.RunTimeKind(st.job.Job, st.spec), st.spec.Estimate)
	st.runTimes.expected = st.runTimes.accepted.Typical
	for i := range st.record().Tasks {
		if st.record().Tasks[i].Done {
			st.runTimes.tasksDone++
		}
	}
}

// updateForecast updates the expected run time of a step when it becomes ready or a task of it has ended, and the
// latest starts of its occurrence if that changes materially.
func (p *Planner) updateForecast(st *step) {
	if !p.learnsRunTimes(st) || st.done {
		return
	}
	f := p.state.RunTimes().Forecast(ledger.RunTimeKind(st.job.Job, st.spec), st.spec.Estimate)
	expected := f.Typical
	if n := clock.Millis(len(st.runTimes.measured)); n > 0 {
		expected = (forecastWeight*expected + n*st.measuredRunTime()) / (forecastWeight + n)
	}
	if change := max(expected-st.runTimes.expected, st.runTimes.expected-expected); change*100 <= materialPercent*st.runTimes.expected {
		return
	}
	st.runTimes.expected = expected
	st.job.setCriticalPaths(st.job.occurrences[st.name.Occurrence])
}

// measuredRunTime returns the run time of a step from those of its measured tasks. It is their median: an objective
// follows from the work as sound workers do it, and slow workers and rare long tasks are a minority.
func (st *step) measuredRunTime() clock.Millis {
	list := slices.Sorted(slices.Values(st.runTimes.measured))
	return list[(len(list)-1)/2]
}

// runTime returns how long an attempt that has ended was at work, or 0 if it is not known: the leader was not there
// from the start, or the attempt continued from a checkpoint. The members of a gang are at work once all have started.
func (t *task) runTime(now, workerClock clock.Millis) clock.Millis {
	switch {
	case t.partial || (t.step.spec.Gang && t.step.runTimes.tasksDone > 0):
		return 0 // a gang takes as long as its first member that ends
	case t.step.spec.Gang:
		started := t.startedAt
		for _, member := range t.step.tasks {
			started = max(started, member.startedAt)
		}
		if started == 0 {
			started = t.startSentAt
		}
		return max(now-started, 1)
	case t.firstSeenClock == 0: // it has ended before its start was confirmed
		return max(now-t.startSentAt-t.worker.minRoundTrip, 1)
	}
	return max(workerClock-t.firstSeenClock, 1)
}

// recordRunTime records the run time of a successful attempt whose end was just added to the next settlement. Once
// the step is complete its run time is added too.
func (p *Planner) recordRunTime(t *task, took clock.Millis) {
	st := t.step
	if !p.learnsRunTimes(st) {
		return
	}
	if took > 0 && len(st.runTimes.measured) < maxMeasured {
		st.runTimes.measured = append(st.runTimes.measured, took)
	} else if took > 0 {
		st.runTimes.measured[st.runTimes.tasksDone%maxMeasured] = took
	}
	st.runTimes.tasksDone++
	complete := st.runTimes.tasksDone == st.spec.Count
	if st.spec.Gang {
		complete = st.runTimes.tasksDone == 1
	}
	if complete && len(st.runTimes.measured) > 0 {
		p.runTimes = append(p.runTimes, ledger.RunTime{End: len(p.attemptEnds) - 1, Code: expect.Code(st.measuredRunTime())})
		f := st.forecast(st.runTimes.accepted.Typical)
		f.Actual = st.measuredRunTime()
		p.logEvent(LogEvent{Event: "step measured", Job: st.name.Job, Task: st.name.StepName(), Attempt: t.attempt, Forecast: f, Age: p.now - st.readyAt})
	}
	p.updateForecast(st)
}

// forecast returns an expected run time of the step for the log.
func (st *step) forecast(expected clock.Millis) Forecast {
	accepted := st.runTimes.accepted
	return Forecast{Queue: st.job.Queue.Name, Declared: st.spec.Estimate, Expected: expected, Runs: accepted.Runs, Teams: accepted.Teams}
}

// withForecast returns a log event with the forecast on which the decision rests, if it is about the placement of a step.
func (p *Planner) withForecast(event LogEvent) LogEvent {
	if !p.cfg.Features.LearnRunTimes || event.Event != eventStepPlaced {
		return event
	}
	name, err := flow.ParseTask(event.Task + ".0")
	if j := p.jobs[name.Job]; err == nil && j != nil && p.learnsRunTimes(j.step(name)) {
		event.Forecast = j.step(name).forecast(j.step(name).expectedRunTime())
	}
	return event
}

// eventStepPlaced is logged for the tasks of a step that a pass has placed.
const eventStepPlaced = "step placed"
