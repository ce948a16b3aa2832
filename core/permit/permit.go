package permit

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
)

// Time limits of the permit protocol.
const (
	// CreditLifetime is how long a credit is valid. The holder counts it from the sending of
	// its request, the granter from the receipt, so that the holder stops using it first.
	CreditLifetime = 2 * clock.Second
	// MaxRequestTime is the maximum time that a request may run on a backend server.
	MaxRequestTime = 10 * clock.Second
	// MaxDriftPercent bounds the difference between the rates of two clocks.
	MaxDriftPercent = 5
	// RenewInterval is the interval between renewals. At a quarter of CreditLifetime, credits
	// stay valid when two consecutive renewals are lost.
	RenewInterval = 500 * clock.Millisecond
)

// WithDrift returns d extended by the bound on clock drift.
func WithDrift(d clock.Millis) clock.Millis { return d + d.Percent(MaxDriftPercent) }

// LatestRunEnd returns the latest time at which a request that was sent at the given time may still
// run. It does not rely on the request's deadline, which a backend server may ignore.
func LatestRunEnd(sent clock.Millis) clock.Millis { return sent + WithDrift(MaxRequestTime) }

// FloorSlots returns the number of a server's slots that each entry instance of its zone may use
// without a credit.
func FloorSlots(slots, entries int) int {
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

// PoolSlots returns the number of a server's slots that are granted as credits.
func PoolSlots(slots, entries int) int {
	return max(0, slots-entries*FloorSlots(slots, entries))
}

// ServerUse reports a holder's use of one server in a Request.
type ServerUse struct {
	Server    member.Key `json:"server"`
	OverFloor int        `json:"over"` // requests in progress beyond the floor
	Wanted    int        `json:"want"` // credits wanted, at least OverFloor
}

// ServiceNeed asks for credits on any servers of a service in the granter's zone, which is not the
// holder's own.
type ServiceNeed struct {
	Service string `json:"service"`
	Wanted  int    `json:"want"`
}

// Request renews the credits of an entry instance with the granter of a zone. Uses lists all
// servers on which the holder exceeds its floor or wants credits: on any other server of the zone
// it has no request beyond the floor.
type Request struct {
	Instance    model.Instance    `json:"instance"`
	Incarnation model.Incarnation `json:"incarnation"`
	EntryCount  int               `json:"entries"` // entry instances of the granter's zone; 0 if the holder is of another zone
	Seq         uint64            `json:"seq"`     // increases with each request to this zone
	AppliedSeq  uint64            `json:"applied"` // Seq of the latest answer that the holder has applied
	Uses        []ServerUse       `json:"uses"`
	Needs       []ServiceNeed     `json:"needs,omitempty"`
}

// Grant permits the holder to run up to Credits requests beyond its floor on a server.
type Grant struct {
	Server   member.Key   `json:"server"`
	Service  string       `json:"service"`
	Address  string       `json:"address"`
	Conns    int          `json:"conns"`
	Credits  int          `json:"credits"`
	Lifetime clock.Millis `json:"life"` // counted from the sending of the request
}

// Answer lists the grants of a zone to a holder. It replaces all earlier ones.
type Answer struct {
	Epoch  model.Epoch `json:"epoch"`
	Seq    uint64      `json:"seq"`
	Grants []Grant     `json:"grants"`
}
