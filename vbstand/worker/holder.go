package worker

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// maxAge is the age from which an answer is dropped: the leader that sent it may have been
// paused and replaced since.
const maxAge = 2 * clock.Second

// action is what the holder wants done with a task.
type action struct {
	command  proto.Command
	assigned proto.Assigned
	reason   string
}

// key names one attempt of a task.
type key struct {
	task    model.TaskID
	attempt int
}

// holder is the worker's side of the lease protocol.
type holder struct {
	epoch   model.Epoch
	seq     uint64
	seen    uint64 // sequence number of the newest request that was answered
	lease   clock.Millis
	held    map[model.TaskID]proto.Held
	ends    map[key]proto.TaskEnd
	ended   map[model.TaskID]int // highest attempt that ended; it never starts again
	leaving bool
}

func newHolder() *holder {
	return &holder{
		held:  map[model.TaskID]proto.Held{},
		ends:  map[key]proto.TaskEnd{},
		ended: map[model.TaskID]int{},
	}
}

// request fills in what the protocol needs and returns the request to send.
func (h *holder) request(req proto.SyncRequest) proto.SyncRequest {
	h.seq++
	req.Epoch, req.Seq, req.Leaving = h.epoch, h.seq, h.leaving
	req.Held, req.Ends = []proto.Held{}, []proto.TaskEnd{}
	for _, held := range h.held {
		req.Held = append(req.Held, held)
	}
	for _, end := range h.ends {
		req.Ends = append(req.Ends, end)
	}
	return req
}

// reply takes in the answer to a request sent at the given instant.
func (h *holder) reply(sent, now clock.Millis, r proto.SyncReply) []action {
	if r.Epoch < h.epoch || r.Seq <= h.seen || now-sent > maxAge {
		return nil
	}
	h.epoch, h.seen = r.Epoch, r.Seq
	h.lease = max(h.lease, sent+r.Lease)
	for _, c := range r.Confirms {
		delete(h.ends, key{c.Task, c.Attempt})
	}
	named := map[key]bool{}
	var starts, actions []action
	for _, a := range r.Tasks {
		named[key{a.Task, a.Attempt}] = true
		held, ok := h.held[a.Task]
		switch {
		case ok && held.Attempt != a.Attempt:
			// The older attempt is not named and stops below; the newer one starts after that.
		case ok && a.Command == proto.CommandStop:
			actions = append(actions, stop(held, "stopped by command"))
		case ok:
			actions = append(actions, action{command: a.Command, assigned: a})
		case a.Command != proto.CommandStop && a.Attempt > h.ended[a.Task] && !h.leaving:
			starts = append(starts, action{command: proto.CommandRun, assigned: a})
		}
	}
	for _, held := range h.held {
		if !named[key{held.Task, held.Attempt}] {
			actions = append(actions, stop(held, "no longer assigned"))
		}
	}
	// Stops come first so that the tasks that start have room.
	return append(actions, starts...)
}

// tick returns the stops that the end of the lease requires.
func (h *holder) tick(now clock.Millis) []action {
	if now < h.lease {
		return nil
	}
	var actions []action
	for _, held := range h.held {
		actions = append(actions, stop(held, "lease ended"))
	}
	return actions
}

func (h *holder) start(held proto.Held) { h.held[held.Task] = held }

func (h *holder) end(e proto.TaskEnd) {
	delete(h.held, e.Task)
	h.ends[key{e.Task, e.Attempt}] = e
	h.ended[e.Task] = max(h.ended[e.Task], e.Attempt)
}

func stop(held proto.Held, reason string) action {
	return action{
		command:  proto.CommandStop,
		assigned: proto.Assigned{Task: held.Task, Attempt: held.Attempt},
		reason:   reason,
	}
}
