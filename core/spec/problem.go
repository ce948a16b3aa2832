package spec

import (
	"fmt"
	"strings"

	"vanillabridge/core/fault"
)

// maxShownProblems bounds the problems in an error message, so that it stays readable.
const maxShownProblems = 20

// Problem is one reason why a document is refused.
type Problem struct {
	Section string // text of the section header, for example "team alpha"
	Key     string // empty if the problem concerns the whole section
	Text    string // what is wrong, including the limit
}

// String formats the problem as "[section] key: text".
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

// Problems is the error for a refused document; it matches fault.ErrInvalid.
type Problems []Problem

// Error returns one line for each of the first 20 problems and the number of further ones.
func (p Problems) Error() string {
	lines := make([]string, 0, maxShownProblems+1)
	for i, problem := range p {
		if i == maxShownProblems {
			lines = append(lines, fmt.Sprintf("and %d more problems", len(p)-maxShownProblems))
			break
		}
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is fault.ErrInvalid.
func (Problems) Is(target error) bool { return target == fault.ErrInvalid }

// Note reports a default that was filled in, or a valid setting that is probably a mistake.
type Note struct {
	Section string
	Key     string
	Text    string
}

// String formats the note as "[section] key: text".
func (n Note) String() string { return Problem(n).String() }
