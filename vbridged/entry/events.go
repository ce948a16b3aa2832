package entry

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
)

// Event is one of the event types of this package.
type Event interface{ event() }

// Ended is recorded at the end of each request.
type Ended struct {
	Request string
	Service string
	Caller  model.Caller
	Class   model.Urgency
	Server  member.Key // of the last attempt
	Zone    model.Zone // of that server
	Outcome proto.Outcome
	Status  int
	Cause   string       // of a refusal or failure
	Waited  clock.Millis // from acceptance to the first dispatch
	Took    clock.Millis // from acceptance to the end
	Tries   int
}

// ServerRose is recorded when a backend server becomes eligible.
type ServerRose struct{ Server member.Server }

// ServerFell is recorded when a backend server is no longer eligible.
type ServerFell struct {
	Server member.Key
	Cause  member.Cause
}

// Led is recorded when the granter of the zone starts on this instance.
type Led struct{ Epoch model.Epoch }

// Unled is recorded when it ends.
type Unled struct{}

// Spilled is recorded when a service starts or stops using other zones.
type Spilled struct {
	Service string
	On      bool
	Wait    clock.Millis
}

func (Ended) event()      {}
func (ServerRose) event() {}
func (ServerFell) event() {}
func (Led) event()        {}
func (Unled) event()      {}
func (Spilled) event()    {}
