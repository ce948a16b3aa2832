package spec

import (
	"slices"
	"strings"
)

// Diff returns the changes from one document to the other, one line for each section or key.
// It is empty if the documents are equal.
//
//	~ [team alpha] cpu: 64000m -> 80000m
//	+ [service web] team = alpha, count = 6
//	- [batch report] team = alpha
func Diff(from, to Document) string {
	var out strings.Builder
	before, after := from.sortedSections(), to.sortedSections()
	for len(before) > 0 || len(after) > 0 {
		switch compareFirst(before, after) {
		case -1:
			out.WriteString("- " + before[0].formatLine() + "\n")
			before = before[1:]
		case 1:
			out.WriteString("+ " + after[0].formatLine() + "\n")
			after = after[1:]
		default:
			writeKeyDiff(&out, before[0], after[0])
			before, after = before[1:], after[1:]
		}
	}
	return out.String()
}

// compareFirst compares the first sections of two sorted lists; an empty list comes last.
func compareFirst(a, b []section) int {
	if len(a) == 0 {
		return 1
	}
	if len(b) == 0 {
		return -1
	}
	return compareSections(a[0], b[0])
}

func writeKeyDiff(out *strings.Builder, a, b section) {
	for _, k := range unionKeys(a, b) {
		oldValue, newValue := a.joinValues(k), b.joinValues(k)
		if oldValue != newValue {
			out.WriteString("~ [" + a.header() + "] " + k + ": " + valueOrNone(oldValue) + " -> " + valueOrNone(newValue) + "\n")
		}
	}
}

func unionKeys(a, b section) []string {
	var keys []string
	for _, p := range slices.Concat(a.pairs, b.pairs) {
		if !slices.Contains(keys, p.key) {
			keys = append(keys, p.key)
		}
	}
	slices.SortStableFunc(keys, func(x, y string) int { return keyRank(a.kind, x) - keyRank(a.kind, y) })
	return keys
}

// joinValues returns all values of a key, so that Diff shows a change in a duplicate key.
func (s section) joinValues(key string) string {
	var values []string
	for _, p := range s.pairs {
		if p.key == key {
			values = append(values, p.value)
		}
	}
	return strings.Join(values, " | ")
}

func (s section) formatLine() string {
	parts := make([]string, len(s.pairs))
	for i, p := range s.pairs {
		parts[i] = p.key + " = " + p.value
	}
	return strings.TrimSpace("[" + s.header() + "] " + strings.Join(parts, ", "))
}

func valueOrNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
