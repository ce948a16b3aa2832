package quorum

import "slices"

// raftLog holds the entries after baseIndex. Entries up to baseIndex are compacted.
type raftLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
}

func (t *raftLog) lastIndex() uint64 { return t.baseIndex + uint64(len(t.entries)) }

func (t *raftLog) lastTerm() uint64 {
	if len(t.entries) == 0 {
		return t.baseTerm
	}
	return t.entries[len(t.entries)-1].Term
}

// term returns the term of the entry at index. It reports false if the entry is compacted or
// beyond the end of the log.
func (t *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == t.baseIndex:
		return t.baseTerm, true
	case index < t.baseIndex || index > t.lastIndex():
		return 0, false
	}
	return t.entries[index-t.baseIndex-1].Term, true
}

// slice returns the entries from index from through to, up to limit bytes but at least one entry.
func (t *raftLog) slice(from, to uint64, limit int) []Entry {
	if from <= t.baseIndex || from > to || from > t.lastIndex() {
		return nil
	}
	part := t.entries[from-t.baseIndex-1 : min(to, t.lastIndex())-t.baseIndex]
	size := 0
	for i, e := range part {
		size += e.approxSize()
		if i > 0 && size > limit {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

func (t *raftLog) truncate(from uint64) {
	// Clipping makes later appends copy the array, which messages in flight still refer to.
	t.entries = slices.Clip(t.entries[:from-t.baseIndex-1])
}

func (t *raftLog) compact(to uint64) {
	if to <= t.baseIndex {
		return
	}
	term, ok := t.term(to)
	if !ok {
		return
	}
	t.entries = slices.Clone(t.entries[to-t.baseIndex:])
	t.baseIndex, t.baseTerm = to, term
}

func (t *raftLog) reset(index, term uint64) {
	t.baseIndex, t.baseTerm, t.entries = index, term, nil
}

// isUpToDate reports whether a log that ends at the given index and term is at least as up to date
// as this one, by Raft's comparison of last term and then last index.
func (t *raftLog) isUpToDate(index, term uint64) bool {
	own := t.lastTerm()
	return term > own || (term == own && index >= t.lastIndex())
}
