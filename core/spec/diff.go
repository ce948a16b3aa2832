package spec

import (
	"slices"
	"strings"
)

// Diff describes, one line for each section or key, how to get from one document to the
// other; it is empty if they are equal.
//
//   - [service web] team = alpha, count = 6
//   - [batch report] team = alpha
//     ~ [team alpha] cpu: 64000m -> 80000m
func Diff(from, to Document) string {
	var out strings.Builder
	before, after := from.sorted(), to.sorted()
	for len(before) > 0 || len(after) > 0 {
		switch order(before, after) {
		case -1:
			out.WriteString("- " + before[0].line() + "\n")
			before = before[1:]
		case 1:
			out.WriteString("+ " + after[0].line() + "\n")
			after = after[1:]
		default:
			diffKeys(&out, before[0], after[0])
			before, after = before[1:], after[1:]
		}
	}
	return out.String()
}

// order compares the heads of two sorted lists; an empty list comes last.
func order(a, b []section) int {
	if len(a) == 0 {
		return 1
	}
	if len(b) == 0 {
		return -1
	}
	return compare(a[0], b[0])
}

func diffKeys(out *strings.Builder, a, b section) {
	for _, k := range keysOf(a, b) {
		was, is := a.get(k), b.get(k)
		if was != is {
			out.WriteString("~ [" + a.title() + "] " + k + ": " + shown(was) + " -> " + shown(is) + "\n")
		}
	}
}

func keysOf(a, b section) []string {
	var keys []string
	for _, p := range slices.Concat(a.pairs, b.pairs) {
		if !slices.Contains(keys, p.key) {
			keys = append(keys, p.key)
		}
	}
	slices.SortStableFunc(keys, func(x, y string) int { return keyRank(a.kind, x) - keyRank(a.kind, y) })
	return keys
}

// get returns all values of a key, so that a change in a key that is set twice shows.
func (s section) get(key string) string {
	var values []string
	for _, p := range s.pairs {
		if p.key == key {
			values = append(values, p.value)
		}
	}
	return strings.Join(values, " | ")
}

func (s section) line() string {
	parts := make([]string, len(s.pairs))
	for i, p := range s.pairs {
		parts[i] = p.key + " = " + p.value
	}
	return strings.TrimSpace("[" + s.title() + "] " + strings.Join(parts, ", "))
}

func shown(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
