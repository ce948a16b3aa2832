package once

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// Limits of records.
const (
	// GraceTime is how long after its deadline a running record becomes unknown.
	GraceTime = 5 * clock.Second
	// KeepTime is how long a record is kept. A resend after it can run again.
	KeepTime = 24 * clock.Hour
	// KeepBody is the largest body that is kept, in bytes.
	KeepBody = 64 << 10
)

// Key names a non-idempotent request.
type Key struct {
	Caller model.Caller `json:"caller" cbor:"1,keyasint"`
	Key    string       `json:"key" cbor:"2,keyasint"`
}

// Owner returns the zone that holds the record of a key.
func (k Key) Owner(zones []model.Zone) model.Zone {
	return model.OwnerZone(string(k.Caller)+"\x00"+k.Key, k.Key, zones)
}

// Token names one Begin, so that a repeated proposal of it is recognised.
type Token struct {
	Instance    model.Instance    `json:"instance" cbor:"1,keyasint"`
	Incarnation model.Incarnation `json:"incarnation" cbor:"2,keyasint"`
	Number      uint64            `json:"number" cbor:"3,keyasint"`
}

// Answer is the answer of a backend server as it is kept.
type Answer struct {
	Digest string              `json:"digest" cbor:"1,keyasint"` // of method, service and path
	Status int                 `json:"status" cbor:"2,keyasint"`
	Header map[string][]string `json:"header,omitempty" cbor:"3,keyasint,omitempty"`
	Body   []byte              `json:"body,omitempty" cbor:"4,keyasint,omitempty"`
	Cut    bool                `json:"cut,omitempty" cbor:"5,keyasint,omitempty"` // the body was too large to keep
}

// Phase is the state of a record.
type Phase uint8

// The phases of a record.
const (
	PhaseRunning Phase = iota + 1
	PhaseDone
	PhaseUnknown
)

// Record is the state of a key in the log of its owner zone. The zero value says that there
// is none. Records are immutable; transitions return the changed copy.
type Record struct {
	Token    Token        `json:"token" cbor:"1,keyasint"`
	Phase    Phase        `json:"phase" cbor:"2,keyasint"`
	Began    clock.Millis `json:"began" cbor:"3,keyasint"`
	Deadline clock.Millis `json:"deadline" cbor:"4,keyasint"`
	Answer   Answer       `json:"answer" cbor:"5,keyasint"`
}

// Result is the result of a Begin: one of Fresh, Done, Running and Unknown.
type Result interface{ result() }

// Fresh says that there was no record and that the request may be dispatched.
type Fresh struct{}

// Done carries the first answer.
type Done struct{ Answer Answer }

// Running says that an earlier request with the key is in progress.
type Running struct{}

// Unknown says that an earlier request with the key may have run.
type Unknown struct{}

func (Fresh) result()   {}
func (Done) result()    {}
func (Running) result() {}
func (Unknown) result() {}

// At returns the record as it is at an instant of the zone's clock.
func (r Record) At(now clock.Millis) Record {
	switch {
	case r.Phase != 0 && now-r.Began >= KeepTime:
		return Record{}
	case r.Phase == PhaseRunning && now >= r.Deadline+GraceTime:
		r.Phase = PhaseUnknown
	}
	return r
}

// Begin starts a request with the given time to run. A repeated Begin of the same token
// gives the same result while the record is running.
func (r Record) Begin(now clock.Millis, t Token, limit clock.Millis) (Record, Result) {
	r = r.At(now)
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
		return Record{Token: t, Phase: PhaseRunning, Began: now, Deadline: now + limit}, Fresh{}
	}
}

// Finish stores the answer and reports whether it did. A record that became unknown stays
// so: a caller may already have been told.
func (r Record) Finish(now clock.Millis, t Token, a Answer) (Record, bool) {
	r = r.At(now)
	if r.Phase != PhaseRunning || r.Token != t {
		return r, r.Phase == PhaseDone && r.Token == t
	}
	if len(a.Body) > KeepBody {
		a.Body, a.Cut = nil, true
	}
	r.Phase, r.Answer = PhaseDone, a
	return r, true
}

// Abort removes the record of a request of which no byte was sent.
func (r Record) Abort(now clock.Millis, t Token) Record {
	r = r.At(now)
	if r.Phase == PhaseRunning && r.Token == t {
		return Record{}
	}
	return r
}
