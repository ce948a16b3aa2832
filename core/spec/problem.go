package spec

import (
	"fmt"
	"strings"

	"vanillabridge/core/fault"
)

// maxShown bounds the length of an error message.
const maxShown = 20

// Problem is one reason why a document is refused.
type Problem struct {
	Section string // as between brackets, for example "team alpha"
	Key     string // empty if the whole section is meant
	Text    string // what is wrong, with the limit
}

// String prints the problem as "[section] key: text".
func (p Problem) String() string {
	where := ""
	if p.Section != "" {
		where = "[" + p.Section + "]"
	}
	if p.Key != "" {
		where = strings.TrimSpace(where + " " + p.Key)
	}
	if where == "" {
		return p.Text
	}
	return where + ": " + p.Text
}

// Problems is the error for a refused document; errors.Is finds fault.ErrInvalid.
type Problems []Problem

// Error prints one line for each problem, and a count in place of those past the first 20.
func (p Problems) Error() string {
	lines := make([]string, 0, maxShown+1)
	for i, one := range p {
		if i == maxShown {
			lines = append(lines, fmt.Sprintf("and %d more problems", len(p)-maxShown))
			break
		}
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is find fault.ErrInvalid.
func (Problems) Is(target error) bool { return target == fault.ErrInvalid }

// Note is a safe default that was filled in, or a remark on something that is legal but
// probably not meant.
type Note struct {
	Section string
	Key     string
	Text    string
}

// String prints the note as "[section] key: text".
func (n Note) String() string { return Problem(n).String() }
