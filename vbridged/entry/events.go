package entry

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Event is implemented by the event types of this package.
type Event interface{ event() }

// RequestEnded is recorded when a request has ended.
type RequestEnded struct {
	Request   string
	Service   string
	Caller    model.Caller
	Class     model.Urgency
	Server    member.Key // server of the last attempt
	Zone      model.Zone // zone of that server
	Outcome   proto.Outcome
	Status    int
	Cause     string       // reason of a refusal or failure
	QueueWait clock.Millis // from acceptance to the first permit
	Duration  clock.Millis // from acceptance to the end
	Attempts  int
}

// ServerEligible is recorded when a backend server becomes eligible.
type ServerEligible struct{ Server member.Server }

// ServerIneligible is recorded when a backend server is no longer eligible.
type ServerIneligible struct {
	Server member.Key
	Cause  member.Cause
}

// GranterStarted is recorded when this instance becomes the granter of the zone.
type GranterStarted struct{ Epoch model.Epoch }

// GranterStopped is recorded when this instance is no longer the granter of the zone.
type GranterStopped struct{}

// SpilloverChanged is recorded when requests of a service start or stop going to other zones.
type SpilloverChanged struct {
	Service      string
	Active       bool
	ExpectedWait clock.Millis
}

func (RequestEnded) event()     {}
func (ServerEligible) event()   {}
func (ServerIneligible) event() {}
func (GranterStarted) event()   {}
func (GranterStopped) event()   {}
func (SpilloverChanged) event() {}
