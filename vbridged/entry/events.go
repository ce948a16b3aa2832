package entry

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Event is implemented by the event types of this package.
type Event interface{ event() }

// Ended is recorded when a request has ended.
type Ended struct {
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
	Tries     int
}

// ServerRose is recorded when a backend server becomes eligible.
type ServerRose struct{ Server member.Server }

// ServerFell is recorded when a backend server is no longer eligible.
type ServerFell struct {
	Server member.Key
	Cause  member.Cause
}

// Led is recorded when this instance becomes the granter of the zone.
type Led struct{ Epoch model.Epoch }

// GranterStopped is recorded when this instance is no longer the granter of the zone.
type GranterStopped struct{}

// Spilled is recorded when requests of a service start or stop going to other zones.
type Spilled struct {
	Service      string
	On           bool
	ExpectedWait clock.Millis
}

func (Ended) event()          {}
func (ServerRose) event()     {}
func (ServerFell) event()     {}
func (Led) event()            {}
func (GranterStopped) event() {}
func (Spilled) event()        {}
