package trace

import (
	"cmp"
	"slices"
)

// Merge joins the events of several processes into one causal order: an event comes after all
// events that caused it. An entry that occurs in several lists, for example from a process and
// from its file, is kept once.
func Merge(lists ...[]Entry) []Entry {
	out := slices.Concat(lists...)
	slices.SortStableFunc(out, compare)
	return slices.CompactFunc(out, func(a, b Entry) bool { return compare(a, b) == 0 })
}

func compare(a, b Entry) int {
	return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Seq, b.Seq))
}
