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

// Begin asks for the record of a non-idempotent request.
type Begin struct {
	Key   once.Key
	Token once.Token
	Limit clock.Millis // time to the deadline of the request
}

// Records keeps the records of non-idempotent requests in the log of the owner zone. A call
// returns nil as error only when its result is durable. Begin and Finish may be repeated with
// the same token. A repeated Abort has no effect.
type Records interface {
	// Begin returns the state of the key. On an error the state is not known.
	Begin(ctx context.Context, owner model.Zone, b Begin) (once.Result, error)
	Finish(ctx context.Context, owner model.Zone, k once.Key, t once.Token, a once.Answer) error
	Abort(ctx context.Context, owner model.Zone, k once.Key, t once.Token) error
}

// Granter reaches the granter of a zone, which may be this process (Entry.Grant).
type Granter interface {
	Renew(ctx context.Context, zone model.Zone, r permit.Request) (permit.Answer, error)
}

// Relay sends announcements to another instance of the zone, which passes them to
// Entry.Receive. It must neither block nor call the Entry; a message may be lost, late or
// repeated.
type Relay interface {
	Send(to model.Instance, m member.Relay)
}

// Config returns the configuration in force; the result is immutable and never nil.
type Config interface {
	Snapshot() *Snapshot
}

// Events records typed events. It must neither block nor call the Entry.
type Events interface {
	Record(e Event)
}

// Dialer opens connections to backend servers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Ports are the ports of an Entry. Dialer may be nil, which selects net.Dialer.
type Ports struct {
	Clock   clock.Source
	Config  Config
	Records Records
	Granter Granter
	Relay   Relay
	Events  Events
	Dialer  Dialer
}
