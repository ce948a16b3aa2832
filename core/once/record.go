package once

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Limits of records.
const (
	// GracePeriod is the time after its deadline at which a running record becomes unknown.
	GracePeriod = 5 * clock.Second
	// RecordRetention is how long a record is kept, counted from the start of its request. A
	// resend after that can run again.
	RecordRetention = 24 * clock.Hour
	// MaxStoredBodyBytes is the size of the largest answer body that is stored in a record.
	MaxStoredBodyBytes = 64 << 10
)

// Key identifies a non-idempotent request by its caller and idempotency key.
type Key struct {
	Caller model.Caller `json:"caller" cbor:"1,keyasint"`
	Key    string       `json:"key" cbor:"2,keyasint"`
}

// OwnerZone returns the zone that stores the record of a key.
func (k Key) OwnerZone(zones []model.Zone) model.Zone {
	return model.OwnerZone(string(k.Caller)+"\x00"+k.Key, k.Key, zones)
}

// Token identifies one Begin, so that a repeated proposal of it is recognised.
type Token struct {
	Instance    model.Instance    `json:"instance" cbor:"1,keyasint"`
	Incarnation model.Incarnation `json:"incarnation" cbor:"2,keyasint"`
	Number      uint64            `json:"number" cbor:"3,keyasint"`
}

// Answer is the answer of a backend server in the form in which it is stored.
type Answer struct {
	Digest      string              `json:"digest" cbor:"1,keyasint"` // of method, service and path
	Status      int                 `json:"status" cbor:"2,keyasint"`
	Header      map[string][]string `json:"header,omitempty" cbor:"3,keyasint,omitempty"`
	Body        []byte              `json:"body,omitempty" cbor:"4,keyasint,omitempty"`
	BodyOmitted bool                `json:"cut,omitempty" cbor:"5,keyasint,omitempty"` // the body was larger than MaxStoredBodyBytes and is not stored
}

// Phase is the state of a record.
type Phase uint8

// The phases of a record.
const (
	PhaseRunning Phase = iota + 1
	PhaseDone
	PhaseUnknown
)

// Record is the state of a key in the log of its owner zone. The zero value means that there
// is no record. Records are immutable: transitions return a changed copy.
type Record struct {
	Token    Token        `json:"token" cbor:"1,keyasint"`
	Phase    Phase        `json:"phase" cbor:"2,keyasint"`
	BeganAt  clock.Millis `json:"began" cbor:"3,keyasint"`
	Deadline clock.Millis `json:"deadline" cbor:"4,keyasint"`
	Answer   Answer       `json:"answer" cbor:"5,keyasint"`
}

// Result is the result of a Begin: Fresh, Done, Running or Unknown.
type Result interface{ result() }

// Fresh means that there was no record and the request may be dispatched.
type Fresh struct{}

// Done carries the stored answer of an earlier request with the key.
type Done struct{ Answer Answer }

// Running means that an earlier request with the key is in progress.
type Running struct{}

// Unknown means that an earlier request with the key may or may not have run.
type Unknown struct{}

func (Fresh) result()   {}
func (Done) result()    {}
func (Running) result() {}
func (Unknown) result() {}

// AsOf returns the state of the record at the given time of the zone's clock: records past
// their retention are removed, and running ones past the grace period become unknown.
func (r Record) AsOf(now clock.Millis) Record {
	switch {
	case r.Phase != 0 && now-r.BeganAt >= RecordRetention:
		return Record{}
	case r.Phase == PhaseRunning && now >= r.Deadline+GracePeriod:
		r.Phase = PhaseUnknown
	}
	return r
}

// Begin opens the record of a request whose deadline is limit from now. A repeated Begin with
// the same token returns the same result while the record is running.
func (r Record) Begin(now clock.Millis, t Token, limit clock.Millis) (Record, Result) {
	r = r.AsOf(now)
	switch r.Phase {
	case PhaseDone:
		return r, Done{Answer: r.Answer}
	case PhaseUnknown:
		return r, Unknown{}
	case PhaseRunning:
		if r.Token == t {
			return r, Fresh{}
		}
		return r, Running{}
	default:
		return Record{Token: t, Phase: PhaseRunning, BeganAt: now, Deadline: now + limit}, Fresh{}
	}
}

// Finish stores the answer and reports whether it is stored. A record that became unknown
// stays unknown, because a caller may already have been told so.
func (r Record) Finish(now clock.Millis, t Token, a Answer) (Record, bool) {
	r = r.AsOf(now)
	if r.Phase != PhaseRunning || r.Token != t {
		return r, r.Phase == PhaseDone && r.Token == t
	}
	if len(a.Body) > MaxStoredBodyBytes {
		a.Body, a.BodyOmitted = nil, true
	}
	r.Phase, r.Answer = PhaseDone, a
	return r, true
}

// Abort removes the running record of a request of which no byte was sent.
func (r Record) Abort(now clock.Millis, t Token) Record {
	r = r.AsOf(now)
	if r.Phase == PhaseRunning && r.Token == t {
		return Record{}
	}
	return r
}
