package sched

import (
	"context"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/state"
)

// batch collects the commands of one log entry.
type batch struct {
	number   uint64
	commands []state.Command
	ends     []state.TaskEnd
	starts   []state.TaskStart
	assigns  []state.Assignment
}

func (b *batch) add(c state.Command) { b.commands = append(b.commands, c) }

func (b *batch) finish(e state.TaskEnd) { b.ends = append(b.ends, e) }

func (b *batch) start(s state.TaskStart) { b.starts = append(b.starts, s) }

func (b *batch) assign(d place.Assign) {
	for _, p := range d.Placements {
		b.assigns = append(b.assigns, state.Assignment{
			Task:        p.Task,
			Attempt:     p.Attempt,
			Worker:      p.Worker,
			Incarnation: p.Incarnation,
		})
	}
}

func (b *batch) isEmpty() bool {
	return len(b.commands)+len(b.ends)+len(b.starts)+len(b.assigns) == 0
}

// command puts ends before assignments: an assignment may be of a task whose earlier attempt
// ends in the same batch.
func (b *batch) command(epoch model.Epoch, now clock.Millis) state.Batch {
	list := b.commands
	if len(b.ends) > 0 {
		list = append(list, state.Finish{Items: b.ends, At: now})
	}
	if len(b.starts) > 0 {
		list = append(list, state.Start{Items: b.starts, At: now})
	}
	if len(b.assigns) > 0 {
		list = append(list, state.Assign{Epoch: epoch, Items: b.assigns, At: now})
	}
	return state.Batch{Commands: list}
}

// propose sends the collected decisions to the log unless a batch is in flight.
func (l *lead) propose() {
	if l.flying != 0 || l.next.isEmpty() {
		return
	}
	b := l.next
	l.next = batch{}
	l.batches++
	b.number, l.flying = l.batches, l.batches
	for _, a := range b.assigns {
		l.placing[attempt{a.Task, a.Attempt}] = struct{}{}
	}
	epoch, command := l.epoch, b.command(l.epoch, l.now())
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout.Std())
		defer cancel()
		result, err := l.options.Log.Propose(ctx, command)
		l.push(committed{epoch: epoch, batch: b, result: result, err: err})
	}()
}

// committed takes back the assignments that the state refused, because the task was
// cancelled after the decision.
func (l *lead) committed(now clock.Millis, b batch, result state.Result) {
	l.flying = 0
	if len(b.assigns) == 0 || len(result.Parts) == 0 {
		return
	}
	taken := result.Parts[len(result.Parts)-1].Taken
	for i, a := range b.assigns {
		delete(l.placing, attempt{a.Task, a.Attempt})
		if i >= len(taken) || !taken[i] {
			l.step(now, place.Unassigned{Task: a.Task, Attempt: a.Attempt})
			continue
		}
		l.options.Metrics.Placed.Inc()
	}
}
