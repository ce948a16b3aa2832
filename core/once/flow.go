package once

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/proto"
)

// Event is an input of a RequestFlow: BeginResult, Sending, Rejected, Answered or Failed.
type Event interface{ event() }

// BeginResult reports the result of Record.Begin. Result is nil if it is not known.
type BeginResult struct{ Result Result }

// Sending reports that the first byte is about to be sent to the backend server.
type Sending struct{}

// Rejected reports that the request was sent to another process than it was meant for, which has not run it.
type Rejected struct{}

// Answered reports that the answer was received completely.
type Answered struct{ Answer Answer }

// Failed reports that no complete answer will be received.
type Failed struct{}

func (BeginResult) event() {}
func (Sending) event()     {}
func (Rejected) event()    {}
func (Answered) event()    {}
func (Failed) event()      {}

// Action is an output of a RequestFlow: Dispatch, Send, Finish, Abort or Reply.
type Action interface{ action() }

// Dispatch allows the request to be dispatched to a backend server.
type Dispatch struct{}

// Send allows the first byte to be sent.
type Send struct{}

// Finish requests that the answer is stored in the record and then returned to the caller.
type Finish struct{ Answer Answer }

// Abort requests that the record is removed and then the request refused as not run.
type Abort struct{}

// Reply requests an answer to the caller without dispatch to a backend server. Answer is set
// for OutcomeDone.
type Reply struct {
	Outcome proto.Outcome
	Answer  Answer
}

func (Dispatch) action() {}
func (Send) action()     {}
func (Finish) action()   {}
func (Abort) action()    {}
func (Reply) action()    {}

// stage is the progress of a RequestFlow.
type stage uint8

const (
	stageAwaitingBegin stage = iota
	stageDispatching         // the request may be sent, but no server can have run it yet
	stageSent                // the request may have run
	stageEnded
)

// RequestFlow is the state machine of one non-idempotent request on an entry instance. A
// request that is not sent before Deadline is not sent at all.
type RequestFlow struct {
	Deadline clock.Millis
	stage    stage
}

// Step applies an event and returns the action to take. An event that is not valid in the
// current stage results in a Reply with OutcomeUnknown, so that it never causes a dispatch.
func (f *RequestFlow) Step(now clock.Millis, e Event) Action {
	switch e := e.(type) {
	case BeginResult:
		return f.handleBeginResult(now, e)
	case Sending:
		if f.stage == stageDispatching && now < f.Deadline {
			f.stage = stageSent
			return Send{}
		}
	case Rejected:
		if f.stage == stageSent {
			f.stage = stageDispatching
			return Dispatch{}
		}
	case Answered:
		if f.stage == stageSent {
			f.stage = stageEnded
			return Finish(e)
		}
	case Failed:
		if f.stage == stageDispatching {
			f.stage = stageEnded
			return Abort{}
		}
	}
	if f.stage != stageDispatching {
		f.stage = stageEnded
	}
	return Reply{Outcome: proto.OutcomeUnknown}
}

func (f *RequestFlow) handleBeginResult(now clock.Millis, e BeginResult) Action {
	if f.stage != stageAwaitingBegin {
		return Reply{Outcome: proto.OutcomeUnknown}
	}
	f.stage = stageEnded
	switch r := e.Result.(type) {
	case Fresh:
		f.stage = stageDispatching
		if now >= f.Deadline {
			f.stage = stageEnded
			return Abort{}
		}
		return Dispatch{}
	case Done:
		return Reply{Outcome: proto.OutcomeDone, Answer: r.Answer}
	case Running:
		return Reply{Outcome: proto.OutcomeRunning}
	default:
		return Reply{Outcome: proto.OutcomeUnknown}
	}
}
