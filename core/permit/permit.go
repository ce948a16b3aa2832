package permit

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
)

// Times of the permit protocol.
const (
	// GrantTime is the life of a credit, counted by the holder from the sending of its
	// request and by the granter from its receipt.
	GrantTime = 2 * clock.Second
	// RequestTime is the longest time that a request may run on a backend server.
	RequestTime = 10 * clock.Second
	// DriftPercent bounds the difference in speed of two clocks.
	DriftPercent = 5
	// RenewTime is the period of renewal. A quarter of GrantTime lets two renewals in a
	// row be lost without losing the credits.
	RenewTime = 500 * clock.Millisecond
)

// WithDrift lengthens d by the drift bound.
func WithDrift(d clock.Millis) clock.Millis { return d + d.Percent(DriftPercent) }

// LastRun returns until when a request that was sent at an instant may run. It does not rely
// on the deadline of the request, which a backend server may ignore.
func LastRun(sent clock.Millis) clock.Millis { return sent + WithDrift(RequestTime) }

// Floor returns the slots of a server that each of the entry instances of its zone may use
// without a credit.
func Floor(slots, entries int) int {
	if entries <= 0 {
		return 0
	}
	if f := slots / (entries + 1); f > 0 {
		return f
	}
	if slots >= entries {
		return 1
	}
	return 0
}

// Pool returns the slots of a server that are granted as credits.
func Pool(slots, entries int) int {
	return max(0, slots-entries*Floor(slots, entries))
}

// Use reports one server in a Request.
type Use struct {
	Server member.Key `json:"server"`
	Over   int        `json:"over"` // requests in progress beyond the floor
	Want   int        `json:"want"` // credits wanted, at least Over
}

// Need asks for credits on any server of a service of another zone.
type Need struct {
	Service string `json:"service"`
	Want    int    `json:"want"`
}

// Request renews the credits of an entry instance with the granter of a zone. Its list of
// servers is complete: on a server that it does not name the holder has no request beyond
// its floor.
type Request struct {
	Instance    model.Instance    `json:"instance"`
	Incarnation model.Incarnation `json:"incarnation"`
	Entries     int               `json:"entries"` // entry instances of the granter's zone; 0 if not known
	Seq         uint64            `json:"seq"`     // grows with each request to this zone
	Applied     uint64            `json:"applied"` // Seq of the newest answer that the holder has applied
	Uses        []Use             `json:"uses"`
	Needs       []Need            `json:"needs,omitempty"`
}

// Grant allows Credits requests beyond the floor on a server.
type Grant struct {
	Server  member.Key   `json:"server"`
	Service string       `json:"service"`
	Address string       `json:"address"`
	Conns   int          `json:"conns"`
	Credits int          `json:"credits"`
	Life    clock.Millis `json:"life"` // counted from the sending of the request
}

// Answer replaces all earlier grants of the zone to the holder.
type Answer struct {
	Epoch  model.Epoch `json:"epoch"`
	Seq    uint64      `json:"seq"`
	Grants []Grant     `json:"grants"`
}
