package sched

import (
	"context"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/state"
)

// batch collects the commands that are proposed as one log entry.
type batch struct {
	number      uint64
	commands    []state.Command
	taskEnds    []state.TaskEnd
	taskStarts  []state.TaskStart
	assignments []state.Assignment
}

func (b *batch) addCommand(c state.Command) { b.commands = append(b.commands, c) }

func (b *batch) addEnd(e state.TaskEnd) { b.taskEnds = append(b.taskEnds, e) }

func (b *batch) addStart(s state.TaskStart) { b.taskStarts = append(b.taskStarts, s) }

func (b *batch) addAssignments(d place.Assign) {
	for _, p := range d.Placements {
		b.assignments = append(b.assignments, state.Assignment{
			Task:        p.Task,
			Attempt:     p.Attempt,
			Worker:      p.Worker,
			Incarnation: p.Incarnation,
		})
	}
}

func (b *batch) isEmpty() bool {
	return len(b.commands)+len(b.taskEnds)+len(b.taskStarts)+len(b.assignments) == 0
}

// buildCommand combines the batch into one command. Ends precede assignments, because a task may be
// assigned again in the batch in which its earlier attempt ends.
func (b *batch) buildCommand(epoch model.Epoch, now clock.Millis) state.Batch {
	list := b.commands
	if len(b.taskEnds) > 0 {
		list = append(list, state.FinishTasks{Items: b.taskEnds, At: now})
	}
	if len(b.taskStarts) > 0 {
		list = append(list, state.StartTasks{Items: b.taskStarts, At: now})
	}
	if len(b.assignments) > 0 {
		list = append(list, state.AssignTasks{Epoch: epoch, Items: b.assignments, At: now})
	}
	return state.Batch{Commands: list}
}

// proposePending proposes the collected commands to the log unless a batch is in flight.
func (l *leaderState) proposePending() {
	if l.batchInFlight != 0 || l.pending.isEmpty() {
		return
	}
	b := l.pending
	l.pending = batch{}
	l.lastBatch++
	b.number, l.batchInFlight = l.lastBatch, l.lastBatch
	for _, a := range b.assignments {
		l.assignmentsInFlight[attemptKey{a.Task, a.Attempt}] = struct{}{}
	}
	epoch, command := l.epoch, b.buildCommand(l.epoch, l.now())
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout.Duration())
		defer cancel()
		result, err := l.options.Log.Propose(ctx, command)
		l.enqueue(commitInput{epoch: epoch, batch: b, result: result, err: err})
	}()
}

// handleCommitResult reverts the assignments that the state rejected because the task was cancelled
// after the decision.
func (l *leaderState) handleCommitResult(now clock.Millis, b batch, result state.Result) {
	l.batchInFlight = 0
	if len(b.assignments) == 0 || len(result.BatchResults) == 0 {
		return
	}
	accepted := result.BatchResults[len(result.BatchResults)-1].ItemApplied
	for i, a := range b.assignments {
		delete(l.assignmentsInFlight, attemptKey{a.Task, a.Attempt})
		if i >= len(accepted) || !accepted[i] {
			l.stepPlacement(now, place.AssignNotCommitted{Task: a.Task, Attempt: a.Attempt})
			continue
		}
		l.options.Metrics.Placements.Inc()
	}
}
