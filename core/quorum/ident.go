package quorum

import (
	"cmp"
	"strconv"
	"strings"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
)

// ID identifies a replica. A replica that lost its disk restarts with a new incarnation and is a
// new member, because it no longer knows how it voted.
type ID struct {
	_           struct{}          `cbor:",toarray"`
	Name        model.Instance    `json:"name"`
	Incarnation model.Incarnation `json:"inc"`
}

// NewID returns the identity of the given incarnation of a replica.
func NewID(name model.Instance, inc model.Incarnation) ID { return ID{Name: name, Incarnation: inc} }

// IsZero reports whether the identity is unset.
func (i ID) IsZero() bool { return i.Name == "" && i.Incarnation == 0 }

// String formats the identity as "name#incarnation" with the incarnation in hexadecimal.
func (i ID) String() string {
	return string(i.Name) + "#" + strconv.FormatUint(uint64(i.Incarnation), 16)
}

// ParseID parses the format that String returns.
func ParseID(s string) (ID, error) {
	name, inc, ok := strings.Cut(s, "#")
	if !ok {
		return ID{}, fault.Wrap(fault.ErrInvalid, "parse replica identity %q: missing #incarnation", s)
	}
	n, err := strconv.ParseUint(inc, 16, 64)
	if err != nil {
		return ID{}, fault.Wrap(fault.ErrInvalid, "parse replica identity %q: %v", s, err)
	}
	return NewID(model.Instance(name), model.Incarnation(n)), nil
}

func compareIDs(a, b ID) int {
	if c := cmp.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}
