package quorum

import "slices"

// tail is the part of the log behind base, which a snapshot covers.
type tail struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
}

func (t *tail) last() uint64 { return t.base + uint64(len(t.entries)) }

func (t *tail) lastTerm() uint64 {
	if len(t.entries) == 0 {
		return t.baseTerm
	}
	return t.entries[len(t.entries)-1].Term
}

// term returns the term of the entry at index, if the log still knows it.
func (t *tail) term(index uint64) (uint64, bool) {
	switch {
	case index == t.base:
		return t.baseTerm, true
	case index < t.base || index > t.last():
		return 0, false
	}
	return t.entries[index-t.base-1].Term, true
}

// slice returns entries from index on, up to a size in bytes but at least one.
func (t *tail) slice(from, to uint64, limit int) []Entry {
	if from <= t.base || from > to || from > t.last() {
		return nil
	}
	part := t.entries[from-t.base-1 : min(to, t.last())-t.base]
	size := 0
	for i, e := range part {
		size += e.size()
		if i > 0 && size > limit {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

func (t *tail) truncate(from uint64) {
	// A clip forces later appends to copy, because messages in flight share the old array.
	t.entries = slices.Clip(t.entries[:from-t.base-1])
}

func (t *tail) compact(to uint64) {
	if to <= t.base {
		return
	}
	term, ok := t.term(to)
	if !ok {
		return
	}
	t.entries = slices.Clone(t.entries[to-t.base:])
	t.base, t.baseTerm = to, term
}

func (t *tail) reset(index, term uint64) {
	t.base, t.baseTerm, t.entries = index, term, nil
}

// upToDate reports whether a log that ends at the given position holds at least what this one holds.
func (t *tail) upToDate(index, term uint64) bool {
	own := t.lastTerm()
	return term > own || (term == own && index >= t.last())
}
