package entry

import (
	"context"
	"net"

	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/permit"
)

// BeginRequest describes a non-idempotent request for which a record is opened.
type BeginRequest struct {
	Key      once.Key
	Token    once.Token
	TimeLeft clock.Millis // time to the deadline of the request
}

// RecordStore keeps the records of non-idempotent requests in the log of the owner zone. A call
// returns a nil error only if its result is durable. Begin and Finish may be repeated with the
// same token. A repeated Abort has no effect.
type RecordStore interface {
	// Begin opens a record and returns the state of its key. After an error the state is
	// unknown.
	Begin(ctx context.Context, owner model.Zone, b BeginRequest) (once.Result, error)
	Finish(ctx context.Context, owner model.Zone, k once.Key, t once.Token, a once.Answer) error
	Abort(ctx context.Context, owner model.Zone, k once.Key, t once.Token) error
}

// GranterClient calls the granter of a zone, which may be this process (Entry.Grant).
type GranterClient interface {
	Renew(ctx context.Context, zone model.Zone, r permit.Request) (permit.Answer, error)
}

// RelaySender sends announcements to another instance of the zone, which passes them to
// Entry.ReceiveRelay. It must neither block nor call the Entry. A message may be lost, delayed
// or duplicated.
type RelaySender interface {
	Send(to model.Instance, m member.Relay)
}

// ConfigSource returns the current configuration; the result is immutable and never nil.
type ConfigSource interface {
	Snapshot() *ConfigSnapshot
}

// EventRecorder records events. It must neither block nor call the Entry.
type EventRecorder interface {
	Record(e Event)
}

// Dialer opens connections to backend servers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Ports are the external dependencies of an Entry. A nil Dialer selects net.Dialer.
type Ports struct {
	Clock   clock.Source
	Config  ConfigSource
	Records RecordStore
	Granter GranterClient
	Relay   RelaySender
	Events  EventRecorder
	Dialer  Dialer
}
