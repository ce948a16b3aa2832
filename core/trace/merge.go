package trace

import (
	"cmp"
	"slices"
)

// Merge merges the events of several processes into one causal order: an event comes after all
// events that caused it. Duplicates of an entry, for example from a process and from its file,
// are removed.
func Merge(lists ...[]Entry) []Entry {
	out := slices.Concat(lists...)
	slices.SortStableFunc(out, compareEntries)
	return slices.CompactFunc(out, func(a, b Entry) bool { return compareEntries(a, b) == 0 })
}

func compareEntries(a, b Entry) int {
	return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Seq, b.Seq))
}
