package flow

import (
	"math"
	"net/netip"
	"strings"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// Worker is the description of one incarnation of a worker, as the worker announced it.
type Worker struct {
	_         struct{} `cbor:",toarray"`
	ID        model.WorkerID
	StartedAt clock.Millis // start of this incarnation, since 1970
	Pool      string
	// Address is the network address for orders.
	Address  string
	Zone     model.Zone
	Rack     model.Rack
	Capacity model.Size
	Labels   []string
	Leaving  bool
	// Seq is the sequence number of the announcement within this incarnation.
	Seq uint64
}

// Incarnation identifies one incarnation of a worker: the time from a start of its process to the next. The identifier alone
// names the worker, whose incarnations share nothing: neither clock nor tasks nor numbers of ends.
type Incarnation struct {
	ID        model.WorkerID
	StartedAt clock.Millis // since 1970
}

// IsKnown reports whether the start is known. Without it, the process can't be told from others of its worker. Check refuses
// such announcements, but earlier versions stored them.
func (i Incarnation) IsKnown() bool { return i.StartedAt > 0 }

// IsLaterThan reports whether the incarnation is one of the same worker that started later.
func (i Incarnation) IsLaterThan(other Incarnation) bool {
	return i.ID == other.ID && i.StartedAt > other.StartedAt
}

// Incarnation returns the incarnation that the description is of.
func (w Worker) Incarnation() Incarnation { return Incarnation{ID: w.ID, StartedAt: w.StartedAt} }

// seqLeft is the number of the last announcement of a worker, with which it leaves.
const seqLeft = math.MaxUint64

// WithLeft returns the worker after its last announcement: its process ends by itself.
func (w Worker) WithLeft() Worker {
	w.Leaving, w.Seq = true, seqLeft
	return w
}

// HasLeft reports whether the worker has announced that its process ends now.
func (w Worker) HasLeft() bool { return w.Leaving && w.Seq == seqLeft }

// HasLabel reports whether the worker has a label. Every worker has the empty label.
func (w Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Limits of what a worker may announce of itself.
const (
	maxNameBytes  = 200
	maxLabels     = 32
	maxSeq        = 1 << 53
	maxStartLead  = clock.Millis(60 * 60 * 1000) // by which its clock may be ahead of the instance's
	maxMillicores = model.Millicores(1_000_000_000)
	maxMebibytes  = model.Mebibytes(1_000_000_000)
	maxAccels     = model.Accelerators(1_000_000)
)

// Check returns an error that names the field, its value and the limit if the announcement can't be that of a worker, or
// nil. The time is that of the instance, since 1970.
func (w Worker) Check(now clock.Millis) error {
	address, addressErr := netip.ParseAddrPort(w.Address)
	switch c := w.Capacity; {
	case !isName(string(w.ID)):
		return fault.Wrap(fault.ErrInvalid, "worker: id %.40q is not 1 to %d printable characters without spaces", string(w.ID), maxNameBytes)
	case !isName(w.Pool):
		return fault.Wrap(fault.ErrInvalid, "worker %s: pool %.40q is not 1 to %d printable characters without spaces", w.ID, w.Pool, maxNameBytes)
	case w.Zone != "" && !isName(string(w.Zone)):
		return fault.Wrap(fault.ErrInvalid, "worker %s: zone %.40q is not 1 to %d printable characters without spaces", w.ID, string(w.Zone), maxNameBytes)
	case addressErr != nil || address.Port() == 0:
		return fault.Wrap(fault.ErrInvalid, "worker %s: address %.60q is not an IP address and a port from 1 to %d", w.ID, w.Address, math.MaxUint16)
	case c.CPU < 0 || c.CPU > maxMillicores || c.Memory < 0 || c.Memory > maxMebibytes || c.Accel < 0 || c.Accel > maxAccels:
		return fault.Wrap(fault.ErrInvalid, "worker %s: capacity %s is negative or above %s", w.ID, c, model.Size{CPU: maxMillicores, Memory: maxMebibytes, Accel: maxAccels})
	case w.StartedAt <= 0 || w.StartedAt > now+maxStartLead:
		return fault.Wrap(fault.ErrInvalid, "worker %s: start %d is not positive or more than %s after %d", w.ID, int64(w.StartedAt), maxStartLead, int64(now))
	case w.Seq > maxSeq:
		return fault.Wrap(fault.ErrInvalid, "worker %s: sequence number %d is above %d", w.ID, w.Seq, uint64(maxSeq))
	case len(w.Labels) > maxLabels:
		return fault.Wrap(fault.ErrInvalid, "worker %s: %d labels are more than %d", w.ID, len(w.Labels), maxLabels)
	}
	for _, l := range w.Labels {
		if len(l) > maxNameBytes {
			return fault.Wrap(fault.ErrInvalid, "worker %s: label %.40q has %d bytes, more than %d", w.ID, l, len(l), maxNameBytes)
		}
	}
	return nil
}

// isName reports whether a text can be a name on the wire and in logs.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}
