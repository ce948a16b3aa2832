package quorum

import (
	"cmp"
	"strconv"
	"strings"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// ID identifies a replica. A replica that lost its disk comes back under a new incarnation
// and is a new member, because it no longer knows how it voted.
type ID struct {
	_    struct{}          `cbor:",toarray"`
	Name model.Instance    `json:"name"`
	Inc  model.Incarnation `json:"inc"`
}

// NewID returns the identity of one life of a named replica.
func NewID(name model.Instance, inc model.Incarnation) ID { return ID{Name: name, Inc: inc} }

// IsZero reports whether the identity is unset.
func (i ID) IsZero() bool { return i.Name == "" && i.Inc == 0 }

// String prints the identity as "name#incarnation" with the incarnation in hexadecimal.
func (i ID) String() string {
	return string(i.Name) + "#" + strconv.FormatUint(uint64(i.Inc), 16)
}

// ParseID reads the form that String prints.
func ParseID(s string) (ID, error) {
	name, inc, ok := strings.Cut(s, "#")
	if !ok {
		return ID{}, fault.Wrap(fault.ErrInvalid, "replica identity %q has no #incarnation", s)
	}
	n, err := strconv.ParseUint(inc, 16, 64)
	if err != nil {
		return ID{}, fault.Wrap(fault.ErrInvalid, "replica identity %q: %v", s, err)
	}
	return NewID(model.Instance(name), model.Incarnation(n)), nil
}

func compareID(a, b ID) int {
	if c := cmp.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return cmp.Compare(a.Inc, b.Inc)
}
