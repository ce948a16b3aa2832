package once

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/proto"
)

// Event is an input of a Flow: one of Begun, Sending, Answered and Failed.
type Event interface{ event() }

// Begun carries the result of Begin, or nil if the result is not known.
type Begun struct{ Result Result }

// Sending says that the first byte is about to be sent.
type Sending struct{}

// Answered carries the whole answer.
type Answered struct{ Answer Answer }

// Failed says that no whole answer will come.
type Failed struct{}

func (Begun) event()    {}
func (Sending) event()  {}
func (Answered) event() {}
func (Failed) event()   {}

// Action is an output of a Flow: one of Dispatch, Send, Finish, Abort and Reply.
type Action interface{ action() }

// Dispatch allows the request to be sent to a backend server.
type Dispatch struct{}

// Send allows the first byte.
type Send struct{}

// Finish asks to record the answer and then to give it to the caller.
type Finish struct{ Answer Answer }

// Abort asks to remove the record and then to refuse the request as not run.
type Abort struct{}

// Reply asks to answer without a backend server. Answer is set for OutcomeDone.
type Reply struct {
	Outcome proto.Outcome
	Answer  Answer
}

func (Dispatch) action() {}
func (Send) action()     {}
func (Finish) action()   {}
func (Abort) action()    {}
func (Reply) action()    {}

type stage uint8

const (
	stageBegin stage = iota
	stageFresh
	stageSent
	stageEnd
)

// Flow is one non-idempotent request on an entry instance. Until is its deadline.
type Flow struct {
	Until clock.Millis
	stage stage
}

// Step applies an event. An event out of place gives a Reply with OutcomeUnknown, which
// never dispatches.
func (f *Flow) Step(now clock.Millis, e Event) Action {
	switch e := e.(type) {
	case Begun:
		return f.begun(now, e)
	case Sending:
		if f.stage == stageFresh && now < f.Until {
			f.stage = stageSent
			return Send{}
		}
	case Answered:
		if f.stage == stageSent {
			f.stage = stageEnd
			return Finish(e)
		}
	case Failed:
		if f.stage == stageFresh {
			f.stage = stageEnd
			return Abort{}
		}
	}
	if f.stage != stageFresh {
		f.stage = stageEnd
	}
	return Reply{Outcome: proto.OutcomeUnknown}
}

func (f *Flow) begun(now clock.Millis, e Begun) Action {
	if f.stage != stageBegin {
		return Reply{Outcome: proto.OutcomeUnknown}
	}
	f.stage = stageEnd
	switch r := e.Result.(type) {
	case Fresh:
		f.stage = stageFresh
		if now >= f.Until {
			f.stage = stageEnd
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
